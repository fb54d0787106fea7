"""What a gateway host shows to operators: metrics, readiness and explanations."""

import asyncio
from collections.abc import Callable

from damaskridge.adapters.gateway.app import GatewayState
from damaskridge.adapters.gateway.handover import PeerHandover
from damaskridge.adapters.gateway.rate_admission import RateAdmission
from damaskridge.adapters.gateway.room_requests import RoomRequests
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.gateway.server_probes import ServerProbes
from damaskridge.adapters.http.explain_page import explain_page
from damaskridge.adapters.http.operators_app import AsgiApp, operators_app
from damaskridge.adapters.observability.event_metrics import install_event_metrics
from damaskridge.adapters.observability.loop_watch import LoopWatch
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.core.gateway.placement.explainer import Explainer, LeaderDecisions
from damaskridge.core.gateway.placement.load_tracker import LoadTracker

__all__ = ["OperatorsView"]


class OperatorsView:
    """
    The metrics and explanations of one gateway host.

    Parameters
    ----------
    host, data_centre : str
        Name and data centre of the host.
    state : GatewayState
        The routing table in force, and the requests in progress.
    registry, load, quota : InstanceRegistry, LoadTracker, FleetQuota
        What the host knows of servers, of their load and of rates.
    rates, rooms, permits : RateAdmission, RoomRequests, ServerPermits
        Know what the leader decides at present.
    probes, handover, instance_list : objects of the host
        Are shown as gauges.
    """

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        state: GatewayState,
        registry: InstanceRegistry,
        load: LoadTracker,
        quota: FleetQuota,
        rates: RateAdmission,
        rooms: RoomRequests,
        permits: ServerPermits,
        probes: ServerProbes,
        handover: PeerHandover,
        instance_list: InstanceListReplica,
    ) -> None:
        self.metrics = Metrics()
        install_event_metrics(self.metrics)
        self.loop_watch = LoopWatch()
        self.loop_watch.add_to(self.metrics)
        self._explainer = Explainer(
            host=host,
            data_centre=data_centre,
            index=lambda: state.index,
            registry=registry,
            load=load,
            quota=quota,
            leader=LeaderDecisions(
                contended=lambda: rates.contended,
                crowded=lambda: rooms.crowded,
                is_limited=permits.is_limited,
            ),
        )
        for name, text, value in (
            ("requests_running", "Requests now", lambda: state.running_requests),
            (
                "requests_handed_over",
                "Requests for which another host was asked",
                lambda: handover.count,
            ),
            (
                "servers_unreachable",
                "Whether no backend server accepts connections of this host",
                lambda: probes.is_partitioned,
            ),
            (
                "routing_version",
                "Version in force",
                lambda: state.index.table.version,
            ),
            (
                "data_centres_evacuated",
                "Data centres whose backend servers get no requests",
                lambda: len(registry.evacuated),
            ),
            (
                "workspaces_contended",
                "Workspaces for each of whose requests the leader is asked",
                lambda: len(rates.contended),
            ),
            (
                "engine_speeds",
                "Engines whose relative speed is known",
                lambda: len(load.speeds),
            ),
            (
                "servers_limited",
                "Backend servers with a limit of requests, cold ones included",
                lambda: len(registry.limits),
            ),
            (
                "instance_list_age_seconds",
                "Age of the list of backend servers",
                lambda: _now_s() - instance_list.confirmed_s,
            ),
        ):
            self.metrics.add_gauge(name, text, value)

    def app(self, is_ready: Callable[[], bool]) -> AsgiApp:
        """Return the application for the operators' address of the host."""
        page = explain_page(lambda request: self._explainer.explain(request, _now_s()))
        return operators_app(self.metrics, is_ready, page)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
