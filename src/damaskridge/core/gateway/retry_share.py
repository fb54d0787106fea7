"""Bounds the sends beyond each request's first, over all hosts together.

Every host has a part of the fixed allowance and earns its part of the share of
requests by its own requests, so that no retry waits for another host. A bucket is
empty when its process starts: a process that was there before on the same host may
have spent everything a moment ago, and nobody knows.
"""

__all__ = ["RetryShare"]

# Part of the allowance that is the size of the bucket. The rest is its refill in one
# window, so that any window stays within the whole.
BUCKET_PART = 0.7


class RetryShare:
    """
    One host's budget of additional sends to one service.

    Parameters
    ----------
    ratio : float
        Additional sends that each request earns.
    allowance : float
        Additional sends of all hosts in one window.
    window_s : float
        The window, in seconds.
    started_s : float
        When this process started.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._level = 0.0
        self._refilled_s = started_s

    @property
    def level(self) -> float:
        """Additional sends that are left, as of the last change."""
        return self._level

    def earn(self, part: float, now_s: float) -> None:
        """Count one request; `part` of the allowance belongs to this host."""
        self._refill(part, now_s)
        self._level = min(self._level + self._ratio, self._capacity(part))

    def spend(self, part: float, now_s: float) -> bool:
        """Take one additional send; `False` if none is left."""
        self._refill(part, now_s)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _capacity(self, part: float) -> float:
        return max(1.0, BUCKET_PART * self._allowance * part)

    def _refill(self, part: float, now_s: float) -> None:
        capacity = self._capacity(part)
        elapsed_s = max(0.0, now_s - self._refilled_s)
        refill = (1 - BUCKET_PART) / BUCKET_PART * capacity
        gained = elapsed_s * refill / self._window_s
        self._level = min(capacity, self._level + gained)
        self._refilled_s = now_s
