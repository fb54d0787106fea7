"""Sends one request to one backend server and tells what became of it."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import (
    BackendConnection,
    ConnectionBroken,
    Headers,
    NotSent,
    ReplyHead,
)
from damaskridge.adapters.gateway.dialect import (
    CallerRequest,
    Dialect,
    EngineCall,
    EngineStep,
    ReplyFacts,
)
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.work import GatewayWork
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.crash_tracker import CrashTracker
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance

__all__ = ["NotRun", "OpenReply", "Outcome", "Sender", "Unknown"]

logger = logging.getLogger(__name__)

# A connection attempt to a live server takes a few milliseconds; a lost first packet is
# sent again after a second, which a new attempt beats.
CONNECT_S = 0.2
# Such calls need no slot, so that a live engine answers within milliseconds.
ENGINE_CALL_S = 0.5
# After a pause of this process a timer is due before the bytes that came meanwhile
# are taken; reading them then takes no longer than this.
LATE_READ_S = 0.05
# Their answers are small documents.
ENGINE_CALL_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class NotRun:
    """
    The request did not run and never will.

    Parameters
    ----------
    reason : str
        What was seen.
    is_full : bool
        Whether the server had no room.
    was_sent : bool
        Whether any byte of it reached a server.
    """

    reason: str
    is_full: bool = False
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, or may run still."""

    reason: str
    timed_out: bool = False


