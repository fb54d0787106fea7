"""Limits the rate of each workspace over all entry hosts.

Every host keeps a full-size token bucket for each workspace. It deducts its own
admissions at once and those of other hosts when they are reported, so that no request
waits for another host and the failure of a host doesn't block a workspace. Admissions
by several hosts before they receive each other's reports are covered by the tolerance
that the operator grants. Between reports, a host assumes that the other hosts continue
to admit at their recent rate.

A host keeps the buckets of all workspaces from its first routing table on, so that it
knows what other hosts admitted before its own first request. The buckets are empty when
the process starts, because earlier admissions are not known.

Small requests have precedence over large ones: a large request must leave a reserve in
the bucket, and a small one may overdraw the bucket slightly. Otherwise the long
generations of a workspace near its rate would use all tokens that its calls need.

>>> quota = FleetQuota()
>>> limit = GatewayWorkspace(name="w", rate_per_s=100.0, burst=100.0)
>>> quota.acquire(limit, cost=60.0, now_s=0.0)
0.0
>>> quota.record_remote_usage({"w": 30.0}, now_s=0.0)
>>> quota.acquire(limit, cost=60.0, now_s=0.0)
0.6
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from damaskridge.model.gateway import GatewayWorkspace

__all__ = ["FleetQuota"]

# The leader sends at least one message per second; after this time without one, the
# host is considered disconnected.
REPORT_TIMEOUT_S = 1.5
# A request is small if the rate refills its cost within this time.
SMALL_REQUEST_S = 0.05
# Reserve that a large request must leave for small ones, in seconds of refill. Calls
# use about a tenth of a workspace's tokens.
SMALL_REQUEST_RESERVE_S = 0.1
# Time constant of the average rate at which other hosts admit.
AVERAGING_S = 4.0
# Share of the operator's tolerance that a workspace may use at once. The rest covers
# what hosts admit before they receive each other's reports.
SLACK_SHARE = 0.35
# Share of the tolerance by which small requests may overdraw a workspace's bucket.
SMALL_SLACK_SHARE = 0.35


@dataclass(slots=True)
class _Bucket:
    """
    The bucket of one workspace.

    Attributes
    ----------
    remote_per_s : float
        Average rate at which the other hosts admit.
    unreported : float
        What this host has admitted since its last report.
    assumed_until_s : float
        Time up to which assumed admissions of other hosts have been deducted.
    """

    workspace: GatewayWorkspace
    level: float
    refilled_s: float
    remote_per_s: float = 0.0
    unreported: float = 0.0
    assumed_until_s: float = 0.0


class FleetQuota:
    """
    One host's view of the buckets of all workspaces.

    Parameters
    ----------
    slack : float
        Capacity in addition to a workspace's burst.
    small_slack : float
        Amount by which small requests may overdraw a bucket.
    started_s : float
        Start time of this process, when the buckets were empty.
    """

    def __init__(
        self,
        slack: float = 0.0,
        small_slack: float = 0.0,
        started_s: float = float("-inf"),
    ) -> None:
        self._slack = slack
        self._small_slack = small_slack
        self._started_s = started_s
        self._buckets: dict[str, _Bucket] = {}
        self._last_report_s = 0.0

    @classmethod
    def with_tolerance(cls, tolerance: float, started_s: float) -> "FleetQuota":
        """
        Return buckets that use their share of the operator's tolerance.

        Parameters
        ----------
        tolerance : float
            Tolerated admissions of all hosts together above a workspace's rate.
        started_s : float
            Start time of this process, when the buckets were empty.
        """
        return cls(SLACK_SHARE * tolerance, SMALL_SLACK_SHARE * tolerance, started_s)

    def update_limits(
        self, workspaces: Iterable[GatewayWorkspace], now_s: float
    ) -> None:
        """Keep a bucket for exactly the workspaces that have a rate limit."""
        self._buckets = {
            workspace.name: self._bucket(workspace, now_s)
            for workspace in workspaces
            if workspace.rate_per_s > 0
        }

    def acquire(
        self,
        workspace: GatewayWorkspace,
        cost: float,
        now_s: float,
        *,
        reserve: float = 0.0,
    ) -> float:
        """
        Admit a request if the bucket allows it.

        Parameters
        ----------
        workspace : GatewayWorkspace
            Workspace whose rate is charged.
        cost : float
            Cost of the request, in the unit of the rate.
        now_s : float
            Current time.
        reserve : float
            What the request must leave in the bucket beyond the reserve of large
            requests for small ones, in the unit of the rate.

        Returns
        -------
        float
            0 if the request was admitted, else the seconds until it may be.
        """
        wait_s = self.wait_s(workspace, cost, now_s, reserve=reserve)
        if wait_s <= 0:
            self.charge(workspace, cost, now_s)
        return wait_s

    def wait_s(
        self,
        workspace: GatewayWorkspace,
        cost: float,
        now_s: float,
        *,
        reserve: float = 0.0,
    ) -> float:
        """Return how long a request has to wait, 0 if the bucket admits it now."""
        if workspace.rate_per_s <= 0:
            return 0.0
        bucket = self._bucket(workspace, now_s)
        # The other hosts have probably admitted more since the last report.
        level = bucket.level - self._assumed_remote_usage(bucket, now_s)
        required = self._required_level(workspace, cost, reserve)
        return max(0.0, (required - level) / workspace.rate_per_s)

    def charge(self, workspace: GatewayWorkspace, cost: float, now_s: float) -> None:
        """Deduct a request that was admitted."""
        if workspace.rate_per_s > 0:
            self._deduct(self._bucket(workspace, now_s), cost)

    def level_share(self, workspace: GatewayWorkspace, now_s: float) -> float:
        """Return the level of a workspace's bucket as a share of its capacity."""
        return self._bucket(workspace, now_s).level / max(
            1.0, self._capacity(workspace)
        )

    def record_remote_usage(self, usage: Mapping[str, float], now_s: float) -> None:
        """Deduct what other hosts have admitted; call this for every load message."""
        self._last_report_s = now_s
        for name, used in usage.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= used
                bucket.remote_per_s += used / AVERAGING_S

    def on_report(self, now_s: float) -> None:
        """Record that the leader is connected although there is no new usage."""
        self._last_report_s = now_s

    def pop_unreported(self) -> dict[str, float]:
        """Return what this host admitted since the last call."""
        usage = {}
        for name, bucket in self._buckets.items():
            if bucket.unreported:
                usage[name], bucket.unreported = bucket.unreported, 0.0
        return usage

    @staticmethod
    def _deduct(bucket: _Bucket, cost: float) -> None:
        bucket.level -= cost
        bucket.unreported += cost

    def _required_level(
        self, workspace: GatewayWorkspace, cost: float, reserve: float
    ) -> float:
        """Return the bucket level at which a request is admitted."""
        if cost <= SMALL_REQUEST_S * workspace.rate_per_s:
            return cost - self._small_slack + reserve
        # A request larger than the capacity is admitted by a full bucket, because it
        # would otherwise be refused forever.
        reserved = SMALL_REQUEST_RESERVE_S * workspace.rate_per_s + reserve
        return min(cost + reserved, self._capacity(workspace))

    def _capacity(self, workspace: GatewayWorkspace) -> float:
        return workspace.burst + self._slack

    def _assumed_remote_usage(self, bucket: _Bucket, now_s: float) -> float:
        """Return what other hosts have probably admitted since the last deduction."""
        since_s = max(self._last_report_s, bucket.assumed_until_s)
        return bucket.remote_per_s * max(0.0, now_s - since_s)

    def _bucket(self, workspace: GatewayWorkspace, now_s: float) -> _Bucket:
        """Return the bucket of a workspace, refilled and with the current limit."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            filled = workspace.rate_per_s * max(0.0, now_s - self._started_s)
            level = min(self._capacity(workspace), filled)
            bucket = self._buckets[workspace.name] = _Bucket(workspace, level, now_s)
        bucket.workspace = workspace
        self._refill(bucket, now_s)
        return bucket

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
        """Refill a bucket; without reports, deduct the assumed remote usage."""
        elapsed_s = max(0.0, now_s - bucket.refilled_s)
        refill = bucket.workspace.rate_per_s * elapsed_s
        if now_s - self._last_report_s < REPORT_TIMEOUT_S:
            bucket.remote_per_s *= max(0.0, 1 - elapsed_s / AVERAGING_S)
        else:
            refill -= self._assumed_remote_usage(bucket, now_s)
            bucket.assumed_until_s = now_s
        capacity = self._capacity(bucket.workspace)
        bucket.level = min(capacity, bucket.level + refill)
        bucket.refilled_s = now_s
