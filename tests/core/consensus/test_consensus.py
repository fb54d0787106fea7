"""Guards against violations of the invariants of Raft under random faults."""

import pytest
from tests.linearizability import Operation, is_linearizable
from tests.soak_consensus import STEP_S, Simulation, election_steps, run_seed

from damaskridge.model.consensus import InstallSnapshot

SEEDS = range(60)
STEPS = 1000


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_random_faults(seed):
    assert sum(run_seed(seed, STEPS).faults.values()) > 0


def test_failed_leader_is_replaced_within_a_second():
    assert max(map(election_steps, range(100))) * STEP_S < 1.0


def test_leader_keeps_its_quorum_while_a_member_waits_for_a_snapshot(monkeypatch):
    """
    The leader has to send heartbeats to a member that waits for a snapshot.

    Without them, a slow or lost snapshot lets the leader lose its quorum as soon as
    another member fails.
    """
    simulation = next(s for s in map(new_group, range(9)) if len(s.hosts) == 3)
    (leader,) = simulation.leaders()
    lagging, other = (h for h in simulation.hosts if h != leader)
    simulation.stop(lagging)
    run_steps(simulation, 300)
    transmit = simulation.transmit
    monkeypatch.setattr(
        simulation,
        "transmit",
        lambda source, to, message: (
            None
            if isinstance(message, InstallSnapshot)
            else transmit(source, to, message)
        ),
    )
    simulation.start(lagging)
    run_steps(simulation, 20)
    simulation.stop(other)
    term = simulation.members[leader].driver.node.term
    run_steps(simulation, 300)
    assert simulation.leaders() == [leader]
    assert simulation.members[leader].driver.node.term == term


def new_group(seed: int) -> Simulation:
    simulation = Simulation(seed, frozenset())
    run_steps(simulation, 150)
    return simulation


def run_steps(simulation: Simulation, steps: int) -> None:
    for _ in range(steps):
        simulation.step()


@pytest.mark.parametrize(
    "guard",
    [
        "member_id_per_disk",
        "checksum",
        "current_term_commit",
        "pre_vote",
        "confirm_reads",
        "sync_before_ack",
    ],
)
def test_random_runs_detect_a_disabled_guard(guard):
    for seed in SEEDS:
        try:
            run_seed(seed, STEPS, frozenset({guard}))
        except AssertionError:
            return
    pytest.fail(f"no seed detects that the guard {guard} is disabled")


def test_linearizability_checker_detects_a_stale_read():
    write = Operation(0.0, expected=0, new=7, returned_s=1.0, result=1)
    fresh = Operation(2.0, returned_s=3.0, result=7)
    stale = Operation(2.0, returned_s=3.0, result=0)
    concurrent = Operation(0.5, returned_s=3.0, result=0)
    assert is_linearizable([write, fresh]) and is_linearizable([write, concurrent])
    assert not is_linearizable([write, stale])
