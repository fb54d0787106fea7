"""Counts the entry hosts that share a budget.

A host that is partitioned from the control group loses its session but continues to
serve its callers from its share of the budgets. A smaller number of hosts therefore
takes effect only after a delay.
"""

from collections import deque

__all__ = ["MANY_HOSTS", "PeakHostCount"]

# Longer than network partitions and frozen processes last; a budget window is 10 s.
PEAK_WINDOW_S = 30.0
# From this number on, each host sees too few requests to know by itself how servers and
# workspaces fare; it then asks the leader, or is told by it. Fewer hosts decide alone.
MANY_HOSTS = 32


class PeakHostCount:
    """
    Largest number of hosts within a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window.
    """

    def __init__(self, window_s: float = PEAK_WINDOW_S) -> None:
        self._window_s = window_s
        # Strictly decreasing counts, each with the last time at which it was current.
        self._candidates: deque[tuple[int, float]] = deque()

    def update(self, hosts: int, now_s: float) -> int:
        """Record the current number; return the maximum of the window, at least 1."""
        if self._candidates:
            self._candidates[-1] = (self._candidates[-1][0], now_s)
        while self._candidates and self._candidates[-1][0] <= hosts:
            self._candidates.pop()
        self._candidates.append((hosts, now_s))
        while (
            len(self._candidates) > 1
            and self._candidates[0][1] < now_s - self._window_s
        ):
            self._candidates.popleft()
        return max(1, self._candidates[0][0])
