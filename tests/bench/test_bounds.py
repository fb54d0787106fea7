"""Guards against scheduler changes that miss the bounds of the design.

Short simulations at a few loads and faults, not the whole benchmark.
"""

import pytest
from bench.figures import summarise
from bench.growth import CELL_SIZES, measure_cpu_growth
from bench.simulation import Scenario, simulate

SHORT_S = 40.0


def run_summary(workload, load, policy="damaskridge", variant="none"):
    return summarise(simulate(Scenario(workload, load, policy, variant, SHORT_S)))


@pytest.mark.parametrize("workload", ["kyushu", "magia"])
def test_full_load_has_no_refusals_and_little_wasted_prefill(workload):
    figures = run_summary(workload, 1.0)
    assert figures["wrongful_refusals"] == 0
    assert figures["rate_overshoot_tokens"] <= 0
    assert figures["wasted_prefill"] <= 0.01
    assert figures["token_gap_p95_s"] <= 0.078
    assert figures["streams_evicted"] == 0


def test_overload_keeps_urgent_goodput_above_fcfs():
    figures = run_summary("kyushu", 1.3)
    baseline = run_summary("kyushu", 1.3, "fcfs")
    bound = run_summary("kyushu", 1.3, "upper_bound")
    assert figures["goodput_urgent"] >= 1.5 * baseline["goodput_urgent"]
    assert figures["goodput_urgent"] >= 0.9 * bound["goodput_urgent"]


def test_double_load_keeps_urgent_goodput_near_the_upper_bound():
    figures = run_summary("kyushu", 2.0)
    bound = run_summary("kyushu", 2.0, "upper_bound")
    assert figures["goodput_urgent"] >= 0.9 * bound["goodput_urgent"]


@pytest.mark.parametrize("variant", ["flood", "owner_lost", "stale"])
def test_faults_refuse_no_request_within_its_rate(variant):
    figures = run_summary("magia", 0.8, variant=variant)
    assert figures["wrongful_refusals"] == 0
    assert figures["rate_overshoot_tokens"] <= 0


def test_cpu_time_grows_at_most_logarithmically():
    for figure in measure_cpu_growth(CELL_SIZES[:4]):
        assert figure.verdict != "fail", str(figure)
