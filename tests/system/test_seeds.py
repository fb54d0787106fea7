"""Checks that the invariants hold under random combinations of faults."""

import pytest

from tests.soak_consensus import run_seed as run_consensus_seed
from tests.system.driver import run_seed

SYSTEM_SEEDS = 140
CONSENSUS_SEEDS = 60


@pytest.mark.parametrize("seed", range(SYSTEM_SEEDS))
def test_system_seed(seed):
    run_seed(seed)


@pytest.mark.parametrize("first", range(0, CONSENSUS_SEEDS, 10))
def test_consensus_seeds(first):
    for seed in range(1000 + first, 1010 + first):
        run_consensus_seed(seed, 400)


@pytest.mark.parametrize("seed", [3, 8])
def test_a_seed_repeats_its_run_exactly(seed):
    assert run_seed(seed, 5.0).digest == run_seed(seed, 5.0).digest
