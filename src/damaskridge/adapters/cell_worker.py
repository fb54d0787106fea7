"""Runs the scheduler of one cell that this host owns."""

import logging
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup
from result import Ok, Result

from damaskridge.adapters.cell_event_log import log_action, log_cell_rebuilt
from damaskridge.adapters.engine_actions import send_order, try_cancel
from damaskridge.adapters.engine_poller import BackendServerPoller
from damaskridge.adapters.ownership import lease_is_valid
from damaskridge.adapters.pending import PendingResponses
from damaskridge.adapters.ports import ControlPort, EnginePort
from damaskridge.adapters.rpc.peer_messages import ActiveRequests
from damaskridge.core.dispatch import DispatchMethod
from damaskridge.core.leases import SESSION_DURATION_S
from damaskridge.core.scheduling.messages import (
    CancelOnEngine,
    CellAction,
    CellChanged,
    CellEvent,
    CellGained,
    FrontLost,
    FrontRegistered,
    NotifyTakenOver,
    ReportCrashedRequests,
    ReportSuspectCleared,
    RequestRegistered,
    SchedulerTimerFired,
    SendOrder,
    SendSubmitResponse,
    SendTakeOverResponse,
    ServerLeaveCancelled,
    ServerLeaving,
)
from damaskridge.core.state.fleet_queries import servers_of_cell
from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace
from damaskridge.model.control import Command, Owner, ReportCrash, SuspectCleared
from damaskridge.model.errors import Failure
from damaskridge.model.routing import ActiveRequest, SubmitResponse, TakeOverResponse

__all__ = ["CellDependencies", "CellSchedulerPort", "CellWorker"]

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.25
CANCEL_RETRY_DELAY_S = 0.2


class CellSchedulerPort(Protocol):
    """Interface of the scheduler of one cell, a state machine that does no I/O."""

    def handle(self, event: CellEvent, now_s: float) -> list[CellAction]:
        """Process an event and return the actions to execute."""
        ...

    def is_rebuilt(self, now_s: float) -> bool:
        """Return whether all running requests of the cell are known."""
        ...

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Return when `SchedulerTimerFired` is due next, None if it isn't needed."""
        ...


@dataclass(frozen=True, slots=True)
class CellDependencies:
    """
    The external interfaces that the workers of all cells share.

    Parameters
    ----------
    control : ControlPort
        Connection to the control group.
    engine_for : callable
        Returns the client of the engine at an address.
    fetch_active_requests : callable
        Returns the running requests of the front on a host in one cell.
    notify_taken_over : callable
        Notifies the front on a host that another front took over a request.
    pending_submits, pending_take_overs : PendingResponses
        Calls that wait for a decision of the scheduler.
    """

    control: ControlPort
    engine_for: Callable[[str], EnginePort]
    fetch_active_requests: Callable[
        [str, str], Awaitable[Result[ActiveRequests, Failure]]
    ]
    notify_taken_over: Callable[[str, str], Coroutine[Any, Any, None]]
    pending_submits: PendingResponses[SubmitResponse]
    pending_take_overs: PendingResponses[TakeOverResponse]


@dataclass(slots=True)
class _FrontContact:
    """The last contact with the process of a front."""

    incarnation: int
    last_contact_s: float


