"""Refuses requests at once that would wait in the queue for too long."""

import random

from damaskridge.core.scheduling.urgency import Level

__all__ = ["OverloadControl"]

# Longer than a burst at full load lasts, so that only sustained overload refuses.
_MAX_URGENT_WAIT_S = 5.0
_MAX_BULK_WAIT_S = 120.0
_MAX_JITTER_RATIO = 0.5


class OverloadControl:
    """
    Decides on admission by the expected wait of a new request.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter on retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def retry_after_s(self, level: Level, wait_s: float) -> float | None:
        """Return when the caller may retry, or `None` if the request is admitted."""
        limit_s = _MAX_BULK_WAIT_S if level is Level.BULK else _MAX_URGENT_WAIT_S
        excess_s = wait_s - limit_s
        return self.with_jitter_s(1.0 + excess_s) if excess_s > 0 else None

    def with_jitter_s(self, wait_s: float) -> float:
        """Return `wait_s` plus random jitter in proportion to it."""
        return wait_s * (1 + _MAX_JITTER_RATIO * self._rng.random())
