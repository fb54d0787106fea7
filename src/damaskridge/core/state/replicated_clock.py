"""
The clock from which a leader takes the timestamps of commands.

Its rate is limited by the monotonic clock.

>>> clock = ReplicatedClock(now_s=0.0)
>>> clock.next_timestamp_ms(wall_ms=5_000, now_s=0.0)
5000
>>> clock.next_timestamp_ms(wall_ms=99_000, now_s=1.0)
6100
>>> clock.next_timestamp_ms(wall_ms=1_000, now_s=2.0)
6100
"""

__all__ = ["MAX_CLOCK_RATE", "ReplicatedClock"]

# If the wall clock jumps ahead, retentions are shortened by at most a tenth. After an
# outage of the whole group, timestamps catch up with the wall clock at this rate.
MAX_CLOCK_RATE = 1.1


class ReplicatedClock:
    """
    A clock that never goes back and runs at most `MAX_CLOCK_RATE` times real time.

    Only the first timestamp of a new group is the wall clock without a limit.

    Parameters
    ----------
    now_s : float
        The monotonic time.

    Attributes
    ----------
    last_timestamp_ms : int
        The largest timestamp issued or observed; 0 before the first.
    """

    def __init__(self, now_s: float) -> None:
        self.last_timestamp_ms = 0
        self._max_timestamp_ms = 0.0
        self._updated_s = now_s

    def observe_timestamp(self, at_ms: int, now_s: float) -> None:
        """Record the timestamp of a command of the log."""
        if at_ms > self.last_timestamp_ms:
            self.last_timestamp_ms = at_ms
            self._max_timestamp_ms, self._updated_s = float(at_ms), now_s

    def next_timestamp_ms(self, wall_ms: int, now_s: float) -> int:
        """Return the timestamp for a new command."""
        if not self.last_timestamp_ms:
            self._max_timestamp_ms = float(wall_ms)
        else:
            self._max_timestamp_ms += (now_s - self._updated_s) * 1000 * MAX_CLOCK_RATE
        self._updated_s = now_s
        self.last_timestamp_ms = max(
            self.last_timestamp_ms, min(wall_ms, int(self._max_timestamp_ms))
        )
        # While the wall clock runs slower than the limit, the difference must not
        # accumulate, because it would allow a jump later.
        self._max_timestamp_ms = min(
            self._max_timestamp_ms, max(wall_ms, self.last_timestamp_ms) + 1.0
        )
        return self.last_timestamp_ms
