"""What a leader does by itself: it expires sessions and advances the time."""

import logging
import secrets
from collections.abc import Callable

import anyio
import msgspec

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.core.state.commands import ControlState
from damaskridge.core.state.session_tracker import SessionTracker
from damaskridge.model.control import (
    AdvanceTime,
    Command,
    CommandResult,
    ExpireSession,
    FleetDelta,
    SessionChanged,
    SessionEnded,
)
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber

__all__ = ["LeaderDuties"]

TICK_S = 0.1
ADVANCE_TIME_S = 60.0
# Above the time of an election, so that a proposal is not given up needlessly.
PROPOSE_TIMEOUT_S = 2.0

_log = logging.getLogger("damaskridge.control")


class LeaderDuties:
    """
    Follows whether the node leads and does the leader's periodic work.

    Attributes
    ----------
    sessions : SessionTracker
        Leases granted by this leader.
    """

    def __init__(
        self,
        node: ControlNodePort,
        state: ControlState,
        clock: Callable[[], float],
        wall_ms: Callable[[], int],
        step_down: Callable[[], None],
    ) -> None:
        self.sessions = SessionTracker()
        self._node = node
        self._state = state
        self._clock = clock
        self._wall_ms = wall_ms
        self._step_down = step_down
        self._ready_term = -1
        self._advanced_s = float("-inf")
        self._expiring: set[tuple[str, int]] = set()

    @property
    def ready(self) -> bool:
        """Whether this node leads and has applied all earlier entries."""
        return self._node.is_leader and self._node.term == self._ready_term

    def observe(self, delta: FleetDelta) -> None:
        """Start and end leases as sessions start and end."""
        for change in delta.changes:
            if isinstance(change, SessionChanged):
                session = change.session
                self.sessions.renewed(session.host, session.number, self._clock())
            elif isinstance(change, SessionEnded):
                self.sessions.ended(change.host, change.number)

    def resync(self) -> None:
        """Lead anew after deltas were missed: streams start from a snapshot."""
        if self._ready_term >= 0:
            self._ready_term = -1
            self._step_down()

    async def run(self) -> None:
        """Do the duties for ever."""
        async with anyio.create_task_group() as group:
            while True:
                await self._check_term()
                if self.ready:
                    for key in self.sessions.expired(self._clock()):
                        if key not in self._expiring:
                            self._expiring.add(key)
                            group.start_soon(self._expire, key)
                    if self._clock() - self._advanced_s >= ADVANCE_TIME_S:
                        await self._advance_time()
                await anyio.sleep(TICK_S)

    async def _check_term(self) -> None:
        if self.ready:
            return
        self.resync()
        if not self._node.is_leader:
            return
        term = self._node.term
        # An entry of this term is applied after every earlier one. Before that, an
        # `ExpireSession` of the last leader may be in the log but not in the state.
        if await self._advance_time() and self._node.term == term:
            self.sessions.leader_elected(
                self._clock(), self._state.data.sessions.values()
            )
            self._ready_term = term

    async def _advance_time(self) -> bool:
        result = await self._propose(AdvanceTime(command_id=_new_id("advance")))
        if result.failure is None:
            self._advanced_s = self._clock()
        return result.failure is None

    async def _expire(self, key: tuple[str, int]) -> None:
        host, session = key
        try:
            command = ExpireSession(
                command_id=_new_id("expire"), host=host, session=session
            )
            result = await self._propose(command)
            failure = result.failure
            if failure is None:
                log_event(_log, EventNumber.SESSION_EXPIRED, host=host, session=session)
            elif failure.kind is ErrorKind.SESSION_ENDED:
                self.sessions.ended(host, session)
        finally:
            self._expiring.discard(key)

    async def _propose(self, command: Command) -> CommandResult:
        stamped = msgspec.structs.replace(command, at_ms=self._wall_ms())
        with anyio.move_on_after(PROPOSE_TIMEOUT_S):
            return await self._node.propose(stamped)
        return CommandResult(failure=Failure(ErrorKind.CONTROL_UNAVAILABLE))


def _new_id(purpose: str) -> str:
    return f"{purpose}/{secrets.token_hex(8)}"
