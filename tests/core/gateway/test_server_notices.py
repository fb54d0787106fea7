"""Requests must not go to instances that are leaving or have asked for a pause."""

from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.server_notices import ServerNotices
from damaskridge.model.gateway import BackendInstance, EngineStage, InstanceId


def server(name, **fields):
    fields = {"service": "s", "data_centre": "west", "slots": 4, **fields}
    return BackendInstance(instance=name, address=name, **fields)


def registry_of(*items):
    registry = InstanceRegistry()
    registry.replace(items)
    return registry


def names(registry, now_s=0.0, **options):
    return {item.instance for item in registry.candidates("s", now_s, **options)}


def test_leaving_instance_receives_nothing_although_it_is_listed_as_ready():
    first, second = server("a"), server("b")
    registry = registry_of(first, second)
    assert registry.notices.record_leaving(first)
    assert not registry.notices.record_leaving(first)
    registry.replace((first, second))
    assert names(registry) == {"b"}
    registry.notices.record_leaving(second)
    assert names(registry) == set()


def test_restarted_instance_receives_requests_again():
    old, new = server("a", started_ms=1), server("a", started_ms=2)
    registry = registry_of(old)
    registry.notices.record_leaving(old)
    assert names(registry) == set()
    assert registry.replace((new,)) == [old]
    assert names(registry) == {"a"}


def test_paused_instance_receives_nothing_even_if_there_is_no_other():
    registry = registry_of(server("a"), server("b"))
    registry.notices.record_pause("a", until_s=3.0)
    assert names(registry, 2.9) == {"b"}
    registry.notices.record_pause("b", until_s=5.0)
    assert names(registry, 2.9) == set()
    assert names(registry, 3.0) == {"a"}


def test_pause_of_a_service_is_the_shortest_of_its_instances():
    registry = registry_of(server("a"), server("b"))
    registry.notices.record_pause("a", until_s=3.0)
    assert registry.wait_s("s", 1.0) == 0.0
    registry.notices.record_pause("b", until_s=5.0)
    assert registry.wait_s("s", 1.0) == 2.0
    assert registry.wait_s("s", 1.0, EngineStage.DECODE) == 0.0


def test_later_notice_does_not_shorten_a_pause():
    notices = ServerNotices()
    notices.record_pause("a", until_s=5.0)
    notices.record_pause("a", until_s=2.0)
    assert notices.remaining_pause_s("a", 1.0) == 4.0


def test_notices_of_removed_instances_are_dropped():
    registry = registry_of(server("a"))
    registry.notices.record_leaving(server("a"))
    registry.notices.record_pause("a", until_s=5.0)
    registry.replace(())
    assert registry.notices.leaving() == ()
    assert registry.notices.remaining_pause_s("a", 0.0) == 0.0


def test_notice_from_another_host_applies_to_the_same_run_only():
    notices = ServerNotices()
    notices.add(InstanceId("a", 1))
    assert notices.has_announced_leaving(server("a", started_ms=1))
    assert not notices.has_announced_leaving(server("a", started_ms=2))
