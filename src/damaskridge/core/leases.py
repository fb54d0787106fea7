"""Leases between hosts whose clocks run at different rates.

The holder counts from the time when it sent the renewal request and the granter from
the time when it received it, so the lease always expires first at the holder.

>>> lease = HolderLease()
>>> lease.renew(sent_s=100.0, duration_s=3.0)
>>> lease.is_valid(now_s=102.9)
True
>>> lease.is_valid(now_s=102.95)
False
"""

__all__ = ["CLOCK_DRIFT", "SESSION_DURATION_S", "SESSION_RENEWAL_S", "HolderLease"]

# Largest relative error of the rate of a clock.
CLOCK_DRIFT = 0.01
SESSION_DURATION_S = 3.0
SESSION_RENEWAL_S = 0.75


class HolderLease:
    """
    The holder's view of a lease.

    The duration is reduced by twice `CLOCK_DRIFT`, because the holder's clock may be
    slow while the granter's is fast.
    """

    def __init__(self) -> None:
        self._ends_s = float("-inf")

    def renew(self, sent_s: float, duration_s: float) -> None:
        """Extend the lease; a late response to an older renewal never shortens it."""
        self._ends_s = max(self._ends_s, sent_s + duration_s * (1 - 2 * CLOCK_DRIFT))

    def end(self) -> None:
        """End the lease immediately."""
        self._ends_s = float("-inf")

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the lease is valid at `now_s`."""
        return now_s < self._ends_s

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining time; 0 if the lease has expired."""
        return max(0.0, self._ends_s - now_s)
