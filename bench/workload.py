"""Generates the two workloads and the simulated fleets that serve them.

Requests are urgent or delay-tolerant ("calm" in the names of figures). The scheduler
isn't given this property and has to infer it.
"""

import math
import random
from dataclasses import dataclass, field, replace

import msgspec

from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace

__all__ = [
    "MAX_OUTPUT_TOKENS",
    "SimulatedFleet",
    "Request",
    "WorkloadShape",
    "WORKLOADS",
    "generate_requests",
    "shift_mix",
]

MAX_OUTPUT_TOKENS = 600
KV_BYTES_PER_TOKEN = 65_536
WORKSPACE_SHARES = {"w1": 0.35, "w2": 0.35, "w3": 0.1, "w4": 0.1, "w5": 0.1}
SERVICE_SHARE = 0.5
SERVICE_TIME_S = 0.08
RATE_MARGIN = 1.2
BURST_S = 30.0


@dataclass(frozen=True)
class WorkloadShape:
    """Parameters of a workload: median lengths and the share of tolerant requests."""

    name: str
    tolerant_share: float
    tolerant_prompt_tokens: int
    tolerant_output_tokens: int
    shared_prefix_share: float
    urgent_prompt_tokens: int
    urgent_output_tokens: int
    document_count: int


WORKLOADS = {
    "kyushu": WorkloadShape("kyushu", 0.35, 3500, 220, 0.15, 250, 50, 20),
    "magia": WorkloadShape("magia", 0.3, 4500, 180, 0.5, 200, 40, 8),
}


@dataclass(eq=False)
class Request:
    """One request: its properties, and its state and outcome in the simulation."""

    number: int
    workspace: str
    is_urgent: bool
    is_service: bool
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    arrive_s: float
    front: str
    service_s: float = 0.0
    first_token_s: float | None = None
    last_token_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    end_s: float | None = None
    refused: str = ""
    produced_tokens: int = 0
    attempt: int = 1
    caller_retries: int = 0
    is_abandoned: bool = False

    @property
    def request_id(self) -> str:
        return f"req-{self.front}-1-{self.number:x}"


@dataclass(frozen=True)
class SimulatedFleet:
    """Backend servers and workspaces, sized for the workload."""

    engines: tuple[BackendServer, ...]
    services: tuple[BackendServer, ...]
    workspaces: tuple[Workspace, ...]
    requests_per_s: float


def sample_request(
    shape: WorkloadShape, rng: random.Random, number: int, arrive_s: float
) -> Request:
    workspace = rng.choices(list(WORKSPACE_SHARES), list(WORKSPACE_SHARES.values()))[0]
    urgent = rng.random() >= shape.tolerant_share
    is_atypical = rng.random() < 0.1
    prompt, output = shape.urgent_prompt_tokens, shape.urgent_output_tokens
    if not urgent:
        prompt, output = shape.tolerant_prompt_tokens, shape.tolerant_output_tokens
    if is_atypical:
        # Some urgent prompts are long, and some delay-tolerant ones short.
        prompt = 1200 if urgent else 500
    prompt = min(8000, max(16, round(prompt * math.exp(rng.gauss(0, 0.3)))))
    output = min(MAX_OUTPUT_TOKENS, max(4, round(output * math.exp(rng.gauss(0, 0.3)))))
    blocks = prompt // 64
    shared = int(blocks * shape.shared_prefix_share) if not urgent else 0
    document = rng.randrange(shape.document_count)
    # Hashes of integers are the same in every process; hashes of strings aren't.
    workspace_index = list(WORKSPACE_SHARES).index(workspace)
    prefix_hashes = [hash((0, workspace_index, document, i)) for i in range(shared)]
    prefix_hashes += [hash((1, number, 0, i)) for i in range(shared, blocks)]
    front = f"h{rng.randrange(10)}"
    return Request(
        number,
        workspace,
        urgent,
        False,
        prompt,
        output,
        tuple(prefix_hashes),
        arrive_s,
        front,
    )


