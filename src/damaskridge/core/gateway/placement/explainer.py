"""Explains where a request would go now, and why, without sending it.

It asks the objects that decide on requests, and changes none of them: nothing is
charged, reserved or drawn.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.memory import expected_memory_tokens
from damaskridge.core.gateway.placement.room_order import RoomOrder
from damaskridge.core.gateway.routing import RoutingIndex
from damaskridge.model.explanations import (
    ExplainedRequest,
    Explanation,
    ServerRank,
    StepExplanation,
)
from damaskridge.model.gateway import (
    BackendInstance,
    EngineStage,
    GatewayRoute,
    GatewayService,
    GatewayWorkspace,
    InstanceId,
)

__all__ = ["Explainer", "LeaderDecisions"]

SERVED = "served"


@dataclass(frozen=True, slots=True)
class LeaderDecisions:
    """
    What the leader decides at present.

    Parameters
    ----------
    contended : callable
        Returns the workspaces whose requests the leader admits.
    crowded : callable
        Returns the services on whose engines the leader assigns room.
    is_limited : callable
        Tells whether a server gets requests only with the leader's permits.
    """

    contended: Callable[[], Collection[str]]
    crowded: Callable[[], Collection[str]]
    is_limited: Callable[[InstanceId], bool]


class Explainer:
    """
    Explains the decisions of one entry host.

    Parameters
    ----------
    host, data_centre : str
        The entry host.
    index : callable
        Returns the index of the routing table in force.
    registry, load, quota : InstanceRegistry, LoadTracker, FleetQuota
        What the host knows of servers, of their load and of rates.
    leader : LeaderDecisions
        What the leader decides.
    """

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        index: Callable[[], RoutingIndex],
        registry: InstanceRegistry,
        load: LoadTracker,
        quota: FleetQuota,
        leader: LeaderDecisions,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._index = index
        self._registry = registry
        self._load = load
        self._quota = quota
        self._leader = leader

    def explain(self, request: ExplainedRequest, now_s: float) -> Explanation:
        """
        Return what would happen to a request.

        Parameters
        ----------
        request : ExplainedRequest
            The request.
        now_s : float
            Current time.
        """
        index = self._index()
        route = index.route(request.host_name, request.path)
        if index.table.version == 0 or route is None:
            return self._refused(
                index, "no route matches" if index.table.version else "no routing table"
            )
        workspace = index.workspace_named(request.workspace)
        if workspace is None and index.needs_keys and not route.is_public:
            return self._refused(index, "the workspace is unknown")
        return self._explain_routed(request, route, workspace, now_s)

    def _explain_routed(
        self,
        request: ExplainedRequest,
        route: GatewayRoute,
        workspace: GatewayWorkspace | None,
        now_s: float,
    ) -> Explanation:
        index = self._index()
        heaviest = max(route.targets, key=lambda target: target.weight)
        service = index.services[heaviest.service]
        priority = index.priority(route, service.name, workspace)
        admission, wait_s = self._explain_rate(request, workspace, now_s)
        steps = self._steps(request, service, priority.level, now_s)
        outcome = SERVED
        if wait_s > 0:
            outcome = "refused: over the rate of the workspace"
        elif not any(server.rank for server in steps[0].servers):
            outcome = "refused, unless a server is free in time: none can be used now"
        return Explanation(
            host=self._host,
            data_centre=self._data_centre,
            routing_version=index.table.version,
            outcome=outcome,
            route=route.name,
            service=service.name,
            priority=priority.priority,
            level=priority.level,
            admission=admission,
            retry_after_s=round(wait_s, 3),
            steps=steps,
        )

    def _refused(self, index: RoutingIndex, reason: str) -> Explanation:
        return Explanation(
            host=self._host,
            data_centre=self._data_centre,
            routing_version=index.table.version,
            outcome=f"refused: {reason}",
        )

    def _explain_rate(
        self,
        request: ExplainedRequest,
        workspace: GatewayWorkspace | None,
        now_s: float,
    ) -> tuple[str, float]:
        """Return what the rate says of a request, and for how long it has to wait."""
        if workspace is None or workspace.rate_per_s <= 0:
            return "no rate limit", 0.0
        cost = workspace.cost(request.prompt_tokens + request.max_output_tokens)
        if workspace.name in self._leader.contended():
            # Only the leader knows what the other hosts ask for.
            return f"the leader decides on {cost:g}, as the rate is contended", 0.0
        wait_s = self._quota.wait_s(workspace, cost, now_s)
        share = self._quota.level_share(workspace, now_s)
        return (
            f"the host decides on {cost:g}, with {share:.0%} of the bucket left",
            wait_s,
        )

    def _steps(
        self,
        request: ExplainedRequest,
        service: GatewayService,
        level: int,
        now_s: float,
    ) -> tuple[StepExplanation, ...]:
        has_size = request.prompt_tokens + request.max_output_tokens > 0
        if service.engine is None or not has_size:
            return (self._step("call", service.name, None, now_s, self._call_cost),)
        tokens = expected_memory_tokens(
            request.prompt_tokens,
            request.max_output_tokens,
            request.expected_output_tokens,
        )
        is_crowded = service.name in self._leader.crowded()
        room = RoomOrder(service.engine.memory_tokens)
        usable_level = level if is_crowded else 0

        def lacks_room(item: BackendInstance) -> bool:
            return not self._load.with_free_memory([item], tokens, room, usable_level)

        return (
            self._step(
                "decode",
                service.name,
                EngineStage.DECODE,
                now_s,
                lambda item: self._load.decode_cost(item, self._data_centre),
                lacks_room,
                decided_by="leader" if is_crowded else "host",
            ),
            self._step(
                "prefill",
                service.name,
                EngineStage.PREFILL,
                now_s,
                lambda item: self._load.prefill_cost(
                    item, self._data_centre, request.prompt_tokens
                ),
            ),
        )

    def _call_cost(self, item: BackendInstance) -> tuple[float, bool]:
        return self._load.call_cost(item, self._data_centre)

    def _step(
        self,
        step: str,
        service: str,
        stage: EngineStage | None,
        now_s: float,
        cost: Callable[[BackendInstance], float | tuple[float, bool]],
        lacks_room: Callable[[BackendInstance], bool] = lambda item: False,
        decided_by: str = "host",
    ) -> StepExplanation:
        """Rank the servers of one step as the choice of the host compares them."""
        listed = [
            item
            for item in self._registry.all()
            if item.service == service and item.stage is stage
        ]
        candidates = self._registry.candidates(service, now_s, stage)
        reasons = {item.instance: self._reason(item, now_s) for item in listed}
        for item in candidates:
            reasons[item.instance] = "it lacks room" if lacks_room(item) else ""
        usable = [item for item in listed if not reasons[item.instance]]
        ranked = sorted(usable, key=cost)
        compared = (
            len(ranked) if stage is None else self._load.compared_count(len(ranked))
        )
        passed_over = [item for item in listed if reasons[item.instance]]
        return StepExplanation(
            step=step,
            decided_by=decided_by,
            compared=compared,
            servers=(
                *self._views(ranked),
                *(self._view(item, 0, reasons[item.instance]) for item in passed_over),
            ),
        )

    def _reason(self, item: BackendInstance, now_s: float) -> str:
        """Return why a server is no candidate; empty if it is one."""
        obstacle = self._registry.obstacle(item, now_s)
        return obstacle.value if obstacle is not None else ""

    def _views(self, ranked: Sequence[BackendInstance]) -> list[ServerRank]:
        return [self._view(item, rank) for rank, item in enumerate(ranked, 1)]

    def _view(self, item: BackendInstance, rank: int, remark: str = "") -> ServerRank:
        load = self._load.load_on(item.instance)
        if not remark and self._leader.is_limited(item.instance_id):
            remark = "only with a permit of the leader"
        return ServerRank(
            server=item.instance,
            data_centre=item.data_centre,
            rank=rank,
            remark=remark,
            requests=load.requests,
            prompt_tokens=load.prompt_tokens,
            memory_tokens=load.memory_tokens,
            speed=self._load.speed_of(item.instance),
        )
