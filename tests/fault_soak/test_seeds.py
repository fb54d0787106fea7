"""Guards against broken promises of the real programs when faults meet.

Each seed plays again what once failed, or a mix; `python -m tests.fault_soak` plays
many. The processes' own timing varies from run to run.
"""

import pytest

from tests.fault_soak.soak import run_seed

LENGTH_S = 6.0
# 5: a process that was told to stop while it loaded ended with -15.
SEEDS = (1, 5)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults(seed, tmp_path):
    record = run_seed(seed, tmp_path, LENGTH_S)
    assert record.broken == []
    # A run in which nothing was disturbed or served would show nothing.
    assert record.faults["healed"] >= 3
    assert record.answers[200] >= 50
