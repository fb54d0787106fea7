"""Bounds the sends beyond each request's first, over all hosts together.

Every host has a part of the fixed allowance and earns its part of the share of
requests by its own requests, so that no retry waits for another host. A bucket is
empty when its process starts: a process that was there before on the same host may
have spent everything a moment ago, and nobody knows.

A send can't be divided, so that each host may hold one that its requests have earned.
What these leave of the allowance is shared among the hosts that callers are sent to.

>>> part_of(100.0, hosts=40, used_hosts=10, is_used=True)
RetryPart(fixed=6.0, held=1.0)
>>> part_of(100.0, hosts=40, used_hosts=10, is_used=False)
RetryPart(fixed=0.0, held=1.0)
"""

from dataclasses import dataclass

__all__ = ["RetryPart", "RetryShare", "part_of"]

# Part of the fixed sends that a bucket holds. The rest is its refill in one window, so
# that any window stays within the whole.
BUCKET_PART = 0.7


@dataclass(frozen=True, slots=True)
class RetryPart:
    """
    What one host may hold of the allowance.

    Parameters
    ----------
    fixed : float
        Sends in one window, whatever the host's requests.
    held : float
        Most sends that its requests earn and that it keeps on top.
    """

    fixed: float = 0.0
    held: float = 0.0


def part_of(
    allowance: float, *, hosts: int, used_hosts: int, is_used: bool
) -> RetryPart:
    """
    Return the part of one host; the parts of all hosts add up to the allowance.

    Parameters
    ----------
    allowance : float
        Additional sends of all hosts in one window.
    hosts, used_hosts : int
        All hosts, and those that callers are sent to.
    is_used : bool
        Whether callers are sent to this host.
    """
    held = min(1.0, allowance / hosts)
    if not is_used:
        return RetryPart(held=held)
    return RetryPart(fixed=(allowance - held * hosts) / used_hosts, held=held)


class RetryShare:
    """
    One host's budget of additional sends to one service.

    Parameters
    ----------
    ratio : float
        Additional sends that each request earns.
    window_s : float
        The window, in seconds.
    started_s : float
        When this process started.
    """

    def __init__(self, ratio: float, window_s: float, started_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._level = 0.0
        self._refilled_s = started_s

    @property
    def level(self) -> float:
        """Additional sends that are left, as of the last change."""
        return self._level

    def earn(self, part: RetryPart, now_s: float) -> None:
        """Count one request."""
        self._refill(part, now_s)
        self._level = min(self._level + self._ratio, _capacity(part))

    def spend(self, part: RetryPart, now_s: float) -> bool:
        """Take one additional send; `False` if none is left."""
        self._refill(part, now_s)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _refill(self, part: RetryPart, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        gained = elapsed_s * (1 - BUCKET_PART) * part.fixed / self._window_s
        self._level = min(_capacity(part), self._level + gained)
        self._refilled_s = now_s


def _capacity(part: RetryPart) -> float:
    return part.held + BUCKET_PART * part.fixed
