"""What a host has sent lately, and the permits that it holds for limited instances.

A permit is used once, and only until it expires: a request that a delayed host sends
later would add to those that the leader has permitted since.

>>> permits, server = HeldPermits(), InstanceId("a")
>>> permits.add(server, until_s=10.0)
>>> permits.use(server, now_s=9.0), permits.use(server, now_s=9.0)
(True, False)
"""

from bisect import insort
from collections import Counter, deque

from damaskridge.model.gateway import InstanceId
from damaskridge.model.server_limits import LIMIT_WINDOW_S, SendsCharged

__all__ = ["HeldPermits", "RecentSends"]

# Requests of this time are reported with one age, at most that of the latest.
AGE_STEP_S = 0.25


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

    def count(self, server: InstanceId, now_s: float) -> int:
        """Return the number of permits for a server that have not expired."""
        return sum(until_s > now_s for until_s in self._until_s.get(server, ()))


class RecentSends:
    """Times of the requests that one host has sent lately."""

    def __init__(self) -> None:
        self._sends: deque[tuple[float, InstanceId]] = deque()

    def record(self, server: InstanceId, now_s: float) -> None:
        """Record one request."""
        self._sends.append((now_s, server))
        while self._sends[0][0] <= now_s - LIMIT_WINDOW_S:
            self._sends.popleft()

    def by_age(self, server: InstanceId, now_s: float) -> tuple[SendsCharged, ...]:
        """Return the requests to a server that its window may contain, oldest first."""
        ages_s = (now_s - sent_s for sent_s, to in self._sends if to == server)
        steps = Counter(
            int(age_s / AGE_STEP_S) for age_s in ages_s if age_s < LIMIT_WINDOW_S
        )
        return tuple(
            SendsCharged(server, sends, step * AGE_STEP_S)
            for step, sends in sorted(steps.items(), reverse=True)
        )
