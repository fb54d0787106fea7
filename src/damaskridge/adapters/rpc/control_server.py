"""The gRPC service of a control host for entry hosts and operators.

Control hosts are reachable only over a private network between the processes of the
fleet, so commands of entry hosts carry no credential. A command of an operator carries
the operator's key in the metadata `operator-key`.
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
from damaskridge.adapters.rpc.instance_publisher import InstanceListReader
from damaskridge.adapters.rpc.leader_duties import LeaderDuties
from damaskridge.adapters.rpc.publishers import Publishers
from damaskridge.adapters.rpc.stage_orders import EngineOrderPort
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.leases import SESSION_DURATION_S
from damaskridge.core.state.bundles import find_operator
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.queries import fleet_status_of, live_session
from damaskridge.model.bundle import Bundle
from damaskridge.model.control import (
    AdvanceTime,
    AnyCommand,
    BundleActivated,
    Command,
    CommandResult,
    ProposeBundle,
    RollBundle,
    SignOffBundle,
)
from damaskridge.model.control_status import FleetStatus, HostStatus, StatusRequest
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import (
    AnyFollowRequest,
    AnyFollowResponse,
    FleetDelta,
    FollowRefused,
    OpenFollow,
    RenewSession,
    ReportLoad,
    SessionLost,
    SessionRenewed,
)

__all__ = ["ControlService", "control_services"]

_log = logging.getLogger("damaskridge.control")


@dataclass(frozen=True, slots=True)
class _Renewal:
    """A renewal that is not acknowledged yet; `received_s` starts its lease."""

    subscriber: Subscriber
    request: RenewSession
    received_s: float


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class ControlService:
    """
    The RPC handlers of one control host; `run` must run while the server does.

    Parameters
    ----------
    node : ControlNodePort
        The member of the control group on this host.
    state : ControlState
        The state machine to which `node` applies commands.
    clock : callable
        Monotonic time in seconds.
    wall_ms : callable
        Wall-clock time in milliseconds, with which commands are stamped.
    instances : InstanceListReader or None
        Reads the list of backend servers, on the leader, for all entry hosts.
    orders : EngineOrderPort or None
        Sends orders to model engines, on the leader.
    host : str
        Name of this host, as the sender of orders.
    rate_tolerance : float
        Tolerated admissions of all hosts together above a workspace's rate.
    leader_wait_s : float
        For how long a host without any state waits here for the end of an election. It
        would otherwise ask one control host after the other meanwhile.
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
        rate_tolerance: float = 0.0,
        leader_wait_s: float = 0.0,
    ) -> None:
        self._leader_wait_s = leader_wait_s
        self._node = node
        self._state = state
        self._clock = clock
        self._wall_ms = wall_ms
        self._subscribers = SubscriberSet(state)
        self._duties = LeaderDuties(
            node,
            state,
            clock,
            wall_ms,
            on_step_down=self._step_down,
            on_ready=lambda: self._publishers.begin(),
        )
        self._publishers = Publishers(
            node,
            state,
            self._subscribers,
            self._duties,
            wall_ms,
            instances=instances,
            orders=orders,
            host=host,
            rate_tolerance=rate_tolerance,
        )
        self._renewals: list[_Renewal] = []
        self._renewal_received = anyio.Event()
        self._host_statuses: dict[str, HostStatus] = {}
        # Version of the active bundle, and the wall-clock time of its activation in ms.
        self._last_activation = (0, 0)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PROPOSE_PATH: Handler(
                self._propose, Cardinality.UNARY_UNARY, AnyCommand, CommandResult
            ),
            FOLLOW_PATH: Handler(
                self._follow,
                Cardinality.STREAM_STREAM,
                AnyFollowRequest,
                AnyFollowResponse,
            ),
            STATUS_PATH: Handler(
                self._status, Cardinality.UNARY_UNARY, StatusRequest, FleetStatus
            ),
        }

    async def run(self) -> None:
        """Publish deltas, confirm renewals and do the leader's work until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._publish_deltas)
            group.start_soon(self._confirm_renewals)
            group.start_soon(self._duties.run)
            group.start_soon(self._publishers.run)

    def _not_leader(self) -> Failure:
        address = "" if self._node.is_leader else self._node.leader_address
        return Failure(ErrorKind.NOT_LEADER, leader=address)

    def _step_down(self) -> None:
        self._subscribers.end_all(FollowRefused(failure=self._not_leader()))
        self._publishers.clear()
        self._renewals.clear()
        self._host_statuses.clear()

    async def _propose(self, stream: Any) -> None:
        command = await stream.recv_message()
        key = str(stream.metadata.get(OPERATOR_KEY, ""))
        await stream.send_message(await self._commit(command, key))

    async def _commit(self, command: Command, key: str) -> CommandResult:
        if not self._node.is_leader:
            return CommandResult(failure=self._not_leader())
        refusal = self._check_operator(command, key)
        if refusal is not None:
            _log_operator_command(command, EventNumber.OPERATOR_REFUSED)
            return CommandResult(failure=refusal)
        _log_operator_command(command, EventNumber.OPERATOR_COMMAND)
        stamped_command = msgspec.structs.replace(command, at_ms=self._wall_ms())
        result = await self._node.propose(stamped_command)
        log_command(command, result)
        return result

    def _check_operator(self, command: Command, key: str) -> Failure | None:
        name = _operator_of(command)
        if name is None:
            return None
        operator = find_operator(self._state.data, name, self._proposed_bundle(command))
        digest = sha256(key.encode()).hexdigest()
        # The same failure for both cases, so that names of operators can't be guessed.
        if operator is None or not hmac.compare_digest(digest, operator.key_digest):
            return Failure(ErrorKind.UNKNOWN_OPERATOR, "operator or key is wrong")
        return None

    def _proposed_bundle(self, command: Command) -> Bundle | None:
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
        version, at_ms = self._last_activation
        status = fleet_status_of(self._state.data, with_bundle=request.with_bundle)
        status = msgspec.structs.replace(
            status,
            leader=self._node.name,
            term=self._node.term,
            activated_at_ms=at_ms if version == status.version else 0,
            hosts=tuple(
                self._host_statuses[host] for host in sorted(self._host_statuses)
            ),
        )
        await stream.send_message(status)

    async def _follow(self, stream: Any) -> None:
        first_message = await stream.recv_message()
        if self._leader_wait_s > 0 and _has_no_state(first_message):
            await self._duties.wait_for_leader(self._leader_wait_s)
        if not isinstance(first_message, OpenFollow) or not self._duties.is_ready:
            await stream.send_message(FollowRefused(failure=self._not_leader()))
            return
        async with anyio.create_task_group() as group:
            subscriber = Subscriber(group.cancel_scope.cancel)
            self._subscribers.add(subscriber, first_message.index)
            self._publishers.add_subscriber(subscriber, first_message.host)
            try:
                group.start_soon(
                    self._send_messages, stream, subscriber, group.cancel_scope
                )
                await self._receive_messages(stream, subscriber, first_message.host)
            finally:
                self._subscribers.remove(subscriber)
                self._publishers.remove_subscriber(subscriber)
                group.cancel_scope.cancel()

    async def _receive_messages(
        self, stream: Any, subscriber: Subscriber, host: str
    ) -> None:
        # A host renews its session several times in this period; a silent one is gone.
        with anyio.move_on_after(SESSION_DURATION_S) as silence_scope:
            while (message := await stream.recv_message()) is not None:
                silence_scope.deadline = anyio.current_time() + SESSION_DURATION_S
                if isinstance(message, RenewSession):
                    self._record_renewal(subscriber, message)
                elif isinstance(message, ReportLoad):
                    self._publishers.handle_report(subscriber, host, message)

    async def _send_messages(
        self, stream: Any, subscriber: Subscriber, scope: anyio.CancelScope
    ) -> None:
        try:
            async for message in subscriber.messages:
                await stream.send_message(message)
        except (OSError, StreamTerminatedError, anyio.ClosedResourceError):
            pass  # The entry host is gone, or this host is no longer the leader.
        scope.cancel()

    def _record_renewal(self, subscriber: Subscriber, request: RenewSession) -> None:
        self._renewals.append(_Renewal(subscriber, request, self._clock()))
        self._renewal_received.set()
        previous = self._host_statuses.get(request.host)
        reached_at_ms = self._wall_ms()
        if previous is not None and previous.version == request.version:
            reached_at_ms = previous.reached_at_ms
        self._host_statuses[request.host] = HostStatus(
            host=request.host,
            session=request.session,
            version=request.version,
            applied_index=request.applied_index,
            reached_at_ms=reached_at_ms,
        )

    async def _confirm_renewals(self) -> None:
        while True:
            await self._renewal_received.wait()
            self._renewal_received = anyio.Event()
            # One quorum round confirms all renewals received before it.
            batch, self._renewals = self._renewals, []
            if not batch:
                continue
            confirmed = await self._node.confirm_leadership()
            for renewal in batch:
                if confirmed and self._duties.is_ready:
                    self._respond_to_renewal(renewal)
                else:
                    renewal.subscriber.push(FollowRefused(failure=self._not_leader()))
                    renewal.subscriber.end()

    def _respond_to_renewal(self, renewal: _Renewal) -> None:
        request, subscriber = renewal.request, renewal.subscriber
        if live_session(self._state.data, request.host, request.session) is None:
            subscriber.push(SessionLost(session=request.session))
        elif self._duties.sessions.record_renewal(
            request.host, request.session, renewal.received_s
        ):
            subscriber.push(
                SessionRenewed(
                    session=request.session,
                    sequence=request.sequence,
                    duration_s=SESSION_DURATION_S,
                )
            )

    async def _publish_deltas(self) -> None:
        while True:
            deltas = self._node.applied_deltas()
            # The previous iterator ended because deltas were missed.
            self._duties.resync()
            await self._publish_until_missed(deltas)

    async def _publish_until_missed(self, deltas: AsyncIterator[FleetDelta]) -> None:
        async for delta in deltas:
            self._duties.handle_delta(delta)
            for change in delta.changes:
                if isinstance(change, BundleActivated):
                    self._last_activation = (change.version, self._wall_ms())
                log_change(change)
            live_sessions = self._state.data.sessions
            for host in [
                host for host in self._host_statuses if host not in live_sessions
            ]:
                del self._host_statuses[host]
            self._subscribers.publish(delta)
            self._publishers.handle_delta(delta)


def _has_no_state(message: AnyFollowRequest) -> bool:
    """Tell whether a message is of a host that needs a snapshot to serve callers."""
    return isinstance(message, OpenFollow) and message.has_no_state


def _operator_of(command: Command) -> str | None:
    """Return the operator that a command names; None for one of another host."""
    if isinstance(command, AdvanceTime) and command.evacuation is not None:
        return command.evacuation.operator
    name: str | None = getattr(command, "operator", None)
    return name


def _log_operator_command(command: Command, number: EventNumber) -> None:
    operator = _operator_of(command)
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
    rate_tolerance: float = 0.0,
    leader_wait_s: float = 0.0,
) -> list[ControlService]:
    """Return the services for a grpclib server; `run` of each must be running."""
    return [
        ControlService(
            node,
            state,
            clock=clock,
            wall_ms=wall_ms,
            instances=instances,
            orders=orders,
            host=host,
            rate_tolerance=rate_tolerance,
            leader_wait_s=leader_wait_s,
        )
    ]
