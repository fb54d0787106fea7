"""Guards against callers spread over so many hosts that none knows the load."""

from damaskridge.core.gateway.host_count import KEEP_S
from damaskridge.core.gateway.host_selection import (
    CALLS_PER_HOST,
    GENERATIONS_PER_HOST,
    LEAST_HOSTS,
    HostDemand,
    select_hosts,
)
from damaskridge.model.control import InstanceLoad

HOSTS = [f"front-{number}" for number in range(40)]


def generations(count):
    return [InstanceLoad(1, memory_tokens=5000)] * count


def test_all_hosts_choose_alike_whatever_the_order_of_names():
    assert select_hosts(HOSTS, 5) == select_hosts(HOSTS[::-1], 5)
    assert len(select_hosts(HOSTS, 5)) == 5


def test_a_larger_number_only_adds_hosts():
    assert set(select_hosts(HOSTS, 4)) < set(select_hosts(HOSTS, 7))
    assert select_hosts(HOSTS, 100) == sorted(HOSTS)


def test_a_host_that_goes_changes_one_place():
    chosen = select_hosts(HOSTS, 5)
    left = [host for host in HOSTS if host != chosen[0]]
    assert set(chosen) - set(select_hosts(left, 5)) == {chosen[0]}


def test_different_hosts_bear_the_load_in_different_data_centres():
    """The first machines of a data centre also run control hosts."""
    assert select_hosts(HOSTS, 5) != sorted(HOSTS)[:5]


def test_the_number_follows_the_load_up_at_once_and_down_slowly():
    demand = HostDemand()

    def needed(count, now_s):
        return demand.hosts_needed({"west": generations(count)}, now_s)["west"]

    assert needed(0, 0.0) == LEAST_HOSTS
    assert needed(10 * GENERATIONS_PER_HOST, 1.0) == 10
    assert needed(0, 1.0 + KEEP_S / 2) == 10
    assert needed(0, 2.0 + 2 * KEEP_S) == LEAST_HOSTS


def test_calls_and_prompts_count_by_what_they_cost():
    demand = HostDemand()
    calls = [InstanceLoad(round(8 * CALLS_PER_HOST))]
    reading = [InstanceLoad(0, prompt_tokens=50_000)] * 100
    found = demand.hosts_needed({"a": calls, "b": reading}, 0.0)
    assert found == {"a": 8, "b": LEAST_HOSTS}
