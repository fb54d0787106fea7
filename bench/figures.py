"""Computes figures from simulation results and compares them with their bounds.

The bounds are those of section 1.3 of the design. "calm" in the name of a figure
means delay-tolerant requests, as opposed to urgent ones.
"""

import math
from collections import defaultdict
from dataclasses import asdict, dataclass, replace

from bench.policies import OWN_POLICY
from bench.simulation import Result
from bench.workload import WORKSPACE_SHARES

__all__ = [
    "Figure",
    "compare_policies",
    "measure_run",
    "merge_seeds",
    "quantile",
    "summarise",
]

MAX_FIRST_TOKEN_S = 1.0
MAX_TOKEN_GAP_S = 0.078
WARM_UP_S = 20.0
HIGHER_IS_BETTER_PREFIXES = ("goodput", "urgent", "worst_workspace", "utilisation")


@dataclass
class Figure:
    """One line of output: the median over seeds; the worst seed decides the verdict."""

    figure: str
    workload: str
    load: float
    policy: str
    value: float
    unit: str
    bound: float | None = None
    upper: bool = False
    worst: float | None = None
    seeds: int = 1

    @property
    def verdict(self) -> str:
        if self.bound is None:
            return "none"
        value = self.value if self.worst is None else self.worst
        good = value <= self.bound if self.upper else value >= self.bound
        return "pass" if good else "fail"

    def __str__(self) -> str:
        bound = "none" if self.bound is None else f"{self.bound:.4g}"
        worst = self.value if self.worst is None else self.worst
        return (
            f"figure={self.figure} workload={self.workload} load={self.load * 100:.0f} "
            f"policy={self.policy} value={self.value:.4g} worst={worst:.4g} "
            f"seeds={self.seeds} unit={self.unit} bound={bound} verdict={self.verdict}"
        )

    def to_json(self) -> dict:
        return asdict(self) | {"verdict": self.verdict}


