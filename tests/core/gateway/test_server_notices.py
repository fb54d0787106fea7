"""Guards against requests to servers that asked to be left alone."""

from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.server_notices import ServerNotices
from damaskridge.model.gateway import BackendInstance, EngineStage, ServerStart


def server(name, **fields):
    fields = {"service": "s", "data_centre": "west", "slots": 4, **fields}
    return BackendInstance(instance=name, address=name, **fields)


def registry_of(*items):
    registry = InstanceRegistry()
    registry.replace(items)
    return registry


def names(registry, now_s=0.0, **options):
    return {item.instance for item in registry.candidates("s", now_s, **options)}


def test_a_server_that_says_it_leaves_gets_nothing_though_it_is_listed_as_ready():
    first, second = server("a"), server("b")
    registry = registry_of(first, second)
    assert registry.notices.record_leaving(first)
    assert not registry.notices.record_leaving(first)
    registry.replace((first, second))
    assert names(registry) == {"b"}
    registry.notices.record_leaving(second)
    assert names(registry) == set()


def test_a_new_start_under_the_same_name_gets_work_again():
    old, new = server("a", started_ms=1), server("a", started_ms=2)
    registry = registry_of(old)
    registry.notices.record_leaving(old)
    assert names(registry) == set()
    assert registry.replace((new,)) == [old]
    assert names(registry) == {"a"}


def test_a_server_that_asked_for_a_pause_gets_nothing_even_if_no_other_is_left():
    registry = registry_of(server("a"), server("b"))
    registry.notices.record_pause("a", until_s=3.0)
    assert names(registry, 2.9) == {"b"}
    registry.notices.record_pause("b", until_s=5.0)
    assert names(registry, 2.9) == set()
    assert names(registry, 3.0) == {"a"}


def test_the_shortest_pause_is_what_callers_are_told():
    registry = registry_of(server("a"), server("b"))
    registry.notices.record_pause("a", until_s=3.0)
    assert registry.pause_s("s", 1.0) == 0.0
    registry.notices.record_pause("b", until_s=5.0)
    assert registry.pause_s("s", 1.0) == 2.0
    assert registry.pause_s("s", 1.0, EngineStage.DECODE) == 0.0


def test_a_later_answer_does_not_shorten_a_pause():
    notices = ServerNotices()
    notices.record_pause("a", until_s=5.0)
    notices.record_pause("a", until_s=2.0)
    assert notices.remaining_pause_s("a", 1.0) == 4.0


def test_notices_of_servers_that_are_gone_are_dropped():
    registry = registry_of(server("a"))
    registry.notices.record_leaving(server("a"))
    registry.notices.record_pause("a", until_s=5.0)
    registry.replace(())
    assert registry.notices.leaving() == ()
    assert registry.notices.remaining_pause_s("a", 0.0) == 0.0


def test_a_notice_of_another_host_counts_for_the_same_start_only():
    notices = ServerNotices()
    notices.add(ServerStart("a", 1))
    assert notices.has_announced_leaving(server("a", started_ms=1))
    assert not notices.has_announced_leaving(server("a", started_ms=2))
