"""Detects crashes of backend servers, and the requests that cause them, on one host.

A caller retries a request with a new id each time and at any host, and different
requests may share the part of the prompt that crashes servers. Requests are therefore
identified by fingerprints: of workspace, path and body, and of each part of the prompt
but the last. An instance that interrupts a run and is then found gone, by this host or
another one, has crashed. Hosts exchange their crashes through the leader, and each of
them infers the causes.

>>> tracker = CrashTracker()
>>> for name in ("a", "b", "c"):
...     tracker.record_interrupted_run(InterruptedRun(("f1",)), InstanceId(name), 1.0)
...     tracker.record_lost_server(InstanceId(name), now_s=1.5)
0
1
0
1
0
1
>>> tracker.quarantine_s(("f1", "f2"), now_s=2.0) > 0
True
>>> tracker.quarantine_s(("f2",), now_s=2.0)
0.0
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from damaskridge.core.gateway.crashes.crash_causes import (
    MIN_CRASHES,
    CrashCause,
    find_causes,
)
from damaskridge.core.gateway.crashes.crash_log import CrashLog
from damaskridge.model.crashes import Completion, CrashNotice, InterruptedRun
from damaskridge.model.gateway import InstanceId

__all__ = ["CrashReport", "CrashTracker", "fingerprint_of", "part_fingerprints"]

# Longest time from an interrupted run to the evidence that the server has crashed. If
# no host connects to it, only the list of backend servers shows that it is gone.
CONFIRMATION_TIMEOUT_S = 4.0
# Interrupted runs that are kept of one instance.
MAX_RUNS = 256
# Parts of one prompt that are identified.
MAX_PARTS = 64
# Crashes of a fingerprint from which its completions are reported, and from which a new
# leader is told of it. Most runs that a crash interrupts are never present at another.
MIN_REPORTED_CRASHES = 2
# How long a host repeats the crashes that it has found to new leaders. The stream to
# the previous one may have broken with the first report of them.
REPEAT_S = 60.0


def fingerprint_of(workspace: str, path: str, body: bytes) -> str:
    """Return a digest that is the same for a request and all its retries."""
    digest = blake2b(digest_size=12)
    for part in (workspace.encode(), path.encode(), body):
        digest.update(b"%d:" % len(part) + part)
    return digest.hexdigest()


def part_fingerprints(prompt_parts: Sequence[tuple[str, int]]) -> tuple[str, ...]:
    """
    Return a digest of each part of a prompt except the last one.

    The last part belongs to one request or session; other requests don't contain it.
    """
    names = dict.fromkeys(name for name, _ in prompt_parts[:-1][:MAX_PARTS])
    return tuple(blake2b(name.encode(), digest_size=12).hexdigest() for name in names)


@dataclass(frozen=True, slots=True)
class CrashReport:
    """
    What a host has to tell the leader.

    Parameters
    ----------
    crashes : tuple of CrashNotice
        Crashes that this host has found.
    completed : tuple of Completion
        Completed runs with fingerprints of runs that crashes have interrupted.
    """

    crashes: tuple[CrashNotice, ...] = ()
    completed: tuple[Completion, ...] = ()


@dataclass(slots=True)
class _Interruptions:
    """The interrupted runs of one instance, and whether it was found gone."""

    runs: dict[InterruptedRun, float] = field(default_factory=dict)
    lost_s: float | None = None
    last_s: float = 0.0


class CrashTracker:
    """Crashes that this host has found or that other hosts have reported."""

    def __init__(self) -> None:
        self._log = CrashLog()
        # None if they have to be inferred anew.
        self._causes: tuple[CrashCause, ...] | None = ()
        self._interruptions: dict[InstanceId, _Interruptions] = {}
        # The instances whose crashes this host has found, with the times.
        self._found_s: dict[InstanceId, float] = {}
        self._unreported_crashes: list[CrashNotice] = []
        self._unreported_completions: dict[str, Completion] = {}

    @property
    def causes(self) -> tuple[CrashCause, ...]:
        """The causes that the crashes show, also those whose quarantine has ended."""
        if self._causes is None:
            repeated = self._log.repeated(MIN_CRASHES)
            self._causes = find_causes(self._log.crashes(), repeated)
        return self._causes

    @property
    def has_unreported(self) -> bool:
        """Whether there is something that the leader has to know."""
        return bool(self._unreported_crashes or self._unreported_completions)

    def quarantine_s(self, fingerprints: Collection[str], now_s: float) -> float:
        """Return for how long a request with these fingerprints is refused."""
        if not self.causes:
            return 0.0
        return max(
            (
                cause.ends_s - now_s
                for cause in self.causes
                if cause.ends_s > now_s and cause.fingerprints.issubset(fingerprints)
            ),
            default=0.0,
        )

    def record_interrupted_run(
        self, run: InterruptedRun, server: InstanceId, now_s: float
    ) -> int:
        """
        Record an interrupted run; the instance may already be known to be gone.

        Returns
        -------
        int
            Number of runs that are now known to have been interrupted by a crash.
        """
        self._expire(now_s)
        item = self._interruptions.setdefault(server, _Interruptions())
        item.last_s = now_s
        if len(item.runs) < MAX_RUNS:
            item.runs[run] = now_s
        return self._confirm(server, item, now_s) if item.lost_s is not None else 0

    def record_lost_server(
        self, server: InstanceId, now_s: float, *, tells_others: bool = False
    ) -> int:
        """
        Record that an instance refuses connections or is no longer listed.

        Parameters
        ----------
        server : InstanceId
            The instance.
        now_s : float
            Current time.
        tells_others : bool
            Whether to report the loss, so that hosts with runs there learn of it.

        Returns
        -------
        int
            Number of runs that are now known to have been interrupted by a crash.
        """
        self._expire(now_s)
        item = self._interruptions.setdefault(server, _Interruptions())
        if item.lost_s is None:
            item.lost_s = now_s
            if tells_others and not item.runs:
                self._unreported_crashes.append(CrashNotice(server, 0.0))
        item.last_s = now_s
        return self._confirm(server, item, now_s)

    def record_complete_run(self, fingerprints: Sequence[str], now_s: float) -> None:
        """Record that a server ran a request to completion."""
        for item, crashes in self._clear(fingerprints, now_s).items():
            if crashes >= MIN_REPORTED_CRASHES:
                self._unreported_completions[item] = Completion(item, 0.0)

    def on_report(self, report: CrashReport, now_s: float) -> None:
        """Record what other hosts have found."""
        self._expire(now_s)
        for completion in report.completed:
            self._clear((completion.fingerprint,), now_s - completion.age_s)
        for notice in report.crashes:
            if notice.age_s <= CONFIRMATION_TIMEOUT_S:
                self.record_lost_server(notice.server, now_s)
        self._add(report.crashes, now_s)
        for notice in report.crashes:
            self._report_completions(notice, now_s)

    def pop_report(self, now_s: float, *, everything: bool = False) -> CrashReport:
        """
        Return what the leader doesn't know yet.

        With `everything`, also the crashes that matter to a new leader, which has lost
        what its predecessor knew.
        """
        self._expire(now_s)
        crashes = tuple(self._unreported_crashes)
        if everything:
            crashes += self._notices_for_new_leader(now_s)
        report = CrashReport(crashes, tuple(self._unreported_completions.values()))
        self._unreported_crashes = []
        self._unreported_completions = {}
        return report

    def _notices_for_new_leader(self, now_s: float) -> tuple[CrashNotice, ...]:
        repeated = self._log.repeated(MIN_REPORTED_CRASHES)
        return tuple(
            notice
            for notice in self._log.notices(now_s)
            if notice.server in self._found_s
            or any(item in repeated for run in notice.runs for item in run.fingerprints)
        )

    def _clear(self, fingerprints: Sequence[str], completed_s: float) -> dict[str, int]:
        cleared = self._log.clear(fingerprints, completed_s)
        if any(crashes >= MIN_CRASHES for crashes in cleared.values()):
            self._causes = None
        return cleared

    def _add(self, notices: Sequence[CrashNotice], now_s: float) -> None:
        if any(
            self._log.count(item) >= MIN_CRASHES
            for notice in self._log.add(notices, now_s)
            for run in notice.runs
            for item in run.fingerprints
        ):
            self._causes = None

    def _report_completions(self, notice: CrashNotice, now_s: float) -> None:
        """Report what has completed here, so that other hosts know it is harmless."""
        for completion in self._log.completions_among(notice, now_s):
            self._unreported_completions[completion.fingerprint] = completion

    def _confirm(self, server: InstanceId, item: _Interruptions, now_s: float) -> int:
        """Record the interrupted runs of an instance that is gone as a crash."""
        recent = {
            run: at_s
            for run, at_s in item.runs.items()
            if now_s - at_s <= CONFIRMATION_TIMEOUT_S
        }
        item.runs.clear()
        if recent:
            crash_s = min(recent.values())
            self._report_completions(CrashNotice(server, 0.0, tuple(recent)), now_s)
            runs = self._log.possible_runs(recent, crash_s)
            notice = CrashNotice(server, now_s - crash_s, runs)
            self._unreported_crashes.append(notice)
            self._found_s[server] = now_s
            self._add((notice,), now_s)
        return len(recent)

    def _expire(self, now_s: float) -> None:
        for server, item in list(self._interruptions.items()):
            if now_s - item.last_s > CONFIRMATION_TIMEOUT_S:
                del self._interruptions[server]
        for server, found_s in list(self._found_s.items()):
            if now_s - found_s > REPEAT_S:
                del self._found_s[server]
