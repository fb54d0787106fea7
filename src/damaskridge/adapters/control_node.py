"""One member of the control group: Raft node, disk, peer streams and state machine."""

import logging
import random
import secrets
import time
from collections.abc import AsyncIterator, Callable
from functools import singledispatchmethod

import anyio
import msgspec
from anyio.abc import TaskGroup

from damaskridge.adapters.control_waiters import ProposalWaiters, ReadWaiters
from damaskridge.adapters.delta_subscribers import DeltaSubscribers
from damaskridge.adapters.disk.folder import Folder
from damaskridge.adapters.disk.store import LogStore, StoredState, UnreadableRecord
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.raft_driver import RaftDriver
from damaskridge.adapters.rpc.control_group import (
    ControlGroupService,
    MemberFrame,
    MemberStream,
)
from damaskridge.adapters.rpc.control_ports import ControlStatePort
from damaskridge.core.consensus.election import Role
from damaskridge.core.consensus.leader_absence import LeaderAbsence
from damaskridge.core.consensus.membership import OBSERVER_PREFIX, host_name
from damaskridge.core.consensus.messages import (
    Action,
    ApplyEntries,
    BeginLeave,
    CompactLog,
    Event,
    HostRefusedConnection,
    LeadershipLost,
    LeadershipWon,
    MessageReceived,
    ProposalAppended,
    ProposalRefused,
    Propose,
    ReadFailed,
    ReadReady,
    ReadRequest,
    RestoreSnapshot,
    SendMessage,
    SyncedEntriesLost,
    Tick,
)
from damaskridge.core.state.replicated_clock import ReplicatedClock
from damaskridge.model.consensus import (
    AnyMessage,
    AppendReply,
    LogEntry,
    Membership,
    Snapshot,
)
from damaskridge.model.control import AnyCommand, Command, CommandResult
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import FleetDelta

__all__ = ["ControlNode"]

# Half a heartbeat period. Messages and commands wake the node at once.
TICK_PERIOD_S = 0.05
# Bound the memory and the start-up time that the log takes.
COMPACT_AFTER_ENTRIES = 2000
COMPACT_AFTER_BYTES = 4_000_000
# Time to hand over leadership and the vote before the process stops.
LEAVE_TIMEOUT_S = 3.0
# A member that leads or follows sends several messages in this time.
RECENTLY_HEARD_S = 1.0

_logger = logging.getLogger("damaskridge.control_node")
_encode = msgspec.msgpack.Encoder().encode
_decode_command = msgspec.msgpack.Decoder(AnyCommand).decode


class _SnapshotContent(msgspec.Struct, frozen=True, array_like=True):
    """Content of a snapshot: the last timestamp and the encoded state."""

    at_ms: int
    state: bytes


_decode_snapshot_content = msgspec.msgpack.Decoder(_SnapshotContent).decode


