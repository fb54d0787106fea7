"""Run the simulated benchmarks and print one line per figure.

`python -m bench` runs the scenarios whose figures have bounds. `python -m bench
ablations [SEED ...]` compares the scheduler with variants that lack one mechanism.
`python -m bench roles` shifts the request mix, with and without role changes.
"""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import matplotlib

from bench.figures import Figure, compare_policies, measure_run, merge_seeds
from bench.growth import measure_cpu_growth
from bench.policies import BASELINES, OWN_POLICY
from bench.simulation import Scenario, simulate
from bench.workload import WORKLOADS
from bench.worth import measure_ablations

matplotlib.use("Agg")

LOADS = (0.5, 0.8, 1.0, 1.3, 2.0)
SEEDS = (1, 11, 12)
# Bounded ratios need these policies on every seed; the other baselines are for
# information and run on the first seed only.
COMPARED_POLICIES = (OWN_POLICY, "fcfs", "upper_bound")
VARIANTS = (
    ("flood", 0.8),
    ("flood", 1.0),
    ("engine_lost", 0.8),
    ("owner_lost", 0.8),
    ("owner_lost", 1.0),
    ("slow_links", 0.8),
    ("stale", 0.8),
    ("resend", 1.3),
)
ROOT = Path(__file__).resolve().parent.parent
WORKER_PROCESSES = 3
# Long enough for a lasting load imbalance, a role change and its effect.
ROLE_CHANGE_DURATION_S = 180.0


def build_scenarios(seed: int) -> list[Scenario]:
    """Return all scenarios for one seed."""
    scenarios = []
    for workload in WORKLOADS:
        policies = (OWN_POLICY, *BASELINES) if seed == SEEDS[0] else COMPARED_POLICIES
        for load in LOADS:
            scenarios += [Scenario(workload, load, p, seed=seed) for p in policies]
        scenarios += [
            Scenario(workload, load, variant=variant, seed=seed)
            for variant, load in VARIANTS
        ]
    return scenarios


def measure_scenario(scenario: Scenario) -> list[Figure]:
    """Run one scenario and return its figures; called in worker processes."""
    return measure_run(simulate(scenario))


def plot(figures: list[Figure]) -> None:
    """Plot urgent goodput against load for each workload and policy."""
    from matplotlib import pyplot

    chart, axes = pyplot.subplots(1, len(WORKLOADS), figsize=(10, 4), sharey=True)
    for axis, workload in zip(axes, WORKLOADS, strict=True):
        for policy in (OWN_POLICY, *BASELINES):
            points = sorted(
                (f.load * 100, f.value)
                for f in figures
                if (f.figure, f.workload, f.policy)
                == ("goodput_urgent", workload, policy)
            )
            axis.plot(*zip(*points, strict=True), marker="o", label=policy)
        axis.set(title=workload, xlabel="load (% of capacity)", ylim=(0, 1.05))
    axes[0].set_ylabel("urgent goodput")
    axes[0].legend()
    chart.tight_layout()
    chart.savefig(ROOT / "docs" / "goodput.png", dpi=80)


def measure_scenarios(pool: ProcessPoolExecutor) -> list[Figure]:
    """Run all scenarios and return their figures, merged over the seeds."""
    runs = []
    pending = [(s, pool.map(measure_scenario, build_scenarios(s))) for s in SEEDS]
    for _, results in pending:
        figures = [figure for run in results for figure in run]
        runs.append(figures + compare_policies(figures))
    return measure_cpu_growth() + merge_seeds(runs)


def measure_role_changes(pool: ProcessPoolExecutor) -> list[Figure]:
    """Return figures, without bounds, for a request mix that shifts during the run."""
    runs = []
    for seed in SEEDS:
        jobs = [
            Scenario(workload, load, policy, "mix_shift", ROLE_CHANGE_DURATION_S, seed)
            for workload in WORKLOADS
            for load in (0.8, 1.0)
            for policy in (OWN_POLICY, f"{OWN_POLICY}-with-roles")
        ]
        runs.append([f for run in pool.map(measure_scenario, jobs) for f in run])
    return [replace(f, bound=None) for f in merge_seeds(runs)]


def write_figures(name: str, figures: list[Figure]) -> None:
    """Print the figures and write them as JSON to `out/`."""
    for figure in figures:
        print(figure)
    out = ROOT / "out"
    out.mkdir(exist_ok=True)
    data = [figure.to_json() for figure in figures]
    (out / name).write_text(json.dumps(data, indent=1))


def main() -> None:
    """Run the benchmark that the command line selects."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        if sys.argv[1:2] == ["ablations"]:
            seeds = tuple(map(int, sys.argv[2:])) or SEEDS
            return write_figures("ablations.json", measure_ablations(pool, seeds))
        if sys.argv[1:] == ["roles"]:
            return write_figures("roles.json", measure_role_changes(pool))
        figures = measure_scenarios(pool)
    write_figures("bench.json", figures)
    plot(figures)
    failed = sum(figure.verdict == "fail" for figure in figures)
    bounded = sum(figure.bound is not None for figure in figures)
    print(f"{bounded} bounded figures, {failed} failed")


if __name__ == "__main__":
    main()