class CellWorker:
    """
    Runs one owned cell: its scheduler, its pollers and the contact to its fronts.

    Parameters
    ----------
    cell, owner : str, Owner
        The cell and this host's ownership of it.
    scheduler : CellSchedulerPort
        Scheduler that serves this ownership only.
    dependencies : CellDependencies
        The external interfaces.
    """

    def __init__(
        self,
        cell: str,
        owner: Owner,
        scheduler: CellSchedulerPort,
        dependencies: CellDependencies,
    ) -> None:
        self.cell = cell
        self.owner = owner
        self.cancel_scope = anyio.CancelScope()
        self.acquired_s = anyio.current_time()
        self._scheduler = scheduler
        self._dependencies = dependencies
        self._stopped = False
        self._rebuild_logged = False
        self._servers: tuple[BackendServer, ...] = ()
        self._workspaces: tuple[Workspace, ...] = ()
        self._pollers: dict[str, BackendServerPoller] = {}
        self._fronts: dict[str, _FrontContact] = {}
        self._leaving_servers: frozenset[str] = frozenset()
        self._wake = anyio.Event()
        self._group: TaskGroup | None = None
        self._deferred_tasks: list[
            tuple[Callable[..., Coroutine[Any, Any, None]], tuple[Any, ...]]
        ] = []

    @property
    def stopped(self) -> bool:
        """Whether this worker makes no more decisions."""
        return self._stopped

    async def run(self) -> None:
        """Run the scheduler until the worker is stopped."""
        with self.cancel_scope:
            async with anyio.create_task_group() as group:
                self._group = group
                for function, args in self._deferred_tasks:
                    group.start_soon(function, *args)
                while not self._stopped:
                    self._detect_lost_fronts()
                    self.handle(SchedulerTimerFired())
                    wake = self._wake = anyio.Event()
                    with anyio.move_on_after(self._sleep_duration_s()):
                        await wake.wait()
                group.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop all decisions at once and refuse the waiting calls."""
        if self._stopped:
            return
        self._stopped = True
        self._dependencies.pending_submits.refuse_all(self.owner.resource)
        self._dependencies.pending_take_overs.refuse_all(self.owner.resource)
        self.cancel_scope.cancel()

    def handle(self, event: CellEvent) -> None:
        """Pass an event to the scheduler if the lease is still valid."""
        # The process may have been frozen since the last check, past its lease.
        session = self.owner.session
        if self._stopped or not lease_is_valid(self._dependencies.control, session):
            self.stop()
            return
        now_s = anyio.current_time()
        for action in self._scheduler.handle(event, now_s):
            log_action(event, action)
            self._execute(action)
        if not self._rebuild_logged and self._scheduler.is_rebuilt(now_s):
            self._rebuild_logged = True
            log_cell_rebuilt(self.owner)
        if not isinstance(event, SchedulerTimerFired):
            self._wake.set()

    def record_contact(self, front: str, incarnation: int) -> None:
        """Record that the process of a front is alive."""
        now_s = anyio.current_time()
        contact = self._fronts.get(front)
        if contact is not None and contact.incarnation != incarnation:
            session = self._dependencies.control.fleet.sessions.get(front)
            if session is not None and session.incarnation == contact.incarnation:
                return
            self.handle(FrontLost(front, contact.incarnation))
        self._fronts[front] = _FrontContact(incarnation, now_s)

    def register(
        self, front: str, incarnation: int, active: tuple[ActiveRequest, ...]
    ) -> None:
        """Register all running requests of a front with the scheduler."""
        self.record_contact(front, incarnation)
        for item in active:
            self.handle(RequestRegistered(item))
        self.handle(FrontRegistered(front, incarnation))

    def update_bundle(self) -> None:
        """Notify the scheduler if the cell's servers or the workspaces changed."""
        fleet = self._dependencies.control.fleet
        servers = servers_of_cell(fleet, self.cell)
        if servers == self._servers and fleet.bundle.workspaces == self._workspaces:
            return
        self._servers, self._workspaces = servers, fleet.bundle.workspaces
        self.handle(CellChanged(servers, self._workspaces))
        self._sync_pollers()

    def update_leaving_servers(self, names: frozenset[str]) -> None:
        """Notify the scheduler of changes among the leaving servers of the cell."""
        leaving = names & {server.name for server in self._servers}
        for name in sorted(leaving - self._leaving_servers):
            self.handle(ServerLeaving(name))
        for name in sorted(self._leaving_servers - leaving):
            if any(server.name == name for server in self._servers):
                self.handle(ServerLeaveCancelled(name))
        self._leaving_servers = leaving

    def begin_ownership(self) -> None:
        """Start the scheduler; pollers and calls to fronts start with `run`."""
        fleet = self._dependencies.control.fleet
        self._servers = servers_of_cell(fleet, self.cell)
        self._workspaces = fleet.bundle.workspaces
        now_s = anyio.current_time()
        for host, session in sorted(fleet.sessions.items()):
            self._fronts[host] = _FrontContact(session.incarnation, now_s)
        fronts = tuple(self._fronts)
        self.handle(
            CellGained(
                self.cell, self.owner.epoch, self._servers, self._workspaces, fronts
            )
        )
        self._sync_pollers()
        for front in fronts:
            self._spawn(self._collect_requests, front)

    def _sync_pollers(self) -> None:
        wanted = {server.name: server for server in self._servers}
        for name, poller in list(self._pollers.items()):
            if wanted.get(name) != poller.server:
                poller.cancel_scope.cancel()
                del self._pollers[name]
        for name, server in wanted.items():
            if name not in self._pollers:
                poller = BackendServerPoller(
                    server, self._engine_of(server), self.handle
                )
                self._pollers[name] = poller
                self._spawn(poller.run)

    def _engine_of(self, server: BackendServer) -> EnginePort | None:
        if server.role is BackendServerRole.SERVICE:
            return None
        return self._dependencies.engine_for(server.address)

    async def _collect_requests(self, front: str) -> None:
        """Fetch a front's running requests until it responds or counts as lost."""
        while front in self._fronts:
            response = await self._dependencies.fetch_active_requests(
                front, self.owner.resource
            )
            if isinstance(response, Ok):
                active = response.ok_value
                self.register(front, active.incarnation, active.items)
                return
            await anyio.sleep(CHECK_PERIOD_S)

    def _detect_lost_fronts(self) -> None:
        # A front that lost only the control group goes on serving its streams. So
        # it counts as lost only if its session has ended and it has been silent.
        now_s = anyio.current_time()
        for front, contact in list(self._fronts.items()):
            session = self._dependencies.control.fleet.sessions.get(front)
            alive = session is not None and session.incarnation == contact.incarnation
            if not alive and now_s - contact.last_contact_s >= SESSION_DURATION_S:
                del self._fronts[front]
                self.handle(FrontLost(front, contact.incarnation))

    def _sleep_duration_s(self) -> float:
        now_s = anyio.current_time()
        wakeup_s = self._scheduler.next_wakeup_s(now_s)
        if wakeup_s is None:
            return CHECK_PERIOD_S
        return min(CHECK_PERIOD_S, max(0.001, wakeup_s - now_s))

    def _spawn(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: Any
    ) -> None:
        if self._stopped:
            return
        if self._group is None:
            self._deferred_tasks.append((function, args))
        else:
            self._group.start_soon(function, *args)

    @DispatchMethod
    def _execute(self, action: CellAction) -> None:
        raise TypeError(f"unknown action: {type(action).__name__}")

    @_execute.register
    def _(self, action: SendSubmitResponse) -> None:
        self._dependencies.pending_submits.resolve(
            action.front, action.request_id, action.response
        )

    @_execute.register
    def _(self, action: SendTakeOverResponse) -> None:
        self._dependencies.pending_take_overs.resolve(
            action.front, action.request_id, action.response
        )

    @_execute.register
    def _(self, action: NotifyTakenOver) -> None:
        self._spawn(
            self._dependencies.notify_taken_over, action.front, action.request_id
        )

    @_execute.register
    def _(self, action: CancelOnEngine) -> None:
        self._spawn(self._cancel_on_engine, action)

    @_execute.register
    def _(self, action: SendOrder) -> None:
        self._spawn(self._send_order, action)

    @_execute.register
    def _(self, action: ReportCrashedRequests) -> None:
        # With this id, a crash that two successive owners report counts once.
        command = ReportCrash(
            command_id=f"crash/{action.backend_server}/{action.incarnation}",
            backend_server=action.backend_server,
            incarnation=action.incarnation,
            fingerprints=action.fingerprints,
        )
        self._spawn(self._propose, command)

    @_execute.register
    def _(self, action: ReportSuspectCleared) -> None:
        command = SuspectCleared(
            command_id=uuid.uuid4().hex, fingerprint=action.fingerprint
        )
        self._spawn(self._propose, command)

    async def _propose(self, command: Command) -> None:
        """Propose a command until it is committed, even if with a refusal."""
        while not self._stopped:
            result = await self._dependencies.control.propose(command)
            if result.failure is None or result.index:
                return
            await anyio.sleep(CHECK_PERIOD_S)

    async def _cancel_on_engine(self, action: CancelOnEngine) -> None:
        """Retry a cancellation until the engine confirms, crashes or is removed."""
        poller = self._pollers.get(action.backend_server)
        if poller is None:
            return
        engine = self._engine_of(poller.server)
        crash_count = poller.crash_count
        session = self.owner.session
        while engine is not None and lease_is_valid(
            self._dependencies.control, session
        ):
            if await try_cancel(engine, action) or poller.crash_count != crash_count:
                return
            if self._pollers.get(action.backend_server) is not poller:
                return
            await anyio.sleep(CANCEL_RETRY_DELAY_S)

    async def _send_order(self, action: SendOrder) -> None:
        poller = self._pollers.get(action.backend_server)
        engine = None if poller is None else self._engine_of(poller.server)
        if poller is not None and engine is not None:
            await send_order(
                self._dependencies.control,
                self.owner,
                self.acquired_s,
                poller.server,
                engine,
                action,
            )
