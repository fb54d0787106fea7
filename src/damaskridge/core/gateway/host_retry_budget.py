"""Takes repeats of all services from one host's part of the retry budgets."""

from damaskridge.core.gateway.retry_bucket import RetryPart, RetryShare, part_of

__all__ = ["HostRetryBudget"]


class HostRetryBudget:
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
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_s = started_s
        self._part = RetryPart()
        self._shares: dict[str, RetryShare] = {}

    def set_host_counts(self, *, hosts: int, used_hosts: int, is_used: bool) -> None:
        """Take this host's part, with so many hosts in the fleet and in use."""
        self._part = part_of(
            self._allowance, hosts=hosts, used_hosts=used_hosts, is_used=is_used
        )

    def earn(self, service: str, now_s: float) -> None:
        """Count one request for a service."""
        self._share(service).earn(self._part, now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Take one additional send; `False` if none is left."""
        return self._share(service).spend(self._part, now_s)

    def left(self, service: str) -> float:
        """Return the additional sends that were left after the last change."""
        return self._share(service).level

    def _share(self, service: str) -> RetryShare:
        if service not in self._shares:
            self._shares[service] = RetryShare(
                self._ratio, self._window_s, self._started_s
            )
        return self._shares[service]
