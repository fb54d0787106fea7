"""The ASGI application of the gateway, which admits and forwards requests."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from result import Err

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.calls import CallForwarder
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.dialect import CallerRequest, Dialect
from damaskridge.adapters.gateway.handover import (
    Handover,
    HandoverDue,
    NoHandover,
    may_hand_over,
)
from damaskridge.adapters.gateway.plain_streams import PlainStreamForwarder
from damaskridge.adapters.gateway.rate_admission import RateAdmission
from damaskridge.adapters.gateway.responses import CallerResponse, no_added_headers
from damaskridge.adapters.gateway.streams import StreamForwarder
from damaskridge.adapters.gateway.timer_delay import was_suspended
from damaskridge.adapters.http.bodies import RequestError
from damaskridge.adapters.http.exchange import (
    CallerGone,
    Exchange,
    ExchangeLimits,
    Receive,
    Scope,
    Send,
)
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.routing import RoutingIndex, key_digest
from damaskridge.core.gateway.stop_deadline import StopDeadline
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import GatewayRoute, GatewayWorkspace, RouteKind

__all__ = ["GatewayApp", "GatewayState"]

logger = logging.getLogger(__name__)

# Time to forward a response that arrived while the process was suspended.
LATE_RESPONSE_GRACE_S = 0.1
# A caller that doesn't read its stream for this long is treated as disconnected.
WRITE_TIMEOUT_S = 10.0


@dataclass(slots=True)
class GatewayState:
    """
    Mutable state of the gateway that other parts of the host update.

    Attributes
    ----------
    index : RoutingIndex
        Index of the routing table in force.
    hosts : int
        Number of entry hosts in the fleet.
    is_draining : bool
        Whether the host is draining; callers are then asked to reconnect elsewhere.
    running_requests : int
        Number of requests in progress.
    stop : StopDeadline
        Decides which requests are accepted while the host is draining.
    requests_ended : asyncio.Future
        Done when the requests that are still running have to end.
    """

    index: RoutingIndex
    hosts: int = 1
    is_draining: bool = False
    running_requests: int = 0
    stop: StopDeadline = field(default_factory=StopDeadline)
    requests_ended: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def begin_drain(self, ends_s: float) -> None:
        """Drain; requests that are still running at `ends_s` are ended."""
        self.is_draining = True
        now_s = asyncio.get_running_loop().time()
        self.stop.begin(now_s=now_s, ends_s=ends_s)

    def end_requests(self) -> None:
        """Answer the requests that are still running, and end their streams."""
        if not self.requests_ended.done():
            self.requests_ended.set_result(None)


@dataclass(frozen=True, slots=True)
class _Admission:
    """
    The route and workspace of an admitted request; no workspace if public.

    `index` is that of the routing table by which it was admitted.
    """

    index: RoutingIndex
    route: GatewayRoute
    workspace: GatewayWorkspace | None


class GatewayApp:
    """
    Admits requests, forwards them and enforces the timeouts.

    Parameters
    ----------
    state : GatewayState
        Routing index and host state, updated from outside.
    dialect : Dialect
        Decodes requests and encodes refusals.
    calls, streams, plain_streams : CallForwarder, StreamForwarder, PlainStreamForwarder
        Forward admitted requests: those with one response, generations, and other
        streams.
    rates : RateAdmission
        Enforces the rate limits of workspaces.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    crashes : CrashMonitor
        Decides which requests are refused because they crash backend servers.
    rng : random.Random
        Selects among the targets of a route.
    on_request : callable
        Called with the name of the service for each admitted request.
    handover : Handover or None
        Lets other hosts serve requests; by default this host serves all.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        dialect: Dialect,
        calls: CallForwarder,
        streams: StreamForwarder,
        plain_streams: PlainStreamForwarder,
        rates: RateAdmission,
        refusals: RetryAfterTimes,
        crashes: CrashMonitor,
        rng: random.Random,
        on_request: Callable[[str], None],
        handover: Handover | None = None,
    ) -> None:
        self._handover = handover or NoHandover()
        self._on_request = on_request
        self._state = state
        self._dialect = dialect
        self._calls = calls
        self._streams = streams
        self._plain_streams = plain_streams
        self._rates = rates
        self._refusals = refusals
        self._crashes = crashes
        self._rng = rng

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        arrived_s = asyncio.get_running_loop().time()
        target = _target(scope)
        decoded = self._dialect.decode_request(
            scope["method"], target, list(scope["headers"])
        )
        request_id = "" if isinstance(decoded, Err) else decoded.ok_value.request_id
        exchange = Exchange(scope, receive, send, request_id, self._limits())
        response = CallerResponse(
            exchange,
            self._dialect,
            arrived_s,
            close_connection=self._state.is_draining,
        )
        self._state.running_requests += 1
        try:
            if isinstance(decoded, Err):
                await response.refuse(decoded.err_value)
            else:
                await self._serve(exchange, response, decoded.ok_value, arrived_s)
        except CallerGone:
            log_event(logger, EventNumber.CALLER_LOST, request_id=request_id)
            exchange.abort()
        finally:
            self._state.running_requests -= 1

    async def _serve(
        self,
        exchange: Exchange,
        response: CallerResponse,
        request: CallerRequest,
        arrived_s: float,
    ) -> None:
        try:
            exchange.check_headers(self._state.index.table.limits.header_bytes)
            admission = self._admit(request)
            body = await exchange.body()
            if admission.index is not self._state.index:
                # The table in force may lack the route, its services or the key.
                admission = self._admit(request)
            admitted = self._admitted_request(request, body, admission, arrived_s)
            response.before_refusal = partial(self._handover.before_refusal, admitted)
            unavailability = await self._handover.unavailability()
            if unavailability is not None:
                raise RequestError(unavailability)
            self._check_stop(admitted)
            is_handed_over = self._handover.is_needed
            if not is_handed_over:
                # Otherwise the other host charges it.
                await self._charge_rate(
                    request, admission, admitted.priority.in_workspace
                )
        except RequestError as error:
            await response.refuse(error.failure)
            return
        quarantined = self._crashes.failure(admitted)
        if quarantined is not None:
            await response.refuse(quarantined)
            return
        if not is_handed_over:
            self._on_request(admitted.service.name)
        log_event(
            logger,
            EventNumber.REQUEST_RECEIVED,
            request_id=request.request_id,
            route=admitted.route.name,
            workspace=admitted.workspace,
            version=self._state.index.table.version,
            deadline_ms=round(admitted.remaining_s * 1000),
            first_attempt_id=request.first_attempt_id,
        )
        if is_handed_over:
            forwarding = self._hand_over(exchange, response, admitted)
        elif admitted.service.engine is not None and request.has_size:
            forwarding = self._streams.forward(admitted, response)
        elif admitted.route.kind is RouteKind.STREAM and request.method != "HEAD":
            forwarding = self._plain_streams.forward(admitted, response)
        else:
            forwarding = self._calls.forward(admitted, response)
        await self._run_until_done(exchange, response, admitted, forwarding)

    async def _run_until_done(
        self,
        exchange: Exchange,
        response: CallerResponse,
        admitted: AdmittedRequest,
        forwarding: Coroutine[Any, Any, None],
    ) -> None:
        """
        Run until the response is complete, the caller leaves or a timeout.

        A request that is quarantined before its response has begun is abandoned, so
        that it crashes no further server.
        """
        with (
            self._crashes.watch(admitted) as quarantined,
            self._handover.watch() as handover_due,
        ):
            async with exchange.watch_disconnect() as caller_gone:
                task = asyncio.ensure_future(
                    self._forward(exchange, response, admitted, forwarding)
                )
                exchange.has_external_timeout = True
                try:
                    ended = self._state.requests_ended
                    futures = (caller_gone, quarantined, ended)
                    await _wait_for_first(admitted, task, handover_due, *futures)
                    has_ended = any(future.done() for future in (task, *futures))
                    if handover_due.done() and not has_ended:
                        if may_hand_over(admitted) and not response.has_started:
                            await _cancel(task)
                            task = asyncio.ensure_future(
                                self._hand_over(exchange, response, admitted)
                            )
                        await _wait_for_first(admitted, task, *futures)
                    if response.has_started and not ended.done():
                        await _wait_for_first(admitted, task, caller_gone, ended)
                finally:
                    exchange.has_external_timeout = False
                    await _cancel(task)
        if not task.cancelled():
            task.result()
            service = admitted.service.name
            self._state.stop.record_duration(service, admitted.elapsed_s)
            return
        if caller_gone.done() and not caller_gone.cancelled():
            raise CallerGone
        if quarantined.done() and not response.has_started:
            await response.refuse(self._abandoned_failure(admitted))
            return
        if self._state.requests_ended.done():
            await self._respond_stopped(response, admitted)
            return
        await self._respond_timeout(response, admitted)

    async def _forward(
        self,
        exchange: Exchange,
        response: CallerResponse,
        admitted: AdmittedRequest,
        forwarding: Coroutine[Any, Any, None],
    ) -> None:
        """Forward a request; hand it over if this host can't reach a server."""
        admitted.is_seeking_server = True
        try:
            await forwarding
        except HandoverDue:
            await self._hand_over(exchange, response, admitted)
        finally:
            admitted.is_seeking_server = False

    async def _hand_over(
        self, exchange: Exchange, response: CallerResponse, admitted: AdmittedRequest
    ) -> None:
        admitted.is_handed_over = True
        response.before_refusal = no_added_headers
        await self._handover.forward(admitted, exchange.raw_headers, response)

    def _check_stop(self, admitted: AdmittedRequest) -> None:
        """Raise `RequestError` if the host stops before the request can finish."""
        can_finish = self._state.stop.can_finish(
            admitted.service.name,
            limit_s=admitted.remaining_s,
            may_be_cut=admitted.route.kind is not RouteKind.AT_MOST_ONCE,
            now_s=admitted.now_s,
        )
        if not can_finish:
            detail = "the host is stopping and could not finish the request"
            raise RequestError(
                Failure(
                    ErrorKind.SHUTTING_DOWN,
                    detail,
                    retry_after_s=self._refusals.stopping_s(),
                )
            )

    async def _respond_stopped(
        self, response: CallerResponse, admitted: AdmittedRequest
    ) -> None:
        detail = "the host has stopped"
        if response.has_started:
            failure = Failure(ErrorKind.SHUTTING_DOWN, detail, RunState.UNKNOWN)
            response.abort(failure)
        elif admitted.policy.sends or admitted.may_have_run:
            kind = ErrorKind.BACKEND_SERVER_FAILED
            await response.refuse(Failure(kind, detail, RunState.UNKNOWN))
        else:
            retry_after_s = self._refusals.stopping_s()
            failure = Failure(
                ErrorKind.SHUTTING_DOWN, detail, retry_after_s=retry_after_s
            )
            await response.refuse(failure)

    def _abandoned_failure(self, admitted: AdmittedRequest) -> Failure:
        """Return the failure of a request that was quarantined while in progress."""
        is_running = bool(admitted.sent_to) or admitted.may_have_run
        failure = self._crashes.failure(admitted, is_running=is_running)
        # The quarantine may have ended while the request was being abandoned.
        return failure or Failure(
            ErrorKind.BACKEND_SERVER_FAILED,
            "abandoned, because it may crash its backend server",
            RunState.UNKNOWN,
        )

    async def _respond_timeout(
        self, response: CallerResponse, admitted: AdmittedRequest
    ) -> None:
        detail = f"no whole answer within {admitted.route.timeout_ms} ms"
        failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, detail, RunState.UNKNOWN)
        if response.has_started:
            response.abort(failure)
        else:
            await response.refuse(failure)

    def _admit(self, request: CallerRequest) -> _Admission:
        index = self._state.index
        if index.table.version == 0:
            retry_after_s = self._refusals.not_ready_s()
            detail = "no routing table yet"
            raise RequestError(
                Failure(
                    ErrorKind.CONTROL_UNAVAILABLE, detail, retry_after_s=retry_after_s
                )
            )
        route = index.route(request.host_name, request.path)
        if route is None:
            raise RequestError(Failure(ErrorKind.UNKNOWN_ROUTE))
        if route.is_public or not index.needs_keys:
            return _Admission(index, route, None)
        if request.key is None:
            raise RequestError(Failure(ErrorKind.MISSING_KEY))
        workspace = index.workspace(key_digest(request.key))
        if workspace is None:
            raise RequestError(Failure(ErrorKind.INVALID_KEY))
        return _Admission(index, route, workspace)

    async def _charge_rate(
        self, request: CallerRequest, admission: _Admission, priority: int
    ) -> None:
        workspace = admission.workspace
        if workspace is None:
            return
        cost = workspace.cost(request.prompt_tokens + request.max_output_tokens)
        wait_s = await self._rates.acquire(
            request.request_id, workspace, cost, priority
        )
        if wait_s > 0:
            raise RequestError(
                Failure(
                    ErrorKind.RATE_EXCEEDED,
                    f"{cost:g} over the rate of {workspace.rate_per_s:g}/s",
                    retry_after_s=self._refusals.over_rate_s(wait_s),
                )
            )

    def _admitted_request(
        self,
        request: CallerRequest,
        body: bytes,
        admission: _Admission,
        arrived_s: float,
    ) -> AdmittedRequest:
        route, workspace = admission.route, admission.workspace
        index = admission.index
        service = index.service(index.target(route, self._rng.random()))
        assert service is not None, "a routing table refers only to known services"
        return AdmittedRequest(
            request=request,
            body=body,
            route=route,
            service=service,
            workspace=workspace.name if workspace is not None else "",
            priority=index.priority(route, service.name, workspace),
            arrived_s=arrived_s,
        )

    def _limits(self) -> ExchangeLimits:
        limits = self._state.index.table.limits
        return ExchangeLimits(
            body_limit_bytes=limits.body_bytes,
            body_wait_s=limits.idle_timeout_ms / 1000,
            write_timeout_s=WRITE_TIMEOUT_S,
        )


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task that may be done, and wait for its end."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})


async def _wait_for_first(
    admitted: AdmittedRequest, *futures: asyncio.Future[Any]
) -> None:
    """Wait until one of the futures is done, or for the timeout of the route."""
    first_completed = asyncio.FIRST_COMPLETED
    timeout_s = max(0.0, admitted.route_remaining_s)
    await asyncio.wait(futures, timeout=timeout_s, return_when=first_completed)
    if was_suspended(0.0, -admitted.route_remaining_s):
        # The response may have arrived in the meantime.
        await asyncio.wait(
            futures, timeout=LATE_RESPONSE_GRACE_S, return_when=first_completed
        )


def _target(scope: Scope) -> bytes:
    """Return the path and query string as the caller sent them."""
    path = bytes(scope.get("raw_path") or scope["path"].encode())
    query = bytes(scope.get("query_string", b""))
    return path + b"?" + query if query else path