class ControlNode:
    """
    Runs one member of the control group; implements `ControlNodePort`.

    Parameters
    ----------
    host : str
        Name of this host.
    members : dict of str to str
        RPC address of every host of the group, by its name.
    folder : Folder
        The data folder.
    state : ControlStatePort
        The replicated state machine.
    rng : random.Random
        Source of the random parts of timeouts and retry delays.
    may_bootstrap : bool
        Whether this member may bootstrap a new group.
    is_observer : bool
        Whether the member never votes, since its folder is lost with the process.
    tolerated_losses : int or None
        Number of control hosts that may be lost at a time; None if it is unknown.
    is_added : bool
        Whether the host was added after the first start of the group.
    data_centre : str
        Data centre of the host; empty if it is unknown.
    wall_ms : callable
        Returns the wall clock in milliseconds.
    """

    def __init__(
        self,
        host: str,
        members: dict[str, str],
        folder: Folder,
        state: ControlStatePort,
        rng: random.Random,
        may_bootstrap: bool = True,
        is_observer: bool = False,
        tolerated_losses: int | None = None,
        is_added: bool = False,
        data_centre: str = "",
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._host = host
        self._members = members
        self._state = state
        self._wall_ms = wall_ms
        self._clock = ReplicatedClock(anyio.current_time())
        self._folder = folder
        self._rng = rng
        self._may_form = may_bootstrap
        self._is_observer = is_observer
        self._tolerated_losses = tolerated_losses
        self._is_added = is_added
        self._data_centre = data_centre
        self._empty_state = state.encode()
        store = LogStore(folder, self._new_disk_id())
        stored = _open_store(store)
        self._driver = self._open_driver(store, stored)
        self._leader_absence = LeaderAbsence(anyio.current_time())
        self._applied_index = 0
        self._uncompacted_bytes = 0
        if stored.log.snapshot.index:
            self._restore(stored.log.snapshot)
        self._peer_links: dict[str, MemberStream] = {}
        self._tasks: TaskGroup | None = None
        for name in [*members, *map(host_name, self._known_members())]:
            self._peer_link_to(name)
        self._pending_events: list[Event] = []
        self._proposal_waiters = ProposalWaiters()
        self._read_waiters = ReadWaiters()
        self._wake = anyio.Event()
        self._subscribers = DeltaSubscribers()
        self._leader_changed = anyio.Event()
        self._may_stop = anyio.Event()
        self._running = True
        self._scope = anyio.CancelScope()

    @property
    def name(self) -> str:
        """The member's name."""
        return self._host

    @property
    def is_leader(self) -> bool:
        """Whether this member considers itself the leader."""
        return self._running and self._driver.node.role is Role.LEADER

    @property
    def term(self) -> int:
        """The current Raft term."""
        return self._driver.node.term

    @property
    def leader_address(self) -> str:
        """RPC address of the leader, empty if it is unknown."""
        return self._members.get(host_name(self._driver.node.leader_name), "")

    @property
    def member(self) -> str:
        """The member id, which changes when the disk is lost."""
        return self._driver.node.name

    @property
    def membership(self) -> Membership:
        """The current membership of the group."""
        return self._driver.node.log.membership()

    @property
    def applied_index(self) -> int:
        """Index of the last applied log entry."""
        return self._applied_index

    def service(self) -> ControlGroupService:
        """Return the gRPC service that receives the streams of the other members."""
        return ControlGroupService(self._receive)

    async def propose(self, command: Command) -> CommandResult:
        """Commit and apply a command; return its result or a `NOT_LEADER` failure."""
        if not self.is_leader:
            return self._not_leader()
        self._wake.set()
        return await self._proposal_waiters.wait(command)

    async def confirm_leadership(self) -> bool:
        """Return whether a quorum acknowledged a round that began after the call."""
        if not self.is_leader:
            return False
        self._wake.set()
        return await self._read_waiters.wait()

    async def wait_for_leader_change(self, timeout_s: float) -> None:
        """Wait until this member begins or ends to lead, or learns who does."""
        with anyio.move_on_after(timeout_s):
            await self._leader_changed.wait()

    def applied_deltas(self) -> AsyncIterator[FleetDelta]:
        """
        Yield the delta of every command applied from now on.

        The iterator ends if it would skip a delta: after a snapshot was installed,
        or if the consumer is too slow.
        """
        return self._subscribers.subscribe()

    async def run(self) -> None:
        """Participate in the group until `stop` is called."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    for link in self._peer_links.values():
                        tasks.start_soon(link.run)
                    await self._loop()
        finally:
            self._running = False
            self._may_stop.set()
            self._proposal_waiters.refuse_all(self._not_leader())
            self._fail_waiters()

    async def stop(self) -> None:
        """Hand over leadership and, if the group has votes to spare, the vote."""
        was_leader, term = self.is_leader, self.term
        self._enqueue(BeginLeave())
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            await self._may_stop.wait()
        if was_leader and self.term > term:
            log_event(_logger, EventNumber.LEADERSHIP_TRANSFERRED, term=self.term)
        self._scope.cancel()

    async def _loop(self) -> None:
        while True:
            # Yields to the event loop even if there is work, so that the streams
            # are served.
            with anyio.move_on_after(TICK_PERIOD_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            self._process_events()

    def _process_events(self) -> None:
        """Run the node on all pending events, reads and commands as one batch."""
        events, self._pending_events = self._pending_events, []
        events.append(Tick())
        read_id = self._read_waiters.begin_read()
        if read_id is not None:
            events.append(ReadRequest(read_id))
        commands = self._proposal_waiters.begin_append()
        if commands:
            events.append(Propose(tuple(map(self._encode_with_timestamp, commands))))
        previous_role = self._driver.node.role
        previous_leader = self._driver.node.leader_name
        for action in self._driver.run(events, anyio.current_time()):
            if isinstance(action, SyncedEntriesLost):
                self._rejoin_empty()
                return
            self._execute(action)
        if (
            previous_role is not Role.CANDIDATE
            and self._driver.node.role is Role.CANDIDATE
        ):
            log_event(_logger, EventNumber.ELECTION_STARTED, term=self.term)
        if self._driver.node.leader_name != previous_leader:
            self._leader_changed.set()
            self._leader_changed = anyio.Event()
        self._compact_if_needed()
        self._report_missing_leader()
        if self._driver.node.may_stop:
            self._may_stop.set()

    def _report_missing_leader(self) -> None:
        node, now_s = self._driver.node, anyio.current_time()
        absent_s = self._leader_absence.update(bool(node.leader_name), now_s)
        if absent_s is None:
            return
        links = self._peer_links.values()
        heard_since_s = now_s - RECENTLY_HEARD_S
        log_event(
            _logger,
            EventNumber.LEADER_MISSING,
            level=logging.WARNING,
            absent_s=round(absent_s, 1),
            term=node.term,
            last_index=node.log.last_index,
            voters=self.membership.voters,
            connected=[link.host for link in links if link.is_connected],
            heard=[link.host for link in links if link.last_heard_s >= heard_since_s],
        )

    def _open_driver(self, store: LogStore, stored: StoredState) -> RaftDriver:
        _log_repairs(stored)
        return RaftDriver(
            self._host,
            store,
            stored,
            self._rng,
            anyio.current_time(),
            tuple(sorted(self._members)),
            self._may_form,
            tolerated_losses=self._tolerated_losses,
            is_added=self._is_added,
            data_centre=self._data_centre,
        )

    def _rejoin_empty(self) -> None:
        """Continue as an empty member with a new id: the disk lost synced entries."""
        store = LogStore(self._folder, self._new_disk_id())
        self._driver = self._open_driver(
            store, store.reset("synced entries are missing")
        )
        self._state.restore(self._empty_state)
        self._applied_index = self._uncompacted_bytes = 0
        self._subscribers.close_all()

    def _new_disk_id(self) -> str:
        prefix = OBSERVER_PREFIX if self._is_observer else ""
        return prefix + secrets.token_hex(8)

    def _encode_with_timestamp(self, command: Command) -> bytes:
        at_ms = self._clock.next_timestamp_ms(self._wall_ms(), anyio.current_time())
        return _encode(msgspec.structs.replace(command, at_ms=at_ms))

    def _compact_if_needed(self) -> None:
        """Replace the applied entries by a snapshot if there are too many."""
        log = self._driver.node.log
        entry_count = self._applied_index - log.snapshot.index
        is_log_large = self._uncompacted_bytes >= COMPACT_AFTER_BYTES
        if entry_count < COMPACT_AFTER_ENTRIES and not is_log_large:
            return
        self._uncompacted_bytes = 0
        content = _encode(
            _SnapshotContent(self._clock.last_timestamp_ms, self._state.encode())
        )
        event = CompactLog(self._applied_index, content)
        for action in self._driver.run([event], anyio.current_time()):
            self._execute(action)
        log_event(_logger, EventNumber.SNAPSHOT_WRITTEN, index=self._applied_index)

    @singledispatchmethod
    def _execute(self, action: Action) -> None:
        raise TypeError(type(action))

    def _known_members(self) -> tuple[str, ...]:
        membership = self._driver.node.log.membership()
        return (*membership.voters, *membership.learners)

    def _peer_link_to(self, name: str) -> MemberStream | None:
        """
        Return the stream to a host; start it first if it is new.

        A host that isn't in the settings is reachable only if its name is its
        address.
        """
        if name == self._host:
            return None
        if name not in self._peer_links:
            address = self._members.get(name, name)
            if not address.rpartition(":")[2].isdecimal():
                return None
            self._members[name] = address
            link = self._peer_links[name] = MemberStream(
                name,
                address,
                self._rng,
                on_refused=lambda: self._enqueue(HostRefusedConnection(name)),
            )
            if self._tasks is not None:
                self._tasks.start_soon(link.run)
        return self._peer_links[name]

    @_execute.register
    def _(self, action: SendMessage) -> None:
        link = self._peer_link_to(host_name(action.to))
        if link is not None:
            link.send(MemberFrame(action.to, action.message))  # type: ignore[arg-type]

    @_execute.register
    def _(self, action: ApplyEntries) -> None:
        for entry in action.entries:
            self._apply(entry)

    @_execute.register
    def _(self, action: RestoreSnapshot) -> None:
        self._restore(action.snapshot)
        self._subscribers.close_all()
        log_event(_logger, EventNumber.SNAPSHOT_INSTALLED, index=self._applied_index)

    @_execute.register
    def _(self, action: ProposalAppended) -> None:
        self._proposal_waiters.on_appended(action.first_index, action.term)

    @_execute.register
    def _(self, action: ProposalRefused) -> None:
        self._proposal_waiters.on_refused(self._not_leader())

    @_execute.register
    def _(self, action: ReadReady) -> None:
        assert self._applied_index >= action.index, (
            "a read was confirmed before its entries were applied"
        )
        self._read_waiters.finish_read(action.read_id, True)

    @_execute.register
    def _(self, action: ReadFailed) -> None:
        self._read_waiters.finish_read(action.read_id, False)

    @_execute.register
    def _(self, action: LeadershipWon) -> None:
        log = self._driver.node.log
        # Entries that aren't applied yet may have later timestamps than this clock.
        for entry in log.slice(self._applied_index + 1, log.last_index):
            if entry.command:
                self._observe_clock(_decode_command(entry.command).at_ms)
        log_event(_logger, EventNumber.LEADER_ELECTED, term=action.term)

    @_execute.register
    def _(self, action: LeadershipLost) -> None:
        log_event(_logger, EventNumber.LEADER_LOST, term=self.term)
        self._fail_waiters()

    def _apply(self, entry: LogEntry) -> None:
        assert entry.index == self._applied_index + 1, (
            "log entries must be applied in order"
        )
        self._applied_index = entry.index
        self._uncompacted_bytes += len(entry.command)
        if entry.membership is not None:
            _log_membership(entry)
        result = CommandResult(index=entry.index)
        if entry.command:
            command = _decode_command(entry.command)
            self._observe_clock(command.at_ms)
            applied = self._state.apply(entry.index, command)
            self._subscribers.publish(applied.delta)
            result = applied.result
        self._proposal_waiters.on_applied(entry.index, entry.term, result)

    def _observe_clock(self, at_ms: int) -> None:
        self._clock.observe_timestamp(at_ms, anyio.current_time())

    def _restore(self, snapshot: Snapshot) -> None:
        content = _decode_snapshot_content(snapshot.state)
        self._observe_clock(content.at_ms)
        self._state.restore(content.state)
        self._applied_index = snapshot.index

    def _fail_waiters(self) -> None:
        self._proposal_waiters.on_leadership_lost()
        self._read_waiters.fail_all()

    def _receive(self, recipient: str, message: AnyMessage) -> None:
        # Drops frames for an earlier disk of this host, which was another member.
        if recipient not in (self._driver.node.name, self._host):
            if host_name(recipient) == self._host:
                # The hosts in the settings may all have lost their logs too, so this
                # member also tries to join through the sender.
                self._driver.node.add_join_target(host_name(message.sender))
            return
        link = self._peer_links.get(host_name(message.sender))
        if link is not None:
            link.record_message()
        self._pending_events.append(MessageReceived(message))
        if not self._is_idle_acknowledgment(message):
            self._wake.set()

    def _is_idle_acknowledgment(self, message: AnyMessage) -> bool:
        """Return whether a message only acknowledges a heartbeat."""
        last_index = self._driver.node.log.last_index
        return (
            isinstance(message, AppendReply)
            and message.accepted
            and message.match_index == self._applied_index == last_index
            and self._read_waiters.is_empty
        )

    def _enqueue(self, event: Event) -> None:
        self._pending_events.append(event)
        self._wake.set()

    def _not_leader(self) -> CommandResult:
        leader = "" if self.is_leader else self.leader_address
        return CommandResult(Failure(ErrorKind.NOT_LEADER, leader=leader))


def _open_store(store: LogStore) -> StoredState:
    """Open the store; log why if a newer build has written to it."""
    try:
        return store.open()
    except UnreadableRecord as error:
        log_event(
            _logger, EventNumber.RECORD_UNREADABLE, level=logging.ERROR, file=error.file
        )
        raise


def _log_repairs(stored: StoredState) -> None:
    """Log what was damaged or truncated when the store was opened."""
    if stored.damage:
        log_event(
            _logger, EventNumber.LOG_DAMAGED, level=logging.ERROR, file=stored.damage
        )
    if stored.cut_bytes:
        log_event(_logger, EventNumber.LOG_TAIL_CUT, cut_bytes=stored.cut_bytes)


def _log_membership(entry: LogEntry) -> None:
    assert entry.membership is not None
    log_event(
        _logger,
        EventNumber.MEMBERSHIP_CHANGED,
        index=entry.index,
        voters=entry.membership.voters,
        learners=entry.membership.learners,
    )
