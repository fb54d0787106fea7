"""Decides which requests a host that is being stopped can still finish.

>>> deadline = StopDeadline()
>>> deadline.can_finish("app", limit_s=30.0, may_be_cut=False, now_s=0.0)
True
>>> deadline.begin(now_s=0.0, ends_s=10.0)
>>> deadline.can_finish("app", limit_s=0.8, may_be_cut=False, now_s=9.0)
True
>>> deadline.can_finish("app", limit_s=30.0, may_be_cut=False, now_s=1.0)
False
>>> deadline.can_finish("app", limit_s=30.0, may_be_cut=True, now_s=1.0)
True
>>> deadline.can_finish("app", limit_s=30.0, may_be_cut=True, now_s=4.0)
False
"""

from collections import deque

__all__ = ["StopDeadline"]

# Duration of a request of a service that has none on record.
DEFAULT_DURATION_S = 3.0
# Number of latest durations that are kept of each service.
DURATION_WINDOW = 64
# A request may take longer than the longest of the latest ones.
DURATION_MARGIN = 1.5
# Callers that send 3 seconds after the stop have had time to learn of it, and their
# requests must not be cut. The difference covers a signal that is handled late.
ESTIMATE_PERIOD_S = 2.5


class StopDeadline:
    """The end of a planned stop, and how long requests take."""

    def __init__(self) -> None:
        self._estimates_until_s = float("inf")
        self._ends_s = float("inf")
        self._durations_s: dict[str, deque[float]] = {}

    def begin(self, *, now_s: float, ends_s: float) -> None:
        """
        Begin the stop.

        Parameters
        ----------
        now_s : float
            Current time.
        ends_s : float
            Time at which requests that are still running are ended.
        """
        self._estimates_until_s = now_s + ESTIMATE_PERIOD_S
        self._ends_s = ends_s

    def record_duration(self, service: str, duration_s: float) -> None:
        """Record how long a request of a service took."""
        durations_s = self._durations_s.setdefault(
            service, deque(maxlen=DURATION_WINDOW)
        )
        durations_s.append(duration_s)

    def can_finish(
        self, service: str, *, limit_s: float, may_be_cut: bool, now_s: float
    ) -> bool:
        """
        Return whether a request that has just been read will end in time.

        The longest of the latest requests says nothing on one that is rarer, so that
        an estimate of the duration counts only at the beginning of the stop.

        Parameters
        ----------
        service : str
            Service that runs it.
        limit_s : float
            Its time limit.
        may_be_cut : bool
            Whether an estimate of its duration will do at the beginning of the stop.
        now_s : float
            Current time.
        """
        needed_s = limit_s
        if may_be_cut and now_s <= self._estimates_until_s:
            longest_s = max(
                self._durations_s.get(service, ()), default=DEFAULT_DURATION_S
            )
            needed_s = min(limit_s, DURATION_MARGIN * longest_s)
        return now_s + needed_s <= self._ends_s
