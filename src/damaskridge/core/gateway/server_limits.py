"""Limits of requests that instances have named, as known to one host.

An instance in trouble states in its responses how many requests per second it accepts
from all hosts together. The limit holds until a later response doesn't state it.

>>> limits = ServerLimits()
>>> limits.apply(ServerLimit(InstanceId("a"), 2.0))
True
>>> limits.per_s(InstanceId("a"))
2.0
>>> limits.per_s(InstanceId("a", started_ms=7)) is None
True
"""

from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance, InstanceId, ServerLimit

__all__ = ["ServerLimits"]


class ServerLimits:
    """The limits that are in force, by instance."""

    def __init__(self) -> None:
        self._per_s: dict[InstanceId, float] = {}

    def __len__(self) -> int:
        return len(self._per_s)

    def apply(self, limit: ServerLimit) -> bool:
        """Apply a limit or its end; return whether this changed anything."""
        known = self._per_s.get(limit.server)
        if limit.per_s is None:
            self._per_s.pop(limit.server, None)
        else:
            self._per_s[limit.server] = limit.per_s
        return known != limit.per_s

    def per_s(self, server: InstanceId) -> float | None:
        """Return the limit of an instance in requests per second; None without one."""
        return self._per_s.get(server)

    def all(self) -> tuple[ServerLimit, ...]:
        """Return every limit that is in force."""
        return tuple(ServerLimit(*item) for item in self._per_s.items())

    def retain_only(self, listed: Iterable[BackendInstance]) -> None:
        """Drop the limits of instances that are no longer listed or have restarted."""
        present = {item.instance_id for item in listed}
        self._per_s = {
            server: per_s for server, per_s in self._per_s.items() if server in present
        }
