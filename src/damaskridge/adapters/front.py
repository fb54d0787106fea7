"""The front: runs the requests that callers send to this entry host."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.front_call import ModelCall, RunningModelCall
from damaskridge.adapters.front_context import (
    FrontContext,
    closing_stream,
    send_progress,
)
from damaskridge.adapters.front_owners import OwnerClient
from damaskridge.adapters.front_resume import StreamResumer
from damaskridge.adapters.front_services import RouteCall, RunningServiceCall
from damaskridge.adapters.front_settings import FrontSettings
from damaskridge.adapters.ports import (
    CellPort,
    ControlPort,
    EnginePort,
    PeerPort,
    RatePort,
    ServicePort,
    ServiceResponse,
)
from damaskridge.core.requests.messages import TakenOver
from damaskridge.core.state.fleet_queries import (
    owner_of,
)
from damaskridge.core.state.view import FleetView
from damaskridge.model.control import Owner
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.ids import RequestId
from damaskridge.model.routing import (
    ActiveRequest,
    Placement,
    Progress,
    RequestProfile,
)

__all__ = ["ActiveKey", "Front", "FrontSettings"]

_logger = logging.getLogger(__name__)
# How often the periodic reports repeat that a request has ended. The first report of
# it may be lost on the way to the cell owner.
_FINAL_REPORT_RETRIES = 2


class ActiveKey(msgspec.Struct, frozen=True):
    """
    A request with an idempotency key, as reported to a new rate owner.

    The new owner rebuilds its table of keys from these records.
    """

    request_id: str
    idempotency_key: str
    body_digest: str
    finished: bool = False


class _RunningRequest(Protocol):
    """What model calls and service calls have in common."""

    @property
    def request_id(self) -> str: ...
    @property
    def placement(self) -> Placement | None: ...
    @property
    def profile(self) -> RequestProfile | None: ...
    def progress(self) -> Progress: ...


class Front:
    """
    Accepts, runs and resumes requests on one entry host.

    Parameters
    ----------
    host, incarnation, data_centre : str, int, str
        Name, incarnation number and data centre of this process.
    control, rates, cells, peers, engine_for, services
        Ports to the control group, the rate owners, the cell owners, other entry
        hosts, the engines (by address) and the plain services.
    settings : FrontSettings
        Timeouts and limits.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        data_centre: str,
        control: ControlPort,
        rates: RatePort,
        cells: CellPort,
        peers: PeerPort,
        engine_for: Callable[[str], EnginePort],
        services: ServicePort,
        settings: FrontSettings,
    ) -> None:
        self.context = FrontContext(
            host=host,
            incarnation=incarnation,
            data_centre=data_centre,
            control=control,
            rates=rates,
            cells=cells,
            peers=peers,
            engine_for=engine_for,
            services=services,
            settings=settings,
            owners=OwnerClient(control, settings),
        )
        self.settings = settings
        self.draining = False
        self._sequence = 0
        self._model_calls: dict[str, RunningModelCall] = {}
        self._service_calls: dict[str, RunningServiceCall] = {}
        self._final_reports_sent: dict[str, int] = {}
        self._registered_epochs: dict[str, int] = {}
        self._last_fleet_index = -1
        self._resumer = StreamResumer(self.context, self._model_calls)

    @property
    def fleet(self) -> FleetView:
        """The last received fleet view."""
        return self.context.control.fleet

    def next_request_id(self) -> str:
        """Return a new request id."""
        self._sequence += 1
        context = self.context
        return str(RequestId(context.host, context.incarnation, self._sequence))

    def authorize(self, digest: str) -> Result[str, Failure]:
        """
        Return the workspace of a key.

        Every key is refused while this host has no valid lease, because its list of
        withdrawn keys may be stale. `wait_for_lease` waits for one.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.context.control.lease.is_valid(now_s):
            return Err(Failure(ErrorKind.LEASE_EXPIRED, retry_after_s=1.0))
        return self.context.bundle_index.workspace_of_key(self.fleet, digest)

    async def wait_for_lease(self) -> None:
        """Wait for a limited time until this host has a valid lease."""
        await self.context.wait_for_lease()

    def is_key_valid(self, digest: str) -> bool:
        """
        Return whether a key may still be used by a running stream.

        Unlike `authorize`, this doesn't need a valid lease.
        """
        return isinstance(
            self.context.bundle_index.workspace_of_key(self.fleet, digest), Ok
        )

    def accept(self, call: ModelCall) -> Result[RunningModelCall, Failure]:
        """Start a request to a model and return it, or the reason for its refusal."""
        if self.draining:
            return Err(Failure(ErrorKind.SHUTTING_DOWN, retry_after_s=0.1))
        if self.context.is_quarantined(call.fingerprint):
            return Err(Failure(ErrorKind.REQUEST_QUARANTINED))
        running = RunningModelCall(self.context, call)
        self._model_calls[running.request_id] = running
        running.begin()
        return Ok(running)

    async def read_output(
        self, running: RunningModelCall
    ) -> AsyncIterator[DecodeChunk]:
        """
        Yield the output of a request.

        For a request whose idempotency key is already in use, this is the output
        of the earlier request.
        """
        stream = running.read(0)
        async with closing_stream(stream):
            async for chunk in stream:
                yield chunk
        duplicate_of = running.duplicate_of
        if duplicate_of is not None:
            workspace = running.call.workspace
            stream = self.resume(
                duplicate_of.request_id, workspace, 0, duplicate_of.front
            )
            async with closing_stream(stream):
                async for chunk in stream:
                    yield chunk

    async def call_service(self, call: RouteCall) -> Result[ServiceResponse, Failure]:
        """
        Call a plain service.

        If the caller disconnects, the call is cancelled only while it is queued.
        Once it may have been sent, it runs to its end in the background.
        """
        if self.draining:
            return Err(Failure(ErrorKind.SHUTTING_DOWN, retry_after_s=0.1))
        running = RunningServiceCall(self.context, call)
        running.events.log_accepted()
        self._service_calls[running.request_id] = running
        done: asyncio.Future[Result[ServiceResponse, Failure]]
        done = asyncio.get_running_loop().create_future()
        running.task = self.context.start_task(self._run_service(running, done))
        try:
            return await asyncio.shield(done)
        finally:
            running.cancel_if_queued()

    async def _run_service(
        self,
        running: RunningServiceCall,
        done: asyncio.Future[Result[ServiceResponse, Failure]],
    ) -> None:
        result: Result[ServiceResponse, Failure] = Err(Failure(ErrorKind.INTERNAL))
        cancelled = False
        try:
            result = await running.run()
        except asyncio.CancelledError:
            cancelled = True
            result = Err(Failure(running.cancel_kind, run_state=RunState.NOT_RUN))
            raise
        finally:
            del self._service_calls[running.request_id]
            running.log_end(result, cancelled)
            if not done.done():
                done.set_result(result)

    def resume(
        self, request_id: str, workspace: str, offset: int, front: str = ""
    ) -> AsyncIterator[DecodeChunk]:
        """Yield a request's output from `offset`, whichever host runs the request."""
        return self._resumer.resume(request_id, workspace, offset, front)

    async def stream_local(
        self, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """
        Yield the output of a request that this host runs.

        Raises
        ------
        StreamFailed
            If the request is unknown, or fails before its last chunk.
        """
        stream = self._resumer.stream_local(request_id, workspace, offset)
        async with closing_stream(stream):
            async for chunk in stream:
                yield chunk

    def cancel(self, request_id: str) -> None:
        """Cancel a request of this host on behalf of its caller."""
        running = self._model_calls.get(request_id)
        if running is not None:
            running.cancel(Failure(ErrorKind.CANCELLED))

    def handle_take_over(self, request_id: str) -> None:
        """Stop a request that another front has taken over; engines continue it."""
        running = self._model_calls.get(request_id)
        if running is not None:
            running.dispatch(TakenOver())

    def active_requests(self, resource: str) -> tuple[ActiveRequest, ...]:
        """Return the requests that are placed in a cell."""
        return tuple(
            ActiveRequest(
                profile=running.profile,
                placement=running.placement,
                phase=running.progress().phase,
                output_tokens=running.progress().output_tokens,
            )
            for running in self._running_requests()
            if running.profile is not None
            and running.placement is not None
            and running.profile.resource == resource
        )

    def active_keys(self, workspace: str) -> tuple[ActiveKey, ...]:
        """Return a workspace's requests with idempotency keys, also ended ones."""
        return tuple(
            ActiveKey(
                running.request_id,
                running.call.idempotency_key,
                running.call.body_digest,
                running.machine.ended,
            )
            for running in self._model_calls.values()
            if running.call.workspace == workspace
            and running.call.idempotency_key
            and running.is_granted
            and not running.is_taken_over
        )

    def begin_drain(self) -> None:
        """Refuse new requests from now on; running requests continue."""
        self.draining = True

    async def wait_idle(self) -> None:
        """Wait until no request is running and the last messages are sent."""
        while True:
            if not any(True for _ in self._running_requests()):
                break
            await asyncio.sleep(self.settings.check_interval_s)
        # Leaves time for cancellations and final reports that are still being sent.
        await asyncio.sleep(self.settings.progress_interval_s)

    async def run(self) -> None:
        """
        Run the periodic work of the front until cancelled.

        Cancels requests whose key was withdrawn, registers the running requests
        with new cell owners, reports progress, and evicts ended requests.
        """
        loop = asyncio.get_running_loop()
        next_report_s = loop.time()
        while True:
            if self.fleet.index != self._last_fleet_index:
                self._last_fleet_index = self.fleet.index
                self._stop_withdrawn_keys()
            self._register_at_new_owners()
            if loop.time() >= next_report_s:
                next_report_s = loop.time() + self.settings.progress_interval_s
                self._report_progress()
                self._evict_ended_calls()
            await asyncio.sleep(self.settings.check_interval_s)

    def _running_requests(self) -> Iterable[_RunningRequest]:
        for running in self._model_calls.values():
            if not running.machine.ended:
                yield running
        yield from self._service_calls.values()

    def _stop_withdrawn_keys(self) -> None:
        for running in list(self._model_calls.values()):
            # A request that was taken over has no key of its own: the key of each
            # reader is checked instead.
            if running.machine.ended or not running.call.key_digest:
                continue
            workspace = self.context.bundle_index.workspace_of_key(
                self.fleet, running.call.key_digest
            )
            if isinstance(workspace, Err):
                running.cancel(Failure(ErrorKind.KEY_WITHDRAWN))
        for service in list(self._service_calls.values()):
            if not service.call.route.open_to_all:
                workspace = self.context.bundle_index.workspace_of_key(
                    self.fleet, service.call.key_digest
                )
                if isinstance(workspace, Err):
                    service.cancel_for_withdrawn_key()

    def _register_at_new_owners(self) -> None:
        for resource in self.fleet.owners:
            if not resource.startswith("cell/"):
                continue
            owner = owner_of(self.fleet, resource)
            if owner is None or self._registered_epochs.get(resource) == owner.epoch:
                continue
            self._registered_epochs[resource] = owner.epoch
            self.context.start_task(self._register(owner))

    async def _register(self, owner: Owner) -> None:
        context = self.context

        async def send(current: Owner) -> bool:
            await context.cells.register(
                current.resource,
                current.epoch,
                context.host,
                context.incarnation,
                self.active_requests(current.resource),
            )
            return True

        if isinstance(await context.owners.call(owner.resource, send), Failure):
            self._registered_epochs.pop(owner.resource, None)
        elif crashes := context.recent_crash_reports(owner.resource):
            await send_progress(context, owner.resource, crashes)

    def _report_progress(self) -> None:
        batches: dict[str, list[Progress]] = {}
        for running in self._running_requests():
            if running.profile is None or not running.profile.resource:
                continue
            # A batch without items shows the owner that the front of a queued request
            # is alive.
            items = batches.setdefault(running.profile.resource, [])
            if running.placement is not None:
                items.append(running.progress())
        for call in self._model_calls.values():
            if not call.machine.ended or call.profile is None:
                continue
            sent_count = self._final_reports_sent.get(call.request_id, 0)
            if sent_count < _FINAL_REPORT_RETRIES and not call.is_taken_over:
                self._final_reports_sent[call.request_id] = sent_count + 1
                batches.setdefault(call.profile.resource, []).append(call.progress())
        for resource, items in batches.items():
            self.context.start_task(send_progress(self.context, resource, tuple(items)))

    def _evict_ended_calls(self) -> None:
        now_s = asyncio.get_running_loop().time()
        ended = [
            call for call in self._model_calls.values() if call.ended_s is not None
        ]
        surplus = len(ended) - self.settings.retain_requests
        for number, call in enumerate(ended):
            age_s = now_s - (call.ended_s or now_s)
            if number < surplus or age_s > self.settings.retain_s:
                del self._model_calls[call.request_id]
                self._final_reports_sent.pop(call.request_id, None)
