"""Guards against guarantees that the programs violate when faults overlap.

A seed repeats the faults of an earlier failure or a mix of all faults; the timing of
the processes varies from run to run. `python -m tests.fault_soak` runs many seeds.
"""

import pytest

from tests.fault_soak.soak import run_seed

FAULT_DURATION_S = 6.0
# 5: a process that received SIGTERM while it loaded exited with status -15.
# 8601: a stream goes on at another software version without the guard.
SEEDS = (1, 5, 8601)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_faults(seed, tmp_path):
    record = run_seed(seed, tmp_path, FAULT_DURATION_S)
    assert record.violations == []
    # A run with few faults or few served requests would prove nothing.
    assert record.fault_counts["healed"] >= 3
    assert record.status_counts[200] >= 50
