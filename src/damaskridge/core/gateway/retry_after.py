"""Chooses when the callers of refused requests should retry.

A caller that is refused for lack of capacity retries within a third of its remaining
time. The times are randomised, so that callers that were refused together don't retry
together.
"""

import random

__all__ = ["RetryAfterTimes"]

# A full backend server has capacity again after about one response.
OVERLOAD_S = 0.15
# A decode engine has capacity again when generations end, after a few seconds. Callers
# that retry sooner meet the same burst and have only one more attempt.
ENGINE_FULL_S = 2.5
# A new or restarted instance is listed after about 1 s.
NO_SERVER_S = 0.8
# Time from the start of an entry host until it has its routes.
NOT_READY_S = 0.6
# Other hosts are ready while one is stopping.
STOPPING_S = 0.05
# Latest retry after a lack of capacity, as a share of the caller's remaining time.
MAX_REMAINING_SHARE = 0.3
# Upper limit for requests beyond the rate, also for a rate that is almost 0.
MAX_RATE_WAIT_S = 30.0
# Largest random extension, as a share of the time.
MAX_JITTER = 0.5


class RetryAfterTimes:
    """
    Values of the header `Retry-After`, in seconds, by the reason of the refusal.

    Arguments named `left_s` are the caller's remaining time.

    Parameters
    ----------
    rng : random.Random
        Randomises the times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def overloaded_s(self, left_s: float) -> float:
        """Return the time after which a full server may have capacity."""
        return self._jittered(OVERLOAD_S, left_s)

    def engine_full_s(self, left_s: float) -> float:
        """Return the time after which a decode engine may have capacity."""
        return self._jittered(ENGINE_FULL_S, left_s)

    def no_server_s(self, left_s: float) -> float:
        """Return the time after which an instance may be available."""
        return self._jittered(NO_SERVER_S, left_s)

    def paused_s(self, pause_s: float) -> float:
        """Return a time that is never before the end of a server's pause."""
        return self._jittered(pause_s, float("inf"))

    def quarantine_s(self, left_s: float) -> float:
        """Return a time that is never before the end of a quarantine."""
        return self._jittered(left_s, float("inf"))

    def not_ready_s(self) -> float:
        """Return the time after which this host may have its routes."""
        return self._jittered(NOT_READY_S, float("inf"))

    def stopping_s(self) -> float:
        """Return the time after which another host may be tried."""
        return self._jittered(STOPPING_S, float("inf"))

    def over_rate_s(self, wait_s: float) -> float:
        """Return the time after which the workspace's rate allows the request."""
        return self._jittered(min(wait_s, MAX_RATE_WAIT_S), float("inf"))

    def _jittered(self, wait_s: float, left_s: float) -> float:
        jittered_s = wait_s * self._rng.uniform(1.0, 1.0 + MAX_JITTER)
        return max(0.0, min(jittered_s, MAX_REMAINING_SHARE * max(0.0, left_s)))
