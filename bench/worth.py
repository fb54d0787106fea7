"""Ablations: the figures of the scheduler minus those without one mechanism."""

from collections.abc import Iterator
from concurrent.futures import Executor

from bench.figures import Figure, quantile, summarise
from bench.policies import ABLATION_SETTINGS, OWN_POLICY
from bench.simulation import Scenario, simulate
from bench.workload import WORKLOADS

__all__ = ["measure_ablations"]

LOADS = (0.8, 1.0, 1.3, 2.0)
DURATION_S = 50.0
# Fault variants and loads at which a mechanism has its effect, in addition to the
# runs without faults.
FAULT_VARIANTS = {
    "fair-share": (("flood", 0.8), ("flood", 1.0)),
    "link-reservation": (("slow_links", 0.8),),
    "prefix-hints": (("lost_events", 1.0),),
    "report-correction": (("stale", 0.8), ("stale", 1.0)),
    "retry-budget": (("engine_lost_resend", 0.8), ("engine_lost_resend", 1.3)),
}
# Compared figures; the sign makes a positive difference an improvement.
FIGURE_SIGNS = {
    "goodput_urgent": 1,
    "worst_workspace": 1,
    "wasted_prefill": -1,
    "calm_completion_p99_s": -1,
    "wrongful_refusals": -1,
}


def ablation_cases(mechanism: str) -> Iterator[tuple[str, str, float]]:
    """Yield the workload, variant and load of each run for a mechanism."""
    for workload in WORKLOADS:
        for load in LOADS:
            yield workload, "none", load
        for variant, load in FAULT_VARIANTS.get(mechanism, ()):
            yield workload, variant, load


def run_scenario(scenario: Scenario) -> dict[str, float]:
    """Run one scenario and return the compared figures; called in worker processes."""
    figures = summarise(simulate(scenario))
    return {name: figures[name] for name in FIGURE_SIGNS}


def measure_ablations(pool: Executor, seeds: tuple[int, ...]) -> list[Figure]:
    """Return the gain of every mechanism: the median and the minimum over seeds."""
    jobs = {}
    for mechanism in ABLATION_SETTINGS:
        for workload, variant, load in ablation_cases(mechanism):
            for seed in seeds:
                for policy in (OWN_POLICY, f"{OWN_POLICY}-without-{mechanism}"):
                    job = Scenario(workload, load, policy, variant, DURATION_S, seed)
                    jobs[job] = None
    results = dict(zip(jobs, pool.map(run_scenario, jobs), strict=True))
    figures = []
    for mechanism in ABLATION_SETTINGS:
        for workload, variant, load in ablation_cases(mechanism):
            pairs = []
            for seed in seeds:
                full_scenario = Scenario(
                    workload, load, OWN_POLICY, variant, DURATION_S, seed
                )
                policy = f"{OWN_POLICY}-without-{mechanism}"
                ablated_scenario = Scenario(
                    workload, load, policy, variant, DURATION_S, seed
                )
                pairs.append((results[full_scenario], results[ablated_scenario]))
            suffix = "" if variant == "none" else f"+{variant}"
            for name, sign in FIGURE_SIGNS.items():
                gains = [sign * difference(a[name], b[name]) for a, b in pairs]
                figures.append(
                    Figure(
                        f"worth_{name}",
                        workload,
                        load,
                        f"{OWN_POLICY}-without-{mechanism}{suffix}",
                        quantile(gains, 0.5),
                        "s" if name.endswith("_s") else "1",
                        worst=min(gains),
                        seeds=len(seeds),
                    )
                )
    return figures


def difference(a: float, b: float) -> float:
    """Return `a - b`, with 0 for two equal infinite values."""
    return 0.0 if a == b else a - b
