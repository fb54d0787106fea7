"""Limits the sends beyond the first of each request, over all hosts together.

The retry budget of the fleet is a fixed allowance per window plus a ratio of the
requests. Every host has a share of the allowance and earns the ratio of its own
requests, so that no retry waits for another host. A bucket is empty when its process
starts, because an earlier process on the same host may just have spent its share, and
that isn't recorded anywhere.

A send is indivisible, so every host may hold one that its requests have earned. These
are reserved from the allowance; the rest is divided among the hosts that callers are
sent to.

>>> host_retry_share(100.0, hosts=40, selected_hosts=10, is_selected=True)
HostRetryShare(fixed_per_window=6.0, max_earned=1.0)
>>> host_retry_share(100.0, hosts=40, selected_hosts=10, is_selected=False)
HostRetryShare(fixed_per_window=0.0, max_earned=1.0)
"""

from dataclasses import dataclass

__all__ = ["HostRetryShare", "RetryBucket", "host_retry_share"]

# Fraction of the fixed sends that is the bucket's capacity. The remaining fraction is
# the refill over one window, so that capacity plus refill never exceed the share.
BUCKET_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class HostRetryShare:
    """
    One host's share of the allowance.

    Parameters
    ----------
    fixed_per_window : float
        Extra sends in one window, independent of the host's requests.
    max_earned : float
        Capacity in addition to that for extra sends earned by requests.
    """

    fixed_per_window: float = 0.0
    max_earned: float = 0.0


def host_retry_share(
    allowance: float, *, hosts: int, selected_hosts: int, is_selected: bool
) -> HostRetryShare:
    """
    Return the share of one host; the shares of all hosts add up to the allowance.

    Parameters
    ----------
    allowance : float
        Extra sends of all hosts in one window.
    hosts, selected_hosts : int
        Number of all hosts, and of those that callers are sent to.
    is_selected : bool
        Whether callers are sent to this host.
    """
    max_earned = min(1.0, allowance / hosts)
    if not is_selected:
        return HostRetryShare(max_earned=max_earned)
    return HostRetryShare(
        fixed_per_window=(allowance - max_earned * hosts) / selected_hosts,
        max_earned=max_earned,
    )


class RetryBucket:
    """
    Token bucket of one host's extra sends to one service.

    Parameters
    ----------
    ratio : float
        Extra sends that each request earns.
    window_s : float
        Length of the budget window.
    started_s : float
        Start time of this process, when the bucket is empty.
    """

    def __init__(self, ratio: float, window_s: float, started_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._level = 0.0
        self._refilled_s = started_s

    @property
    def level(self) -> float:
        """Extra sends that were available after the last change."""
        return self._level

    def earn(self, share: HostRetryShare, now_s: float) -> None:
        """Add what one request earns."""
        self._refill(share, now_s)
        self._level = min(self._level + self._ratio, _capacity(share))

    def spend(self, share: HostRetryShare, now_s: float) -> bool:
        """Consume one extra send; return `False` if none is available."""
        self._refill(share, now_s)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _refill(self, share: HostRetryShare, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        added = elapsed_s * (1 - BUCKET_SHARE) * share.fixed_per_window / self._window_s
        self._level = min(_capacity(share), self._level + added)
        self._refilled_s = now_s


def _capacity(share: HostRetryShare) -> float:
    return share.max_earned + BUCKET_SHARE * share.fixed_per_window
