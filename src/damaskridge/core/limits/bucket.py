"""A token bucket in integer arithmetic, so that rounding never adds tokens.

>>> bucket = TokenBucket(100.0, 50.0, level_tokens=50.0, now_s=0.0)
>>> bucket.acquire(50, now_s=0.0), bucket.acquire(1, now_s=0.0)
(True, False)
>>> round(bucket.seconds_until(99, now_s=0.0), 3)
1.0
"""

from damaskridge.core.leases import CLOCK_DRIFT

__all__ = ["TokenBucket"]

_UNITS_PER_TOKEN = 10**15
_NS_PER_S = 10**9


class TokenBucket:
    """
    Counts what a workspace may still use.

    The bucket fills `CLOCK_DRIFT` slower than the rate, because the owner's clock
    may run that much fast. All amounts are integers: a fraction of a token is
    rounded down when it enters and up when it leaves.

    Parameters
    ----------
    rate_tokens_per_s, burst_tokens : float
        Rate and capacity.
    level_tokens : float
        What is in the bucket at the start: 0 after the crash of an owner.
    now_s : float
        Time of the start, in seconds.
    """

    def __init__(
        self,
        rate_tokens_per_s: float,
        burst_tokens: float,
        level_tokens: float,
        now_s: float,
    ) -> None:
        self._updated_ns = int(now_s * _NS_PER_S)
        self._level = 0
        self._rate = self._burst = 0
        self._set_limits(rate_tokens_per_s, burst_tokens)
        self._level = min(int(level_tokens * _UNITS_PER_TOKEN), self._burst)
        self._total_added = self._level
        self._total_granted = 0

    @property
    def burst_tokens(self) -> float:
        """The capacity."""
        return self._burst / _UNITS_PER_TOKEN

    def change_limits(
        self, rate_tokens_per_s: float, burst_tokens: float, now_s: float
    ) -> None:
        """Apply a new rate and capacity from `now_s` on."""
        self._refill(now_s)
        self._set_limits(rate_tokens_per_s, burst_tokens)
        self._level = min(self._level, self._burst)

    def acquire(self, tokens: int, now_s: float) -> bool:
        """Take `tokens` if all of them are there."""
        self._refill(now_s)
        units = tokens * _UNITS_PER_TOKEN
        if units > self._level:
            return False
        self._level -= units
        self._total_granted += units
        self._check_invariants()
        return True

    def refund(self, tokens: int, now_s: float) -> None:
        """Return `tokens` that were taken from this bucket."""
        self._refill(now_s)
        units = tokens * _UNITS_PER_TOKEN
        self._total_granted -= units
        self._level = min(self._level + units, self._burst)
        self._check_invariants()

    def level_tokens(self, now_s: float) -> float:
        """Return what is in the bucket, rounded down to whole tokens."""
        self._refill(now_s)
        return float(self._level // _UNITS_PER_TOKEN)

    def seconds_until(self, tokens: int, now_s: float) -> float:
        """Return the time until `tokens` have come in, ignoring the capacity."""
        self._refill(now_s)
        missing = tokens * _UNITS_PER_TOKEN - self._level
        if missing <= 0:
            return 0.0
        if self._rate == 0:
            return float("inf")
        # One nanosecond more, so that the bucket can pay when the time has passed.
        return (-(-missing // self._rate) + 1) / _NS_PER_S

    def _set_limits(self, rate_tokens_per_s: float, burst_tokens: float) -> None:
        slowed = rate_tokens_per_s * (1 - CLOCK_DRIFT)
        self._rate = int(slowed * _UNITS_PER_TOKEN / _NS_PER_S)
        self._burst = int(burst_tokens * _UNITS_PER_TOKEN)

    def _refill(self, now_s: float) -> None:
        now_ns = int(now_s * _NS_PER_S)
        if now_ns <= self._updated_ns:
            return
        added = (now_ns - self._updated_ns) * self._rate
        self._updated_ns = now_ns
        self._total_added += added
        self._level = min(self._level + added, self._burst)

    def _check_invariants(self) -> None:
        assert self._level >= 0, "a bucket never holds less than nothing"
        assert self._total_granted + self._level <= self._total_added, (
            "grants less refunds stay within burst plus rate times time"
        )
