"""Decides when a member reports that its group has no leader."""

__all__ = ["LeaderAbsence"]

# An election takes less than a second, so that an absence of this length is unusual.
FIRST_REPORT_S = 2.0
REPORT_INTERVAL_S = 5.0


class LeaderAbsence:
    """
    Time without a known leader, reported once it is unusual and then periodically.

    Parameters
    ----------
    now_s : float
        Current time; a member that has just started knows no leader.

    Examples
    --------
    >>> absence = LeaderAbsence(now_s=0.0)
    >>> absence.update(False, now_s=1.0), absence.update(False, now_s=2.5)
    (None, 2.5)
    >>> absence.update(False, now_s=3.0), absence.update(True, now_s=4.0)
    (None, None)
    """

    def __init__(self, now_s: float) -> None:
        self._since_s = now_s
        self._next_report_s = now_s + FIRST_REPORT_S

    def update(self, has_leader: bool, now_s: float) -> float | None:
        """Return for how many seconds there was no leader if a report is due."""
        if has_leader:
            self._since_s = now_s
            self._next_report_s = now_s + FIRST_REPORT_S
            return None
        if now_s < self._next_report_s:
            return None
        self._next_report_s = now_s + REPORT_INTERVAL_S
        return now_s - self._since_s
