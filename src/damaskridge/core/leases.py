"""Leases on clocks that run at different rates.

The holder counts from the moment it sent the request for renewal, the granter
from the moment it received it, so the holder's lease always ends first.

>>> lease = HolderLease()
>>> lease.renew(sent_s=100.0, duration_s=3.0)
>>> lease.is_valid(now_s=102.9)
True
>>> lease.is_valid(now_s=102.95)
False
"""

__all__ = ["CLOCK_DRIFT", "SESSION_DURATION_S", "SESSION_RENEWAL_S", "HolderLease"]

CLOCK_DRIFT = 0.01
SESSION_DURATION_S = 3.0
SESSION_RENEWAL_S = 0.75


class HolderLease:
    """
    The holder's side of a lease.

    The duration is shortened by twice `CLOCK_DRIFT`, because the holder's clock
    may be slow while the granter's is fast.
    """

    def __init__(self) -> None:
        self._ends_s = float("-inf")

    def renew(self, sent_s: float, duration_s: float) -> None:
        """Extend the lease; a late answer to an older renewal never shortens it."""
        self._ends_s = max(self._ends_s, sent_s + duration_s * (1 - 2 * CLOCK_DRIFT))

    def end(self) -> None:
        """Give the lease up at once."""
        self._ends_s = float("-inf")

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the lease is held at `now_s`."""
        return now_s < self._ends_s

    def remaining_s(self, now_s: float) -> float:
        """Return the time left, 0 if the lease has ended."""
        return max(0.0, self._ends_s - now_s)
