"""Admits requests of contended workspaces on a host that has lost the leader.

It answers the loss of the leader while a workspace sends several times its rate: the
bucket of each host would allow it a whole overdraft, and those of all hosts many. A
host goes on with the share of the requests that the leader has admitted last, so that
the sum over all hosts stays near the rate, whatever each of them gets. A bound on each
host holds if the demand grows meanwhile. Small requests have a part of the rate of
their own.

>>> rates, limit = LeaderlessRates(), GatewayWorkspace(name="w", rate_per_s=100.0)
>>> half = {"hosts": 10, "admitted_share": 0.5, "now_s": 0.0}
>>> rates.acquire(limit, 30.0, draw=0.6, **half), rates.acquire(
...     limit, 30.0, draw=0.4, **half
... )
(3.0, 0.0)
"""

from damaskridge.model.gateway import GatewayWorkspace

__all__ = ["LeaderlessRates"]

# A request is small if the host's part of the rate pays for it within this time.
SMALL_REQUEST_S = 0.5
# Part of the rate for small requests, and how far ahead of it they may be.
SMALL_RATE_SHARE = 0.25
SMALL_AHEAD_S = 2.0
# Large requests on one host are bounded at this multiple of its part of the rate. They
# aren't spread evenly, and some hosts have none.
LARGE_RATE_FACTOR = 2.0


class LeaderlessRates:
    """The requests that one host admits alone, by workspace and size."""

    def __init__(self) -> None:
        # When the admitted requests are paid for.
        self._paid_at_s: dict[tuple[str, bool], float] = {}

    def acquire(
        self,
        workspace: GatewayWorkspace,
        cost: float,
        *,
        hosts: int,
        admitted_share: float,
        draw: float,
        now_s: float,
    ) -> float:
        """
        Admit a request if the share of admitted ones allows it.

        Parameters
        ----------
        workspace : GatewayWorkspace
            Workspace with a rate limit.
        cost : float
            Cost of the request, in the unit of the rate.
        hosts : int
            Number of hosts that share the rate.
        admitted_share : float
            Share of the large requests that the leader has admitted last.
        draw : float
            Random number in [0, 1).
        now_s : float
            Current time.

        Returns
        -------
        float
            0 if the request is admitted, else the seconds until one may be.
        """
        host_per_s = workspace.rate_per_s / max(1, hosts)
        is_small = cost <= SMALL_REQUEST_S * host_per_s
        if not is_small and draw >= admitted_share:
            return cost / host_per_s
        factor, ahead_s = (
            (SMALL_RATE_SHARE, SMALL_AHEAD_S) if is_small else (LARGE_RATE_FACTOR, 0.0)
        )
        key = workspace.name, is_small
        paid_at_s = max(now_s, self._paid_at_s.get(key, now_s))
        if paid_at_s > now_s + ahead_s:
            return paid_at_s - now_s - ahead_s
        self._paid_at_s[key] = paid_at_s + cost / (factor * host_per_s)
        return 0.0
