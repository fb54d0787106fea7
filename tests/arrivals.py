"""The requests that reach a server which has named a limit, against that limit."""

WINDOW_S = 4.0
# The tolerance that is granted beyond the limit: a factor, and a number of requests.
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
# From this time after a server has first named its limit, the limit binds all hosts.
BINDS_AFTER_S = 3.0


def allowed_in_window(limit_per_s):
    """Return how many requests are tolerated in a window."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


class ArrivalLog:
    """
    Times at which requests reach a server, and the limit that it names then.

    A window that ends while the limit binds counts with all its arrivals, also those
    before the limit, unless these alone exceed what is tolerated.

    Attributes
    ----------
    excess : float
        By how many requests the worst window so far exceeds what is tolerated.
    worst : str
        Describes that window.
    """

    def __init__(self):
        self._limited_since_s = None
        self._recent_s = []
        self.excess = float("-inf")
        self.worst = ""

    def add(self, now_s, *, limit_per_s):
        """Record one arrival; `limit_per_s` is `None` if the server names no limit."""
        self._recent_s = [at_s for at_s in self._recent_s if at_s > now_s - WINDOW_S]
        self._recent_s.append(now_s)
        if limit_per_s is None:
            self._limited_since_s = None
            return
        if self._limited_since_s is None:
            self._limited_since_s = now_s
        if now_s >= self._limited_since_s + BINDS_AFTER_S:
            self._check_window(now_s, limit_per_s)

    def _check_window(self, now_s, limit_per_s):
        count, allowed = len(self._recent_s), allowed_in_window(limit_per_s)
        earlier = sum(at_s < self._limited_since_s for at_s in self._recent_s)
        if earlier > allowed:
            # Nobody can take back what was sent before the limit was named.
            return
        if count - allowed > self.excess:
            self.excess = count - allowed
            self.worst = (
                f"{count} requests in {WINDOW_S:g} s, {earlier} of them before the "
                f"limit of {limit_per_s:g} was named, {allowed:g} allowed, "
                f"{now_s - self._limited_since_s:.1f} s after it was named"
            )

    def check(self):
        """Check that no window exceeds what is tolerated."""
        assert self.excess <= 0, self.worst
