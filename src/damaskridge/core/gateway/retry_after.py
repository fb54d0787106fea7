"""When the callers of refused requests may come back.

A caller that is refused for lack of room comes back within a third of the time that it
has left. The times are spread, so that callers who were refused together do not return
together.
"""

import random

__all__ = ["RetryAfterTimes"]

# A backend server that is full has room again within about one answer.
OVERLOAD_S = 0.15
# A decode engine has room again when generations end, which last a few seconds. Callers
# who return sooner meet the same burst and have only one more try.
ENGINE_FULL_S = 2.5
# A new backend server, or one that was restarted, is listed after about a second.
NO_SERVER_S = 0.8
# An entry host has its routes about this long after it started.
NOT_READY_S = 0.6
# A request that crashed servers stays under suspicion for a minute.
QUARANTINE_S = 60.0
MAX_REMAINING_SHARE = 0.3
# A workspace without any rate is told this.
MAX_RATE_WAIT_S = 30.0
MAX_JITTER = 0.5


class RetryAfterTimes:
    """
    Times for `Retry-After`.

    Parameters
    ----------
    rng : random.Random
        Spreads the times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def overloaded_s(self, left_s: float) -> float:
        """Return the time after which a full server may have room."""
        return self._jittered(OVERLOAD_S, left_s)

    def engine_full_s(self, left_s: float) -> float:
        """Return the time after which a decode engine may have room."""
        return self._jittered(ENGINE_FULL_S, left_s)

    def no_server_s(self, left_s: float) -> float:
        """Return the time after which a server may be there."""
        return self._jittered(NO_SERVER_S, left_s)

    def paused_s(self, pause_s: float) -> float:
        """Return the time after which a server takes work again, never sooner."""
        return self._jittered(pause_s, float("inf"))

    def suspect_s(self) -> float:
        """Return the time after which a request that crashed servers may be tried."""
        return self._jittered(QUARANTINE_S, float("inf"))

    def not_ready_s(self) -> float:
        """Return the time after which this host may know its routes."""
        return self._jittered(NOT_READY_S, float("inf"))

    def over_rate_s(self, wait_s: float) -> float:
        """Return the time after which the workspace's rate has room."""
        return self._jittered(min(wait_s, MAX_RATE_WAIT_S), float("inf"))

    def _jittered(self, wait_s: float, left_s: float) -> float:
        jittered_s = wait_s * self._rng.uniform(1.0, 1.0 + MAX_JITTER)
        return max(0.0, min(jittered_s, MAX_REMAINING_SHARE * max(0.0, left_s)))
