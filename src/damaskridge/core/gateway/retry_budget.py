"""Takes repeats of all services from one host's part of the retry budgets."""

from damaskridge.core.gateway.retry_share import RetryShare

__all__ = ["RetryBudget"]


class RetryBudget:
    """
    One bucket for each service.

    Parameters
    ----------
    ratio : float
        Additional sends that each request earns.
    allowance : float
        Additional sends of all hosts to one service in one window.
    window_s : float
        The window, in seconds.
    started_s : float
        When this process started.

    Attributes
    ----------
    part : float
        This host's part of the allowance.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_s = started_s
        self._shares: dict[str, RetryShare] = {}
        self.part = 0.0

    def earn(self, service: str, now_s: float) -> None:
        """Count one request for a service."""
        self._share(service).earn(self.part, now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Take one additional send; `False` if none is left."""
        return self._share(service).spend(self.part, now_s)

    def left(self, service: str) -> float:
        """Return the additional sends that were left after the last change."""
        return self._share(service).level

    def _share(self, service: str) -> RetryShare:
        if service not in self._shares:
            self._shares[service] = RetryShare(
                self._ratio, self._allowance, self._window_s, self._started_s
            )
        return self._shares[service]
