"""Sends a request to a backend server once and classifies the outcome."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from result import Err, Ok, Result

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.connections import (
    BackendConnection,
    ConnectionBroken,
    Headers,
    NotSent,
    ResponseHead,
    ServerGone,
    open_connection,
)
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.dialect import (
    CallerRequest,
    Dialect,
    EngineCall,
    EngineStep,
    ResponseMetadata,
)
from damaskridge.adapters.gateway.outcomes import (
    NotRun,
    OpenReply,
    Outcome,
    Unknown,
)
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance
from damaskridge.model.server_limits import ServerLimit

__all__ = ["Sender"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# A live server accepts a connection within a few milliseconds. TCP retransmits a lost
# first packet only after a second; a new attempt to connect is faster.
CONNECT_TIMEOUT_S = 0.2
# Calls of the gateway itself need no slot, so a live engine responds to them within
# milliseconds.
ENGINE_CALL_TIMEOUT_S = 0.5
# After this process was suspended, a timeout fires before data that has arrived in the
# meantime is read. Reading the buffered data takes no longer than this.
BUFFERED_READ_TIMEOUT_S = 0.05
# Responses to calls of the gateway itself are small documents.
MAX_ENGINE_CALL_RESPONSE_BYTES = 65_536


class Sender:
    """
    Sends requests and records how the backend servers respond.

    Parameters
    ----------
    dialect : Dialect
        Encodes requests and decodes responses.
    pool : ConnectionPool
        Supplies connections to backend servers.
    registry : InstanceRegistry
        Records the health of backend servers.
    crashes : CrashMonitor
        Records runs that broke off and servers that are gone.
    gate : RetryGate
        Checks each request against the retry budget before it is sent.
    permits : ServerPermits
        Holds the permits for requests to servers with a limit.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        registry: InstanceRegistry,
        crashes: CrashMonitor,
        gate: RetryGate,
        permits: ServerPermits,
    ) -> None:
        self._dialect = dialect
        self._permits = permits
        self._gate = gate
        self._pool = pool
        self._registry = registry
        self._crashes = crashes
        self._background_calls: set[asyncio.Task[Any]] = set()
        self._probes: dict[str, asyncio.Task[bool]] = {}

    async def send(
        self,
        instance: BackendInstance,
        admitted: AdmittedRequest,
        step: EngineStep | None = None,
        *,
        last_event_id: int | None = None,
        response_timeout_s: float,
        fresh: bool = False,
    ) -> Outcome:
        """
        Send a request and wait for the head of the response.

        The retry budget and the permits for servers with a limit are checked here in
        any case, even if the calling code has checked them before.

        Parameters
        ----------
        instance : BackendInstance
            The instance to send the request to.
        admitted : AdmittedRequest
            The request.
        step : EngineStep or None
            What an engine is asked to perform; None for a plain service.
        last_event_id : int or None
            The last event of a stream that the caller has received.
        response_timeout_s : float
            Time limit for the head of the response.
        fresh : bool
            Whether to open a new connection instead of reusing one.

        Returns
        -------
        Outcome
            The response, or what is known about the request without one.
        """
        request = admitted.request
        started_s = asyncio.get_running_loop().time()
        quarantined = self._crashes.failure(admitted)
        if quarantined is not None:
            refused = NotRun(quarantined.detail, was_sent=False)
            return self._log_outcome(request, instance, refused, started_s)
        if self._is_paused(instance):
            paused = NotRun("the server wants no request now", was_sent=False)
            return self._log_outcome(request, instance, paused, started_s)
        is_prefill = step is not None and step.is_prefill
        send_step = SendStep.PREFILL if is_prefill else SendStep.RUN
        if not self._gate.admits(admitted, send_step):
            over_budget = NotRun("the retry budget has no send left", was_sent=False)
            return self._log_outcome(request, instance, over_budget, started_s)
        had_limit = self._permits.is_limited(instance.instance_id)
        if not self._permits.use(instance):
            over_limit = NotRun("the server's limit permits no send", was_sent=False)
            return self._log_outcome(request, instance, over_limit, started_s)
        options = admitted.send_options(instance.instance, step, last_event_id)
        headers = self._dialect.encode_headers(request, options)
        try:
            connection = await self._pool.acquire(
                instance,
                CONNECT_TIMEOUT_S,
                # A copy of the response to an earlier send has the same request id.
                fresh=fresh or instance.instance in admitted.sent_to,
            )
        except NotSent as error:
            self._record_unreachable(instance, error)
            failed = NotRun(str(error), was_sent=False)
            return self._log_outcome(request, instance, failed, started_s)
        admitted.sent_to.add(instance.instance)
        might_have_run = admitted.may_have_run
        admitted.may_have_run = might_have_run or not is_prefill
        is_response_open = False
        outcome: Outcome
        try:
            async with asyncio.timeout(response_timeout_s):
                await connection.send(
                    request.method, request.target, headers, admitted.body
                )
            head = await _read_head_until(connection, started_s + response_timeout_s)
            self._pool.record_response()
            outcome = self._classify_response(
                request, instance, connection, head, is_prefill
            )
            is_response_open = isinstance(outcome, OpenReply)
            if isinstance(outcome, OpenReply) and had_limit:
                self._end_limit_unless_stated(outcome)
        except TimeoutError:
            outcome = Unknown(
                f"no answer in {response_timeout_s:.3f} s", timed_out=True
            )
            self._pool.close_idle(instance)
            self._pool.record_silence()
        except NotSent as error:
            outcome = NotRun(str(error), was_sent=False)
        except ConnectionBroken as error:
            outcome = Unknown(str(error), is_broken=True)
        finally:
            if not is_response_open:
                connection.close()
        was_refused = isinstance(outcome, NotRun)
        if was_refused:
            admitted.may_have_run = might_have_run
        if not isinstance(outcome, NotRun) or outcome.was_sent:
            admitted.account.record_arrival(send_step, was_refused=was_refused)
        if isinstance(outcome, Unknown):
            self.record_response(instance, good=False, reason=outcome.reason)
        return self._log_outcome(request, instance, outcome, started_s)

    def record_response(
        self, instance: BackendInstance, *, good: bool, reason: str
    ) -> None:
        """Record whether a server responded as expected; failing ones are avoided."""
        now_s = asyncio.get_running_loop().time()
        was_avoided = self._registry.is_avoided(instance.instance, now_s)
        avoided_s = self._registry.record_response(instance.instance, now_s, good=good)
        if avoided_s:
            self._log_avoided(instance, reason, avoided_s)
        elif good and was_avoided:
            log_event(
                logger, EventNumber.INSTANCE_USED_AGAIN, instance=instance.instance
            )

    async def check_complete(self, server_response: OpenReply) -> None:
        """
        Raise `ConnectionBroken` if a response that has ended may be incomplete.

        The operating system of a server that crashes ends its connections in the same
        way as the server ends a complete response. A reset may follow that end.
        """
        if not server_response.head.ends_with_connection:
            return
        if await self._is_gone(server_response.instance):
            raise ConnectionBroken("the server was gone at the end of its response")
        if server_response.was_reset:
            raise ConnectionBroken("the response was reset after its end")

    def record_complete_run(
        self, admitted: AdmittedRequest, server_response: OpenReply
    ) -> None:
        """Record that a server ran a request to completion, if that is certain."""
        if not server_response.head.ends_with_connection:
            self._crashes.record_complete_run(admitted)

    async def record_interrupted_run(
        self,
        instance: BackendInstance,
        admitted: AdmittedRequest,
        outcome: Unknown,
        *,
        events: int = 0,
    ) -> None:
        """
        Record that a server broke off a run after a number of events.

        Returns when it is known whether the server refuses connections, because a
        request that has crashed enough servers must not be sent to another one.
        """
        self._crashes.record_interrupted_run(
            instance, admitted, outcome.reason, events=events
        )
        if outcome.is_broken:
            await self._is_gone(instance)

    async def call_engine(
        self,
        instance: BackendInstance,
        call: EngineCall,
        accepts: Callable[[bytes], bool] = lambda _: True,
    ) -> Result[bytes, str]:
        """
        Make a call of the gateway itself to an engine.

        Parameters
        ----------
        instance : BackendInstance
            The engine.
        call : EngineCall
            The call to make.
        accepts : callable
            Returns whether a body is the response to this call. Responses to such
            calls carry no request id, so a late duplicate of an earlier response can
            be recognized only by its body. The connection is then closed.

        Returns
        -------
        Result[bytes, str]
            The body of a response with status 200, or the reason of the failure.
        """
        if self._is_paused(instance):
            return Err("the backend server asked for a pause")
        if not self._permits.use(instance):
            return Err("the limit of the backend server permits no call")
        headers: Headers = [
            (b"host", instance.address.encode()),
            (b"content-type", b"application/json"),
        ]
        try:
            async with asyncio.timeout(ENGINE_CALL_TIMEOUT_S):
                connection = await self._pool.acquire(instance, CONNECT_TIMEOUT_S)
                is_valid = False
                try:
                    await connection.send(call.method, call.target, headers, call.body)
                    head = await connection.head()
                    body = await connection.read_body(MAX_ENGINE_CALL_RESPONSE_BYTES)
                    metadata = self._dialect.decode_response_head(head)
                    is_valid = not metadata.request_id and (
                        head.status != 200 or accepts(body)
                    )
                finally:
                    # A copy of a refusal would be taken for one of the next request.
                    if is_valid and head.status == 200:
                        self._pool.release(instance, connection)
                    else:
                        connection.close()
        except NotSent as error:
            self._record_unreachable(instance, error)
            return Err(str(error))
        except TimeoutError:
            return Err(f"no response within {ENGINE_CALL_TIMEOUT_S:g} s")
        except ConnectionBroken as error:
            return Err(str(error))
        if not is_valid:
            return Err("the response belongs to another call")
        self._apply_notices(instance, metadata)
        self._apply_limit(instance, metadata)
        if head.status != 200:
            return Err(f"status {head.status}")
        return Ok(body)

    def call_in_background(self, instance: BackendInstance, call: EngineCall) -> None:
        """Call an engine to free unused resources, without waiting for the outcome."""
        self._start_in_background(self._call_and_log_failure(instance, call))

    def _start_in_background(self, call: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.ensure_future(call)
        self._background_calls.add(task)
        task.add_done_callback(self._background_calls.discard)
        return task

    async def _is_gone(self, instance: BackendInstance) -> bool:
        """
        Return whether a server whose connection has ended refuses connections.

        Without other requests to it, the host would learn of a crash seconds later.
        """
        probe = self._probes.get(instance.instance)
        if probe is None:
            probe = self._start_in_background(self._probe(instance))
            self._probes[instance.instance] = probe
        await asyncio.wait({probe})
        return probe.result()

    async def _probe(self, instance: BackendInstance) -> bool:
        try:
            connection = await open_connection(instance.address, CONNECT_TIMEOUT_S)
        except NotSent as error:
            self._record_unreachable(instance, error)
            return isinstance(error, ServerGone)
        finally:
            del self._probes[instance.instance]
        connection.close()
        return False

    async def _call_and_log_failure(
        self, instance: BackendInstance, call: EngineCall
    ) -> None:
        result = await self.call_engine(instance, call)
        if isinstance(result, Err):
            # The engine frees the memory by itself when the handle or reservation
            # expires.
            log_event(
                logger,
                EventNumber.SEND_FAILED,
                request_id="",
                instance=instance.instance,
                outcome=call.method,
                reason=result.err_value,
                elapsed_ms=0,
            )

    def _classify_response(
        self,
        request: CallerRequest,
        instance: BackendInstance,
        connection: BackendConnection,
        head: ResponseHead,
        is_prefill: bool,
    ) -> Outcome:
        """Decide from the head of a response what happened to the request."""
        metadata = self._dialect.decode_response_head(head)
        if metadata.request_id and metadata.request_id != request.request_id:
            return Unknown("the answer belongs to another request")
        if connection.is_reused and not metadata.request_id:
            # It may be a copy of an earlier response.
            return Unknown("an answer without a request id on a reused connection")
        self._apply_notices(instance, metadata)
        if metadata.is_other_instance:
            moved = ServerGone("another instance has the address")
            self._record_unreachable(instance, moved)
            return NotRun(str(moved))
        self._apply_limit(instance, metadata)
        if metadata.did_not_run:
            suffix = "" if metadata.request_id else " and no request id"
            return NotRun(
                f"refused with status {head.status}{suffix}",
                is_full=head.status in (429, 503),
            )
        if head.status < 300 and not (metadata.is_signed or is_prefill):
            return Unknown(f"status {head.status} without a signature")
        return OpenReply(instance, connection, self._pool, head, metadata)

    def _is_paused(self, instance: BackendInstance) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._registry.notices.remaining_pause_s(instance.instance, now_s) > 0

    def _apply_notices(
        self, instance: BackendInstance, metadata: ResponseMetadata
    ) -> None:
        """Record that a server is shutting down or asks for a pause."""
        notices, name = self._registry.notices, instance.instance
        if metadata.is_leaving and notices.record_leaving(instance):
            self._pool.close_idle(instance)
            log_event(logger, EventNumber.BACKEND_SERVER_LEAVING, backend_server=name)
        if metadata.pause_s:
            now_s = asyncio.get_running_loop().time()
            notices.record_pause(name, now_s + metadata.pause_s)
            pause_ms = round(metadata.pause_s * 1000)
            log_event(
                logger, EventNumber.INSTANCE_PAUSED, instance=name, pause_ms=pause_ms
            )

    def _apply_limit(
        self, instance: BackendInstance, metadata: ResponseMetadata
    ) -> None:
        """Record a limit of requests that a server states."""
        if metadata.limit_per_s is not None:
            limit = ServerLimit(instance.instance_id, metadata.limit_per_s)
            self._permits.record_stated(limit)

    def _end_limit_unless_stated(self, response: OpenReply) -> None:
        """
        End the limit of a server that responded without stating one.

        Only for a request that was sent after the limit was known: the response to an
        earlier one may be older than the limit. A failure may come from a server that
        is too broken to state its limit.
        """
        if not response.metadata.states_limit and response.head.status < 500:
            server = response.instance.instance_id
            self._permits.record_stated(ServerLimit(server, None))

    def _record_unreachable(self, instance: BackendInstance, error: NotSent) -> None:
        now_s = asyncio.get_running_loop().time()
        avoided_s = self._registry.record_unreachable(instance.instance, now_s)
        if isinstance(error, ServerGone):
            self._permits.record_unreachable(instance)
            # A planned stop may break off runs, too.
            if not self._registry.is_leaving(instance):
                self._crashes.record_gone(instance)
        self._pool.close_idle(instance)
        self._log_avoided(instance, str(error), avoided_s)

    def _log_avoided(
        self, instance: BackendInstance, reason: str, avoided_s: float
    ) -> None:
        log_event(
            logger,
            EventNumber.INSTANCE_AVOIDED,
            instance=instance.instance,
            reason=reason,
            failures=1,
            avoided_ms=round(avoided_s * 1000),
        )

    def _log_outcome(
        self,
        request: CallerRequest,
        instance: BackendInstance,
        outcome: Outcome,
        started_s: float,
    ) -> Outcome:
        if not isinstance(outcome, OpenReply):
            elapsed_s = asyncio.get_running_loop().time() - started_s
            log_event(
                logger,
                EventNumber.SEND_FAILED,
                request_id=request.request_id,
                instance=instance.instance,
                outcome=type(outcome).__name__,
                reason=outcome.reason,
                elapsed_ms=round(elapsed_s * 1000),
            )
        return outcome


async def _read_head_until(
    connection: BackendConnection, deadline_s: float
) -> ResponseHead:
    """
    Return the head of the response; raises `TimeoutError` if it has not arrived.

    Data that has arrived by the deadline is still read if only this process is late.
    """
    try:
        async with asyncio.timeout_at(deadline_s):
            return await connection.head()
    except TimeoutError:
        if not connection.has_unread_data:
            raise
    async with asyncio.timeout(BUFFERED_READ_TIMEOUT_S):
        return await connection.head()
