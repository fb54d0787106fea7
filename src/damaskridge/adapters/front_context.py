"""State that all requests of a front share, and their messages to owners."""

import asyncio
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Err

from damaskridge.adapters.front_owners import OwnerClient
from damaskridge.adapters.front_settings import FrontSettings
from damaskridge.adapters.ports import (
    CellPort,
    ControlPort,
    EnginePort,
    PeerPort,
    RatePort,
    ServicePort,
)
from damaskridge.core.leases import SESSION_DURATION_S
from damaskridge.core.requests.bundle_index import BundleIndex
from damaskridge.core.scheduling.suspects import LOCAL_CRASH_WINDOW_S, SuspectTable
from damaskridge.core.state.fleet_queries import cell_resource, owner_of
from damaskridge.model.control import Owner
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import (
    Placement,
    Progress,
    ProgressBatch,
    RateGrant,
    RateRequest,
    RateResponse,
    Refused,
    RequestProfile,
    SubmitResponse,
)

__all__ = [
    "FrontContext",
    "reserve_rate",
    "closing_stream",
    "request_placement",
    "send_progress",
]

_logger = logging.getLogger(__name__)

# Longer than an election and the renewal after it. After as long as a session lasts
# without a renewal, callers are sent to other hosts.
LEASE_WAIT_S = SESSION_DURATION_S
LEASE_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class FrontContext:
    """
    State and ports that all requests of a front share.

    Attributes
    ----------
    host, incarnation, data_centre : str, int, str
        Name, incarnation number and data centre of this process.
    engine_for : callable
        Returns the engine at an address.
    bundle_index : BundleIndex
        Lookups in the current bundle.
    suspects : SuspectTable
        Requests during which engine connections broke on this host.
    crash_reports : deque of tuple
        Time, cell resource and report of each recently lost attempt.
    tasks : set of asyncio.Task
        Background tasks, referenced here so that they aren't garbage collected.
    """

    host: str
    incarnation: int
    data_centre: str
    control: ControlPort
    rates: RatePort
    cells: CellPort
    peers: PeerPort
    engine_for: Callable[[str], EnginePort]
    services: ServicePort
    settings: FrontSettings
    owners: OwnerClient
    bundle_index: BundleIndex = field(default_factory=BundleIndex)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    crash_reports: deque[tuple[float, str, Progress]] = field(default_factory=deque)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def wait_for_lease(self) -> None:
        """
        Wait until this host has a valid lease, up to `LEASE_WAIT_S`.

        Callers reach a host that has just started before its first lease is confirmed,
        if they know its address from its previous run.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + LEASE_WAIT_S
        while not self.control.lease.is_valid(loop.time()):
            if loop.time() >= deadline_s:
                return
            await asyncio.sleep(LEASE_POLL_INTERVAL_S)

    def check_key(self, digest: str) -> Failure | None:
        """Return why a request with this key may not start now, or `None`."""
        now_s = asyncio.get_running_loop().time()
        if not self.control.lease.is_valid(now_s):
            return Failure(ErrorKind.LEASE_EXPIRED, retry_after_s=1.0)
        if not digest:
            # A request that was taken over has no key of its own: the key of each
            # reader is checked instead.
            return None
        workspace = self.bundle_index.workspace_of_key(self.control.fleet, digest)
        return workspace.err_value if isinstance(workspace, Err) else None

    def is_quarantined(self, fingerprint: str) -> bool:
        """
        Return whether a request has crashed too many engines to be retried.

        Crashes that this host observed count at once. The control group's list may
        lack crashes that a cell owner didn't report before it failed.
        """
        now_s = asyncio.get_running_loop().time()
        return (
            fingerprint in self.control.fleet.quarantined
            or self.suspects.has_reached_crash_limit(fingerprint, now_s)
        )

    def record_crash(self, profile: RequestProfile, progress: Progress) -> None:
        """Record a lost attempt, and keep its report for a new owner of the cell."""
        now_s = asyncio.get_running_loop().time()
        self._evict_crash_reports(now_s)
        self.crash_reports.append((now_s, profile.resource, progress))
        self.suspects.record_failure(
            profile.fingerprint,
            progress.failed_server,
            # A front doesn't know the engine's incarnation, so that several crashes
            # of one engine within `LOCAL_CRASH_WINDOW_S` count once.
            0,
            now_s,
            was_suspect=profile.suspect,
        )

    def recent_crash_reports(self, resource: str) -> tuple[Progress, ...]:
        """
        Return the reports of attempts in a cell that were lost recently.

        The previous owner may have failed before it detected or reported the crash
        that caused them.
        """
        now_s = asyncio.get_running_loop().time()
        self._evict_crash_reports(now_s)
        return tuple(
            msgspec.structs.replace(item, age_s=now_s - lost_s)
            for lost_s, cell, item in self.crash_reports
            if cell == resource
        )

    def _evict_crash_reports(self, now_s: float) -> None:
        while (
            self.crash_reports
            and self.crash_reports[0][0] < now_s - LOCAL_CRASH_WINDOW_S
        ):
            self.crash_reports.popleft()

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run `work` in a background task; errors are logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _logger.error("UNEXPECTED_ERROR", exc_info=error)


@asynccontextmanager
async def closing_stream(chunks: AsyncIterator[DecodeChunk]) -> AsyncIterator[None]:
    """Close `chunks` on exit, so that its connection is released immediately."""
    try:
        yield
    finally:
        close = getattr(chunks, "aclose", None)
        if close is not None:
            await close()


async def reserve_rate(context: FrontContext, request: RateRequest) -> RateResponse:
    """Request a grant from the rate owner; retries if a grant arrives expired."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()

    async def send(owner: Owner) -> RateResponse:
        nonlocal sent_s
        sent_s = loop.time()
        current = msgspec.structs.replace(request, epoch=owner.epoch)
        return await context.rates.reserve(current)

    timeout_s = request.wait_s + context.settings.owner_timeout_s / 4
    for _ in range(context.settings.attempts):
        response = await context.owners.call(request.resource, send, timeout_s)
        if isinstance(response, Failure):
            return Refused(request_id=request.request_id, failure=response)
        if not isinstance(response, RateGrant):
            return response
        if loop.time() < sent_s + response.waited_s + response.valid_for_s:
            return response
    failure = Failure(ErrorKind.OWNER_UNAVAILABLE, "grants came late", retry_after_s=1)
    return Refused(request_id=request.request_id, failure=failure)


