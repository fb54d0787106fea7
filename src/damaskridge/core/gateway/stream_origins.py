"""The software versions at which the streams of one host began.

>>> origins = StreamOrigins()
>>> origins.add(StreamOrigin("a1", "llm", "v1"), now_s=0.0)
>>> origins.version_of("a1", "llm")
'v1'
>>> origins.pop_unreported()
()
>>> origins.on_versions((ServiceVersions("llm", ("v1", "v2")),))
>>> [origin.attempt_id for origin in origins.pop_unreported()]
['a1']
>>> origins.pop_unreported()
()
"""

from collections import OrderedDict
from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance
from damaskridge.model.software_versions import ServiceVersions, StreamOrigin

__all__ = ["StreamOrigins"]

# Callers choose the attempt ids, so what is kept of them is bounded.
MAX_ORIGINS = 20_000
# The leader keeps origins for as long as streams can be taken up. A host needs its own
# only until they are reported.
RETENTION_S = 120.0


class StreamOrigins:
    """Streams that began on this host, and which of them the leader has to know."""

    def __init__(self) -> None:
        self._origins: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()
        self._unreported: dict[str, StreamOrigin] = {}
        self._versions: dict[str, tuple[str, ...]] = {}

    @property
    def has_unreported(self) -> bool:
        """Whether there are origins that the leader has to know."""
        # Usually no service is mixed, and the origins need not be looked at.
        has_mixed = any(map(self._is_mixed, self._versions))
        return has_mixed and any(
            self._is_mixed(origin.service) for origin in self._unreported.values()
        )

    def add(self, origin: StreamOrigin, now_s: float) -> None:
        """Record the origin of a stream whose first event is about to be sent."""
        self._origins[origin.attempt_id] = (origin, now_s)
        self._unreported[origin.attempt_id] = origin
        while self._origins:
            attempt_id, (_, began_s) = next(iter(self._origins.items()))
            if len(self._origins) <= MAX_ORIGINS and now_s - began_s <= RETENTION_S:
                break
            del self._origins[attempt_id]
            self._unreported.pop(attempt_id, None)

    def version_of(self, attempt_id: str, service: str) -> str | None:
        """Return the version at which a stream of a service began, if it did here."""
        origin, _ = self._origins.get(attempt_id, (None, 0.0))
        if origin is None or origin.service != service:
            return None
        return origin.software_version

    def on_versions(self, services: Iterable[ServiceVersions]) -> None:
        """Replace the versions at which streams may have begun."""
        self._versions = {item.service: item.versions for item in services}

    def is_recorded(self, instance: BackendInstance) -> bool:
        """Return whether the version of an engine is on record, so that it is used."""
        versions = self._versions.get(instance.service, ())
        return instance.stage is None or instance.software_version in versions

    def pop_unreported(self, *, everything: bool = False) -> tuple[StreamOrigin, ...]:
        """
        Return the origins that the leader has to know, and hasn't been told of.

        Only services that have had several versions matter. With `everything`, return
        also what was reported, because the leader is a new one.
        """
        if everything:
            self._unreported = {
                attempt_id: origin for attempt_id, (origin, _) in self._origins.items()
            }
        reported = {
            attempt_id: origin
            for attempt_id, origin in self._unreported.items()
            if self._is_mixed(origin.service)
        }
        for attempt_id in reported:
            del self._unreported[attempt_id]
        return tuple(reported.values())

    def _is_mixed(self, service: str) -> bool:
        return len(self._versions.get(service, ())) > 1
