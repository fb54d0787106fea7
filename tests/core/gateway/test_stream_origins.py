"""Guards against origins of streams that a new leader isn't told of."""

from damaskridge.core.gateway import stream_origins
from damaskridge.core.gateway.stream_origins import StreamOrigins
from damaskridge.model.software_versions import ServiceVersions, StreamOrigin

MIXED = (ServiceVersions("llm", ("v1", "v2")),)
SINGLE = (ServiceVersions("llm", ("v1",)),)


def origin(attempt):
    return StreamOrigin(attempt, "llm", "v1")


def test_streams_from_before_the_second_version_are_reported():
    origins = StreamOrigins()
    origins.on_versions(SINGLE)
    origins.add(origin("a1"), 0.0)
    assert not origins.has_unreported
    origins.on_versions(MIXED)
    assert origins.has_unreported
    assert origins.pop_unreported() == (origin("a1"),)
    assert not origins.has_unreported


def test_a_new_leader_is_told_of_all_streams():
    origins = StreamOrigins()
    origins.on_versions(MIXED)
    origins.add(origin("a1"), 0.0)
    origins.pop_unreported()
    origins.add(origin("a2"), 1.0)
    assert origins.pop_unreported(everything=True) == (origin("a1"), origin("a2"))


def test_what_is_kept_is_bounded_by_number_and_age(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 2)
    origins = StreamOrigins()
    origins.on_versions(MIXED)
    for number in range(3):
        origins.add(origin(f"a{number}"), 0.0)
    assert origins.version_of("a0", "llm") is None
    assert origins.version_of("a1", "llm") == "v1"
    origins.add(origin("late"), stream_origins.RETENTION_S + 1)
    assert origins.pop_unreported(everything=True) == (origin("late"),)


def test_an_attempt_of_another_service_is_not_known():
    origins = StreamOrigins()
    origins.add(origin("a1"), 0.0)
    assert origins.version_of("a1", "other") is None
