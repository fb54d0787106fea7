"""The time that a leader stamps on commands, bounded by its monotonic clock.

>>> clock = ReplicatedClock(now_s=0.0)
>>> clock.next_timestamp_ms(wall_ms=5_000, now_s=0.0)
5000
>>> clock.next_timestamp_ms(wall_ms=99_000, now_s=1.0)
6100
>>> clock.next_timestamp_ms(wall_ms=1_000, now_s=2.0)
6100
"""

__all__ = ["MAX_RATE", "ReplicatedClock"]

# A wall clock that jumps ahead shortens every retention by at most a tenth. After a
# time in which the whole group was down the stamps catch up with this rate.
MAX_RATE = 1.1


class ReplicatedClock:
    """
    Never goes back, and runs at most `MAX_RATE` times as fast as real time.

    Only the first stamp of a new group takes the wall clock as it is.

    Parameters
    ----------
    now_s : float
        The monotonic clock.
    """

    def __init__(self, now_s: float) -> None:
        self.last_timestamp_ms = 0
        self._limit_ms = 0.0
        self._since_s = now_s

    def observe_timestamp(self, at_ms: int, now_s: float) -> None:
        """Record a stamp of the log."""
        if at_ms > self.last_timestamp_ms:
            self.last_timestamp_ms = at_ms
            self._limit_ms, self._since_s = float(at_ms), now_s

    def next_timestamp_ms(self, wall_ms: int, now_s: float) -> int:
        """Return the stamp of a new command."""
        if not self.last_timestamp_ms:
            self._limit_ms = float(wall_ms)
        else:
            self._limit_ms += (now_s - self._since_s) * 1000 * MAX_RATE
        self._since_s = now_s
        self.last_timestamp_ms = max(
            self.last_timestamp_ms, min(wall_ms, int(self._limit_ms))
        )
        # Time that the wall clock did not use is not saved up for a later jump.
        self._limit_ms = min(self._limit_ms, max(wall_ms, self.last_timestamp_ms) + 1.0)
        return self.last_timestamp_ms
