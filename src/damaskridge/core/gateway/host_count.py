"""How many entry hosts share a budget.

A host that is cut off from the control group loses its session, and still serves its
callers from its part of the budgets. So a smaller number counts only after a while.
"""

from collections import deque

__all__ = ["PeakHostCount"]

# Longer than cuts and freezes last; a budget window is 10 s.
KEEP_S = 30.0


class PeakHostCount:
    """
    The largest number of hosts of late.

    Parameters
    ----------
    keep_s : float
        Time for which a larger number counts.
    """

    def __init__(self, keep_s: float = KEEP_S) -> None:
        self._keep_s = keep_s
        # Numbers that fall from left to right, each with the end of its time.
        self._seen: deque[tuple[int, float]] = deque()

    def update(self, hosts: int, now_s: float) -> int:
        """Note the present number; returns the one to share by, at least 1."""
        if self._seen:
            self._seen[-1] = (self._seen[-1][0], now_s)
        while self._seen and self._seen[-1][0] <= hosts:
            self._seen.pop()
        self._seen.append((hosts, now_s))
        while len(self._seen) > 1 and self._seen[0][1] < now_s - self._keep_s:
            self._seen.popleft()
        return max(1, self._seen[0][0])
