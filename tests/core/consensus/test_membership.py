"""Guards against quorums that count lost hosts, and against two separate groups."""

import random

from tests.soak_consensus import STEP_S, Member, Simulation

from damaskridge.adapters.disk.store import LogStore
from damaskridge.adapters.raft_driver import RaftDriver
from damaskridge.core.consensus.membership import (
    OBSERVER_PREFIX,
    host_name,
    is_vote_needed,
    without_lost_learner,
)
from damaskridge.core.consensus.membership_changes import (
    LEARNER_EVICTION_TIMEOUT_S,
    VOTER_DEMOTION_TIMEOUT_S,
)
from damaskridge.model.consensus import Membership


def new_group(seed=1, size=3):
    """Return a group of `size` members that has elected a leader, without faults."""
    simulation = next(
        simulation
        for simulation in (Simulation(n, frozenset()) for n in range(seed, seed + 50))
        if len(simulation.hosts) == size
    )
    simulation.loss = 0.0
    run_for(simulation, 4.0)
    return simulation


def run_for(simulation, duration_s):
    for _ in range(int(duration_s / STEP_S)):
        simulation.step()


def add_host(simulation, host, is_observer=False):
    """
    Start a process on a new host, which is configured with all hosts.

    The other hosts are not configured with the new one, so they have to learn of it
    from its requests to join.
    """
    member = simulation.members[host] = Member(host)
    prefix = OBSERVER_PREFIX if is_observer else ""
    store = LogStore(member.folder, f"{prefix}disk-of-{host}")
    hosts = tuple(sorted((*simulation.hosts, host)))
    rng = random.Random(host)
    member.driver = RaftDriver(
        host, store, store.open(), rng, simulation.now_s, hosts, may_bootstrap=False
    )
    simulation.hosts = (*simulation.hosts, host)


def voters(simulation):
    (leader,) = simulation.leaders()
    membership = simulation.members[leader].driver.node.log.membership()
    return {host_name(voter) for voter in membership.voters}


def follower(simulation):
    return next(h for h in simulation.hosts if h not in simulation.leaders())


def test_permanently_lost_host_is_replaced():
    simulation = new_group()
    initial_hosts = set(simulation.hosts)
    lost = follower(simulation)
    simulation.stop(lost)
    add_host(simulation, "c9")
    run_for(simulation, 3.0)
    assert voters(simulation) == {*initial_hosts, "c9"} - {lost}
    # The group tolerates the loss of another host.
    simulation.stop(follower(simulation))
    before = simulation.invariants.last_committed
    run_for(simulation, 5.0)
    assert simulation.invariants.last_committed > before


def test_partitioned_host_becomes_a_voter_again():
    simulation = new_group()
    add_host(simulation, "c9")
    run_for(simulation, 3.0)
    all_voters = voters(simulation)
    assert len(all_voters) == 4
    partitioned = follower(simulation)
    simulation.split({partitioned})
    run_for(simulation, VOTER_DEMOTION_TIMEOUT_S + 1.0)
    assert voters(simulation) == all_voters - {partitioned}
    simulation.heal()
    run_for(simulation, 5.0)
    assert voters(simulation) == all_voters


def test_group_of_odd_size_keeps_an_unreachable_voter():
    """With one voter fewer, it would tolerate the loss of fewer disks."""
    simulation = new_group()
    stopped = follower(simulation)
    simulation.stop(stopped)
    run_for(simulation, LEARNER_EVICTION_TIMEOUT_S + 5.0)
    assert stopped in voters(simulation)
    for names in (("a#1", "b#2"), ("a#1", "b#2", "c#3")):
        assert is_vote_needed(Membership(names))


def test_group_that_restarts_at_once_does_not_wait_for_its_last_leader():
    durations_s = []
    for seed in range(1, 12):
        simulation = new_group(seed)
        for host in simulation.hosts:
            simulation.stop(host)
        for host in simulation.hosts:
            simulation.start(host)
        started_s = simulation.now_s
        while not simulation.leaders():
            simulation.step()
        durations_s.append(simulation.now_s - started_s)
    assert sorted(durations_s)[len(durations_s) // 2] < 0.25
    assert max(durations_s) < 1.0


def test_observer_replicates_the_log_and_never_votes():
    simulation = new_group()
    initial_hosts = set(simulation.hosts)
    add_host(simulation, "c0-observer", is_observer=True)
    run_for(simulation, 5.0)
    assert voters(simulation) == initial_hosts
    observer = simulation.members["c0-observer"]
    assert observer.applied >= simulation.invariants.last_committed - 3
    for host in initial_hosts:
        if host in simulation.leaders():
            simulation.stop(host)
    run_for(simulation, 5.0)
    assert "c0-observer" not in simulation.leaders()
    assert voters(simulation) == initial_hosts


def test_lost_observer_is_removed_from_the_learners():
    """Otherwise the leader would send messages to it forever."""
    simulation = new_group()
    add_host(simulation, "c9", is_observer=True)
    run_for(simulation, 3.0)
    simulation.stop("c9")
    run_for(simulation, LEARNER_EVICTION_TIMEOUT_S + 2.0)
    (leader,) = simulation.leaders()
    assert not simulation.members[leader].driver.node.log.membership().learners


def test_group_bootstraps_although_the_first_host_has_no_disk():
    """The first host by name may be an observer; the next one bootstraps the group."""
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


def test_lost_disk_of_a_host_is_not_taken_for_a_replaced_host():
    """Guards against a group of four that forgets the successor of another host."""
    voters = ("a#1", "b#1", "c#2", "d#1")
    membership = Membership(voters, ("c#1",), ("d#1",))
    changed = without_lost_learner(membership, lambda member: member == "c#1")
    assert changed == Membership(voters, (), ("d#1",))
