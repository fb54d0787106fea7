"""The session of an entry host with the control group."""

import contextlib
import logging
import secrets
from collections.abc import Callable, Sequence
from typing import Any

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.cancellation import (
    CONNECTION_ERRORS,
    uncancel_on_connection_error,
)
from damaskridge.adapters.rpc.isolated_tasks import run_isolated
from damaskridge.adapters.rpc.leader_client import LeaderClient, NotConnected
from damaskridge.core.leases import SESSION_RENEWAL_S, HolderLease
from damaskridge.core.state.view import FleetView
from damaskridge.model.control import (
    CloseSession,
    Command,
    CommandResult,
    FleetChange,
    OpenSession,
    Session,
    SetHostDraining,
)
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import (
    NO_INDEX,
    AnyFollowResponse,
    CrashesSeen,
    FleetDelta,
    FleetSnapshot,
    FollowRefused,
    HostsNeeded,
    InstancesSeen,
    LoadSeen,
    OpenFollow,
    RenewSession,
    ReportLoad,
    SessionLost,
    SessionRenewed,
)

__all__ = ["ChangeCallback", "ControlClient", "InstancesCallback"]

PROPOSE_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 2.0
# Limits the retry waits of a host that has received no state yet to 0.1 s.
MAX_STARTUP_BACKOFF_STEP = 1
SILENCE_TIMEOUT_S = 1.0
# This and the leader's `LOAD_PERIOD_S` add up to the delay after which a host knows of
# another host's placement.
LOAD_PERIOD_S = 0.03

ChangeCallback = Callable[[tuple[FleetChange, ...]], None]
InstancesCallback = Callable[[InstancesSeen], None]
CrashesCallback = Callable[[CrashesSeen], None]
HostsNeededCallback = Callable[[HostsNeeded], None]
LoadCallback = Callable[[LoadSeen], None]
# Returns the load that changed since the last call; the whole load if its argument is
# true; None if nothing changed.
LoadSource = Callable[[bool], ReportLoad | None]

_log = logging.getLogger("damaskridge.control_client")


class _StreamEndedError(Exception):
    """The `Follow` stream must be reopened, at `leader` unless that is empty."""

    def __init__(self, leader: str = "") -> None:
        super().__init__(leader)
        self.leader = leader


