"""The requests that reach a server which has named a limit, against that limit."""

WINDOW_S = 4.0
# The tolerance that is granted beyond the limit: a factor, and a number of requests.
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5


def allowed_in_window(limit_per_s):
    """Return how many requests are tolerated in a window."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


class ArrivalLog:
    """
    Times at which requests reach a server, and the limit that it names then.

    Parameters
    ----------
    binds_after_s : float
        Time from the first response with a limit until the limit binds. A window that
        ends later counts with all its arrivals, also those before the limit.
    """

    def __init__(self, binds_after_s):
        self._binds_after_s = binds_after_s
        self._limited_since_s = None
        self._recent_s = []
        # By how many requests the worst window so far exceeds what is tolerated.
        self.excess = float("-inf")

    def add(self, now_s, *, limit_per_s):
        """Record one arrival; `limit_per_s` is `None` if the server names no limit."""
        self._recent_s = [at_s for at_s in self._recent_s if at_s > now_s - WINDOW_S]
        self._recent_s.append(now_s)
        if limit_per_s is None:
            self._limited_since_s = None
            return
        if self._limited_since_s is None:
            self._limited_since_s = now_s
        if now_s >= self._limited_since_s + self._binds_after_s:
            excess = len(self._recent_s) - allowed_in_window(limit_per_s)
            self.excess = max(self.excess, excess)

    def check(self):
        """Check that no window exceeds what is tolerated."""
        assert self.excess <= 0, f"{self.excess:g} requests over the limit"
