"""The services of a control host for entry hosts and operators.

Entry hosts and control hosts are reached over a peer network that only processes of
the fleet can use, so commands of entry hosts carry no credential. A command of an
operator carries the operator's key in the metadata `operator-key`.
"""

import hmac
import logging
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import anyio
import msgspec
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_events import log_change, log_command
from damaskridge.adapters.rpc.control_methods import (
    FOLLOW_PATH,
    OPERATOR_KEY,
    PROPOSE_PATH,
    STATUS_PATH,
)
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.adapters.rpc.instance_publisher import (
    InstanceListReader,
    InstancePublisher,
)
from damaskridge.adapters.rpc.leader_duties import LeaderDuties
from damaskridge.adapters.rpc.load_publisher import LoadPublisher
from damaskridge.adapters.rpc.stage_orders import EngineOrderPort, StageOrders
from damaskridge.adapters.rpc.subscribers import Follower, FollowerSet
from damaskridge.core.leases import SESSION_DURATION_S
from damaskridge.core.state.bundles import find_operator
from damaskridge.core.state.commands import ControlState
from damaskridge.core.state.queries import live_session, status_of
from damaskridge.model.bundle import Bundle
from damaskridge.model.control import (
    AnyCommand,
    AnyFollowReply,
    AnyFollowRequest,
    BundleActivated,
    Command,
    CommandResult,
    FleetDelta,
    FollowRefused,
    OpenFollow,
    ProposeBundle,
    RenewSession,
    ReportLoad,
    RollBundle,
    SessionLost,
    SessionRenewed,
    SignOffBundle,
)
from damaskridge.model.control_status import FleetStatus, HostStatus, StatusRequest
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber

__all__ = ["ControlService", "control_services"]


_log = logging.getLogger("damaskridge.control")