class OpenReply:
    """
    An answer whose body is unread; `close` must be called.

    Attributes
    ----------
    head : ReplyHead
        Status and headers.
    facts : ReplyFacts
        What they say.
    """

    def __init__(
        self,
        instance: BackendInstance,
        connection: BackendConnection,
        pool: ConnectionPool,
        head: ReplyHead,
        facts: ReplyFacts,
    ) -> None:
        self.instance = instance
        self.head = head
        self.facts = facts
        self._connection = connection
        self._pool = pool
        self._is_open = True

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `ConnectionBroken` if it is not whole."""
        async for chunk in self._connection.body():
            yield chunk

    @property
    def has_unread(self) -> bool:
        """Whether a part of the body has arrived that was not read yet."""
        return self._connection.has_unread

    async def whole(self, limit_bytes: int) -> bytes:
        """Return the whole body; raises `ConnectionBroken`."""
        return await self._connection.whole_body(limit_bytes)

    def close(self) -> None:
        """Give the connection back, or drop it if the answer is not complete."""
        if self._is_open:
            self._is_open = False
            self._connection.keep_alive_s = self.facts.keep_alive_s
            if self.facts.is_leaving:
                self._connection.close()
            else:
                self._pool.give_back(self.instance, self._connection)


Outcome = OpenReply | NotRun | Unknown


class Sender:
    """
    Sends requests and notes how the backend servers answer.

    Parameters
    ----------
    dialect : Dialect
        Encodes requests and decodes answers.
    pool : ConnectionPool
        Connections.
    registry : InstanceRegistry
        Where the health of servers is noted.
    crashes : CrashTracker
        Where lost servers are noted.
    gate : RetryGate
        Admits each send against the retry budget.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        registry: InstanceRegistry,
        crashes: CrashTracker,
        gate: RetryGate,
    ) -> None:
        self._dialect = dialect
        self._gate = gate
        self._pool = pool
        self._registry = registry
        self._crashes = crashes
        self._unwatched: set[asyncio.Task[None]] = set()

    async def send(
        self,
        instance: BackendInstance,
        work: GatewayWork,
        step: EngineStep | None = None,
        *,
        last_event_id: int | None = None,
        answer_s: float,
        fresh: bool = False,
    ) -> Outcome:
        """
        Send a request and wait for the head of its answer.

        Nothing is sent that the retry budget does not cover, whatever its caller has
        decided before.

        Parameters
        ----------
        instance : BackendInstance
            Where to.
        work : GatewayWork
            The admitted request.
        step : EngineStep or None
            What an engine is asked for; None for a plain call.
        last_event_id : int or None
            The last event that the caller has.
        answer_s : float
            Longest wait for the head, in seconds.
        fresh : bool
            Whether to use a new connection.

        Returns
        -------
        Outcome
            The answer, or what is known of the request without one.
        """
        request = work.request
        started_s = asyncio.get_running_loop().time()
        if self._is_paused(instance):
            paused = NotRun("the server wants no request now", was_sent=False)
            return self._log(request, instance, paused, started_s)
        is_prefill = step is not None and step.is_prefill
        send_step = SendStep.PREFILL if is_prefill else SendStep.RUN
        if not self._gate.admits(work, send_step):
            unpaid = NotRun("the retry budget has no send left", was_sent=False)
            return self._log(request, instance, unpaid, started_s)
        options = work.options(instance.instance, step, last_event_id)
        headers = self._dialect.send_headers(request, options)
        try:
            connection = await self._pool.take(instance, CONNECT_S, fresh=fresh)
        except NotSent as error:
            self._note_unreachable(instance, str(error))
            failed = NotRun(str(error), was_sent=False)
            return self._log(request, instance, failed, started_s)
        is_open = False
        outcome: Outcome
        try:
            async with asyncio.timeout(answer_s):
                await connection.send(
                    request.method, request.target, headers, work.body
                )
            head = await _head_until(connection, started_s + answer_s)
            outcome = self._judge(request, instance, connection, head, is_prefill)
            is_open = isinstance(outcome, OpenReply)
        except TimeoutError:
            outcome = Unknown(f"no answer in {answer_s:.3f} s", timed_out=True)
            self._pool.drop(instance)
        except NotSent as error:
            outcome = NotRun(str(error), was_sent=False)
        except ConnectionBroken as error:
            outcome = Unknown(str(error))
        finally:
            if not is_open:
                connection.close()
        was_refused = isinstance(outcome, NotRun)
        if not isinstance(outcome, NotRun) or outcome.was_sent:
            work.account.record_arrival(send_step, was_refused=was_refused)
        if isinstance(outcome, Unknown):
            self.note_answer(instance, good=False, reason=outcome.reason)
        return self._log(request, instance, outcome, started_s)

    def note_answer(
        self, instance: BackendInstance, *, good: bool, reason: str
    ) -> None:
        """Note whether an answer was good, for the choice of servers."""
        now_s = asyncio.get_running_loop().time()
        was_avoided = self._registry.is_avoided(instance.instance, now_s)
        avoided_s = self._registry.record_response(instance.instance, now_s, good=good)
        if avoided_s:
            self._log_avoided(instance, reason, avoided_s)
        elif good and was_avoided:
            log_event(
                logger, EventNumber.INSTANCE_USED_AGAIN, instance=instance.instance
            )

    def note_run(
        self, instance: BackendInstance, fingerprint: str, *, is_whole: bool
    ) -> None:
        """Note that a server ran a request to its end, or broke off on the way."""
        now_s = asyncio.get_running_loop().time()
        if is_whole:
            self._crashes.record_response(fingerprint, now_s)
        else:
            self._crashes.record_interrupted_run(fingerprint, instance.start, now_s)

    async def call_engine(
        self,
        instance: BackendInstance,
        call: EngineCall,
        accepts: Callable[[bytes], bool] = lambda _: True,
    ) -> Result[bytes, str]:
        """
        Call an engine for no caller's request.

        Parameters
        ----------
        instance : BackendInstance
            The engine.
        call : EngineCall
            What to call.
        accepts : callable
            Tells whether a body answers this call. Answers to such calls carry no
            request id, so that a late copy of an earlier one shows only by its body;
            its connection is not used again.

        Returns
        -------
        Result[bytes, str]
            The body of the answer with status 200, or what went wrong.
        """
        if self._is_paused(instance):
            return Err("the server wants no request now")
        headers: Headers = [
            (b"host", instance.address.encode()),
            (b"content-type", b"application/json"),
        ]
        try:
            async with asyncio.timeout(ENGINE_CALL_S):
                connection = await self._pool.take(instance, CONNECT_S)
                is_sound = False
                try:
                    await connection.send(call.method, call.target, headers, call.body)
                    head = await connection.head()
                    body = await connection.whole_body(ENGINE_CALL_BYTES)
                    facts = self._dialect.reply_facts(head)
                    is_sound = not facts.request_id and (
                        head.status != 200 or accepts(body)
                    )
                finally:
                    if is_sound:
                        self._pool.give_back(instance, connection)
                    else:
                        connection.close()
        except NotSent as error:
            self._note_unreachable(instance, str(error))
            return Err(str(error))
        except TimeoutError:
            return Err(f"no answer in {ENGINE_CALL_S:g} s")
        except ConnectionBroken as error:
            return Err(str(error))
        if not is_sound:
            return Err("the answer belongs to another call")
        self._heed(instance, facts)
        if head.status != 200:
            return Err(f"status {head.status}")
        return Ok(body)

    def call_later(self, instance: BackendInstance, call: EngineCall) -> None:
        """Call an engine to free what no request uses; nobody waits for it."""
        task = asyncio.ensure_future(self._call_unwatched(instance, call))
        self._unwatched.add(task)
        task.add_done_callback(self._unwatched.discard)

    async def _call_unwatched(
        self, instance: BackendInstance, call: EngineCall
    ) -> None:
        called = await self.call_engine(instance, call)
        if isinstance(called, Err):
            # The engine frees the memory by itself when its time is over.
            log_event(
                logger,
                EventNumber.SEND_FAILED,
                request_id="",
                instance=instance.instance,
                outcome=call.method,
                reason=called.err_value,
                elapsed_ms=0,
            )

    def _judge(
        self,
        request: CallerRequest,
        instance: BackendInstance,
        connection: BackendConnection,
        head: ReplyHead,
        is_prefill: bool,
    ) -> Outcome:
        facts = self._dialect.reply_facts(head)
        if facts.request_id and facts.request_id != request.request_id:
            return Unknown("the answer belongs to another request")
        self._heed(instance, facts)
        if facts.is_other_instance:
            self._note_unreachable(instance, "another instance has the address")
            return NotRun("another instance has the address")
        if facts.did_not_run:
            source = "" if facts.request_id else " and no request id"
            return NotRun(
                f"refused with status {head.status}{source}",
                is_full=head.status in (429, 503),
            )
        if head.status < 300 and not (facts.is_signed or is_prefill):
            return Unknown(f"status {head.status} without a signature")
        return OpenReply(instance, connection, self._pool, head, facts)

    def _is_paused(self, instance: BackendInstance) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._registry.notices.remaining_pause_s(instance.instance, now_s) > 0

    def _heed(self, instance: BackendInstance, facts: ReplyFacts) -> None:
        """Take over what a server asks of this host."""
        notices, name = self._registry.notices, instance.instance
        if facts.is_leaving and notices.record_leaving(instance):
            self._pool.drop(instance)
            log_event(logger, EventNumber.BACKEND_SERVER_LEAVING, backend_server=name)
        if facts.pause_s:
            now_s = asyncio.get_running_loop().time()
            notices.record_pause(name, now_s + facts.pause_s)
            pause_ms = round(facts.pause_s * 1000)
            log_event(
                logger, EventNumber.INSTANCE_PAUSED, instance=name, pause_ms=pause_ms
            )

    def _note_unreachable(self, instance: BackendInstance, reason: str) -> None:
        now_s = asyncio.get_running_loop().time()
        avoided_s = self._registry.record_unreachable(instance.instance, now_s)
        self._crashes.record_lost_server(instance.start, now_s)
        self._pool.drop(instance)
        self._log_avoided(instance, reason, avoided_s)

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

    def _log(
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


async def _head_until(connection: BackendConnection, deadline_s: float) -> ReplyHead:
    """Return the head of the answer; raises `TimeoutError` if it has not arrived."""
    try:
        async with asyncio.timeout_at(deadline_s):
            return await connection.head()
    except TimeoutError:
        if not connection.has_unread:
            raise
    async with asyncio.timeout(LATE_READ_S):
        return await connection.head()
