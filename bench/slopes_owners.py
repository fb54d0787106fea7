"""Cost slopes of rate owners and cell schedulers: memory and CPU time by size."""

import random

import msgspec

from bench.growth import cpu_per_request_us
from bench.slope_fit import Slope, fit_line
from bench.slopes_state import (
    BACKEND_SERVER_COUNTS,
    WORKSPACE_COUNTS,
    build_bundle,
    memory_bytes,
    min_cpu_us,
)
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
    """Measure memory and CPU time of rate owners and cell schedulers."""
    slopes = []

    def rate_owner(workspaces: int, grants: int) -> RateOwner:
        owner = RateOwner(random.Random(1))
        for n in range(workspaces):
            workspace = Workspace(f"w{n}", 1e12, 1e12)
            owner.handle(lm.OwnershipGained(workspace, 1, 1e12, ()), 0.0)
        for n in range(grants):
            owner.handle(lm.RateRequested(rate_request(n), 2.0), 1.0)
        return owner

    points = [(n, memory_bytes(lambda n=n: rate_owner(n, 0))) for n in WORKSPACE_COUNTS]
    slopes.append(fit_line("rate_owner_bytes_per_workspace", "B", "workspace", points))
    counts = (1_000, 5_000, 20_000)
    points = [(n, memory_bytes(lambda n=n: rate_owner(1, n))) for n in counts]
    slopes.append(fit_line("rate_owner_bytes_per_grant", "B", "grant", points))
    points = [(n, min_cpu_us(lambda n=n: rate_owner(1, n))) for n in counts]
    slopes.append(fit_line("rate_owner_us_per_grant", "us", "grant", points))
    points = [(n, cpu_per_request_us(n, 5, 600)) for n in BACKEND_SERVER_COUNTS]
    slopes.append(fit_line("cell_us_per_request_by_runner", "us", "runner", points))
    points = [(n, cpu_per_request_us(100, n, 600)) for n in WORKSPACE_COUNTS]
    slopes.append(
        fit_line("cell_us_per_request_by_workspace", "us", "workspace", points)
    )
    points = [(n, memory_bytes(lambda n=n: cell(n, 0))) for n in BACKEND_SERVER_COUNTS]
    slopes.append(fit_line("cell_bytes_per_runner", "B", "runner", points))
    counts = (100, 1_000, 4_000)
    points = [(n, memory_bytes(lambda n=n: cell(500, n))) for n in counts]
    slopes.append(fit_line("cell_bytes_per_request", "B", "request", points))
    slopes += measure_reports()
    return slopes


def rate_request(number: int) -> RateRequest:
    return RateRequest(
        resource="workspace/w0",
        epoch=1,
        workspace="w0",
        request_id=f"entry-001-{number:024x}",
        front="entry-001",
        cost_tokens=500,
    )


def cell(server_count: int, requests: int) -> CellScheduler:
    """Return the scheduler of one cell with submitted requests."""
    servers = tuple(
        msgspec.structs.replace(server, cell="c", serves="m")
        for server in build_bundle(server_count, 0).backend_servers
    )
    scheduler = CellScheduler(random.Random(1))
    workspaces = (Workspace("w0", 1e9, 1e9),)
    scheduler.handle(sm.CellGained("c", 1, servers, workspaces, ()), 0.0)
    for n in range(requests):
        profile = request_profile(n)
        scheduler.handle(sm.RequestSubmitted(profile), 10.0 + n * 0.01)
    return scheduler


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
    """Measure the periodic reports from engines and fronts."""
    load = LoadReport(1, 0.5, 20, 1000, 900, "decode")
    listed = tuple(
        EngineRequestStatus(f"entry-001-{n:024x}.1", EnginePhase.DECODING, 60, n)
        for n in range(20)
    )
    progress_points, load_points, list_points = [], [], []
    for server_count in BACKEND_SERVER_COUNTS:
        scheduler = cell(server_count, 0)
        for _ in range(20):
            scheduler.handle(sm.LoadReported("engine-00001", load), 9.0)

        def send(event: object, scheduler: CellScheduler = scheduler) -> None:
            for n in range(200):
                scheduler.handle(event, 10.0 + n * 0.001)  # type: ignore[arg-type]

        load_points.append(
            (
                server_count,
                min_cpu_us(lambda: send(sm.LoadReported("engine-00001", load))) / 200,
            )
        )
        event = sm.EngineRequestsListed("engine-00001", listed, 9.0)
        list_points.append(
            (server_count, min_cpu_us(lambda event=event: send(event)) / 200)
        )
    scheduler = cell(500, 1_000)
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
        progress_points.append(
            (items, min_cpu_us(lambda event=event: scheduler.handle(event, 21.0)))
        )
    return [
        fit_line("cell_us_per_load_report_by_runner", "us", "runner", load_points),
        fit_line("cell_us_per_engine_list_by_runner", "us", "runner", list_points),
        fit_line("cell_us_per_progress_item", "us", "item", progress_points),
    ]
