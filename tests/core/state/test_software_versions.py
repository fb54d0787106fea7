"""Guards against origins of streams that are lost, forgotten too early or guessed."""

import pytest
from tests.core.gateway.tables import route, table

from damaskridge.core.state import software_versions
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.software_versions import origin_of, stream_retention_s
from damaskridge.model.control import AdvanceTime, PublishRoutingTable
from damaskridge.model.software_versions import ServiceVersions, StreamOrigin


class Record:
    """A control state to which records are applied."""

    def __init__(self):
        self.state = ControlState()
        self.index = 0

    def apply(self, command_type, at_ms=0, **fields):
        self.index += 1
        command = command_type(command_id=f"c{self.index}", at_ms=at_ms, **fields)
        return self.state.apply(self.index, command).result

    def versions(self, *names, service="llm"):
        services = (ServiceVersions(service, names),)
        self.apply(AdvanceTime, software_versions=services)

    def origins(self, *attempts, at_ms=0, version="v1"):
        origins = tuple(StreamOrigin(item, "llm", version) for item in attempts)
        self.apply(AdvanceTime, at_ms=at_ms, origins=origins)

    def origin(self, attempt, service="llm"):
        return origin_of(self.state.data, attempt, service)


def test_unknown_stream_has_a_version_only_if_the_service_had_one():
    record = Record()
    assert record.origin("a1") is None
    record.versions("v1")
    assert record.origin("a1") == "v1"
    record.versions("v1", "v2")
    assert record.origin("a1") is None
    assert record.origin("a1", service="other") is None


def test_recorded_origin_survives_a_snapshot_and_later_records():
    record = Record()
    record.versions("v1", "v2")
    record.origins("a1")
    record.origins("a1", version="v2")
    copy = ControlState()
    copy.restore(record.state.encode())
    assert origin_of(copy.data, "a1", "llm") == "v1"
    assert origin_of(copy.data, "a1", "other") is None
    assert copy.digest() == record.state.digest()


def test_origin_is_kept_as_long_as_the_stream_can_be_taken_up():
    record = Record()
    record.versions("v1", "v2")
    table_with_timeout = table(1, route("/a/", timeout_ms=90_000))
    record.apply(PublishRoutingTable, table=table_with_timeout, source=b"")
    assert stream_retention_s(table_with_timeout.routes) == 180
    record.origins("a1", at_ms=1_000)
    record.origins("a2", at_ms=181_000)
    assert (record.origin("a1"), record.origin("a2")) == ("v1", "v1")
    record.origins("a3", at_ms=181_001)
    assert (record.origin("a1"), record.origin("a2")) == (None, "v1")


def test_number_of_origins_is_bounded(monkeypatch):
    monkeypatch.setattr(software_versions, "MAX_STREAM_ORIGINS", 3)
    record = Record()
    record.versions("v1", "v2")
    record.origins(*(f"a{number}" for number in range(5)))
    assert list(record.state.data.stream_origins) == ["a2", "a3", "a4"]


@pytest.mark.parametrize("repetitions", [1, 3])
def test_results_of_repeatable_commands_are_not_stored(repetitions):
    record = Record()
    for _ in range(repetitions):
        record.origins("a1")
    assert record.state.data.answers == {}
