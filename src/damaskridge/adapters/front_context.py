"""What all requests of a front share, and their calls to owners."""

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
from damaskridge.core.requests.fleet_index import FleetIndex
from damaskridge.core.scheduling.suspects import HELD_S, SuspectTable
from damaskridge.core.state.fleet_queries import cell_resource, owner_of
from damaskridge.model.control import Owner
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import (
    Placement,
    Progress,
    ProgressBatch,
    RateGrant,
    RateReply,
    RateRequest,
    Refused,
    RequestProfile,
    SubmitReply,
)

__all__ = ["FrontContext", "reserve_rate", "closing_stream", "place", "report"]

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FrontContext:
    """What every request of a front uses."""

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
    index: FleetIndex = field(default_factory=FleetIndex)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    crashes: deque[tuple[float, str, Progress]] = field(default_factory=deque)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def key_failure(self, digest: str) -> Failure | None:
        """Return why no request may start for a key now, if so."""
        now_s = asyncio.get_running_loop().time()
        if not self.control.lease.is_valid(now_s):
            return Failure(ErrorKind.LEASE_EXPIRED, retry_after_s=1.0)
        if not digest:
            # The reader of a request that was taken over brought its own key.
            return None
        found = self.index.workspace_of_key(self.control.fleet, digest)
        return found.err_value if isinstance(found, Err) else None

    def is_quarantined(self, fingerprint: str) -> bool:
        """
        Tell whether a request has cost as many backend servers as it may.

        What this host saw counts at once; the group's list lacks the crashes that
        a cell owner did not report before it ended.
        """
        now_s = asyncio.get_running_loop().time()
        return fingerprint in self.control.fleet.quarantined or self.suspects.is_held(
            fingerprint, now_s
        )

    def note_crash(self, profile: RequestProfile, progress: Progress) -> None:
        """Keep the report of a lost attempt for the next owner of its cell."""
        now_s = asyncio.get_running_loop().time()
        self._forget_crashes(now_s)
        self.crashes.append((now_s, profile.resource, progress))
        self.suspects.note_failure(
            profile.fingerprint,
            progress.failed_server,
            # A front does not know the engine's process: the same engine counts
            # once within the time that a suspect is held.
            0,
            now_s,
            was_suspect=profile.suspect,
        )

    def recent_crashes(self, resource: str) -> tuple[Progress, ...]:
        """
        Return the reports of attempts of a cell that were lost not long ago.

        An owner may end before it has seen or reported the crash behind them.
        """
        now_s = asyncio.get_running_loop().time()
        self._forget_crashes(now_s)
        return tuple(
            msgspec.structs.replace(item, age_s=now_s - lost_s)
            for lost_s, cell, item in self.crashes
            if cell == resource
        )

    def _forget_crashes(self, now_s: float) -> None:
        while self.crashes and self.crashes[0][0] < now_s - HELD_S:
            self.crashes.popleft()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run `work` in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _logger.error("UNEXPECTED_ERROR", exc_info=error)


@asynccontextmanager
async def closing_stream(chunks: AsyncIterator[DecodeChunk]) -> AsyncIterator[None]:
    """Close a stream on the way out, so that its connection is released at once."""
    try:
        yield
    finally:
        close = getattr(chunks, "aclose", None)
        if close is not None:
            await close()


async def reserve_rate(context: FrontContext, request: RateRequest) -> RateReply:
    """Ask the rate owner; a grant that arrives after its end is asked for again."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()

    async def send(owner: Owner) -> RateReply:
        nonlocal sent_s
        sent_s = loop.time()
        current = msgspec.structs.replace(request, epoch=owner.epoch)
        return await context.rates.reserve(current)

    limit_s = request.wait_s + context.settings.owner_wait_s / 4
    for _ in range(context.settings.attempts):
        reply = await context.owners.ask(request.resource, send, limit_s)
        if isinstance(reply, Failure):
            return Refused(request_id=request.request_id, failure=reply)
        if not isinstance(reply, RateGrant):
            return reply
        if loop.time() < sent_s + reply.waited_s + reply.valid_for_s:
            return reply
    failure = Failure(ErrorKind.OWNER_UNAVAILABLE, "grants came late", retry_after_s=1)
    return Refused(request_id=request.request_id, failure=failure)


async def place(
    context: FrontContext,
    profile: RequestProfile,
    submitted: Callable[[RequestProfile], None],
) -> SubmitReply:
    """Ask the cells that serve the model or service, the nearest first."""
    fleet = context.control.fleet
    cells = context.index.cells(fleet, profile.model, context.data_centre)
    failure = Failure(ErrorKind.NO_BACKEND_SERVER, profile.model, retry_after_s=1.0)

    async def send(owner: Owner) -> SubmitReply:
        current = msgspec.structs.replace(
            profile, resource=owner.resource, epoch=owner.epoch
        )
        submitted(current)
        return await context.cells.submit(current)

    for cell in cells:
        reply = await context.owners.ask(cell_resource(cell), send)
        if isinstance(reply, Placement):
            return reply
        failure = reply if isinstance(reply, Failure) else reply.failure
        if failure.kind not in (
            ErrorKind.NO_BACKEND_SERVER,
            ErrorKind.OWNER_UNAVAILABLE,
        ):
            break
    return Refused(request_id=profile.request_id, failure=failure)


async def report(
    context: FrontContext, resource: str, items: tuple[Progress, ...]
) -> None:
    """Send progress to the present owner of a cell."""
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
    await context.owners.tell(context.cells.report(batch))
