"""One host's share of the retry budgets of all services."""

from damaskridge.core.gateway.retry_bucket import (
    HostRetryShare,
    RetryBucket,
    host_retry_share,
)

__all__ = ["HostRetryBudget"]


class HostRetryBudget:
    """
    A retry bucket for each service.

    Parameters
    ----------
    ratio : float
        Extra sends that each request earns.
    allowance : float
        Extra sends of all hosts to one service in one window.
    window_s : float
        Length of the budget window.
    started_s : float
        Start time of this process.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_s = started_s
        self._share = HostRetryShare()
        self._buckets: dict[str, RetryBucket] = {}

    def set_host_counts(
        self, *, hosts: int, selected_hosts: int, is_selected: bool
    ) -> None:
        """
        Compute this host's share of the allowance again.

        Parameters
        ----------
        hosts, selected_hosts : int
            Number of all hosts, and of those that callers are sent to.
        is_selected : bool
            Whether callers are sent to this host.
        """
        self._share = host_retry_share(
            self._allowance,
            hosts=hosts,
            selected_hosts=selected_hosts,
            is_selected=is_selected,
        )

    def earn(self, service: str, now_s: float) -> None:
        """Add what one request for a service earns."""
        self._bucket(service).earn(self._share, now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Consume one extra send; return `False` if none is available."""
        return self._bucket(service).spend(self._share, now_s)

    def remaining(self, service: str) -> float:
        """Return the extra sends that were available after the last change."""
        return self._bucket(service).level

    def _bucket(self, service: str) -> RetryBucket:
        if service not in self._buckets:
            self._buckets[service] = RetryBucket(
                self._ratio, self._window_s, self._started_s
            )
        return self._buckets[service]
