"""Limits of requests to instances, as known to one host.

An instance in trouble states in its responses how many requests per second it accepts
from all hosts together. The limit holds until a later response doesn't state it. A cold
instance has a limit until it is warm, which ends by itself. The leader decides which
request may be sent next; after it has denied one, the requests of the same group aren't
sent to the instance until the time that the leader gave.

>>> limits, server = ServerLimits(), InstanceId("a")
>>> limits.apply(ServerLimit(server, 2.0))
True
>>> group = PermitGroup("w", 0)
>>> limits.defer(server, group, until_s=10.5)
>>> limits.waits_s(group, now_s=10.0), limits.waits_s(PermitGroup("v", 0), now_s=10.0)
({'a': 0.5}, {})
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskridge.model.gateway import BackendInstance, InstanceId
from damaskridge.model.server_limits import PermitGroup, ServerLimit

__all__ = ["ServerLimits"]

# Limits that are kept of instances that aren't listed. The list lags, and an instance
# may be missing from it for some time.
MAX_UNLISTED = 256
# A cold limit that is extended by less than this is no change: hosts and the leader
# measure the time that is left at slightly different moments.
MIN_COLD_EXTENSION_S = 0.25


@dataclass(frozen=True, slots=True)
class _ColdLimit:
    per_s: float
    until_s: float


class ServerLimits:
    """The limits that are in force, by instance."""

    def __init__(self) -> None:
        self._per_s: dict[InstanceId, float] = {}
        self._cold: dict[InstanceId, _ColdLimit] = {}
        self._deferred_until_s: dict[InstanceId, dict[PermitGroup, float]] = {}

    def __len__(self) -> int:
        return len(self._per_s.keys() | self._cold.keys())

    def apply(self, limit: ServerLimit, now_s: float = 0.0) -> bool:
        """Apply a limit or its end; return whether this changed anything."""
        if limit.is_cold and limit.per_s is not None:
            return self._apply_cold(limit.server, limit.per_s, now_s + limit.cold_for_s)
        known = self._per_s.get(limit.server)
        if limit.per_s is None:
            self._per_s.pop(limit.server, None)
            if limit.server not in self._cold:
                self._deferred_until_s.pop(limit.server, None)
        else:
            self._per_s[limit.server] = limit.per_s
        return known != limit.per_s

    def end_cold(self, now_s: float) -> tuple[InstanceId, ...]:
        """Forget the instances that have become warm; return them."""
        warm = tuple(
            server for server, cold in self._cold.items() if cold.until_s <= now_s
        )
        for server in warm:
            del self._cold[server]
            if server not in self._per_s:
                self._deferred_until_s.pop(server, None)
        return warm

    def per_s(self, server: InstanceId) -> float | None:
        """Return the limit of an instance in requests per second; None without one."""
        stated, cold = self._per_s.get(server), self._cold.get(server)
        if cold is None:
            return stated
        return cold.per_s if stated is None else min(stated, cold.per_s)

    def is_cold(self, server: InstanceId) -> bool:
        """Tell whether an instance has a limit because it is cold."""
        return server in self._cold

    def cold_left_s(self, server: InstanceId, now_s: float) -> float:
        """Return the time until an instance is warm; 0 if it isn't cold."""
        cold = self._cold.get(server)
        return 0.0 if cold is None else max(0.0, cold.until_s - now_s)

    def all(self, now_s: float = 0.0) -> tuple[ServerLimit, ...]:
        """Return every limit that is in force."""
        return (
            *(ServerLimit(*item) for item in self._per_s.items()),
            *(
                ServerLimit(server, cold.per_s, cold.until_s - now_s)
                for server, cold in self._cold.items()
                if cold.until_s > now_s
            ),
        )

    def defer(self, server: InstanceId, group: PermitGroup, until_s: float) -> None:
        """Send no request of a group to an instance with a limit until a time."""
        if self.per_s(server) is not None:
            self._deferred_until_s.setdefault(server, {})[group] = until_s

    def waits_s(self, group: PermitGroup, now_s: float) -> dict[str, float]:
        """Return how long requests of a group must wait, by instance."""
        return {
            server.instance: groups[group] - now_s
            for server, groups in self._deferred_until_s.items()
            if groups.get(group, now_s) > now_s
        }

    def retain_only(self, listed: Iterable[BackendInstance]) -> None:
        """Drop the limits of instances that have restarted, and old unlisted ones."""
        present = {item.instance: item.instance_id for item in listed}
        known = [
            *self._per_s,
            *(item for item in self._cold if item not in self._per_s),
        ]
        unlisted = [server for server in known if server.instance not in present]
        dropped = {
            *(item for item in known if present.get(item.instance, item) != item),
            *unlisted[:-MAX_UNLISTED],
        }
        for server in dropped:
            self._per_s.pop(server, None)
            self._cold.pop(server, None)
            self._deferred_until_s.pop(server, None)

    def _apply_cold(self, server: InstanceId, per_s: float, until_s: float) -> bool:
        """Make an instance cold until a time at least; return whether it is news."""
        known = self._cold.get(server)
        if known is not None and known.per_s == per_s:
            if until_s < known.until_s + MIN_COLD_EXTENSION_S:
                return False
        self._cold[server] = _ColdLimit(per_s, until_s)
        return True
