"""Replicated record of software versions, and of the streams that began at them.

Without the record, nobody knows after a loss of all hosts at which version the streams
that callers take up have begun.
"""

from collections.abc import Iterable

from damaskridge.core.state.data import OriginRecord, StateData
from damaskridge.model.control import AdvanceTime
from damaskridge.model.gateway import GatewayRoute

__all__ = [
    "MAX_STREAM_ORIGINS",
    "origin_of",
    "record",
    "stream_retention_s",
]

# Callers choose the attempt ids, so the record is bounded. What is dropped is unknown
# afterwards, and its stream isn't taken up.
MAX_STREAM_ORIGINS = 20_000
# Covers steps of the clocks of leaders, which stamp the records.
MIN_STREAM_RETENTION_S = 60.0
# A caller's deadline begins anew with an attempt that ends shortly before its timeout.
RETENTION_TIMEOUTS = 2


def stream_retention_s(routes: Iterable[GatewayRoute]) -> float:
    """Return for how long after its first event a stream may be taken up."""
    longest_ms = max((route.timeout_ms for route in routes), default=0)
    return max(MIN_STREAM_RETENTION_S, RETENTION_TIMEOUTS * longest_ms / 1000)


def record(data: StateData, command: AdvanceTime) -> None:
    """Record versions and origins, and forget streams that have ended."""
    if command.software_versions is not None:
        data.software_versions = {
            item.service: item.versions
            for item in command.software_versions
            if item.versions
        }
    origins = data.stream_origins
    for origin in command.origins:
        # The first event decides; a later record of the attempt is a repetition.
        if origin.attempt_id not in origins:
            origins[origin.attempt_id] = OriginRecord(
                origin.service, origin.software_version, data.now_ms
            )
    oldest_ms = data.now_ms - round(stream_retention_s(data.routing.routes) * 1000)
    for attempt_id in list(origins):
        is_expired = origins[attempt_id].at_ms < oldest_ms
        if not is_expired and len(origins) <= MAX_STREAM_ORIGINS:
            break
        del origins[attempt_id]


def origin_of(data: StateData, attempt_id: str, service: str) -> str | None:
    """
    Return the version at which a stream of a service began.

    None if it is not recorded and the service has served at several versions.
    """
    record = data.stream_origins.get(attempt_id)
    if record is not None:
        return record.software_version if record.service == service else None
    versions = data.software_versions.get(service, ())
    return versions[0] if len(versions) == 1 else None
