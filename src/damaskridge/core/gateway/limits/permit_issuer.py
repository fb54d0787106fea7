"""Issues permits to send requests to instances that have a limit, on the leader.

Every request to such an instance needs a permit, so that the requests of all hosts
together keep to the limit, also if it is smaller than the number of hosts. Each
instance has a token bucket, which is empty at first; what hosts sent without permits,
before they knew of the limit, is charged to it. Beside it, all requests of the servers'
window are counted, those that a previous leader has permitted included. Groups of
requests that exceed their share of the permits must leave a reserve in the bucket for
the others.

>>> issuer, server, group = PermitIssuer(), InstanceId("a"), PermitGroup("w", 0)
>>> issuer.apply(ServerLimit(server, 2.0), now_s=0.0)
True
>>> issuer.request(server, group, now_s=0.0)
0.5
>>> issuer.request(server, group, now_s=0.5)
0.0
"""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from operator import attrgetter

from damaskridge.core.gateway.limits.permit_shares import PermitShares
from damaskridge.core.gateway.limits.server_limits import ServerLimits
from damaskridge.model.gateway import InstanceId
from damaskridge.model.server_limits import (
    LIMIT_WINDOW_S,
    PermitGroup,
    SendsCharged,
    ServerLimit,
)

__all__ = ["PermitIssuer"]

# Capacity of a bucket: the refill of this time, one request, and the reserve. Hosts use
# permits up to two seconds later, which must fit into the servers' tolerance as well.
BURST_S = 0.5
# Permits that a group above its share must leave in the bucket.
RESERVE = 1.0
# Requests without permits delay the next permits by at most this time.
MAX_DEBT_S = 3.0
# Requests without permits that are older than this don't delay the next permits.
MAX_DEBT_AGE_S = 1.0
# How many requests with and without permits a window may contain: a factor of the
# limit, and a number. The debt alone would not keep to that, since it is bounded.
WINDOW_FACTOR = 1.5
WINDOW_EXTRA = 2.0
# A limit of 0 also has to be tested from time to time, or its end would never be seen.
MIN_RATE_PER_S = 0.2


@dataclass(frozen=True, slots=True)
class _Sends:
    """Requests of one host, or with an empty name of the leader, at about one time."""

    sent_s: float
    count: int
    host: str


@dataclass(slots=True)
class _Bucket:
    """The permits of one instance; the level is negative after charges."""

    per_s: float
    refilled_s: float
    level: float = 0.0
    shares: PermitShares = field(default_factory=PermitShares)
    # In the order of their times.
    recent: list[_Sends] = field(default_factory=list)

    @property
    def rate_per_s(self) -> float:
        """The refill rate."""
        return max(self.per_s, MIN_RATE_PER_S)

    def refill(self, now_s: float) -> None:
        """Add what the rate allows since the last call."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        capacity = self.rate_per_s * BURST_S + 1 + RESERVE
        self.level = min(capacity, self.level + elapsed_s * self.rate_per_s)
        self.refilled_s = max(self.refilled_s, now_s)

    def record(self, sends: _Sends) -> None:
        """Count requests in the windows that contain them."""
        insort(self.recent, sends, key=attrgetter("sent_s"))

    def window_wait_s(self, now_s: float) -> float:
        """Return the time until the window has room for a further request."""
        window_start_s = now_s - LIMIT_WINDOW_S
        self.recent = [sends for sends in self.recent if sends.sent_s > window_start_s]
        most = WINDOW_FACTOR * self.rate_per_s * LIMIT_WINDOW_S + WINDOW_EXTRA
        excess = sum(sends.count for sends in self.recent) + 1 - most
        wait_s = 0.0
        for sends in self.recent:
            if excess <= 0:
                break
            excess -= sends.count
            wait_s = sends.sent_s - window_start_s
        return wait_s


class PermitIssuer:
    """The limits of all instances, and what hosts may still send to them."""

    def __init__(self) -> None:
        self._limits = ServerLimits()
        self._buckets: dict[InstanceId, _Bucket] = {}

    def limits(self, now_s: float = 0.0) -> tuple[ServerLimit, ...]:
        """Return every limit that is in force."""
        return self._limits.all(now_s)

    def apply(self, limit: ServerLimit, now_s: float) -> bool:
        """Apply a limit or its end; return whether this changed anything."""
        self._end_cold(now_s)
        is_changed = self._limits.apply(limit, now_s)
        self._update_bucket(limit.server, now_s)
        return is_changed

    def charge(
        self,
        server: InstanceId,
        sends: int,
        now_s: float,
        *,
        host: str = "",
        age_s: float = 0.0,
    ) -> None:
        """
        Deduct requests that were sent without permits.

        Parameters
        ----------
        server : InstanceId
            The instance that they were sent to.
        sends : int
            Number of requests.
        now_s : float
            Current time.
        host : str
            The host that sent them; empty for the leader itself.
        age_s : float
            Time since they were sent.
        """
        self._end_cold(now_s)
        bucket = self._buckets.get(server)
        if bucket is not None:
            if age_s < MAX_DEBT_AGE_S:
                bucket.refill(now_s)
                max_debt = MAX_DEBT_S * bucket.rate_per_s
                bucket.level = max(-max_debt, bucket.level - sends)
            bucket.record(_Sends(now_s - age_s, sends, host))

    def replace_sends(
        self, host: str, sends: Iterable[SendsCharged], now_s: float
    ) -> None:
        """Count what a host has sent lately in the place of what is known of it."""
        for bucket in self._buckets.values():
            bucket.recent = [item for item in bucket.recent if item.host != host]
        for item in sends:
            if item.server in self._buckets:
                reported = _Sends(now_s - item.age_s, item.sends, host)
                self._buckets[item.server].record(reported)

    def request(
        self, server: InstanceId, group: PermitGroup, now_s: float, *, host: str = ""
    ) -> float:
        """
        Issue a permit for one request if the limit and the group's share allow it.

        Parameters
        ----------
        server : InstanceId
            The instance that the request is for.
        group : PermitGroup
            The group that the request belongs to.
        now_s : float
            Current time.
        host : str
            The host that asks.

        Returns
        -------
        float
            0 if the permit is issued, else the seconds until it may be.
        """
        self._end_cold(now_s)
        bucket = self._buckets.get(server)
        if bucket is None:
            return 0.0
        bucket.refill(now_s)
        is_within = bucket.shares.is_within(group, bucket.rate_per_s, now_s)
        required = 1.0 if is_within else 1.0 + RESERVE
        if bucket.level < required:
            return (required - bucket.level) / bucket.rate_per_s
        window_wait_s = bucket.window_wait_s(now_s)
        if window_wait_s > 0:
            return window_wait_s
        bucket.level -= 1
        bucket.record(_Sends(now_s, 1, host))
        bucket.shares.record(group, now_s)
        return 0.0

    def clear(self) -> None:
        """Forget all limits, when another host leads."""
        self._limits = ServerLimits()
        self._buckets.clear()

    def _end_cold(self, now_s: float) -> None:
        for server in self._limits.end_cold(now_s):
            self._update_bucket(server, now_s)

    def _update_bucket(self, server: InstanceId, now_s: float) -> None:
        """Keep a bucket for each instance with a limit, at the present rate."""
        per_s = self._limits.per_s(server)
        if per_s is None:
            self._buckets.pop(server, None)
            return
        bucket = self._buckets.setdefault(server, _Bucket(per_s, now_s))
        bucket.refill(now_s)
        bucket.per_s = per_s
