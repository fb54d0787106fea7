"""Guards against groups that count hosts which are gone, and against two groups."""

import random

from tests.soak_consensus import STEP_S, Member, Simulation

from damaskridge.adapters.disk.store import LogStore
from damaskridge.adapters.raft_driver import RaftDriver
from damaskridge.core.consensus.leader import EVICT_AFTER_S
from damaskridge.core.consensus.membership import (
    OBSERVER_PREFIX,
    host_name,
    without_silent,
)
from damaskridge.model.consensus import Membership


def new_group(seed=1, size=3):
    """Return a formed group without faults."""
    simulation = next(
        simulation
        for simulation in (Simulation(n, frozenset()) for n in range(seed, seed + 50))
        if len(simulation.hosts) == size
    )
    simulation.loss = 0.0
    run_for(simulation, 4.0)
    return simulation


def run_for(simulation, seconds_s):
    for _ in range(int(seconds_s / STEP_S)):
        simulation.step()


def add_host(simulation, host, is_observer=False):
    """Start a process that is told the first hosts only, as those are not told it."""
    member = simulation.members[host] = Member(host)
    prefix = OBSERVER_PREFIX if is_observer else ""
    store = LogStore(member.folder, f"{prefix}disk-of-{host}")
    hosts = tuple(sorted((*simulation.hosts, host)))
    rng = random.Random(host)
    member.driver = RaftDriver(
        host, store, store.open(), rng, simulation.now_s, hosts, may_form=False
    )
    simulation.hosts = (*simulation.hosts, host)


def voters(simulation):
    (leader,) = simulation.leaders()
    membership = simulation.members[leader].driver.node.log.membership()
    return {host_name(voter) for voter in membership.voters}


def follower(simulation):
    return next(h for h in simulation.hosts if h not in simulation.leaders())


def test_a_host_that_is_gone_for_good_is_replaced():
    simulation = new_group()
    first = set(simulation.hosts)
    gone = follower(simulation)
    simulation.stop(gone)
    add_host(simulation, "c9")
    run_for(simulation, 3.0)
    assert voters(simulation) == {*first, "c9"}
    run_for(simulation, EVICT_AFTER_S + 2.0)
    assert voters(simulation) == {*first, "c9"} - {gone}
    # The group bears the next loss again.
    simulation.stop(follower(simulation))
    before = simulation.invariants.last_committed
    run_for(simulation, 5.0)
    assert simulation.invariants.last_committed > before


def test_a_host_that_was_only_cut_off_gets_its_vote_back():
    simulation = new_group()
    add_host(simulation, "c9")
    run_for(simulation, 3.0)
    everyone = voters(simulation)
    assert len(everyone) == 4
    away = follower(simulation)
    simulation.split({away})
    run_for(simulation, EVICT_AFTER_S + 2.0)
    assert voters(simulation) == everyone - {away}
    simulation.heal()
    run_for(simulation, 5.0)
    assert voters(simulation) == everyone


def test_a_group_of_odd_size_keeps_a_silent_voter():
    """With a voter fewer it would survive the loss of fewer disks."""
    simulation = new_group()
    away = follower(simulation)
    simulation.stop(away)
    run_for(simulation, EVICT_AFTER_S + 5.0)
    assert away in voters(simulation)
    assert without_silent(Membership(("a#1", "b#2")), "a#1", lambda _: True) is None


def test_a_group_that_starts_at_once_does_not_wait_for_its_old_leader():
    steps = []
    for seed in range(1, 12):
        simulation = new_group(seed)
        for host in simulation.hosts:
            simulation.stop(host)
        for host in simulation.hosts:
            simulation.start(host)
        started_s = simulation.now_s
        while not simulation.leaders():
            simulation.step()
        steps.append(simulation.now_s - started_s)
    assert sorted(steps)[len(steps) // 2] < 0.25
    assert max(steps) < 1.0


def test_an_observer_follows_the_log_and_never_votes():
    simulation = new_group()
    first = set(simulation.hosts)
    add_host(simulation, "c0-observer", is_observer=True)
    run_for(simulation, 5.0)
    assert voters(simulation) == first
    observer = simulation.members["c0-observer"]
    assert observer.applied >= simulation.invariants.last_committed - 3
    for host in first:
        if host in simulation.leaders():
            simulation.stop(host)
    run_for(simulation, 5.0)
    assert "c0-observer" not in simulation.leaders()
    assert voters(simulation) == first


def test_an_observer_that_is_gone_costs_no_messages_for_ever():
    simulation = new_group()
    add_host(simulation, "c9", is_observer=True)
    run_for(simulation, 3.0)
    simulation.stop("c9")
    run_for(simulation, EVICT_AFTER_S + 2.0)
    (leader,) = simulation.leaders()
    assert not simulation.members[leader].driver.node.log.membership().learners


def test_a_group_forms_beside_a_seed_without_a_disk():
    """The seed that sorts first may have none; the next one forms the group."""
    simulation = Simulation(1, frozenset())
    simulation.loss = 0.0
    hosts = simulation.hosts
    for host in hosts:
        simulation.members[host].driver = None
    for number, host in enumerate(hosts):
        member = simulation.members[host] = Member(host)
        prefix = OBSERVER_PREFIX if number == 0 else ""
        store = LogStore(member.folder, f"{prefix}{number}")
        rng = random.Random(number)
        member.driver = RaftDriver(
            host, store, store.open(), rng, simulation.now_s, hosts
        )
    run_for(simulation, 5.0)
    assert voters(simulation) == set(hosts[1:])
