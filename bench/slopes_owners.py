"""Memory and processor time of rate owners and cell schedulers, by size."""

import random

import msgspec

from bench.growth import decision_time_us
from bench.slope_fit import Slope, fit
from bench.slopes_state import RUNNERS, WORKSPACES, build_bundle, bytes_of, time_us
from damaskridge.core.limits import messages as lm
from damaskridge.core.limits.rate_owner import RateOwner
from damaskridge.core.scheduling import messages as sm
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.bundle import Workspace
from damaskridge.model.engine import EnginePhase, EngineRequestStatus, LoadReport
from damaskridge.model.routing import (
    Progress,
    ProgressBatch,
    RateRequest,
    RequestPhase,
    RequestProfile,
)

__all__ = ["measure_owners"]

PROMPT_BLOCKS = 16


def measure_owners() -> list[Slope]:
    """Measure rate owners and cell schedulers."""
    found = []

    def rate_owner(spaces: int, grants: int) -> RateOwner:
        owner = RateOwner(random.Random(1))
        for n in range(spaces):
            space = Workspace(f"w{n}", 1e12, 1e12)
            owner.handle(lm.OwnershipGained(space, 1, 1e12, ()), 0.0)
        for n in range(grants):
            owner.handle(lm.RateRequested(rate_request(n), 2.0), 1.0)
        return owner

    points = [(n, bytes_of(lambda n=n: rate_owner(n, 0))) for n in WORKSPACES]
    found.append(fit("rate_owner_bytes_per_workspace", "B", "workspace", points))
    counts = (1_000, 5_000, 20_000)
    points = [(n, bytes_of(lambda n=n: rate_owner(1, n))) for n in counts]
    found.append(fit("rate_owner_bytes_per_grant", "B", "grant", points))
    points = [(n, time_us(lambda n=n: rate_owner(1, n))) for n in counts]
    found.append(fit("rate_owner_us_per_grant", "us", "grant", points))
    points = [(n, decision_time_us(n, 5, 600)) for n in RUNNERS]
    found.append(fit("cell_us_per_request_by_runner", "us", "runner", points))
    points = [(n, decision_time_us(100, n, 600)) for n in WORKSPACES]
    found.append(fit("cell_us_per_request_by_workspace", "us", "workspace", points))
    points = [(n, bytes_of(lambda n=n: cell(n, 0))) for n in RUNNERS]
    found.append(fit("cell_bytes_per_runner", "B", "runner", points))
    counts = (100, 1_000, 4_000)
    points = [(n, bytes_of(lambda n=n: cell(500, n))) for n in counts]
    found.append(fit("cell_bytes_per_request", "B", "request", points))
    found += measure_reports()
    return found


def rate_request(number: int) -> RateRequest:
    return RateRequest(
        resource="workspace/w0",
        epoch=1,
        workspace="w0",
        request_id=f"entry-001-{number:024x}",
        front="entry-001",
        cost_tokens=500,
    )


def cell(runners: int, requests: int) -> CellScheduler:
    """Return a scheduler of one cell with running requests."""
    servers = tuple(
        msgspec.structs.replace(server, cell="c", serves="m")
        for server in build_bundle(runners, 0).backend_servers
    )
    machine = CellScheduler(random.Random(1))
    spaces = (Workspace("w0", 1e9, 1e9),)
    machine.handle(sm.CellGained("c", 1, servers, spaces, ()), 0.0)
    for n in range(requests):
        profile = request_profile(n)
        machine.handle(sm.RequestSubmitted(profile), 10.0 + n * 0.01)
    return machine


def request_profile(number: int) -> RequestProfile:
    return RequestProfile(
        resource="c",
        epoch=1,
        request_id=f"entry-001-{number:024x}",
        attempt=1,
        workspace="w0",
        front=f"entry-{number % 30:03}",
        incarnation=1,
        route="/v1/completions",
        model="m",
        prompt_tokens=64 * PROMPT_BLOCKS,
        max_output_tokens=200,
        prefix_hashes=tuple((number << 32) + n for n in range(PROMPT_BLOCKS)),
        fingerprint=f"{number:032x}",
    )


def measure_reports() -> list[Slope]:
    """Measure the events that engines and fronts send all the time."""
    load = LoadReport(1, 0.5, 20, 1000, 900, "decode")
    listed = tuple(
        EngineRequestStatus(f"entry-001-{n:024x}.1", EnginePhase.DECODING, 60, n)
        for n in range(20)
    )
    events, loads, lists = [], [], []
    for runners in RUNNERS:
        machine = cell(runners, 0)
        for _ in range(20):
            machine.handle(sm.LoadReported("engine-00001", load), 9.0)

        def send(event: object, machine: CellScheduler = machine) -> None:
            for n in range(200):
                machine.handle(event, 10.0 + n * 0.001)  # type: ignore[arg-type]

        loads.append(
            (
                runners,
                time_us(lambda: send(sm.LoadReported("engine-00001", load))) / 200,
            )
        )
        event = sm.EngineRequestsListed("engine-00001", listed, 9.0)
        lists.append((runners, time_us(lambda event=event: send(event)) / 200))
    machine = cell(500, 1_000)
    for items in (1, 20, 100):
        batch = ProgressBatch(
            resource="c",
            epoch=1,
            front="entry-000",
            incarnation=1,
            items=tuple(
                Progress(
                    request_id=f"entry-001-{n * 30:024x}",
                    attempt=1,
                    phase=RequestPhase.DECODING,
                    output_tokens=50,
                )
                for n in range(items)
            ),
        )
        event = sm.ProgressReported(batch)
        events.append((items, time_us(lambda event=event: machine.handle(event, 21.0))))
    return [
        fit("cell_us_per_load_report_by_runner", "us", "runner", loads),
        fit("cell_us_per_engine_list_by_runner", "us", "runner", lists),
        fit("cell_us_per_progress_item", "us", "item", events),
    ]
