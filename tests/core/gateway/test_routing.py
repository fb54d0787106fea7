"""Requests must not reach a service of another route or workspace."""

from tests.core.gateway.tables import route, table, workspace

from damaskridge.core.gateway.routing import RoutingIndex, key_digest
from damaskridge.model.gateway import RouteTarget


def test_longest_prefix_of_complete_path_segments_wins():
    index = RoutingIndex(table(1, route("/a/"), route("/a/b/")))
    assert index.route("h.example", "/a/b/c").path_prefix == "/a/b/"
    assert index.route("h.example", "/a/bc").path_prefix == "/a/"
    assert index.route("H.example:80", "/a/").path_prefix == "/a/"
    assert index.route("h.example", "/a") is None
    assert index.route("other.example", "/a/") is None


def test_key_belongs_to_its_workspace_only():
    index = RoutingIndex(
        table(1, workspaces=(workspace("a", "k1"), workspace("b", "k2")))
    )
    assert index.workspace(key_digest("k2")).name == "b"
    assert index.workspace(key_digest("k3")) is None


def test_targets_receive_requests_by_weight():
    split = route(targets=(RouteTarget("a", 90), RouteTarget("b", 10)))
    drawn = [RoutingIndex.target(split, number / 100) for number in range(100)]
    assert (drawn.count("a"), drawn.count("b")) == (90, 10)


def test_target_with_zero_weight_receives_nothing():
    split = route(targets=(RouteTarget("a", 0), RouteTarget("b", 1)))
    assert {RoutingIndex.target(split, n / 10) for n in range(10)} == {"b"}
