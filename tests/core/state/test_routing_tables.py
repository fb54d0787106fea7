"""
Tests of the publication of routing tables.

They guard against a return to a lower version, a table that is lost in a snapshot, and
two different tables of one version.
"""

from tests.core.gateway.tables import route, table

from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.view import FleetView
from damaskridge.model.control import PublishRoutingTable
from damaskridge.model.errors import ErrorKind


class Fleet:
    """A control state, and the view of an entry host that applies every delta."""

    def __init__(self):
        self.state = ControlState()
        self.view = FleetView()
        self.index = 0

    def publish(self, table_to_publish, source=b"document"):
        self.index += 1
        command = PublishRoutingTable(
            command_id=f"c{self.index}", table=table_to_publish, source=source
        )
        applied = self.state.apply(self.index, command)
        self.view.apply_delta(applied.delta)
        return applied.result


def test_highest_version_is_in_force_on_control_and_entry_hosts():
    fleet = Fleet()
    assert fleet.publish(table(5, route("/a/")), b"five").failure is None
    assert fleet.publish(table(9, route("/b/")), b"nine").value == "9"
    assert fleet.view.routing == fleet.state.data.routing == table(9, route("/b/"))
    assert fleet.state.data.routing_source == b"nine"


def test_lower_version_is_accepted_and_changes_nothing():
    fleet = Fleet()
    fleet.publish(table(5))
    result = fleet.publish(table(4, route("/old/")), b"old")
    assert (result.failure, result.value) == (None, "5")
    assert fleet.state.data.routing == table(5)
    assert fleet.state.data.routing_source == b"document"


def test_same_content_is_accepted_again_and_different_content_is_refused():
    fleet = Fleet()
    fleet.publish(table(5))
    assert fleet.publish(table(5)).failure is None
    refusal = fleet.publish(table(5, route("/other/")), b"other").failure
    assert refusal.kind is ErrorKind.VERSION_CONFLICT
    assert fleet.view.routing == table(5)
    assert fleet.state.data.routing_source == b"document"


def test_invalid_table_is_refused_with_any_version():
    fleet = Fleet()
    fleet.publish(table(5))
    for version in (4, 5, 6):
        refusal = fleet.publish(table(version, route(timeout_ms=0))).failure
        assert refusal.kind is ErrorKind.INVALID_BUNDLE


def test_restored_replica_and_new_entry_host_have_the_table():
    fleet = Fleet()
    fleet.publish(table(5))
    replica = ControlState()
    replica.restore(fleet.state.encode())
    assert replica.data.routing_source == b"document"
    new_view = FleetView()
    new_view.restore(replica.fleet_snapshot())
    assert new_view.routing == table(5)
