"""Finds backend servers that fail requests of many hosts, on the leader.

It answers servers that fail a large part of their requests while their health check is
good, or that have crashed, in fleets of many hosts: a host that sends a server a
request every few seconds takes long to notice, and each host has to fail by itself. A
server is failing if several hosts report failures and other servers of its kind do
better. After some seconds it is tried again.

>>> health = FleetHealth()
>>> for host in ("a", "b", "c"):
...     health.record(host, {"s1": Outcomes(good=0, failed=2)}, now_s=0.0)
>>> health.update(lambda server: "app", now_s=0.0), health.failing
(True, ('s1',))
>>> health.update(lambda server: "app", now_s=AVOIDANCE_S), health.failing
(True, ())
"""

from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field
from math import exp

from damaskridge.model.server_outcomes import Outcomes

__all__ = ["AVOIDANCE_S", "FleetHealth"]

# Time constant of the exponential weight of outcomes.
AVERAGING_S = 2.0
# A server is failing from this weighted number of failures, about three within half a
# second, by this many hosts: one host in trouble reports failures of all servers.
MIN_FAILURES = 2.5
MIN_HOSTS = 3
# Share of failures from which a server is failing.
FAILING_SHARE = 0.4
# If each other server of its kind fails more than this share, avoiding one is no help.
MAX_SHARE_OF_BEST = 0.2
# For how long a failing server is avoided before it is tried again.
AVOIDANCE_S = 3.0


@dataclass(slots=True)
class _Record:
    """Outcomes of one server, weighted by age, and when hosts reported failures."""

    good: float = 0.0
    failed: float = 0.0
    updated_s: float = 0.0
    failed_hosts: dict[Hashable, float] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """The share of failures."""
        total = self.good + self.failed
        return self.failed / total if total else 0.0

    def decay(self, now_s: float) -> None:
        """Reduce the weight of earlier outcomes."""
        weight = exp(min(0.0, self.updated_s - now_s) / AVERAGING_S)
        self.good, self.failed = self.good * weight, self.failed * weight
        self.updated_s = now_s

    def recent_hosts(self, now_s: float) -> int:
        """Return how many hosts have reported failures lately."""
        return sum(at_s > now_s - AVERAGING_S for at_s in self.failed_hosts.values())


class FleetHealth:
    """
    The outcomes of requests of all hosts, by server.

    Attributes
    ----------
    failing : tuple of str
        Names of the failing servers, sorted.
    """

    def __init__(self) -> None:
        self.failing: tuple[str, ...] = ()
        self._records: dict[str, _Record] = {}
        self._avoided_until_s: dict[str, float] = {}

    def record(
        self, host: Hashable, outcomes: Mapping[str, Outcomes], now_s: float
    ) -> None:
        """Add what a host has reported."""
        for server, outcome in outcomes.items():
            record = self._records.setdefault(server, _Record())
            record.decay(now_s)
            record.good += outcome.good
            record.failed += outcome.failed
            if outcome.failed:
                record.failed_hosts[host] = now_s

    def update(self, kind_of: Callable[[str], Hashable | None], now_s: float) -> bool:
        """
        Determine the failing servers; return whether they changed.

        Parameters
        ----------
        kind_of : callable
            Returns what the servers that can replace each other have in common; None
            for one that is not listed.
        now_s : float
            Current time.
        """
        kinds = {server: kind_of(server) for server in self._records}
        for server in [server for server, kind in kinds.items() if kind is None]:
            del self._records[server], kinds[server]
        for server, record in self._records.items():
            record.decay(now_s)
            if server not in self._avoided_until_s and self._is_failing(
                server, record, kinds, now_s
            ):
                self._avoided_until_s[server] = now_s + AVOIDANCE_S
        self._avoided_until_s = {
            server: until_s
            for server, until_s in self._avoided_until_s.items()
            if now_s < until_s and server in kinds
        }
        failing = tuple(sorted(self._avoided_until_s))
        is_changed, self.failing = failing != self.failing, failing
        return is_changed

    def _is_failing(
        self,
        server: str,
        record: _Record,
        kinds: Mapping[str, Hashable],
        now_s: float,
    ) -> bool:
        if record.failed < MIN_FAILURES or record.share < FAILING_SHARE:
            return False
        if record.recent_hosts(now_s) < MIN_HOSTS:
            return False
        others = [
            other
            for name, other in self._records.items()
            if name != server
            and kinds[name] == kinds[server]
            and name not in self._avoided_until_s
        ]
        shares = [other.share for other in others if other.good + other.failed >= 1]
        return min(shares, default=0.0) <= MAX_SHARE_OF_BEST
