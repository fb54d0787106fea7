"""Runs all scenarios and prints one line per figure."""

import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import matplotlib

from bench.figures import Figure, compare, measure, measure_growth
from bench.policies import ABLATIONS, BASELINES
from bench.simulation import Scenario, simulate
from bench.workload import WORKLOADS

matplotlib.use("Agg")

LOADS = (0.5, 0.8, 1.0, 1.3, 2.0)
VARIANTS = ("flood", "engine_lost", "owner_lost", "slow_links", "stale", "resend")
ROOT = Path(__file__).resolve().parent.parent
WORKERS = 2


def build_scenarios() -> list[Scenario]:
    found = []
    for workload in WORKLOADS:
        for load in LOADS:
            for policy in ("damaskridge", *BASELINES):
                found.append(Scenario(workload, load, policy))
        for variant in VARIANTS:
            load = 1.3 if variant == "resend" else 0.8
            found.append(Scenario(workload, load, variant=variant))
            if variant in ("flood", "owner_lost"):
                found.append(Scenario(workload, 1.0, variant=variant))
        for name in ABLATIONS:
            found.append(Scenario(workload, 1.0, f"no_{name}"))
            found.append(Scenario(workload, 1.3, f"no_{name}"))
    return found


def run_one(scenario: Scenario) -> list[Figure]:
    return measure(simulate(scenario))


def plot(figures: list[Figure]) -> None:
    from matplotlib import pyplot

    chart, axes = pyplot.subplots(1, len(WORKLOADS), figsize=(10, 4), sharey=True)
    for axis, workload in zip(axes, WORKLOADS, strict=True):
        for policy in ("damaskridge", *BASELINES):
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


def main() -> None:
    figures = measure_growth()
    for figure in figures:
        print(figure, flush=True)
    with ProcessPoolExecutor(WORKERS) as pool:
        for found in pool.map(run_one, build_scenarios()):
            figures += found
            for figure in found:
                print(figure, flush=True)
    ratios = compare(figures)
    for figure in ratios:
        print(figure)
    figures += ratios
    out = ROOT / "out"
    out.mkdir(exist_ok=True)
    data = [figure.to_json() for figure in figures]
    (out / "bench.json").write_text(json.dumps(data, indent=1))
    plot(figures)
    failed = sum(figure.verdict == "fail" for figure in figures)
    bounded = sum(figure.bound is not None for figure in figures)
    print(f"{bounded} bounded figures, {failed} failed")


if __name__ == "__main__":
    main()
