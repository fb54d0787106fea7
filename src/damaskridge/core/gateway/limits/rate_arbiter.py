"""Decides on the leader which requests a contended workspace's rate admits.

It answers a workspace that sends several times its rate through many hosts. Hosts that
decide alone learn of each other's admissions a report late: all admit while the bucket
looks full, and then all refuse until the debt is paid back. While the bucket of a
workspace is less than half full, hosts ask the leader for each of its requests, so that
admissions follow the rate.

A request of low priority must leave a reserve in the bucket for more urgent ones, and a
large one for small ones. A refused request gets a turn: turns are spaced by what the
requests cost, so that callers that were refused together don't return together.

>>> arbiter = RateArbiter(FleetQuota())
>>> limit = GatewayWorkspace(name="w", rate_per_s=100.0, burst=100.0)
>>> arbiter.update_limits([limit], now_s=0.0)
>>> arbiter.record_usage("host", {"w": 90.0}, now_s=0.0)
>>> arbiter.update_contended(now_s=0.0), arbiter.contended
(True, ('w',))
>>> arbiter.request("host", "w", cost=30.0, priority=0, now_s=0.0)
0.3
>>> arbiter.request("host", "w", cost=30.0, priority=0, now_s=0.0)
0.6
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import exp

from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.model.gateway import GatewayWorkspace

__all__ = ["RateArbiter"]

# A workspace is contended from this level of its bucket down, as a share of its
# capacity. What hosts admit until they are told fits into the rest.
CONTENDED_LEVEL_SHARE = 0.5
# It stays contended until its bucket is this full, so that the state doesn't flap.
RELAXED_LEVEL_SHARE = 0.9
# What a request must leave in the bucket for each level of priority above its own, in
# seconds of refill; but no more than some requests of its own cost, so that a small
# request of low priority, of which the bucket notices little, is hardly ever refused.
PRIORITY_RESERVE_S = 0.1
PRIORITY_RESERVE_COSTS = 10.0
# Lower priorities than this leave no larger reserve, which must fit into the bucket.
MAX_RESERVED_LEVELS = 3
# Turns further ahead than this are of no use, as callers don't wait for so long.
MAX_TURN_S = 8.0
# Time constant of the average share of what is admitted.
AVERAGING_S = 2.0


@dataclass(slots=True)
class _Demand:
    """What was asked for and admitted of late, weighted exponentially by age."""

    asked: float = 0.0
    admitted: float = 0.0
    updated_s: float = 0.0

    def record(self, cost: float, now_s: float, *, is_admitted: bool) -> None:
        weight = exp(min(0.0, self.updated_s - now_s) / AVERAGING_S)
        self.asked = self.asked * weight + cost
        self.admitted = self.admitted * weight + cost * is_admitted
        self.updated_s = now_s


class RateArbiter:
    """
    The buckets of all workspaces, exact for what hosts ask for.

    Parameters
    ----------
    quota : FleetQuota
        The buckets; what hosts admit alone is deducted when they report it.

    Attributes
    ----------
    contended : tuple of str
        Workspaces for each of whose requests hosts ask, sorted.
    """

    def __init__(self, quota: FleetQuota) -> None:
        self.contended: tuple[str, ...] = ()
        self._quota = quota
        self._workspaces: dict[str, GatewayWorkspace] = {}
        # Admissions that a host has asked for and will report as its usage.
        self._unreported: dict[str, defaultdict[str, float]] = {}
        self._next_turn_s: dict[str, float] = {}
        self._demand: dict[str, _Demand] = {}

    def update_limits(
        self, workspaces: Iterable[GatewayWorkspace], now_s: float
    ) -> None:
        """Keep a bucket for exactly the workspaces that have a rate limit."""
        limited = [item for item in workspaces if item.rate_per_s > 0]
        self._workspaces = {item.name: item for item in limited}
        self._quota.update_limits(limited, now_s)

    def record_usage(self, host: str, usage: Mapping[str, float], now_s: float) -> None:
        """Deduct what a host has admitted without asking."""
        asked = self._asked_by(host)
        unasked = {}
        for name, used in usage.items():
            known = min(used, asked[name])
            asked[name] -= known
            if used > known:
                unasked[name] = used - known
        self._quota.record_remote_usage(unasked, now_s)

    def forget_host(self, host: str) -> None:
        """Forget what a host has asked for; it begins anew, or is gone."""
        self._unreported.pop(host, None)

    def update_contended(self, now_s: float, *, is_large: bool = True) -> bool:
        """
        Determine the contended workspaces.

        Parameters
        ----------
        now_s : float
            Current time.
        is_large : bool
            Whether the fleet is large; in a small one hosts admit requests alone.

        Returns
        -------
        bool
            Whether they changed.
        """
        contended = tuple(
            sorted(
                name
                for name, item in self._workspaces.items()
                if is_large
                and self._quota.level_share(item, now_s) < self._threshold(name)
            )
        )
        is_changed, self.contended = contended != self.contended, contended
        return is_changed

    def request(
        self, host: str, name: str, *, cost: float, priority: int, now_s: float
    ) -> float:
        """
        Admit a request if the bucket allows it.

        Parameters
        ----------
        host : str
            The host that asks.
        name : str
            The workspace.
        cost : float
            Cost of the request, in the unit of the rate.
        priority : int
            Its priority; 0 is the most urgent.
        now_s : float
            Current time.

        Returns
        -------
        float
            0 if the request is admitted, else the seconds until its turn.
        """
        workspace = self._workspaces.get(name)
        if workspace is None:
            return 0.0
        levels = min(max(0, priority), MAX_RESERVED_LEVELS)
        reserve = levels * min(
            PRIORITY_RESERVE_S * workspace.rate_per_s, PRIORITY_RESERVE_COSTS * cost
        )
        wait_s = self._quota.acquire(workspace, cost, now_s, reserve=reserve)
        demand = self._demand.setdefault(name, _Demand())
        demand.record(cost, now_s, is_admitted=wait_s <= 0)
        if wait_s <= 0:
            self._asked_by(host)[name] += cost
            return 0.0
        turn_s = max(now_s + wait_s, self._next_turn_s.get(name, now_s))
        if turn_s - now_s <= MAX_TURN_S:
            self._next_turn_s[name] = turn_s + cost / workspace.rate_per_s
        return turn_s - now_s

    def admitted_share(self, name: str) -> float:
        """Return which share of what hosts ask for is admitted at present."""
        demand = self._demand.get(name)
        if demand is None or demand.asked <= 0:
            return 1.0
        return demand.admitted / demand.asked

    def _asked_by(self, host: str) -> defaultdict[str, float]:
        return self._unreported.setdefault(host, defaultdict(float))

    def _threshold(self, name: str) -> float:
        if name in self.contended:
            return RELAXED_LEVEL_SHARE
        return CONTENDED_LEVEL_SHARE
