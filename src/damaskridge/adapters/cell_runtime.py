"""Runs one scheduler for each cell that this host owns."""

import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup
from result import Ok, Result

from damaskridge.adapters.cell_worker import (
    CellDependencies,
    CellSchedulerPort,
    CellWorker,
)
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ownership import find_owned_resources, propose_release
from damaskridge.adapters.pending import PendingResponses
from damaskridge.adapters.ports import ControlPort, EnginePort, HostListPort
from damaskridge.adapters.rpc.peer_messages import ActiveRequests
from damaskridge.core.scheduling.messages import (
    ProgressReported,
    RequestSubmitted,
    RequestWithdrawn,
    TakeOverRequested,
)
from damaskridge.core.state.fleet_queries import draining_servers
from damaskridge.model.control import Owner
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import (
    ActiveRequest,
    ProgressBatch,
    Refused,
    RequestProfile,
    SubmitResponse,
    TakeOver,
    TakeOverResponse,
    Withdraw,
)

__all__ = ["CellRuntime"]

logger = logging.getLogger(__name__)

RESOURCE_PREFIX = "cell/"
CHECK_PERIOD_S = 0.25
HOST_LIST_PERIOD_S = 0.5
HOST_LIST_TIMEOUT_S = 1.0


class CellRuntime:
    """
    Implements `CellPort` for the cells that this host owns.

    Parameters
    ----------
    host : str
        Name of this host.
    control : ControlPort
        Source of the fleet view and of this host's lease.
    new_scheduler : callable
        Creates the scheduler of one cell; called for every new ownership.
    engine_for : callable
        Returns the client of the engine at an address.
    host_list : HostListPort
        The platform's list of leaving backend servers.
    fetch_active_requests, notify_taken_over : callable
        Calls to fronts; see `CellDependencies`.
    """

    def __init__(
        self,
        *,
        host: str,
        control: ControlPort,
        new_scheduler: Callable[[], CellSchedulerPort],
        engine_for: Callable[[str], EnginePort],
        host_list: HostListPort,
        fetch_active_requests: Callable[
            [str, str], Awaitable[Result[ActiveRequests, Failure]]
        ],
        notify_taken_over: Callable[[str, str], Coroutine[Any, Any, None]],
    ) -> None:
        self._host = host
        self._control = control
        self._new_scheduler = new_scheduler
        self._host_list = host_list
        self._listed_as_leaving: frozenset[str] = frozenset()
        self._workers: dict[str, CellWorker] = {}
        # Epochs being released, by cell. The fleet view still names this host as
        # the owner until the release commits; the cell must not start again.
        self._released_epochs: dict[str, int] = {}
        self._pending_releases: list[anyio.Event] = []
        self._group: TaskGroup | None = None
        self._dependencies = CellDependencies(
            control=control,
            engine_for=engine_for,
            fetch_active_requests=fetch_active_requests,
            notify_taken_over=notify_taken_over,
            pending_submits=PendingResponses(
                lambda request_id: Refused(
                    request_id=request_id,
                    failure=self._failure(ErrorKind.OWNER_UNAVAILABLE),
                )
            ),
            pending_take_overs=PendingResponses(
                lambda request_id: TakeOverResponse(
                    failure=self._failure(ErrorKind.OWNER_UNAVAILABLE)
                )
            ),
        )

    @property
    def owned_epochs(self) -> dict[str, int]:
        """Epoch of every owned cell, by its name."""
        return {cell: worker.owner.epoch for cell, worker in self._workers.items()}

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for a placement by this host."""
        return len(self._dependencies.pending_submits)

    async def run(self) -> None:
        """Update ownership and poll the host list until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._poll_host_list)
            while True:
                self.sync_ownership()
                await anyio.sleep(CHECK_PERIOD_S)

    def sync_ownership(self) -> None:
        """Start and stop schedulers according to the fleet view and the lease."""
        owners = find_owned_resources(self._control, self._host, RESOURCE_PREFIX)
        for cell, worker in list(self._workers.items()):
            current = owners.get(worker.owner.resource)
            if current is None or current.epoch != worker.owner.epoch or worker.stopped:
                self._stop(cell)
            elif current.moving_to:
                self._release_cell(cell)
        leaving = self._listed_as_leaving | draining_servers(self._control.fleet)
        for resource, owner in owners.items():
            cell = resource.removeprefix(RESOURCE_PREFIX)
            if cell in self._workers:
                self._workers[cell].update_bundle()
                self._workers[cell].update_leaving_servers(leaving)
            elif self._released_epochs.get(cell) != owner.epoch:
                if owner.moving_to:
                    # Ordered to move before it started here. Only this host, as
                    # the registered owner, can release it.
                    self._start_release(cell, owner)
                else:
                    self._start(cell, owner, leaving)

    async def submit(self, profile: RequestProfile) -> SubmitResponse:
        """Queue a request and return once it is placed or refused."""
        worker = self._current_worker(profile.resource, profile.epoch)
        if isinstance(worker, Failure):
            return Refused(request_id=profile.request_id, failure=worker)
        worker.record_contact(profile.front, profile.incarnation)
        if profile.fingerprint in self._control.fleet.quarantined:
            # The front checks this too, but its fleet view may be older.
            failure = Failure(ErrorKind.REQUEST_QUARANTINED)
            return Refused(request_id=profile.request_id, failure=failure)
        pending = self._dependencies.pending_submits
        future = pending.open(profile.resource, profile.front, profile.request_id)
        try:
            worker.handle(RequestSubmitted(profile))
            return await future
        finally:
            pending.close(profile.front, profile.request_id, future)

    async def withdraw(self, withdraw: Withdraw) -> None:
        """Withdraw a request, whatever epoch its front knows."""
        worker = self._workers.get(withdraw.resource.removeprefix(RESOURCE_PREFIX))
        if worker is not None:
            worker.handle(RequestWithdrawn(withdraw.request_id))

    async def report(self, batch: ProgressBatch) -> None:
        """Pass the progress of a front's requests to the scheduler."""
        worker = self._current_worker(batch.resource, batch.epoch)
        if not isinstance(worker, Failure):
            worker.record_contact(batch.front, batch.incarnation)
            worker.handle(ProgressReported(batch))

    async def register(
        self,
        resource: str,
        epoch: int,
        front: str,
        incarnation: int,
        active: tuple[ActiveRequest, ...],
    ) -> None:
        """Register all running requests of a front with a new owner."""
        worker = self._current_worker(resource, epoch)
        if not isinstance(worker, Failure):
            worker.register(front, incarnation, active)

    async def take_over(self, take_over: TakeOver) -> TakeOverResponse:
        """Ask the scheduler whether a new front may continue a request."""
        worker = self._current_worker(take_over.resource, take_over.epoch)
        if isinstance(worker, Failure):
            return TakeOverResponse(failure=worker)
        worker.record_contact(take_over.front, take_over.incarnation)
        pending = self._dependencies.pending_take_overs
        future = pending.open(take_over.resource, take_over.front, take_over.request_id)
        try:
            worker.handle(TakeOverRequested(take_over))
            return await future
        finally:
            pending.close(take_over.front, take_over.request_id, future)

    async def release_all(self) -> None:
        """Release every cell and return once all are released or lost."""
        for cell in list(self._workers):
            self._release_cell(cell)
        for event in list(self._pending_releases):
            await event.wait()

    def _current_worker(self, resource: str, epoch: int) -> CellWorker | Failure:
        cell = resource.removeprefix(RESOURCE_PREFIX)
        if cell not in self._workers:
            self.sync_ownership()
        worker = self._workers.get(cell)
        if worker is None or worker.stopped:
            return self._failure(ErrorKind.OWNER_UNAVAILABLE)
        if worker.owner.epoch != epoch:
            return self._failure(ErrorKind.EPOCH_CONFLICT)
        return worker

    def _start(self, cell: str, owner: Owner, leaving: frozenset[str]) -> None:
        if self._group is None:
            return
        worker = CellWorker(cell, owner, self._new_scheduler(), self._dependencies)
        self._workers[cell] = worker
        _log_owner(EventNumber.OWNERSHIP_GAINED, owner)
        worker.begin_ownership()
        # The scheduler has to know the leaving servers before it places a request.
        worker.update_leaving_servers(leaving)
        self._group.start_soon(worker.run)

    def _stop(self, cell: str) -> None:
        worker = self._workers.pop(cell)
        worker.stop()
        _log_owner(EventNumber.OWNERSHIP_LOST, worker.owner)

    def _release_cell(self, cell: str) -> None:
        worker = self._workers.pop(cell)
        worker.stop()
        self._start_release(cell, worker.owner)

    def _start_release(self, cell: str, owner: Owner) -> None:
        if self._group is None:
            return
        self._released_epochs[cell] = owner.epoch
        done = anyio.Event()
        self._pending_releases.append(done)
        self._group.start_soon(self._propose_release, owner, done)

    async def _propose_release(self, owner: Owner, done: anyio.Event) -> None:
        try:
            if await propose_release(self._control, owner):
                _log_owner(EventNumber.OWNERSHIP_RELEASED, owner)
            else:
                # The move was cancelled, or a later session of this host owns it.
                self._released_epochs.pop(
                    owner.resource.removeprefix(RESOURCE_PREFIX), None
                )
        finally:
            self._pending_releases.remove(done)
            done.set()

    async def _poll_host_list(self) -> None:
        while True:
            with anyio.move_on_after(HOST_LIST_TIMEOUT_S):
                result = await self._host_list.leaving()
                if isinstance(result, Ok):
                    self._update_listed_as_leaving(result.ok_value)
            await anyio.sleep(HOST_LIST_PERIOD_S)

    def _update_listed_as_leaving(self, names: frozenset[str]) -> None:
        for name in sorted(names - self._listed_as_leaving):
            log_event(logger, EventNumber.BACKEND_SERVER_LEAVING, backend_server=name)
        self._listed_as_leaving = names

    def _failure(self, kind: ErrorKind) -> Failure:
        return Failure(kind, f"{self._host} does not schedule this cell now")


def _log_owner(number: EventNumber, owner: Owner) -> None:
    log_event(
        logger,
        number,
        resource=owner.resource,
        epoch=owner.epoch,
        session=owner.session,
        host=owner.host,
    )