async def request_placement(
    context: FrontContext,
    profile: RequestProfile,
    on_submit: Callable[[RequestProfile], None],
) -> SubmitResponse:
    """
    Request a placement from the cells that serve a model or service.

    The cells are tried by distance, the nearest first. `on_submit` is called with the
    profile that is sent to each owner.
    """
    fleet = context.control.fleet
    cells = context.bundle_index.cells(fleet, profile.model, context.data_centre)
    failure = Failure(ErrorKind.NO_BACKEND_SERVER, profile.model, retry_after_s=1.0)

    async def send(owner: Owner) -> SubmitResponse:
        current = msgspec.structs.replace(
            profile, resource=owner.resource, epoch=owner.epoch
        )
        on_submit(current)
        return await context.cells.submit(current)

    for cell in cells:
        response = await context.owners.call(cell_resource(cell), send)
        if isinstance(response, Placement):
            return response
        failure = response if isinstance(response, Failure) else response.failure
        if failure.kind not in (
            ErrorKind.NO_BACKEND_SERVER,
            ErrorKind.OWNER_UNAVAILABLE,
        ):
            break
    return Refused(request_id=profile.request_id, failure=failure)


async def send_progress(
    context: FrontContext, resource: str, items: tuple[Progress, ...]
) -> None:
    """Send progress to the current owner of a cell; it may be lost."""
    owner = owner_of(context.control.fleet, resource)
    if owner is None:
        return
    batch = ProgressBatch(
        resource=resource,
        epoch=owner.epoch,
        front=context.host,
        incarnation=context.incarnation,
        items=items,
    )
    await context.owners.send_best_effort(context.cells.report(batch))