@dataclass(frozen=True, slots=True)
class _Renewal:
    follower: Follower
    request: RenewSession
    received_s: float


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class ControlService:
    """
    The handlers of one control host; `run` must run beside the server.

    Parameters
    ----------
    node : ControlNodePort
        The member of the replicated log.
    state : ControlState
        The state that the member feeds.
    clock : callable
        Monotonic time in seconds.
    wall_ms : callable
        Wall time in milliseconds, which commands carry.
    instances : InstanceListReader or None
        The list of backend servers that the leader reads for all hosts.
    orders : EngineOrderPort or None
        Orders to model engines, which the leader gives as `host`.
    host : str
        The machine.
    """

    def __init__(
        self,
        node: ControlNodePort,
        state: ControlState,
        *,
        clock: Callable[[], float] = anyio.current_time,
        wall_ms: Callable[[], int] = _wall_ms,
        instances: InstanceListReader | None = None,
        orders: EngineOrderPort | None = None,
        host: str = "",
    ) -> None:
        self._node = node
        self._state = state
        self._clock = clock
        self._wall_ms = wall_ms
        self._followers = FollowerSet(state)
        self._duties = LeaderDuties(node, state, clock, wall_ms, self._step_down)
        self._load = LoadPublisher(
            self._followers, lambda: self._duties.ready, self._data_centre_of
        )
        self._orders: StageOrders | None = None
        if orders is not None:
            self._orders = StageOrders(
                node=node,
                host=host,
                board=self._load.board,
                orders=orders,
                routing=lambda: state.data.routing,
                leads=lambda: self._duties.ready,
                publish=self._publish_instances,
            )
        self._instances: InstancePublisher | None = None
        if instances is not None:
            self._instances = InstancePublisher(
                instances,
                self._followers,
                lambda: self._duties.ready,
                self._orders.adjust if self._orders is not None else tuple,
            )
        self._renewals: list[_Renewal] = []
        self._renewal_arrived = anyio.Event()
        self._hosts: dict[str, HostStatus] = {}
        self._activated = (0, 0)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PROPOSE_PATH: Handler(
                self._propose, Cardinality.UNARY_UNARY, AnyCommand, CommandResult
            ),
            FOLLOW_PATH: Handler(
                self._follow,
                Cardinality.STREAM_STREAM,
                AnyFollowRequest,
                AnyFollowReply,
            ),
            STATUS_PATH: Handler(
                self._status, Cardinality.UNARY_UNARY, StatusRequest, FleetStatus
            ),
        }

    async def run(self) -> None:
        """Publish deltas, answer renewals and do the leader's duties for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._publish)
            group.start_soon(self._confirm_renewals)
            group.start_soon(self._duties.run)
            group.start_soon(self._load.run)
            if self._instances is not None:
                group.start_soon(self._instances.run)
            if self._orders is not None:
                group.start_soon(self._orders.run)

    def _publish_instances(self) -> None:
        if self._instances is not None:
            self._instances.publish_again()

    def _data_centre_of(self, host: str) -> str | None:
        session = self._state.data.sessions.get(host)
        return session.data_centre if session is not None else None

    def _not_leader(self) -> Failure:
        address = "" if self._node.is_leader else self._node.leader_address
        return Failure(ErrorKind.NOT_LEADER, leader=address)

    def _step_down(self) -> None:
        self._followers.end_all(FollowRefused(failure=self._not_leader()))
        self._renewals.clear()
        self._hosts.clear()

    async def _propose(self, stream: Any) -> None:
        command = await stream.recv_message()
        key = str(stream.metadata.get(OPERATOR_KEY, ""))
        await stream.send_message(await self._commit(command, key))

    async def _commit(self, command: Command, key: str) -> CommandResult:
        if not self._node.is_leader:
            return CommandResult(failure=self._not_leader())
        refusal = self._check_operator(command, key)
        if refusal is not None:
            _log_operator(command, EventNumber.OPERATOR_REFUSED)
            return CommandResult(failure=refusal)
        _log_operator(command, EventNumber.OPERATOR_COMMAND)
        stamped = msgspec.structs.replace(command, at_ms=self._wall_ms())
        result = await self._node.propose(stamped)
        log_command(command, result)
        return result

    def _check_operator(self, command: Command, key: str) -> Failure | None:
        name = getattr(command, "operator", None)
        if name is None:
            return None
        operator = find_operator(self._state.data, name, self._proposed(command))
        digest = sha256(key.encode()).hexdigest()
        # One answer for both, so that names cannot be found out by trying.
        if operator is None or not hmac.compare_digest(digest, operator.key_digest):
            return Failure(ErrorKind.UNKNOWN_OPERATOR, "operator or key is wrong")
        return None

    def _proposed(self, command: Command) -> Bundle | None:
        if isinstance(command, ProposeBundle):
            return command.bundle
        if isinstance(command, SignOffBundle | RollBundle):
            proposal = self._state.data.proposals.get(command.proposal)
            return proposal.bundle if proposal is not None else None
        return None

    async def _status(self, stream: Any) -> None:
        request: StatusRequest = await stream.recv_message()
        if not await self._node.confirm_leadership():
            await stream.send_message(FleetStatus(failure=self._not_leader()))
            return
        version, at_ms = self._activated
        status = status_of(self._state.data, with_bundle=request.with_bundle)
        status = msgspec.structs.replace(
            status,
            leader=self._node.name,
            term=self._node.term,
            activated_at_ms=at_ms if version == status.version else 0,
            hosts=tuple(self._hosts[host] for host in sorted(self._hosts)),
        )
        await stream.send_message(status)

    async def _follow(self, stream: Any) -> None:
        first = await stream.recv_message()
        if not isinstance(first, OpenFollow) or not self._duties.ready:
            await stream.send_message(FollowRefused(failure=self._not_leader()))
            return
        async with anyio.create_task_group() as group:
            follower = Follower(group.cancel_scope.cancel)
            self._followers.add(follower, first.index)
            self._load.join(follower, first.host)
            if self._instances is not None:
                self._instances.greet(follower)
            try:
                group.start_soon(self._write, stream, follower, group.cancel_scope)
                await self._read(stream, follower)
            finally:
                self._followers.remove(follower)
                self._load.leave(follower)
                group.cancel_scope.cancel()

    async def _read(self, stream: Any, follower: Follower) -> None:
        # A host renews several times in this period; a silent one has gone.
        with anyio.move_on_after(SESSION_DURATION_S) as silence:
            while (message := await stream.recv_message()) is not None:
                silence.deadline = anyio.current_time() + SESSION_DURATION_S
                if isinstance(message, RenewSession):
                    self._received(follower, message)
                elif isinstance(message, ReportLoad):
                    self._load.report(follower, message)
                    if self._instances is not None:
                        for notice in message.leaving:
                            self._instances.notices.add(notice)

    async def _write(
        self, stream: Any, follower: Follower, scope: anyio.CancelScope
    ) -> None:
        try:
            async for message in follower.messages:
                await stream.send_message(message)
        except (OSError, StreamTerminatedError, anyio.ClosedResourceError):
            pass  # The host has gone or this one leads no more.
        scope.cancel()

    def _received(self, follower: Follower, request: RenewSession) -> None:
        self._renewals.append(_Renewal(follower, request, self._clock()))
        self._renewal_arrived.set()
        held = self._hosts.get(request.host)
        reached_at_ms = self._wall_ms()
        if held is not None and held.version == request.version:
            reached_at_ms = held.reached_at_ms
        self._hosts[request.host] = HostStatus(
            host=request.host,
            session=request.session,
            version=request.version,
            applied_index=request.applied_index,
            reached_at_ms=reached_at_ms,
        )

    async def _confirm_renewals(self) -> None:
        while True:
            await self._renewal_arrived.wait()
            self._renewal_arrived = anyio.Event()
            batch, self._renewals = self._renewals, []
            if not batch:
                continue
            confirmed = await self._node.confirm_leadership()
            for renewal in batch:
                if confirmed and self._duties.ready:
                    self._answer(renewal)
                else:
                    renewal.follower.push(FollowRefused(failure=self._not_leader()))
                    renewal.follower.end()

    def _answer(self, renewal: _Renewal) -> None:
        request, follower = renewal.request, renewal.follower
        if live_session(self._state.data, request.host, request.session) is None:
            follower.push(SessionLost(session=request.session))
        elif self._duties.sessions.renewed(
            request.host, request.session, renewal.received_s
        ):
            follower.push(
                SessionRenewed(
                    session=request.session,
                    sequence=request.sequence,
                    duration_s=SESSION_DURATION_S,
                )
            )

    async def _publish(self) -> None:
        while True:
            deltas = self._node.applied_deltas()
            # The last iterator ended because deltas were missed.
            self._duties.resync()
            await self._publish_all(deltas)

    async def _publish_all(self, deltas: AsyncIterator[FleetDelta]) -> None:
        async for delta in deltas:
            self._duties.observe(delta)
            for change in delta.changes:
                if isinstance(change, BundleActivated):
                    self._activated = (change.version, self._wall_ms())
                log_change(change)
            live = self._state.data.sessions
            for host in [host for host in self._hosts if host not in live]:
                del self._hosts[host]
            self._followers.publish(delta)


def _log_operator(command: Command, number: EventNumber) -> None:
    operator = getattr(command, "operator", None)
    if operator is not None:
        log_event(
            _log,
            number,
            operator=operator,
            command=type(command).__name__,
            command_id=command.command_id,
        )


def control_services(
    node: ControlNodePort,
    state: ControlState,
    *,
    clock: Callable[[], float] = anyio.current_time,
    wall_ms: Callable[[], int] = _wall_ms,
    instances: InstanceListReader | None = None,
    orders: EngineOrderPort | None = None,
    host: str = "",
) -> list[ControlService]:
    """Return the handlers for a grpclib server; each one's `run` must run."""
    return [
        ControlService(
            node,
            state,
            clock=clock,
            wall_ms=wall_ms,
            instances=instances,
            orders=orders,
            host=host,
        )
    ]
