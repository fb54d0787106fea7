"""The ASGI application that admits callers' requests and forwards them."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Err

from damaskridge.adapters.gateway.answers import CallerAnswer
from damaskridge.adapters.gateway.calls import CallForwarder
from damaskridge.adapters.gateway.dialect import CallerRequest, Dialect
from damaskridge.adapters.gateway.streams import StreamForwarder
from damaskridge.adapters.gateway.work import GatewayWork
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
from damaskridge.core.gateway.crash_tracker import CrashTracker
from damaskridge.core.gateway.quota import FleetQuota
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.routing import RoutingIndex, key_digest
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import GatewayRoute, GatewayWorkspace

__all__ = ["GatewayApp", "GatewayState"]

logger = logging.getLogger(__name__)

# A time-out that is noticed later than this has waited for this process.
LATE_TIMER_S = 0.1
# Time for an answer that has arrived to be passed on.
LATE_ANSWER_S = 0.1
# A caller that leaves a stream unread for longer has gone.
WRITE_WAIT_S = 10.0


@dataclass(slots=True)
class GatewayState:
    """
    What changes while the gateway runs.

    Attributes
    ----------
    index : RoutingIndex
        The routing table in force.
    hosts : int
        Entry hosts of the fleet.
    is_draining : bool
        Whether callers are asked to connect elsewhere.
    running : int
        Requests that are being answered.
    """

    index: RoutingIndex
    hosts: int = 1
    is_draining: bool = False
    running: int = 0


@dataclass(frozen=True, slots=True)
class _Admitted:
    route: GatewayRoute
    workspace: GatewayWorkspace | None


class GatewayApp:
    """
    Answers callers.

    Parameters
    ----------
    state : GatewayState
        Routes and hosts, changed from outside.
    dialect : Dialect
        Decodes requests and encodes refusals.
    calls, streams : CallForwarder, StreamForwarder
        Forward what was admitted.
    quota : FleetQuota
        Limits of workspaces.
    refusals : RetryAfterTimes
        When refused callers may come back.
    crashes : CrashTracker
        Which requests crash backend servers.
    rng : random.Random
        Draws the target of routes with several.
    on_request : callable
        Told the service of each admitted request.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        dialect: Dialect,
        calls: CallForwarder,
        streams: StreamForwarder,
        quota: FleetQuota,
        refusals: RetryAfterTimes,
        crashes: CrashTracker,
        rng: random.Random,
        on_request: Callable[[str], None],
    ) -> None:
        self._on_request = on_request
        self._state = state
        self._dialect = dialect
        self._calls = calls
        self._streams = streams
        self._quota = quota
        self._refusals = refusals
        self._crashes = crashes
        self._rng = rng

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        arrived_s = asyncio.get_running_loop().time()
        target = _target(scope)
        decoded = self._dialect.caller_request(
            scope["method"], target, list(scope["headers"])
        )
        request_id = "" if isinstance(decoded, Err) else decoded.ok_value.request_id
        exchange = Exchange(scope, receive, send, request_id, self._limits())
        answer = CallerAnswer(
            exchange,
            self._dialect,
            arrived_s,
            close_connection=self._state.is_draining,
        )
        self._state.running += 1
        try:
            if isinstance(decoded, Err):
                await answer.refuse(decoded.err_value)
            else:
                await self._serve(exchange, answer, decoded.ok_value, arrived_s)
        except CallerGone:
            log_event(logger, EventNumber.CALLER_LOST, request_id=request_id)
            exchange.abort()
        finally:
            self._state.running -= 1

    async def _serve(
        self,
        exchange: Exchange,
        answer: CallerAnswer,
        request: CallerRequest,
        arrived_s: float,
    ) -> None:
        try:
            exchange.check_headers(self._state.index.table.limits.header_bytes)
            admitted = self._admit(request)
            body = await exchange.body()
            self._charge(request, admitted)
        except RequestError as error:
            await answer.refuse(error.failure)
            return
        work = self._work(request, body, admitted, arrived_s)
        if self._crashes.is_suspect(work.fingerprint, work.now_s):
            await answer.refuse(self._suspect())
            return
        self._on_request(work.service.name)
        log_event(
            logger,
            EventNumber.REQUEST_RECEIVED,
            request_id=request.request_id,
            route=work.route.name,
            workspace=work.workspace,
            version=self._state.index.table.version,
            deadline_ms=round(work.left_s * 1000),
        )
        if work.service.engine is not None and request.has_size:
            forwarding = self._streams.forward(work, answer)
        else:
            forwarding = self._calls.forward(work, answer)
        await self._until_done(exchange, answer, work, forwarding)

    async def _until_done(
        self,
        exchange: Exchange,
        answer: CallerAnswer,
        work: GatewayWork,
        forwarding: Coroutine[Any, Any, None],
    ) -> None:
        """Run until answered, until the caller leaves, or until the time-out."""
        async with exchange.watched() as gone:
            task = asyncio.ensure_future(forwarding)
            waits: set[asyncio.Future[Any]] = {task, gone}
            exchange.is_watched = True
            first = asyncio.FIRST_COMPLETED
            try:
                timeout_s = max(0.0, work.timeout_s)
                await asyncio.wait(waits, timeout=timeout_s, return_when=first)
                if work.timeout_s < -LATE_TIMER_S:
                    # This process stood still; the answer may have arrived meanwhile.
                    await asyncio.wait(waits, timeout=LATE_ANSWER_S, return_when=first)
            finally:
                exchange.is_watched = False
                if not task.done():
                    task.cancel()
                    await asyncio.wait({task})
        if not task.cancelled():
            task.result()
            return
        if gone.done() and not gone.cancelled():
            raise CallerGone
        await self._time_out(answer, work)

    def _suspect(self) -> Failure:
        detail = "requests like this one have crashed their backend servers"
        retry_after_s = self._refusals.suspect_s()
        kind = ErrorKind.NO_BACKEND_SERVER
        return Failure(kind, detail, RunState.NOT_RUN, retry_after_s)

    async def _time_out(self, answer: CallerAnswer, work: GatewayWork) -> None:
        detail = f"no whole answer within {work.route.timeout_ms} ms"
        failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, detail, RunState.UNKNOWN)
        if answer.has_started:
            answer.break_off(failure)
        else:
            await answer.refuse(failure)

    def _admit(self, request: CallerRequest) -> _Admitted:
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
            return _Admitted(route, None)
        if request.key is None:
            raise RequestError(Failure(ErrorKind.MISSING_KEY))
        workspace = index.workspace(key_digest(request.key))
        if workspace is None:
            raise RequestError(Failure(ErrorKind.INVALID_KEY))
        return _Admitted(route, workspace)

    def _charge(self, request: CallerRequest, admitted: _Admitted) -> None:
        workspace = admitted.workspace
        if workspace is None:
            return
        now_s = asyncio.get_running_loop().time()
        cost = 1.0
        if workspace.counts_tokens:
            tokens = request.prompt_tokens + request.output_tokens
            cost = float(tokens if request.has_size else workspace.plain_tokens)
        wait_s = self._quota.acquire(workspace, cost, now_s)
        if wait_s > 0:
            raise RequestError(
                Failure(
                    ErrorKind.RATE_EXCEEDED,
                    f"{cost:g} over the rate of {workspace.rate_per_s:g}/s",
                    retry_after_s=self._refusals.over_rate_s(wait_s),
                )
            )

    def _work(
        self,
        request: CallerRequest,
        body: bytes,
        admitted: _Admitted,
        arrived_s: float,
    ) -> GatewayWork:
        route, workspace = admitted.route, admitted.workspace
        index = self._state.index
        service = index.service(index.target(route, self._rng.random()))
        assert service is not None, "a routing table names only known services"
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return GatewayWork(
            request=request,
            body=body,
            route=route,
            service=service,
            workspace=workspace.name if workspace is not None else "",
            priority=priority,
            arrived_s=arrived_s,
        )

    def _limits(self) -> ExchangeLimits:
        limits = self._state.index.table.limits
        return ExchangeLimits(
            body_limit_bytes=limits.body_bytes,
            body_wait_s=limits.idle_timeout_ms / 1000,
            write_wait_s=WRITE_WAIT_S,
        )


def _target(scope: Scope) -> bytes:
    """Return path and query as the caller sent them."""
    path = bytes(scope.get("raw_path") or scope["path"].encode())
    query = bytes(scope.get("query_string", b""))
    return path + b"?" + query if query else path
