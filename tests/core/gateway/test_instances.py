"""Guards against requests to servers that are leaving, silent or failing."""

from damaskridge.core.gateway.instance_replication import (
    InstanceListDiffer,
    InstanceListReplica,
)
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.model.gateway import BackendInstance, EngineStage


def server(name, address="", **fields):
    fields = {"service": "s", "data_centre": "west", "slots": 4, **fields}
    return BackendInstance(instance=name, address=address or name, **fields)


def names(registry, now_s=0.0, **options):
    return {item.instance for item in registry.candidates("s", now_s, **options)}


def registry_of(*items):
    registry = InstanceRegistry()
    registry.replace(items)
    return registry


def test_only_servers_of_the_service_and_stage_that_stay_are_candidates():
    registry = registry_of(
        server("a"),
        server("b", is_leaving=True),
        server("c", service="other"),
        server("d", stage=EngineStage.PREFILL),
    )
    assert names(registry) == {"a"}
    assert names(registry, stage=EngineStage.PREFILL) == {"d"}
    assert names(registry, excluded=frozenset({"a"})) == set()


def test_an_unreachable_server_is_avoided_longer_each_time():
    registry = registry_of(server("a"), server("b"))
    first_s = registry.record_unreachable("a", 0.0)
    assert names(registry, 0.0) == {"b"}
    assert names(registry, first_s + 0.01) == {"a", "b"}
    assert registry.record_unreachable("a", 1.0) > first_s
    registry.record_response("a", 1.5, good=True)
    assert names(registry, 1.5) == {"a", "b"}


def test_a_server_that_fails_most_requests_is_avoided_and_tried_again():
    registry = registry_of(server("a"), server("b"))
    avoided_s = [registry.record_response("a", 0.0, good=False) for _ in range(4)][-1]
    assert avoided_s > 0
    assert names(registry, 0.0) == {"b"}
    assert names(registry, avoided_s + 0.01) == {"a", "b"}


def test_a_server_with_a_few_failures_is_kept():
    registry = registry_of(server("a"), server("b"))
    for good in (True, False, True, True, False, True, True, True):
        registry.record_response("a", 0.0, good=good)
    assert names(registry, 0.0) == {"a", "b"}


def test_the_last_server_is_used_though_it_is_avoided():
    registry = registry_of(server("a"))
    registry.record_unreachable("a", 0.0)
    assert names(registry, 0.0) == {"a"}


def test_an_address_that_another_instance_took_over_is_reported_gone():
    registry = registry_of(server("a", "1.1.1.1:1"), server("b"))
    gone = registry.replace([server("c", "1.1.1.1:1"), server("b")])
    assert [item.instance for item in gone] == ["a"]


def test_copies_follow_the_readings():
    readings, copy = InstanceListDiffer("reader"), InstanceListReplica()
    assert copy.apply(readings.add([server("a"), server("b")]), 1.0)
    assert copy.apply(readings.add([server("a", is_leaving=True)]), 2.0)
    assert [(item.instance, item.is_leaving) for item in copy.items] == [("a", True)]
    unchanged = readings.add([server("a", is_leaving=True)])
    assert not unchanged.changed
    assert copy.apply(unchanged, 3.0)
    assert copy.confirmed_s == 3.0


def test_a_copy_with_a_gap_waits_for_the_whole_list():
    readings, copy = InstanceListDiffer("reader"), InstanceListReplica()
    copy.apply(readings.add([server("a")]), 1.0)
    readings.add([server("b")])
    assert not copy.apply(readings.add([server("c")]), 2.0)
    assert copy.apply(readings.snapshot(), 3.0)
    assert [item.instance for item in copy.items] == ["c"]


def test_a_new_reader_replaces_the_list():
    copy = InstanceListReplica()
    copy.apply(InstanceListDiffer("one").add([server("a")]), 1.0)
    assert copy.apply(InstanceListDiffer("two").add([server("b")]), 2.0)
    assert [item.instance for item in copy.items] == ["b"]


def test_a_host_that_read_the_list_itself_follows_the_leader_again():
    """On kdrc-reloft trouble-1 a host used a leaving server for three seconds."""
    readings, copy = InstanceListDiffer("reader"), InstanceListReplica()
    copy.apply(readings.add([server("a"), server("b")]), 1.0)
    copy.replace([server("a"), server("b")], 5.0)
    assert copy.apply(readings.add([server("a", is_leaving=True), server("b")]), 6.0)
    assert [(item.instance, item.is_leaving) for item in copy.items] == [
        ("a", True),
        ("b", False),
    ]