class ControlClient:
    """
    Maintains the session, the lease and the fleet view of one entry host.

    `run` follows the leader: it renews the session's lease, applies the deltas of the
    fleet's state, and reports this host's load.

    Parameters
    ----------
    control_addresses : sequence of str
        ``ip:port`` of every control host.
    host : str
        Name of this host.
    incarnation : int
        Identifies this run of the process among all runs on this host.
    data_centre : str
        The data centre of this host.
    caller_address, peer_address : str
        ``ip:port`` at which callers and other entry hosts reach this host.
    clock : callable
        Monotonic time in seconds.
    leader_client : LeaderClient or None
        Client of the control group; by default a new one for `control_addresses`.
    """

    def __init__(
        self,
        *,
        control_addresses: Sequence[str],
        host: str,
        incarnation: int,
        data_centre: str,
        caller_address: str,
        peer_address: str,
        clock: Callable[[], float] = anyio.current_time,
        leader_client: LeaderClient | None = None,
    ) -> None:
        self._leader_client = leader_client or LeaderClient(control_addresses)
        self._host = host
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._caller_address = caller_address
        self._peer_address = peer_address
        self._clock = clock
        self._fleet = FleetView()
        self._lease = HolderLease()
        self._session: Session | None = None
        self._resume_index = NO_INDEX
        self._version = 0
        self._lease_was_valid = False
        self._sequence = 0
        self._renewals_sent_s: dict[int, float] = {}
        self._change_callbacks: list[ChangeCallback] = []
        self._instances_callbacks: list[InstancesCallback] = []
        self._crashes_callbacks: list[CrashesCallback] = []
        self._hosts_needed_callbacks: list[HostsNeededCallback] = []
        self._leader_seen_callbacks: list[Callable[[], None]] = []
        self._load_source: LoadSource | None = None
        self._load_callback: LoadCallback | None = None
        self._report_requested = anyio.Event()
        self._draining = False
        self._closing = False
        self._scope = anyio.CancelScope()
        self._session_missing = anyio.Event()
        self._session_opened = anyio.Event()

    @property
    def fleet(self) -> FleetView:
        """The latest received state of the fleet."""
        return self._fleet

    @property
    def lease(self) -> HolderLease:
        """The lease of this host's session."""
        return self._lease

    @property
    def session(self) -> Session | None:
        """The session of this host, if it has one."""
        return self._session

    def on_change(self, callback: ChangeCallback) -> None:
        """
        Register a callback for changes of the fleet.

        It is called with an empty tuple after the view was replaced by a snapshot.
        """
        self._change_callbacks.append(callback)

    def on_instances(self, callback: InstancesCallback) -> None:
        """Register a callback for updates of the list of backend servers."""
        self._instances_callbacks.append(callback)

    def on_crashes(self, callback: CrashesCallback) -> None:
        """Register a callback for reports of requests in flight at a server crash."""
        self._crashes_callbacks.append(callback)

    def on_hosts_needed(self, callback: HostsNeededCallback) -> None:
        """Register a callback for changes of the number of hosts needed."""
        self._hosts_needed_callbacks.append(callback)

    def on_leader_seen(self, callback: Callable[[], None]) -> None:
        """Register a callback for every message of the leader."""
        self._leader_seen_callbacks.append(callback)

    def share_load(self, source: LoadSource, callback: LoadCallback) -> None:
        """
        Report this host's load to the leader, and receive that of the other hosts.

        Parameters
        ----------
        source : callable
            Returns what changed since its last call, or None; everything that is in
            flight if its argument is true.
        callback : callable
            Called with the changes of the other hosts' load.
        """
        self._load_source, self._load_callback = source, callback

    def request_report(self) -> None:
        """Send the next load report at once, without waiting for its period."""
        self._report_requested.set()

    def add_control_addresses(self, addresses: Sequence[str]) -> None:
        """Add addresses of control hosts."""
        self._leader_client.add_addresses(addresses)

    async def propose(self, command: Command) -> CommandResult:
        """Commit a command through the leader; retries use the same command id."""
        return await self._leader_client.propose(command, PROPOSE_TIMEOUT_S)

    async def run(self) -> None:
        """Follow the leader until `close`."""
        attempt, leader = 0, ""
        with self._scope:
            while not self._closing:
                address = self._leader_client.next_address()
                index, named_before, leader = self._fleet.index, leader, ""
                try:
                    await run_isolated(self._follow(address, attempt))
                except _StreamEndedError as stream_ended:
                    leader = stream_ended.leader
                except (*CONNECTION_ERRORS, TimeoutError) as error:
                    self._leader_client.drop_connection(address, error)
                self._leader_client.record_failure(address, leader)
                self._log_lease_change()
                progressed = self._fleet.index > index
                if progressed or not attempt:
                    # Log only the first of several failures in a row.
                    log_event(_log, EventNumber.CONTROL_STREAM_LOST, address=address)
                attempt = 0 if progressed else attempt + 1
                if leader and not named_before:
                    # Two hosts that name each other must not be asked without a wait.
                    continue
                # Without any state, the host cannot serve callers: retry fast.
                backoff_step = attempt
                if not self._fleet.index:
                    backoff_step = min(attempt, MAX_STARTUP_BACKOFF_STEP)
                await anyio.sleep(self._leader_client.retry_wait_s(backoff_step))

    async def begin_drain(self) -> bool:
        """
        Start draining: callers are no longer sent here and ownerships are released.

        The lease of the session is kept and renewed.

        Returns
        -------
        bool
            False if the control group didn't accept the command; the caller may retry.
        """
        self._draining = True
        session = self._session
        if session is None:
            return True
        command = SetHostDraining(
            command_id=_new_command_id("drain"), host=self._host, session=session.number
        )
        return (await self.propose(command)).failure is None

    async def close(self) -> None:
        """End the session and stop `run`."""
        self._closing = True
        self._lease.end()
        session, self._session = self._session, None
        if session is not None:
            command = CloseSession(
                command_id=_new_command_id("close"),
                host=self._host,
                session=session.number,
            )
            await self._leader_client.propose(command, CLOSE_TIMEOUT_S)
        self._scope.cancel()
        self._leader_client.close()

    async def _follow(self, address: str, attempt: int) -> None:
        connect_timeout_s = min(
            SILENCE_TIMEOUT_S, self._leader_client.connect_timeout_s(attempt)
        )
        stream_ended: _StreamEndedError | None = None
        async with self._leader_client.follow(address) as stream:
            try:
                with (
                    anyio.fail_after(connect_timeout_s),
                    uncancel_on_connection_error(),
                ):
                    await stream.send_message(
                        OpenFollow(host=self._host, index=self._resume_index)
                    )
            except TimeoutError as error:
                if connect_timeout_s < SILENCE_TIMEOUT_S:
                    raise NotConnected from error
                raise
            async with anyio.create_task_group() as group:
                group.start_soon(self._maintain_session)
                group.start_soon(self._send_renewals, stream)
                group.start_soon(self._send_load_reports, stream)
                try:
                    await self._receive_messages(stream, address)
                except _StreamEndedError as error:
                    stream_ended = error
                except (*CONNECTION_ERRORS, TimeoutError):
                    self._leader_client.drop_connection(address)
                    stream_ended = _StreamEndedError()
                group.cancel_scope.cancel()
            with (
                contextlib.suppress(*CONNECTION_ERRORS),
                uncancel_on_connection_error(),
            ):
                await stream.cancel()
        if stream_ended is not None:
            raise stream_ended

    async def _receive_messages(self, stream: Any, address: str) -> None:
        while True:
            with anyio.fail_after(SILENCE_TIMEOUT_S), uncancel_on_connection_error():
                message = await stream.recv_message()
            if message is None:
                raise _StreamEndedError
            if isinstance(message, FollowRefused):
                raise _StreamEndedError(message.failure.leader)
            self._leader_client.record_leader(address)
            for callback in self._leader_seen_callbacks:
                callback()
            self._handle_message(message)

    def _handle_message(self, message: AnyFollowResponse) -> None:
        if isinstance(message, FleetDelta):
            self._apply_delta(message)
        elif isinstance(message, FleetSnapshot):
            # `restore` refuses a snapshot that is older than the view.
            if self._fleet.restore(message):
                self._resume_index = self._fleet.index
                self._notify_change(())
        elif isinstance(message, LoadSeen):
            if self._load_callback is not None:
                self._load_callback(message)
        elif isinstance(message, InstancesSeen):
            for callback in self._instances_callbacks:
                callback(message)
        elif isinstance(message, CrashesSeen):
            for crashes_callback in self._crashes_callbacks:
                crashes_callback(message)
        elif isinstance(message, HostsNeeded):
            for hosts_needed_callback in self._hosts_needed_callbacks:
                hosts_needed_callback(message)
        elif isinstance(message, SessionRenewed):
            sent_s = self._renewals_sent_s.get(message.sequence)
            self._discard_renewals_up_to(message.sequence)
            if sent_s is not None and self._is_current_session(message.session):
                self._lease.renew(sent_s, message.duration_s)
                self._log_lease_change()
        elif isinstance(message, SessionLost) and self._is_current_session(
            message.session
        ):
            self._lease.end()
            self._log_lease_change()
            self._session = None
            self._session_missing.set()

    def _apply_delta(self, delta: FleetDelta) -> None:
        if not self._fleet.apply_delta(delta):
            self._resume_index = NO_INDEX
            raise _StreamEndedError
        self._resume_index = self._fleet.index
        self._notify_change(delta.changes)

    def _notify_change(self, changes: tuple[FleetChange, ...]) -> None:
        if self._fleet.version != self._version:
            self._version = self._fleet.version
            log_event(_log, EventNumber.BUNDLE_IN_FORCE, version=self._version)
        for callback in self._change_callbacks:
            callback(changes)

    def _log_lease_change(self) -> None:
        """Log an event when the lease has become invalid or valid again."""
        is_valid = self._lease.is_valid(self._clock())
        if is_valid is self._lease_was_valid or self._session is None:
            return
        self._lease_was_valid = is_valid
        number = EventNumber.LEASE_CONFIRMED if is_valid else EventNumber.LEASE_LOST
        log_event(_log, number, session=self._session.number)

    def _is_current_session(self, number: int) -> bool:
        return self._session is not None and self._session.number == number

    def _discard_renewals_up_to(self, sequence: int) -> None:
        for number in [
            number for number in self._renewals_sent_s if number <= sequence
        ]:
            del self._renewals_sent_s[number]

    async def _send_renewals(self, stream: Any) -> None:
        # Renewals are sent even without a session: the leader responds to them, which
        # distinguishes a live leader from a silent connection.
        while True:
            self._session_opened = anyio.Event()
            self._log_lease_change()
            self._sequence += 1
            session = self._session
            self._renewals_sent_s[self._sequence] = self._clock()
            try:
                await stream.send_message(
                    RenewSession(
                        host=self._host,
                        session=session.number if session is not None else 0,
                        sequence=self._sequence,
                        applied_index=self._fleet.index,
                        version=self._fleet.version,
                    )
                )
            except CONNECTION_ERRORS:
                return
            # The first renewal of a new session is sent at once.
            with anyio.move_on_after(SESSION_RENEWAL_S):
                await self._session_opened.wait()

    async def _send_load_reports(self, stream: Any) -> None:
        is_whole = True
        while self._load_source is not None:
            self._report_requested = anyio.Event()
            report = self._load_source(is_whole)
            is_whole = False
            try:
                if report is not None:
                    await stream.send_message(report)
            except CONNECTION_ERRORS:
                return
            with anyio.move_on_after(LOAD_PERIOD_S):
                await self._report_requested.wait()

    async def _maintain_session(self) -> None:
        while not self._closing:
            self._session_missing = anyio.Event()
            if self._session is None:
                await self._open_session()
            else:
                await self._session_missing.wait()

    async def _open_session(self) -> None:
        command = OpenSession(
            command_id=_new_command_id("open"),
            host=self._host,
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            caller_address=self._caller_address,
            peer_address=self._peer_address,
        )
        result = await self.propose(command)
        if result.failure is not None:
            await anyio.sleep(self._leader_client.retry_wait_s(1))
            return
        self._session = Session(
            host=self._host,
            number=int(result.value),
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            caller_address=self._caller_address,
            peer_address=self._peer_address,
        )
        self._session_opened.set()
        log_event(_log, EventNumber.SESSION_OPENED, session=self._session.number)
        if self._draining:
            await self.begin_drain()


def _new_command_id(purpose: str) -> str:
    return f"{purpose}/{secrets.token_hex(8)}"
