"""Recent crashes of instances, with the runs that may have caused them.

A run that completed shows that its request and all parts of its prompt are harmless.
Their fingerprints are removed from earlier crashes, and aren't recorded for crashes
that follow within `CLEARANCE_S`. What is left are the fingerprints that may be the
cause of crashes.

>>> log, run = CrashLog(), InterruptedRun(("request", "part"))
>>> new = log.add((CrashNotice(InstanceId("a"), 0.0, (run,)),), now_s=1.0)
>>> log.clear(("request",), now_s=2.0)
('request',)
>>> [sorted(crash.fingerprints) for crash in log.crashes()]
[['part']]
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from damaskridge.model.crashes import CrashNotice, InterruptedRun
from damaskridge.model.gateway import InstanceId

__all__ = ["CLEARANCE_S", "CRASH_RETENTION_S", "Crash", "CrashLog"]

# A request or part that a server ran to completion does not count as a possible cause
# of crashes for this long. Streams last a few seconds.
CLEARANCE_S = 10.0
# Longer than the longest quarantine.
CRASH_RETENTION_S = 7200.0
# Callers choose the parts of prompts, so everything that is kept of them is bounded.
MAX_CRASHES = 128
MAX_RUNS = 256
MAX_CLEARED = 4096
# A crash without known runs matters only until hosts have reported their runs.
LOSS_RETENTION_S = 10.0


@dataclass(slots=True)
class Crash:
    """
    One crash, and the runs that may have caused it.

    Parameters
    ----------
    at_s : float
        When the instance crashed.
    runs : set of InterruptedRun
        The interrupted runs, without fingerprints that are known to be harmless.
    """

    at_s: float
    runs: set[InterruptedRun] = field(default_factory=set)

    @property
    def fingerprints(self) -> set[str]:
        """The fingerprints of all runs."""
        return {item for run in self.runs for item in run.fingerprints}


class CrashLog:
    """The recent crashes, by instance."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[InstanceId, Crash] = OrderedDict()
        self._cleared_s: OrderedDict[str, float] = OrderedDict()
        # Fingerprints of all crashes; None if they have to be collected again.
        self._suspected: set[str] | None = None

    def crashes(self) -> tuple[Crash, ...]:
        """Return the recorded crashes."""
        return tuple(self._crashes.values())

    def add(
        self, notices: Iterable[CrashNotice], now_s: float
    ) -> tuple[CrashNotice, ...]:
        """Record crashes; return the notices that contained something new."""
        self._expire(now_s)
        return tuple(notice for notice in notices if self._add(notice, now_s))

    def clear(self, fingerprints: Iterable[str], now_s: float) -> tuple[str, ...]:
        """
        Record that a server ran requests with these fingerprints to completion.

        Returns
        -------
        tuple of str
            Those among them that were possible causes of recorded crashes.
        """
        completed = tuple(fingerprints)
        for fingerprint in completed:
            self._cleared_s[fingerprint] = now_s
            self._cleared_s.move_to_end(fingerprint)
        while len(self._cleared_s) > MAX_CLEARED:
            self._cleared_s.popitem(last=False)
        if self._suspected is None:
            self._suspected = {
                item for crash in self._crashes.values() for item in crash.fingerprints
            }
        cleared = tuple(item for item in completed if item in self._suspected)
        if cleared:
            self._suspected.difference_update(cleared)
            for crash in self._crashes.values():
                crash.runs = _without(crash.runs, cleared)
        return cleared

    def possible_runs(
        self, runs: Collection[InterruptedRun], crash_s: float
    ) -> tuple[InterruptedRun, ...]:
        """Return the runs that may have caused a crash, without what is harmless."""
        harmless = {
            item
            for run in runs
            for item in run.fingerprints
            if self._is_cleared(item, crash_s)
        }
        return tuple(_without(runs, harmless))

    def cleared_among(self, notice: CrashNotice, now_s: float) -> tuple[str, ...]:
        """Return the fingerprints of a notice that are known to be harmless."""
        return tuple(
            {
                item
                for run in notice.runs
                for item in run.fingerprints
                if self._is_cleared(item, now_s - notice.age_s)
            }
        )

    def repeated(self, min_crashes: int) -> set[str]:
        """Return the fingerprints that were present at this many crashes or more."""
        counts = Counter(
            item for crash in self._crashes.values() for item in crash.fingerprints
        )
        return {item for item, count in counts.items() if count >= min_crashes}

    def notices(
        self, now_s: float, among: Collection[str] | None = None
    ) -> tuple[CrashNotice, ...]:
        """
        Return the recorded crashes as notices.

        Parameters
        ----------
        now_s : float
            Current time.
        among : collection of str or None
            If given, leave out runs that have none of these fingerprints.
        """
        self._expire(now_s)
        return tuple(
            CrashNotice(server, now_s - crash.at_s, runs)
            for server, crash in self._crashes.items()
            if (
                runs := tuple(
                    run
                    for run in crash.runs
                    if among is None or any(i in among for i in run.fingerprints)
                )
            )
        )

    def _add(self, notice: CrashNotice, now_s: float) -> bool:
        at_s = now_s - notice.age_s
        crash = self._crashes.get(notice.server)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[notice.server] = Crash(at_s)
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        new_runs = set(self.possible_runs(notice.runs, crash.at_s)) - crash.runs
        for run in new_runs:
            if len(crash.runs) < MAX_RUNS:
                crash.runs.add(run)
        if new_runs:
            self._suspected = None
        return is_new or bool(new_runs)

    def _is_cleared(self, fingerprint: str, crash_s: float) -> bool:
        cleared_s = self._cleared_s.get(fingerprint)
        return cleared_s is not None and cleared_s >= crash_s - CLEARANCE_S

    def _expire(self, now_s: float) -> None:
        for server, crash in list(self._crashes.items()):
            retention_s = CRASH_RETENTION_S if crash.runs else LOSS_RETENTION_S
            if now_s - crash.at_s > retention_s:
                del self._crashes[server]


def _without(
    runs: Collection[InterruptedRun], fingerprints: Collection[str]
) -> set[InterruptedRun]:
    """Return the runs without these fingerprints; runs without any are left out."""
    return {
        InterruptedRun(rest, run.is_past_onset)
        for run in runs
        if (rest := tuple(i for i in run.fingerprints if i not in fingerprints))
    }