def quantile(values, share):
    """Return the nearest-rank quantile of the values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def meets_latency_targets(request) -> bool:
    """Return whether a request met its first-token and token-gap targets."""
    if request.first_token_s is None or request.end_s is None:
        return False
    on_time = request.first_token_s - request.arrive_s <= MAX_FIRST_TOKEN_S
    return on_time and quantile(request.gaps_s, 0.95) <= MAX_TOKEN_GAP_S


def share_meeting_targets(requests) -> float:
    return sum(map(meets_latency_targets, requests)) / max(1, len(requests))


def max_rate_overshoot_tokens(result: Result) -> float:
    """Return the largest excess of granted tokens over burst plus rate times time.

    The maximum is over all time windows and workspaces.
    """
    overshoot = 0.0
    for workspace in result.fleet.workspaces:
        excess = last_s = 0.0
        for at_s, tokens in result.rate_charges[workspace.name]:
            allowed = workspace.rate_tokens_per_s * (at_s - last_s)
            excess, last_s = max(0.0, excess - allowed) + tokens, at_s
            overshoot = max(overshoot, excess - workspace.burst_tokens)
    return overshoot


def worst_workspace_at_same_mix(requests, flooded: str) -> float:
    """
    Return the ratio of the lowest workspace goodput to the mean, at equal mixes.

    Each workspace is weighted with the overall share of delay-tolerant requests. Most
    of these miss the first-token target at full load, so the unweighted figure
    `worst_workspace` also depends on how many of them a small workspace happens to
    send.
    """
    tolerant_share = sum(not r.is_urgent for r in requests) / max(1, len(requests))
    goodputs = []
    for name in WORKSPACE_SHARES:
        if name == flooded:
            continue
        workspace_requests = [r for r in requests if r.workspace == name]
        urgent = share_meeting_targets([r for r in workspace_requests if r.is_urgent])
        tolerant = share_meeting_targets(
            [r for r in workspace_requests if not r.is_urgent]
        )
        goodputs.append((1 - tolerant_share) * urgent + tolerant_share * tolerant)
    return min(goodputs) / max(1e-9, sum(goodputs) / len(goodputs))


def summarise(result: Result) -> dict[str, float]:
    """Return the figures of one run by name, without bounds."""
    scenario = result.scenario
    after_warm_up = [r for r in result.requests if r.arrive_s >= WARM_UP_S]
    flooded = "w3" if scenario.variant == "flood" else ""
    not_flooded = [r for r in after_warm_up if r.workspace != flooded]
    model_requests = [r for r in not_flooded if not r.is_service]
    urgent = [r for r in model_requests if r.is_urgent]
    tolerant = [r for r in model_requests if not r.is_urgent]
    goodput_by_workspace = [
        share_meeting_targets([r for r in model_requests if r.workspace == name])
        for name in WORKSPACE_SHARES
        if name != flooded
    ]
    figures = {
        "goodput_urgent": share_meeting_targets(urgent),
        "goodput_all": share_meeting_targets(model_requests),
        "goodput_service": share_meeting_targets(
            [r for r in not_flooded if r.is_service]
        ),
        "urgent_good_per_s": sum(map(meets_latency_targets, urgent))
        / (scenario.duration_s - WARM_UP_S),
        "token_gap_p95_s": quantile(
            [g for r in model_requests for g in r.gaps_s], 0.95
        ),
        "wasted_prefill": result.wasted_tokens / max(1, result.prefill_tokens),
        "worst_workspace": min(goodput_by_workspace)
        / max(1e-9, sum(goodput_by_workspace) / len(goodput_by_workspace)),
        "worst_workspace_same_mix": worst_workspace_at_same_mix(
            model_requests, flooded
        ),
        "wrongful_refusals": sum(bool(r.refused) for r in not_flooded),
        "rate_overshoot_tokens": max_rate_overshoot_tokens(result),
        "utilisation": result.utilisation,
        "cpu_per_decision_us": result.cpu_s / max(1, result.placements) * 1e6,
        "streams_evicted": result.evictions,
        "calm_unfinished": sum(r.end_s is None and not r.refused for r in tolerant),
        "calm_completion_p99_s": quantile(
            [(r.end_s or math.inf) - r.arrive_s for r in tolerant], 0.99
        ),
    }
    for name, group in (("urgent", urgent), ("calm", tolerant)):
        waits = [(r.first_token_s or math.inf) - r.arrive_s for r in group]
        for share in (0.5, 0.95, 0.99):
            figures[f"first_token_{name}_p{share * 100:.0f}_s"] = quantile(waits, share)
    return figures


def merge_seeds(runs: list[list[Figure]]) -> list[Figure]:
    """Merge equal figures of several seeds into one with the median and the worst."""
    groups = defaultdict(list)
    for figure in (figure for run in runs for figure in run):
        key = (figure.figure, figure.workload, figure.load, figure.policy)
        groups[key].append(figure)
    merged = []
    for group in groups.values():
        values = [figure.value for figure in group]
        first = group[0]
        higher = first.figure.startswith(HIGHER_IS_BETTER_PREFIXES)
        is_upper = first.upper if first.bound is not None else not higher
        worst = max(values) if is_upper else min(values)
        median = quantile(values, 0.5)
        merged.append(replace(first, value=median, worst=worst, seeds=len(group)))
    return merged


def bound_for(name: str, load: float, variant: str) -> tuple[float | None, bool]:
    """Return the bound from section 1.3, if any, and whether it is an upper bound."""
    faulty = variant not in ("none", "flood", "resend")
    if name == "wasted_prefill":
        return (0.03 if faulty else 0.01), True
    if name == "rate_overshoot_tokens":
        return 0.0, True
    if name == "wrongful_refusals" and load <= 1.0:
        if variant in ("none", "flood", "owner_lost"):
            return 0.0, True
    if name.startswith("worst_workspace") and load <= 1.0 and not faulty:
        return 0.9, False
    if name == "token_gap_p95_s":
        return MAX_TOKEN_GAP_S, True
    if name == "goodput_urgent" and load <= 1.0 and variant == "none":
        return 0.95, False
    if name == "goodput_all" and load <= 1.0 and variant == "none":
        return 0.95, False
    if name == "calm_unfinished" and load <= 1.0:
        return 0.0, True
    return None, True


def measure_run(result: Result) -> list[Figure]:
    """Return the figures of one run; only those of `OWN_POLICY` have bounds."""
    scenario = result.scenario
    policy = scenario.policy
    if scenario.variant != "none":
        policy += f"+{scenario.variant}"
    figures = []
    for name, value in summarise(result).items():
        bound, upper = bound_for(name, scenario.load, scenario.variant)
        if scenario.policy != OWN_POLICY:
            bound = None
        unit = next(
            (u for u in ("tokens", "per_s", "us", "s") if name.endswith("_" + u)), "1"
        )
        figures.append(
            Figure(
                name,
                scenario.workload,
                scenario.load,
                policy,
                value,
                unit,
                bound,
                upper,
            )
        )
    return figures


def compare_policies(figures: list[Figure]) -> list[Figure]:
    """Return the ratios between policies, and between loads, as figures."""
    values = {(f.figure, f.workload, f.load, f.policy): f.value for f in figures}
    ratios = []

    def add(name, workload, load, numerator, denominator, bound, upper=False):
        if numerator in values and denominator in values:
            value = values[numerator] / max(1e-9, values[denominator])
            ratios.append(
                Figure(name, workload, load, OWN_POLICY, value, "1", bound, upper)
            )

    for workload in sorted({f.workload for f in figures}):
        for load in sorted({f.load for f in figures}):
            own = ("goodput_urgent", workload, load, OWN_POLICY)
            add(
                "urgent_over_upper_bound",
                workload,
                load,
                own,
                (*own[:3], "upper_bound"),
                0.9,
            )
            add(
                "urgent_over_fcfs",
                workload,
                load,
                own,
                (*own[:3], "fcfs"),
                1.5 if load == 1.3 else None,
            )
        rate = ("urgent_good_per_s", workload)
        add(
            "urgent_per_s_over_100",
            workload,
            2.0,
            (*rate, 2.0, OWN_POLICY),
            (*rate, 1.0, OWN_POLICY),
            0.95,
        )
        tolerant = ("calm_completion_p99_s", workload, 1.0)
        add(
            "calm_p99_over_fcfs",
            workload,
            1.0,
            (*tolerant, OWN_POLICY),
            (*tolerant, "fcfs"),
            2.0,
            True,
        )
    return ratios
