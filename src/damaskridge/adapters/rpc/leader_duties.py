"""Periodic work of the leader: expires sessions and advances the replicated time."""

import logging
import secrets
from collections.abc import Callable

import anyio
import msgspec

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.session_tracker import SessionTracker
from damaskridge.model.control import (
    AdvanceTime,
    Command,
    CommandResult,
    ExpireSession,
    SessionChanged,
    SessionEnded,
)
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import FleetDelta

__all__ = ["LeaderDuties"]

TICK_PERIOD_S = 0.1
ADVANCE_TIME_PERIOD_S = 60.0
# Longer than an election, so that a proposal isn't abandoned needlessly.
PROPOSE_TIMEOUT_S = 2.0

_log = logging.getLogger("damaskridge.control")


class LeaderDuties:
    """
    Tracks whether the node is the leader, and does the leader's periodic work.

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
    on_step_down : callable
        Called when leadership is lost or `resync` starts over.
    on_ready : callable
        Called when this host has become ready to lead.

    Attributes
    ----------
    sessions : SessionTracker
        The leases that this leader has granted.
    """

    def __init__(
        self,
        node: ControlNodePort,
        state: ControlState,
        clock: Callable[[], float],
        wall_ms: Callable[[], int],
        on_step_down: Callable[[], None],
        on_ready: Callable[[], None] = lambda: None,
    ) -> None:
        self.sessions = SessionTracker()
        self._node = node
        self._state = state
        self._clock = clock
        self._wall_ms = wall_ms
        self._on_step_down = on_step_down
        self._on_ready = on_ready
        self._ready_term = -1
        self._last_advance_s = float("-inf")
        self._changed = anyio.Event()
        self._expiring_sessions: set[tuple[str, int]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether this node is the leader and has applied all earlier log entries."""
        return self._node.is_leader and self._node.term == self._ready_term

    async def wait_for_leader(self, timeout_s: float) -> None:
        """
        Wait until this host is ready to lead, or knows another one that leads.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            while not self.is_ready and (
                self._node.is_leader or not self._node.leader_address
            ):
                await self._changed.wait()

    def handle_delta(self, delta: FleetDelta) -> None:
        """Track the leases of sessions that start, change or end."""
        for change in delta.changes:
            if isinstance(change, SessionChanged):
                session = change.session
                self.sessions.record_renewal(
                    session.host, session.number, self._clock()
                )
            elif isinstance(change, SessionEnded):
                self.sessions.remove_session(change.host, change.number)

    def resync(self) -> None:
        """Start over after missed deltas, so that streams begin with a snapshot."""
        if self._ready_term >= 0:
            self._ready_term = -1
            self._on_step_down()

    async def run(self) -> None:
        """Do the leader's work until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._update_readiness()
                if self.is_ready:
                    for session_key in self.sessions.expired_sessions(self._clock()):
                        if session_key not in self._expiring_sessions:
                            self._expiring_sessions.add(session_key)
                            group.start_soon(self._expire_session, session_key)
                    if self._clock() - self._last_advance_s >= ADVANCE_TIME_PERIOD_S:
                        await self._advance_time()
                await self._node.wait_for_leader_change(TICK_PERIOD_S)
                self._notify()

    def _notify(self) -> None:
        """Wake those that wait for a leader."""
        self._changed.set()
        self._changed = anyio.Event()

    async def _update_readiness(self) -> None:
        if self.is_ready:
            return
        self.resync()
        if not self._node.is_leader:
            return
        term = self._node.term
        # Once an entry of this term is applied, so are all earlier ones. Until then, an
        # `ExpireSession` of the previous leader may be in the log but not yet applied.
        if await self._advance_time() and self._node.term == term:
            self.sessions.reset_leases(
                self._clock(), self._state.data.sessions.values()
            )
            self._ready_term = term
            self._on_ready()
            self._notify()

    async def _advance_time(self) -> bool:
        result = await self.propose(AdvanceTime(command_id=_new_command_id("advance")))
        if result.failure is None:
            self._last_advance_s = self._clock()
        return result.failure is None

    async def _expire_session(self, session_key: tuple[str, int]) -> None:
        host, session = session_key
        try:
            command = ExpireSession(
                command_id=_new_command_id("expire"), host=host, session=session
            )
            result = await self.propose(command)
            failure = result.failure
            if failure is None:
                log_event(_log, EventNumber.SESSION_EXPIRED, host=host, session=session)
            elif failure.kind is ErrorKind.SESSION_ENDED:
                self.sessions.remove_session(host, session)
        finally:
            self._expiring_sessions.discard(session_key)

    async def propose(self, command: Command) -> CommandResult:
        """Stamp and commit a command; fails if that takes too long."""
        stamped_command = msgspec.structs.replace(command, at_ms=self._wall_ms())
        with anyio.move_on_after(PROPOSE_TIMEOUT_S):
            return await self._node.propose(stamped_command)
        return CommandResult(failure=Failure(ErrorKind.CONTROL_UNAVAILABLE))


def _new_command_id(purpose: str) -> str:
    return f"{purpose}/{secrets.token_hex(8)}"
