"""Learns how fast the engines of a service prefill, compared with each other.

It answers services whose engines differ in speed. A host that takes the engine with the
fewest queued tokens gives a slow one as much as a fast one, and prompts wait longest
where they take longest. A single host sends an engine a prompt every few seconds, so
that the leader estimates the speeds from what all hosts have seen.

The time of a prefill is a fixed part and a part that grows with the prompt. An engine's
speed is the median of the expected over the measured time of the second part, so that
an engine that is slow for a moment keeps its estimate. A service whose engines are
about equally fast gets no estimates.

>>> speeds = EngineSpeeds()
>>> for tokens in (1000, 2000, 3000) * 4:
...     for engine, ms_per_token in (("fast", 0.01), ("a", 0.02), ("b", 0.02)):
...         prefill = PrefillTime(tokens, 30 + round(tokens * ms_per_token))
...         speeds.record(engine, "llm", [prefill])
>>> speeds.update({"fast": "llm", "a": "llm", "b": "llm"}.get)
True
>>> max(speeds.speeds, key=speeds.speeds.get)
'fast'
"""

from collections import deque
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass
from statistics import median, quantiles

from damaskridge.model.prefill_times import PrefillTime

__all__ = ["EngineSpeeds"]

# Prefills of an engine from which its speed is estimated, and how many are kept.
MIN_PREFILLS = 6
MAX_PREFILLS = 32
# Number of prefills after which older ones have half the weight in the expected time:
# about what all hosts see of a service in some seconds.
HALF_LIFE_PREFILLS = 200.0
# The engines of a service differ if the fast ones are faster than the slow ones by this
# factor. It is below the differences that callers notice, and above those by chance.
UNEVEN_FACTOR = 1.25
# Change of an estimate, as a share of it, from which it is published anew.
MIN_CHANGE = 0.2
MIN_SPEED, MAX_SPEED = 0.3, 3.0
# Largest fixed part of the time of a prefill, as a share of the average time. Moments
# of slowness, which don't depend on the size, let the fixed part seem larger.
MAX_FIXED_SHARE = 0.2
# Least share of the expected time that a prefill is taken to have lasted. The fixed
# part is an average, so that short prefills may seem to have taken no time.
MIN_TIME_SHARE = 0.2


@dataclass(slots=True)
class _ExpectedTime:
    """The time of a prefill on average: a line through the prefills of a service."""

    weight: float = 0.0
    tokens: float = 0.0
    elapsed: float = 0.0
    tokens_squared: float = 0.0
    product: float = 0.0

    def record(self, prefill: PrefillTime) -> None:
        keep = 0.5 ** (1 / HALF_LIFE_PREFILLS)
        tokens, elapsed_ms = prefill.tokens, prefill.elapsed_ms
        self.weight = self.weight * keep + 1
        self.tokens = self.tokens * keep + tokens
        self.elapsed = self.elapsed * keep + elapsed_ms
        self.tokens_squared = self.tokens_squared * keep + tokens * tokens
        self.product = self.product * keep + tokens * elapsed_ms

    def speed_of(self, prefill: PrefillTime) -> float:
        """Return how much faster than expected a prefill was."""
        mean_tokens = self.tokens / self.weight
        mean_elapsed = self.elapsed / self.weight
        # Without different sizes, all of the time is taken to grow with the prompt.
        ms_per_token = mean_elapsed / mean_tokens
        variance = self.tokens_squared / self.weight - mean_tokens**2
        if variance > 0:
            covariance = self.product / self.weight - mean_tokens * mean_elapsed
            least = (1 - MAX_FIXED_SHARE) * ms_per_token
            ms_per_token = min(max(least, covariance / variance), ms_per_token)
        fixed_ms = mean_elapsed - ms_per_token * mean_tokens
        expected_ms = ms_per_token * prefill.tokens
        measured_ms = prefill.elapsed_ms - fixed_ms
        return expected_ms / max(measured_ms, MIN_TIME_SHARE * expected_ms)


class EngineSpeeds:
    """
    The speeds of all engines, from what hosts report.

    Attributes
    ----------
    speeds : dict of str to float
        Speed of each engine of a service whose engines differ, relative to the median
        engine. Engines that aren't named have none, or an unknown one.
    """

    def __init__(self) -> None:
        self.speeds: dict[str, float] = {}
        self._expected: dict[Hashable, _ExpectedTime] = {}
        # The speeds of the latest prefills, by engine.
        self._observed: dict[str, deque[float]] = {}

    def record(
        self, engine: str, service: Hashable, prefills: Iterable[PrefillTime]
    ) -> None:
        """
        Add prefills of an engine.

        Parameters
        ----------
        engine : str
            Name of the engine.
        service : hashable
            Its service.
        prefills : iterable of PrefillTime
            What a host has measured, on an engine without a queue.
        """
        expected = self._expected.setdefault(service, _ExpectedTime())
        observed = self._observed.setdefault(engine, deque(maxlen=MAX_PREFILLS))
        for prefill in prefills:
            if prefill.tokens > 0 and prefill.elapsed_ms > 0:
                expected.record(prefill)
                observed.append(expected.speed_of(prefill))

    def update(self, service_of: Callable[[str], Hashable | None]) -> bool:
        """
        Determine the speeds; return whether they changed.

        Parameters
        ----------
        service_of : callable
            Returns the service of an engine; None for one that is not listed.
        """
        by_service: dict[Hashable, dict[str, float]] = {}
        for engine, observed in list(self._observed.items()):
            service = service_of(engine)
            if service is None:
                del self._observed[engine]
            elif len(observed) >= MIN_PREFILLS:
                by_service.setdefault(service, {})[engine] = median(observed)
        speeds: dict[str, float] = {}
        for estimates in by_service.values():
            if _are_uneven(estimates):
                speeds |= self._relative(estimates)
        is_changed, self.speeds = speeds != self.speeds, speeds
        return is_changed

    def _relative(self, estimates: Mapping[str, float]) -> dict[str, float]:
        """Return speeds relative to the median engine; those that waver are kept."""
        middle = median(estimates.values())
        speeds = {}
        for engine, estimate in estimates.items():
            speed = min(max(estimate / middle, MIN_SPEED), MAX_SPEED)
            known = self.speeds.get(engine)
            if known is None or abs(speed - known) > MIN_CHANGE * known:
                known = round(speed, 2)
            speeds[engine] = known
        return speeds


def _are_uneven(estimates: Mapping[str, float]) -> bool:
    """Tell whether a fifth of the engines is faster than another fifth by much."""
    if len(estimates) < 3:
        return False
    fifths = quantiles(estimates.values(), n=5, method="inclusive")
    return fifths[-1] >= UNEVEN_FACTOR * fifths[0]
