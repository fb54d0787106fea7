"""Limits a workspace's rate over all entry hosts.

Every host keeps the whole bucket of each workspace. It takes its own admissions at once
and those of the other hosts as it hears of them, so that no request waits for another
host and no host's failure stops a workspace. What the hosts admit before they hear of
each other is covered by the tolerance that the operator grants. Until the next news of
the others a host assumes that they admit as before.

A host keeps the buckets of all workspaces from its first routing table on, so that it
knows what the others admitted before its own first request. They are empty when its
process starts, since nobody tells what was admitted before.

Small requests go before large ones: a large one leaves a part of the bucket to them,
and they may overdraw it a little. Load answered: a workspace near its rate whose long
generations would take everything that its calls need.

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

# The leader speaks at least once a second; after this it is not heard.
REPORT_TIMEOUT_S = 1.5
# A request is small if the rate refills its cost within this time.
SMALL_REQUEST_S = 0.05
# What large requests leave in the bucket, as a time of refill. Calls take a tenth of
# a workspace's tokens.
SMALL_REQUEST_RESERVE_S = 0.1
# Over how long the others' admissions are averaged, to go on without reports.
AVERAGING_S = 4.0


@dataclass(slots=True)
class _Bucket:
    """The bucket of one workspace."""

    workspace: GatewayWorkspace
    level: float
    refilled_s: float
    remote_per_s: float = 0.0
    unreported: float = 0.0
    assumed_until_s: float = 0.0


class FleetQuota:
    """
    The buckets of all workspaces, as one host knows them.

    Parameters
    ----------
    slack : float
        What may be admitted at once beyond a workspace's burst.
    small_slack : float
        By how much small requests may overdraw a bucket.
    started_s : float
        When this process started.
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

    def update_limits(
        self, workspaces: Iterable[GatewayWorkspace], now_s: float
    ) -> None:
        """Keep a bucket for each of these workspaces, and no other."""
        self._buckets = {
            workspace.name: self._bucket(workspace, now_s)
            for workspace in workspaces
            if workspace.rate_per_s > 0
        }

    def acquire(self, workspace: GatewayWorkspace, cost: float, now_s: float) -> float:
        """
        Take a request's cost.

        Parameters
        ----------
        workspace : GatewayWorkspace
            Whose rate it counts against.
        cost : float
            What it counts.
        now_s : float
            Present time.

        Returns
        -------
        float
            0 if it was admitted, else the seconds until it may be.
        """
        if workspace.rate_per_s <= 0:
            return 0.0
        bucket = self._bucket(workspace, now_s)
        # What the others have probably admitted since they were heard last.
        level = bucket.level - self._assumed_remote_usage(bucket, now_s)
        required = self._required_level(workspace, cost)
        if level < required:
            return (required - level) / workspace.rate_per_s
        bucket.level -= cost
        bucket.unreported += cost
        return 0.0

    def record_remote_usage(self, usage: Mapping[str, float], now_s: float) -> None:
        """Take what other hosts have admitted; call it for every message."""
        self._last_report_s = now_s
        for name, used in usage.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= used
                bucket.remote_per_s += used / AVERAGING_S

    def on_report(self, now_s: float) -> None:
        """Note that the other hosts can be heard, though nothing has changed."""
        self._last_report_s = now_s

    def pop_unreported(self) -> dict[str, float]:
        """Return what this host admitted since the last call."""
        usage = {}
        for name, bucket in self._buckets.items():
            if bucket.unreported:
                usage[name], bucket.unreported = bucket.unreported, 0.0
        return usage

    def _required_level(self, workspace: GatewayWorkspace, cost: float) -> float:
        """Return the level from which a request is admitted."""
        if cost <= SMALL_REQUEST_S * workspace.rate_per_s:
            return cost - self._small_slack
        # A request larger than the bucket must not be refused for good.
        reserved = SMALL_REQUEST_RESERVE_S * workspace.rate_per_s
        return min(cost + reserved, self._capacity(workspace))

    def _capacity(self, workspace: GatewayWorkspace) -> float:
        return workspace.burst + self._slack

    def _assumed_remote_usage(self, bucket: _Bucket, now_s: float) -> float:
        """Return what the others have probably admitted and is not yet taken."""
        since_s = max(self._last_report_s, bucket.assumed_until_s)
        return bucket.remote_per_s * max(0.0, now_s - since_s)

    def _bucket(self, workspace: GatewayWorkspace, now_s: float) -> _Bucket:
        """Return the bucket of a workspace as it is now, by its present limit."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            filled = workspace.rate_per_s * max(0.0, now_s - self._started_s)
            level = min(self._capacity(workspace), filled)
            bucket = self._buckets[workspace.name] = _Bucket(workspace, level, now_s)
        bucket.workspace = workspace
        self._refill(bucket, now_s)
        return bucket

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
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
