"""Recent crashes of instances, with the runs that may have caused them.

A run that completed shows that its request and all parts of its prompt are harmless.
Their fingerprints are removed from the crashes before it and from those that follow
within `CLEARANCE_S`. What is left are the fingerprints that may be the cause of
crashes.

>>> log, run = CrashLog(), InterruptedRun(("request", "part"))
>>> new = log.add((CrashNotice(InstanceId("a"), 0.0, (run,)),), now_s=1.0)
>>> log.clear(("request", "other"), completed_s=2.0)
{'request': 1}
>>> [sorted(crash.fingerprints) for crash in log.crashes()]
[['part']]
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from damaskridge.model.crashes import Completion, CrashNotice, InterruptedRun
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
MAX_COMPLETIONS = 4096
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
        # The instances at whose crashes a fingerprint was present.
        self._servers: dict[str, set[InstanceId]] = {}
        self._completed_s: OrderedDict[str, float] = OrderedDict()

    def crashes(self) -> tuple[Crash, ...]:
        """Return the recorded crashes."""
        return tuple(self._crashes.values())

    def count(self, fingerprint: str) -> int:
        """Return at how many crashes a fingerprint was present."""
        return len(self._servers.get(fingerprint, ()))

    def repeated(self, min_crashes: int) -> set[str]:
        """Return the fingerprints that were present at this many crashes or more."""
        return {
            item
            for item, servers in self._servers.items()
            if len(servers) >= min_crashes
        }

    def add(
        self, notices: Iterable[CrashNotice], now_s: float
    ) -> tuple[CrashNotice, ...]:
        """Record crashes; return the notices that contained something new."""
        self._expire(now_s)
        return tuple(notice for notice in notices if self._add(notice, now_s))

    def clear(self, fingerprints: Iterable[str], completed_s: float) -> dict[str, int]:
        """
        Record that a server ran requests with these fingerprints to completion.

        Returns
        -------
        dict of str to int
            The fingerprints among them that were possible causes, with the number of
            crashes at which they were present.
        """
        cleared = {}
        for item in fingerprints:
            known_s = self._completed_s.get(item, completed_s)
            self._completed_s[item] = max(known_s, completed_s)
            self._completed_s.move_to_end(item)
            if item in self._servers:
                count = self.count(item)
                if self._clear_crashes(item, completed_s):
                    cleared[item] = count
        while len(self._completed_s) > MAX_COMPLETIONS:
            self._completed_s.popitem(last=False)
        return cleared

    def completions_among(
        self, notice: CrashNotice, now_s: float
    ) -> tuple[Completion, ...]:
        """Return when fingerprints of a notice last completed, if that is known."""
        items = {item for run in notice.runs for item in run.fingerprints}
        return tuple(
            Completion(item, now_s - self._completed_s[item])
            for item in sorted(items & self._completed_s.keys())
        )

    def possible_runs(
        self, runs: Collection[InterruptedRun], crash_s: float
    ) -> tuple[InterruptedRun, ...]:
        """Return the runs that may have caused a crash, without what is harmless."""
        harmless = {
            item
            for run in runs
            for item in run.fingerprints
            if self._completed_s.get(item, float("-inf")) >= crash_s - CLEARANCE_S
        }
        return tuple(_without(runs, harmless))

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
        server = notice.server
        crash = self._crashes.get(server)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[server] = Crash(now_s - notice.age_s)
            if len(self._crashes) > MAX_CRASHES:
                self._remove(next(iter(self._crashes)))
        has_new_runs = False
        for run in self.possible_runs(notice.runs, crash.at_s):
            if run not in crash.runs and len(crash.runs) < MAX_RUNS:
                crash.runs.add(run)
                has_new_runs = True
                for item in run.fingerprints:
                    self._servers.setdefault(item, set()).add(server)
        return is_new or has_new_runs

    def _clear_crashes(self, fingerprint: str, completed_s: float) -> bool:
        """Remove a fingerprint from the crashes that a completion clears it of."""
        servers = {
            server
            for server in self._servers[fingerprint]
            if self._crashes[server].at_s <= completed_s + CLEARANCE_S
        }
        for server in servers:
            runs = self._crashes[server].runs
            present = [run for run in runs if fingerprint in run.fingerprints]
            runs.difference_update(present)
            runs.update(_without(present, (fingerprint,)))
        self._forget(fingerprint, servers)
        return bool(servers)

    def _remove(self, server: InstanceId) -> None:
        for item in self._crashes.pop(server).fingerprints:
            self._forget(item, {server})

    def _forget(self, fingerprint: str, servers: set[InstanceId]) -> None:
        left = self._servers[fingerprint] - servers
        if left:
            self._servers[fingerprint] = left
        else:
            del self._servers[fingerprint]

    def _expire(self, now_s: float) -> None:
        for server, crash in list(self._crashes.items()):
            retention_s = CRASH_RETENTION_S if crash.runs else LOSS_RETENTION_S
            if now_s - crash.at_s > retention_s:
                self._remove(server)


def _without(
    runs: Iterable[InterruptedRun], fingerprints: Collection[str]
) -> set[InterruptedRun]:
    """Return the runs without these fingerprints; runs without any are left out."""
    left = set()
    for run in runs:
        rest = tuple(item for item in run.fingerprints if item not in fingerprints)
        if len(rest) == len(run.fingerprints):
            left.add(run)
        elif rest:
            left.add(InterruptedRun(rest, run.is_past_onset))
    return left