def build_fleet(shape: WorkloadShape, load: float) -> SimulatedFleet:
    """Return a fleet for a workload, with workspace rates for this load.

    Decode memory suffices for about 20 requests per engine; the request rate is the
    capacity of the prefill or of the decode engines, whichever is lower.
    """
    rng = random.Random(7)
    samples = [sample_request(shape, rng, n, 0.0) for n in range(4000)]
    count = len(samples)
    decode_s = [0.04 * item.output_tokens for item in samples]
    pieces_per_request = [(s.prompt_tokens + s.output_tokens) / 16 + 3 for s in samples]
    mean_pieces = sum(
        p * d for p, d in zip(pieces_per_request, decode_s, strict=True)
    ) / sum(decode_s)
    kv_pieces = int(20 * mean_pieces * 1.1)
    prefill_s = sum(
        s.prompt_tokens * (1 if s.is_urgent else 1 - 0.9 * shape.shared_prefix_share)
        for s in samples
    ) / (8000 * count)
    requests_per_s = min(2 / prefill_s, 60 / (sum(decode_s) / count))
    mean_tokens = sum(s.prompt_tokens + s.output_tokens for s in samples) / count
    workspaces = tuple(
        Workspace(
            name,
            mean_tokens * requests_per_s * share * RATE_MARGIN * load,
            mean_tokens * requests_per_s * share * BURST_S * max(load, 1.0) + 20_000,
            share,
        )
        for name, share in WORKSPACE_SHARES.items()
    )
    role = BackendServerRole
    base = BackendServer("", "cell", role.DECODE, "m", "dc", "", 20, kv_pieces)
    engines = tuple(
        name_server(base, f"e{n}", role.PREFILL if n < 2 else role.DECODE, n)
        for n in range(5)
    )
    service = BackendServer("", "svc", role.SERVICE, "m", "dc", "", 8)
    services = tuple(name_server(service, f"s{n}", role.SERVICE, n) for n in range(3))
    return SimulatedFleet(engines, services, workspaces, requests_per_s)


def name_server(base, name, role, number):
    return msgspec.structs.replace(
        base, name=name, role=role, address=f"{name}:1", data_centre=f"dc{number % 3}"
    )


def shift_mix(requests, at_s: float) -> None:
    """Lengthen prompts before `at_s`, and outputs after it; shorten the other part."""
    for item in requests:
        if item.is_service:
            continue
        prompt, output = (1.3, 0.6) if item.arrive_s < at_s else (0.3, 1.6)
        item.prompt_tokens = max(16, int(item.prompt_tokens * prompt))
        item.output_tokens = max(
            4, min(MAX_OUTPUT_TOKENS, int(item.output_tokens * output))
        )
        item.prefix_hashes = item.prefix_hashes[: item.prompt_tokens // 64]


def generate_requests(shape, fleet, load, duration_s, seed, flood_factor: float = 1.0):
    """Return requests in order of arrival.

    With a `flood_factor` above 1, workspace w3 sends this multiple of its rate limit.
    """
    rng = random.Random(seed)
    requests, number, now_s = [], 0, 0.0
    while now_s < duration_s:
        now_s += rng.expovariate(fleet.requests_per_s * load)
        number += 1
        requests.append(sample_request(shape, rng, number, now_s))
    flood_rng, now_s = random.Random(seed + 1), 0.0
    while flood_factor > 1.0 and now_s < duration_s:
        now_s += flood_rng.expovariate(
            fleet.requests_per_s
            * load
            * WORKSPACE_SHARES["w3"]
            * (flood_factor * RATE_MARGIN - 1)
        )
        number += 1
        item = sample_request(shape, flood_rng, number, now_s)
        requests.append(replace(item, workspace="w3"))
    service_rate = 24 / SERVICE_TIME_S * 0.25 * load * SERVICE_SHARE
    service_rng, now_s = random.Random(seed + 2), 0.0
    while now_s < duration_s:
        now_s += service_rng.expovariate(service_rate)
        number += 1
        item = sample_request(shape, service_rng, number, now_s)
        duration = SERVICE_TIME_S * math.exp(service_rng.gauss(0, 0.3))
        requests.append(
            replace(
                item,
                is_service=True,
                is_urgent=True,
                service_s=duration,
                prompt_tokens=0,
                output_tokens=0,
                prefix_hashes=(),
            )
        )
    return sorted(requests, key=lambda item: item.arrive_s)
