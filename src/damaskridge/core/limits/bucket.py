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
    The tokens that a workspace may use.

    The refill rate is reduced by `CLOCK_DRIFT`, because the owner's clock may run
    faster by that factor. All amounts are integer units: fractions are rounded down
    when tokens are added and up when they are removed.

    Parameters
    ----------
    rate_tokens_per_s, burst_tokens : float
        Refill rate and capacity.
    level_tokens : float
        Initial level; 0 after a crash of the previous owner.
    now_s : float
        Current time, in seconds.
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
        """Apply a new rate and capacity as of `now_s`."""
        self._refill(now_s)
        self._set_limits(rate_tokens_per_s, burst_tokens)
        self._level = min(self._level, self._burst)

    def acquire(self, tokens: int, now_s: float) -> bool:
        """Remove `tokens` if the bucket holds all of them."""
        self._refill(now_s)
        units = tokens * _UNITS_PER_TOKEN
        if units > self._level:
            return False
        self._level -= units
        self._total_granted += units
        self._check_invariants()
        return True

    def refund(self, tokens: int, now_s: float) -> None:
        """Put back unused `tokens` that were acquired from this bucket."""
        self._refill(now_s)
        units = tokens * _UNITS_PER_TOKEN
        self._total_granted -= units
        self._level = min(self._level + units, self._burst)
        self._check_invariants()

    def level_tokens(self, now_s: float) -> float:
        """Return the level, rounded down to an integer number of tokens."""
        self._refill(now_s)
        return float(self._level // _UNITS_PER_TOKEN)

    def seconds_until(self, tokens: int, now_s: float) -> float:
        """Return the time until the level reaches `tokens`, ignoring the capacity."""
        self._refill(now_s)
        missing = tokens * _UNITS_PER_TOKEN - self._level
        if missing <= 0:
            return 0.0
        if self._rate == 0:
            return float("inf")
        # One extra nanosecond, so that rounding doesn't leave the level short at that
        # time.
        return (-(-missing // self._rate) + 1) / _NS_PER_S

    def _set_limits(self, rate_tokens_per_s: float, burst_tokens: float) -> None:
        reduced_rate = rate_tokens_per_s * (1 - CLOCK_DRIFT)
        self._rate = int(reduced_rate * _UNITS_PER_TOKEN / _NS_PER_S)
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
        assert self._level >= 0, "the level of a bucket is negative"
        assert self._total_granted + self._level <= self._total_added, (
            "grants less refunds exceed burst plus rate times time"
        )
