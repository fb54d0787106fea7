"""Divides the permits of one instance among the groups of requests that want them.

It answers a load above the limits of all servers of a service, most of which is one
workspace's, or is not urgent. Without shares, permits would go to those who send most.
The share of a group is proportional to its weight, which falls with its priority, so
that urgent requests get more and no group gets nothing. What groups leave of their
shares is available to the others.

>>> shares, urgent, other = PermitShares(), PermitGroup("w", 0), PermitGroup("w", 1)
>>> shares.is_within(urgent, per_s=1.0, now_s=0.0)
True
>>> for _ in range(4):
...     shares.record(urgent, now_s=0.0)
>>> shares.is_within(other, 1.0, 0.0), shares.is_within(urgent, 1.0, 0.0)
(True, False)
"""

from dataclasses import dataclass
from math import exp

from damaskridge.model.server_limits import PermitGroup

__all__ = ["PermitShares"]

# Time constant of the average over which a group's permits are counted, and the time
# after which a group that wants no permits has no share.
AVERAGING_S = 4.0


@dataclass(slots=True)
class _Usage:
    """The permits of one group, weighted exponentially by age."""

    wanted_s: float
    permits: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Reduce the weight of earlier permits."""
        self.permits *= exp(min(0.0, self.updated_s - now_s) / AVERAGING_S)
        self.updated_s = max(self.updated_s, now_s)


class PermitShares:
    """The groups that want permits of one instance, and what they had of late."""

    def __init__(self) -> None:
        self._groups: dict[PermitGroup, _Usage] = {}

    def is_within(self, group: PermitGroup, per_s: float, now_s: float) -> bool:
        """
        Record that a group wants a permit; return whether its share allows it.

        Parameters
        ----------
        group : PermitGroup
            The group.
        per_s : float
            Permits per second for all groups together.
        now_s : float
            Current time.
        """
        usage = self._groups.setdefault(group, _Usage(now_s))
        usage.wanted_s = now_s
        self._groups = {
            known: item
            for known, item in self._groups.items()
            if item.wanted_s > now_s - AVERAGING_S
        }
        usage.decay(now_s)
        share = _weight(group) / sum(map(_weight, self._groups))
        return usage.permits < share * per_s * AVERAGING_S

    def record(self, group: PermitGroup, now_s: float) -> None:
        """Record that a group got a permit."""
        usage = self._groups.setdefault(group, _Usage(now_s))
        usage.decay(now_s)
        usage.permits += 1


def _weight(group: PermitGroup) -> float:
    return 1.0 / (1 + max(0, group.priority))
