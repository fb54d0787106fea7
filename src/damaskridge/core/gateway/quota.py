"""Limits a workspace's rate over all entry hosts by equal shares.

Each entry host holds one share of the rate and refills its bucket by itself, so that no
request waits for another host and no host's failure stops a workspace. The sum of
the shares is the workspace's rate and, within the tolerance that the operator grants,
its burst.

>>> bucket = ShareBucket()
>>> limit = GatewayWorkspace(name="w", rate_per_s=100.0, burst=200.0)
>>> bucket.take(limit, cost=60.0, hosts=1, slack=0.0, now_s=0.0)
0.0
>>> bucket.take(limit, cost=60.0, hosts=1, slack=0.0, now_s=0.0)
0.2
"""

from damaskridge.model.gateway import GatewayWorkspace

__all__ = ["QuotaShares", "ShareBucket"]

# Level of a new bucket as a part of its capacity.
FIRST_LEVEL = 0.5


class ShareBucket:
    """One host's part of one workspace's token bucket."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._refilled_s = 0.0

    def take(
        self,
        limit: GatewayWorkspace,
        *,
        cost: float,
        hosts: int,
        slack: float,
        now_s: float,
    ) -> float:
        """
        Take the cost of one request, or return the wait until it is there.

        Parameters
        ----------
        limit : GatewayWorkspace
            The rate and burst of the workspace.
        cost : float
            What the request counts.
        hosts : int
            Entry hosts that hold a share.
        slack : float
            What all hosts together may admit beyond rate and burst.
        now_s : float
            Present time.

        Returns
        -------
        float
            0 if the cost was taken, else seconds until it may be.
        """
        rate_per_s = limit.rate_per_s / hosts
        # A share below one request would refuse a workspace that is within its rate.
        capacity = max(cost, (limit.burst + slack) / hosts)
        level = self._refill(rate_per_s, capacity, now_s)
        if level >= cost:
            self._level = level - cost
            return 0.0
        return (cost - level) / rate_per_s if rate_per_s > 0 else float("inf")

    def give_back(self, cost: float) -> None:
        """Return the cost of a request that did not run."""
        if self._level is not None:
            self._level += cost

    def _refill(self, rate_per_s: float, capacity: float, now_s: float) -> float:
        if self._level is None:
            # A host that is restarted must not bring another full share.
            level = FIRST_LEVEL * capacity
        else:
            elapsed_s = max(0.0, now_s - self._refilled_s)
            level = min(capacity, self._level + elapsed_s * rate_per_s)
        self._level, self._refilled_s = level, now_s
        return level


class QuotaShares:
    """
    The buckets of all workspaces on one host.

    Parameters
    ----------
    slack : float
        What all hosts together may admit beyond a workspace's rate and burst.
    """

    def __init__(self, slack: float = 0.0) -> None:
        self._slack = slack
        self._buckets: dict[str, ShareBucket] = {}

    def take(
        self, workspace: GatewayWorkspace, cost: float, hosts: int, now_s: float
    ) -> float:
        """Take a request's cost; 0, or the seconds after which it is there."""
        if workspace.rate_per_s <= 0:
            return 0.0
        bucket = self._buckets.setdefault(workspace.name, ShareBucket())
        return bucket.take(
            workspace, cost=cost, hosts=max(1, hosts), slack=self._slack, now_s=now_s
        )

    def give_back(self, workspace: GatewayWorkspace, cost: float) -> None:
        """Return the cost of a request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.give_back(cost)
