"""What a host has sent lately, and the permits that it holds for limited instances.

A permit is used once, and only until it expires: a request that a delayed host sends
later would add to those that the leader has permitted since.

>>> permits, server = HeldPermits(), InstanceId("a")
>>> permits.add(server, until_s=10.0)
>>> permits.use(server, now_s=9.0), permits.use(server, now_s=9.0)
(True, False)
"""

from bisect import insort
from collections import deque

from damaskridge.model.gateway import InstanceId

__all__ = ["HeldPermits", "RecentSends"]

# Longer than a limit takes from a server's response to all hosts.
RECENT_S = 1.0


class HeldPermits:
    """The unused permits of one host, by instance."""

    def __init__(self) -> None:
        # Expiry times in ascending order.
        self._until_s: dict[InstanceId, list[float]] = {}

    def add(self, server: InstanceId, until_s: float) -> None:
        """Add a permit for one request that expires at `until_s`."""
        insort(self._until_s.setdefault(server, []), until_s)

    def use(self, server: InstanceId, now_s: float) -> bool:
        """Use the permit that expires first; return `False` if there is none."""
        held = [until_s for until_s in self._until_s.pop(server, ()) if until_s > now_s]
        if len(held) > 1:
            self._until_s[server] = held[1:]
        return bool(held)


class RecentSends:
    """Times of the requests that one host has sent lately, by instance."""

    def __init__(self) -> None:
        self._sent_s: dict[InstanceId, deque[float]] = {}

    def record(self, server: InstanceId, now_s: float) -> None:
        """Record one request."""
        sent = self._sent_s.setdefault(server, deque())
        sent.append(now_s)
        while sent[0] <= now_s - RECENT_S:
            sent.popleft()

    def count(self, server: InstanceId, now_s: float) -> int:
        """Return how many requests were sent within `RECENT_S`."""
        sent = self._sent_s.get(server, ())
        return sum(sent_s > now_s - RECENT_S for sent_s in sent)

    def forget(self, server: InstanceId) -> None:
        """Forget the requests to an instance."""
        self._sent_s.pop(server, None)
