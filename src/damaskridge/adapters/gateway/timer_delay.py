"""Tells whether a timeout passed because the process itself stood still."""

__all__ = ["was_suspended"]

# If a timeout fires later than this, the process itself was suspended or blocked.
MAX_TIMER_DELAY_S = 0.1


def was_suspended(deadline_s: float, now_s: float) -> bool:
    """
    Tell whether a timeout fired so late that it says nothing about the other side.

    Parameters
    ----------
    deadline_s : float
        When the timeout was due.
    now_s : float
        When it fired, on the same clock.
    """
    return now_s > deadline_s + MAX_TIMER_DELAY_S
