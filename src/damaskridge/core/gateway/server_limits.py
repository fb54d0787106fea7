"""Limits of requests that instances have named, as known to one host.

An instance in trouble states in its responses how many requests per second it accepts
from all hosts together. The limit holds until a later response doesn't state it. The
leader decides which request may be sent next; after it has denied one, the requests of
the same group aren't sent to the instance until the time that the leader gave.

>>> limits, server = ServerLimits(), InstanceId("a")
>>> limits.apply(ServerLimit(server, 2.0))
True
>>> group = PermitGroup("w", 0)
>>> limits.defer(server, group, until_s=10.5)
>>> limits.waits_s(group, now_s=10.0), limits.waits_s(PermitGroup("v", 0), now_s=10.0)
({'a': 0.5}, {})
"""

from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance, InstanceId
from damaskridge.model.server_limits import PermitGroup, ServerLimit

__all__ = ["ServerLimits"]

# Limits that are kept of instances that aren't listed. The list lags, and an instance
# may be missing from it for some time.
MAX_UNLISTED = 256


class ServerLimits:
    """The limits that are in force, by instance."""

    def __init__(self) -> None:
        self._per_s: dict[InstanceId, float] = {}
        self._deferred_until_s: dict[InstanceId, dict[PermitGroup, float]] = {}

    def __len__(self) -> int:
        return len(self._per_s)

    def apply(self, limit: ServerLimit) -> bool:
        """Apply a limit or its end; return whether this changed anything."""
        known = self._per_s.get(limit.server)
        if limit.per_s is None:
            self._per_s.pop(limit.server, None)
            self._deferred_until_s.pop(limit.server, None)
        else:
            self._per_s[limit.server] = limit.per_s
        return known != limit.per_s

    def per_s(self, server: InstanceId) -> float | None:
        """Return the limit of an instance in requests per second; None without one."""
        return self._per_s.get(server)

    def all(self) -> tuple[ServerLimit, ...]:
        """Return every limit that is in force."""
        return tuple(ServerLimit(*item) for item in self._per_s.items())

    def defer(self, server: InstanceId, group: PermitGroup, until_s: float) -> None:
        """Send no request of a group to an instance with a limit until a time."""
        if server in self._per_s:
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
        for server in list(self._per_s):
            if present.get(server.instance, server) != server:
                self.apply(ServerLimit(server, None))
        unlisted = [server for server in self._per_s if server.instance not in present]
        for server in unlisted[:-MAX_UNLISTED]:
            self.apply(ServerLimit(server, None))
