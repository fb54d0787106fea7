"""Passes on crashes of backend servers between entry hosts, while this host leads."""

import secrets
from collections.abc import Awaitable, Callable

import anyio

from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.crashes.crash_causes import MIN_CRASHES, find_causes
from damaskridge.core.gateway.crashes.crash_log import CrashLog
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.control import Command, CommandResult, RecordCrashes
from damaskridge.model.crashes import Completion, CrashNotice, RecordedCrash
from damaskridge.model.follow import CrashesSeen, ReportLoad

__all__ = ["CrashPublisher"]

# Reports that arrive within this time are passed on together: when many servers crash
# at once, all hosts report at the same time.
BATCH_PERIOD_S = 0.02
# Limits how often crashes are recorded.
RECORD_PERIOD_S = 0.2


class CrashPublisher:
    """
    Collects the crashes that entry hosts report, and sends them to the others.

    The crashes that explain a quarantine are recorded in the control group, so that
    they are known even after all processes have restarted.

    Parameters
    ----------
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    state : ControlState
        The state machine of the control group.
    propose : callable
        Commits a command.
    wall_ms : callable
        Wall-clock time in milliseconds.
    """

    def __init__(
        self,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        state: ControlState,
        propose: Callable[[Command], Awaitable[CommandResult]],
        wall_ms: Callable[[], int],
    ) -> None:
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._state = state
        self._propose = propose
        self._wall_ms = wall_ms
        self._log = CrashLog()
        self._unsent_crashes: list[CrashNotice] = []
        self._unsent_completions: list[Completion] = []
        self._has_unsent = anyio.Event()
        self._has_unrecorded = anyio.Event()

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send all crashes to a new subscriber."""
        now_s = anyio.current_time()
        self._log.add(self._recorded_notices(), now_s)
        crashes = self._log.notices(now_s)
        if crashes:
            subscriber.push(CrashesSeen(crashes=crashes))

    def handle_report(self, message: ReportLoad) -> None:
        """Record crashes and completions, and tell all hosts what is new."""
        if not (message.crashes or message.completed):
            return
        now_s = anyio.current_time()
        for completion in message.completed:
            completed_s = now_s - completion.age_s
            if self._log.clear((completion.fingerprint,), completed_s):
                self._unsent_completions.append(completion)
        for notice in message.crashes:
            # What the leader leaves out of a notice, its host still suspects.
            self._unsent_completions += self._log.completions_among(notice, now_s)
        self._unsent_crashes += self._log.add(message.crashes, now_s)
        if self._unsent_crashes or self._unsent_completions:
            self._has_unsent.set()
            self._has_unrecorded.set()

    async def run(self) -> None:
        """Pass crashes on and record those that explain quarantines."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_to_hosts)
            group.start_soon(self._record)

    async def _send_to_hosts(self) -> None:
        while True:
            await self._has_unsent.wait()
            self._has_unsent = anyio.Event()
            crashes = tuple(self._unsent_crashes)
            completed = tuple(self._unsent_completions)
            self._unsent_crashes, self._unsent_completions = [], []
            self._subscribers.broadcast(
                CrashesSeen(crashes=crashes, completed=completed)
            )
            await anyio.sleep(BATCH_PERIOD_S)

    async def _record(self) -> None:
        while True:
            await self._has_unrecorded.wait()
            self._has_unrecorded = anyio.Event()
            crashes = self._crashes_to_record()
            recorded = self._state.data.gateway_crashes
            if self._is_leading() and _identities(crashes) != _identities(recorded):
                command_id = f"crashes/{secrets.token_hex(8)}"
                result = await self._propose(
                    RecordCrashes(command_id=command_id, crashes=crashes)
                )
                if result.failure is not None:
                    self._has_unrecorded.set()
            await anyio.sleep(RECORD_PERIOD_S)

    def _crashes_to_record(self) -> tuple[RecordedCrash, ...]:
        now_s, wall_ms = anyio.current_time(), self._wall_ms()
        causes = find_causes(self._log.crashes(), self._log.repeated(MIN_CRASHES))
        fingerprints = {item for cause in causes for item in cause.fingerprints}
        return tuple(
            RecordedCrash(
                notice.server, wall_ms - round(notice.age_s * 1000), notice.runs
            )
            for notice in self._log.notices(now_s, fingerprints)
        )

    def _recorded_notices(self) -> tuple[CrashNotice, ...]:
        wall_ms = self._wall_ms()
        return tuple(
            CrashNotice(
                crash.server, max(0.0, (wall_ms - crash.at_ms) / 1000), crash.runs
            )
            for crash in self._state.data.gateway_crashes
        )


def _identities(crashes: tuple[RecordedCrash, ...]) -> set[object]:
    """Return the crashes without their times, which are never exactly the same."""
    return {(crash.server, frozenset(crash.runs)) for crash in crashes}
