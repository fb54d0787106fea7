"""Guards against tables that go back, are lost, or are taken from a race's loser."""

from tests.core.gateway.tables import route, table

from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.view import FleetView
from damaskridge.model.control import PublishRoutingTable
from damaskridge.model.errors import ErrorKind


class Fleet:
    def __init__(self):
        self.state = ControlState()
        self.view = FleetView()
        self.index = 0

    def publish(self, published, source=b"document"):
        self.index += 1
        command = PublishRoutingTable(
            command_id=f"c{self.index}", table=published, source=source
        )
        applied = self.state.apply(self.index, command)
        self.view.apply_delta(applied.delta)
        return applied.result


def test_the_highest_version_is_in_force_everywhere():
    fleet = Fleet()
    assert fleet.publish(table(5, route("/a/")), b"five").failure is None
    assert fleet.publish(table(9, route("/b/")), b"nine").value == "9"
    assert fleet.view.routing == fleet.state.data.routing == table(9, route("/b/"))
    assert fleet.state.data.routing_source == b"nine"


def test_an_older_version_is_acknowledged_and_changes_nothing():
    fleet = Fleet()
    fleet.publish(table(5))
    result = fleet.publish(table(4, route("/old/")), b"old")
    assert (result.failure, result.value) == (None, "5")
    assert fleet.state.data.routing == table(5)
    assert fleet.state.data.routing_source == b"document"


def test_the_same_content_is_acknowledged_again_and_other_content_refused():
    fleet = Fleet()
    fleet.publish(table(5))
    assert fleet.publish(table(5)).failure is None
    refused = fleet.publish(table(5, route("/other/")), b"other").failure
    assert refused.kind is ErrorKind.VERSION_CONFLICT
    assert fleet.view.routing == table(5)
    assert fleet.state.data.routing_source == b"document"


def test_an_invalid_table_is_refused_whatever_its_version():
    fleet = Fleet()
    fleet.publish(table(5))
    for version in (4, 5, 6):
        refused = fleet.publish(table(version, route(timeout_ms=0))).failure
        assert refused.kind is ErrorKind.INVALID_BUNDLE


def test_a_restored_member_and_a_late_host_have_the_table():
    fleet = Fleet()
    fleet.publish(table(5))
    other = ControlState()
    other.restore(fleet.state.encode())
    assert other.data.routing_source == b"document"
    late = FleetView()
    late.restore(other.fleet_snapshot())
    assert late.routing == table(5)
