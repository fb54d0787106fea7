"""Infers which requests crash the backend servers that run them.

Each crash interrupts many runs, most of them harmless. A cause is a set of fingerprints
that the interrupted runs of several crashes have in common. Requests that contain all
of them are quarantined. The set is as large as the crashes allow: if one part of a
prompt has always come with another one, only requests with both are refused. A request
with one of the two then shows which it is, by completing or by one more crash.

A crash comes as a server begins to respond, so a run that is past that counts less. Of
two causes that explain the same crashes, the narrower one is kept; a cause all of whose
crashes are explained by one with more crashes is dropped, unless only runs past their
onset make the difference: the run that caused a crash may not be known.

>>> from damaskridge.model.crashes import InterruptedRun
>>> deadly = InterruptedRun(("deadly", "shared"))
>>> crashes = [Crash(float(n), {deadly, InterruptedRun((f"r{n}",))}) for n in range(3)]
>>> (cause,) = find_causes(crashes, {"deadly", "shared"})
>>> sorted(cause.fingerprints), cause.crashes, cause.ends_s
(['deadly', 'shared'], 3, 302.0)
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from damaskridge.core.gateway.crashes.crash_log import Crash

__all__ = ["CrashCause", "find_causes"]

# Crashes from which requests are refused. A request that is present at only one or two
# is usually not their cause.
MIN_CRASHES = 3
# What a crash counts for a run at its onset, and for one past it.
ONSET_WEIGHT = 2
PAST_ONSET_WEIGHT = 1
# First quarantine, doubled by each further crash. After it, a cause that persists
# crashes one server more.
QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 3600.0


@dataclass(frozen=True, slots=True)
class CrashCause:
    """
    Fingerprints that crash servers if one request contains all of them.

    Parameters
    ----------
    fingerprints : frozenset of str
        The fingerprints.
    crashes : int
        Number of crashes that they explain.
    last_crash_s : float
        When the last of these crashes happened.
    """

    fingerprints: frozenset[str]
    crashes: int
    last_crash_s: float

    @property
    def ends_s(self) -> float:
        """When the quarantine ends."""
        doubled_s = QUARANTINE_S * 2.0 ** min(self.crashes - MIN_CRASHES, 10)
        return self.last_crash_s + min(doubled_s, MAX_QUARANTINE_S)


@dataclass(slots=True)
class _Candidate:
    """
    What the crashes have in common in which one fingerprint was present.

    `onsets` are the crashes at which a run with it had not begun to respond.
    """

    crashes: set[int]
    common: frozenset[str]
    weight: int = 0
    onsets: set[int] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _LikelyCause:
    fingerprints: frozenset[str]
    crashes: frozenset[int]
    onsets: frozenset[int]

    def is_explained_by(self, other: "_LikelyCause") -> bool:
        """Tell whether another cause makes this one needless."""
        if other.fingerprints > self.fingerprints:
            return self.onsets <= other.crashes
        if other.fingerprints < self.fingerprints and other.onsets <= self.crashes:
            return False
        return self.crashes < other.crashes


def find_causes(
    crashes: Iterable[Crash], repeated: Collection[str]
) -> tuple[CrashCause, ...]:
    """
    Return the causes that crashes show.

    Parameters
    ----------
    crashes : iterable of Crash
        The crashes, without fingerprints that are known to be harmless.
    repeated : collection of str
        The fingerprints that were present at `MIN_CRASHES` crashes or more.
    """
    items = tuple(crashes) if repeated else ()
    candidates: dict[str, _Candidate] = {}
    for number, crash in enumerate(items):
        _count_crash(candidates, number, crash, repeated)
    likely = {
        _LikelyCause(
            candidate.common,
            frozenset(candidate.crashes),
            frozenset(candidate.onsets),
        )
        for candidate in candidates.values()
        if candidate.weight >= MIN_CRASHES * ONSET_WEIGHT
    }
    return tuple(
        CrashCause(
            cause.fingerprints,
            len(cause.crashes),
            max(items[number].at_s for number in cause.crashes),
        )
        for cause in likely
        if not any(cause.is_explained_by(other) for other in likely)
    )


def _count_crash(
    candidates: dict[str, _Candidate],
    number: int,
    crash: Crash,
    repeated: Collection[str],
) -> None:
    """Add one crash to the candidates that were present at it."""
    weights: dict[str, int] = {}
    for run in crash.runs:
        weight = PAST_ONSET_WEIGHT if run.is_past_onset else ONSET_WEIGHT
        present = [item for item in run.fingerprints if item in repeated]
        if not present:
            continue
        fingerprints = frozenset(run.fingerprints)
        for item in present:
            candidate = candidates.get(item)
            if candidate is None:
                candidate = candidates[item] = _Candidate(set(), fingerprints)
            candidate.crashes.add(number)
            candidate.common &= fingerprints
            weights[item] = max(weights.get(item, 0), weight)
    for item, weight in weights.items():
        candidates[item].weight += weight
        if weight == ONSET_WEIGHT:
            candidates[item].onsets.add(number)
