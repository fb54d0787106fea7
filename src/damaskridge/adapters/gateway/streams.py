"""Forwards generations: prefill, then a decode whose events go to the caller."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from damaskridge.adapters.gateway.answers import CallerAnswer
from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.dialect import Dialect, EngineStep
from damaskridge.adapters.gateway.sender import (
    NotRun,
    OpenReply,
    Outcome,
    Sender,
    Unknown,
)
from damaskridge.adapters.gateway.work import GatewayWork
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.event_stream import EventSplitter
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load import LoadBook
from damaskridge.core.gateway.prompt_reading import ReadingSpeed
from damaskridge.core.gateway.refusals import RefusalTimes
from damaskridge.core.gateway.send_policy import GiveUp, Resend
from damaskridge.model.control import InstanceLoad
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["StreamForwarder"]

logger = logging.getLogger(__name__)

ANSWER_LIMIT_BYTES = 4_194_304
# An engine that has read nothing by then is better left: a decode engine reads the
# prompt by itself in less.
PREFILL_S = 1.2
# Engines export to one other engine; a third try would be late in any case.
MOST_PREFILLS = 2
MOST_HANDLE_REFUSALS = 2
# Engines that are asked for room for one request; more would multiply an overload.
MOST_RESERVATIONS = 4
# A request that gets room later than this is late in any case, and it would take the
# room from one that can still be on time.
ROOM_WAIT_OBJECTIVES = 0.5
ROOM_PAUSE_S = 0.05
# What an engine answers that has no room.
FULL = "status 503"
RESERVATION_USE_SHARE = 0.9
# An exported KV cache that is older may lapse before it is imported.
HANDLE_USE_SHARE = 0.7
# The caller gives up after two seconds without an event at the earliest.
SILENCE_S = 1.2
# Before the first event a request may wait in the engine's queue.
FIRST_EVENT_S = 2.5


class _Silent(Exception):
    """The engine has sent nothing for too long."""


@dataclass(frozen=True, slots=True)
class _Handle:
    """A KV cache that waits on an engine, and until when it may be used."""

    instance: BackendInstance
    handle: str
    usable_until_s: float


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Room on a decode engine, and until when it may be used."""

    instance: BackendInstance
    name: str
    usable_until_s: float


class StreamForwarder:
    """
    Runs generations on separate prefill and decode engines.

    Parameters
    ----------
    dialect : Dialect
        Decodes the answers to prefills.
    sender, registry, load : Sender, InstanceRegistry, LoadBook
        Shared by all forwarders of the host.
    data_centre : str
        Where this host stands.
    may_resend : callable
        Takes one additional send to a service from the retry budget.
    refusals : RefusalTimes
        When refused callers may come back.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        sender: Sender,
        registry: InstanceRegistry,
        load: LoadBook,
        data_centre: str,
        may_resend: Callable[[GatewayWork], bool],
        refusals: RefusalTimes,
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._may_resend = may_resend
        self._refusals = refusals
        self._speed = ReadingSpeed()

    async def forward(self, work: GatewayWork, answer: CallerAnswer) -> None:
        """Answer the caller with the engine's events, or with a failure."""
        run = _StreamRun(work, answer)
        handle: _Handle | None = None
        try:
            if not await self._find_room(run):
                return
            handle = await self._prefill(run)
            while not answer.is_complete:
                handle = await self._decode(run, handle)
        finally:
            if handle is not None:
                self._release(handle)
            self._cancel(run)

    async def _find_room(self, run: "_StreamRun") -> bool:
        """
        Reserve decode room before the prompt is read; `False` if it was refused.

        A prompt that is read for an engine without room is read in vain.
        """
        work = run.work
        engine = work.service.engine
        if engine is None or engine.reservation_s <= 0:
            return True
        wait_s = ROOM_WAIT_OBJECTIVES * work.route.objective_ms / 1000
        while True:
            asked = await self._reserve(run, engine.reservation_s)
            run.has_asked = True
            if run.reservation is not None or not asked:
                return True
            if work.elapsed_s + ROOM_PAUSE_S > wait_s or work.left_s <= 0:
                break
            await asyncio.sleep(ROOM_PAUSE_S)
        failure = Failure(
            ErrorKind.OVERLOADED,
            "no decode engine has room",
            retry_after_s=self._refusals.engine_full_s(work.left_s),
        )
        await run.answer.refuse(failure)
        return False

    async def _reserve(self, run: "_StreamRun", duration_s: float) -> int:
        """Ask engines for room; returns how many said that they have none."""
        work = run.work
        tokens = work.memory_tokens
        tried: set[str] = set()
        full = 0
        while True:
            now_s = asyncio.get_running_loop().time()
            candidates = self._registry.candidates(
                work.service.name, now_s, EngineStage.DECODE, frozenset(tried)
            )
            if not candidates or len(tried) >= MOST_RESERVATIONS:
                return full
            instance = self._load.most_memory(candidates, self._data_centre)
            name = instance.instance
            tried.add(name)
            load = InstanceLoad(1, memory_tokens=tokens)
            self._load.start(work.request.request_id, name, load)
            call = self._dialect.reserve(tokens, duration_s)
            called = await self._sender.call_engine(instance, call)
            reserved = called.and_then(self._dialect.reservation_reply)
            if reserved.is_ok():
                self._log_sent(work, name, "reserve", len(candidates))
                usable_until_s = now_s + RESERVATION_USE_SHARE * duration_s
                run.reservation = _Reservation(
                    instance, reserved.unwrap(), usable_until_s
                )
                return full
            self._load.finish(work.request.request_id, name)
            full += called.is_err() and called.unwrap_err() == FULL
            if run.has_asked:
                # A request asks many times; the refusal names the end of it.
                continue
            log_event(
                logger,
                EventNumber.SEND_FAILED,
                request_id=work.request.request_id,
                instance=name,
                outcome="reserve",
                reason=reserved.unwrap_err(),
                elapsed_ms=round(work.elapsed_s * 1000),
            )

    def _release(self, handle: _Handle) -> None:
        call = self._dialect.release_handle(handle.handle)
        self._sender.call_later(handle.instance, call)

    def _cancel(self, run: "_StreamRun") -> None:
        reservation, run.reservation = run.reservation, None
        if reservation is not None:
            instance = reservation.instance
            self._load.finish(run.work.request.request_id, instance.instance)
            call = self._dialect.cancel_reservation(reservation.name)
            self._sender.call_later(instance, call)

    async def _prefill(self, run: "_StreamRun") -> _Handle | None:
        """Read the prompt; None if a decode engine has to read it."""
        work = run.work
        tried: set[str] = set()
        for number in range(MOST_PREFILLS):
            now_s = asyncio.get_running_loop().time()
            candidates = self._registry.candidates(
                work.service.name, now_s, EngineStage.PREFILL, frozenset(tried)
            )
            if not candidates or work.left_s <= 0:
                return None
            if number and not self._may_resend(work):
                return None
            instance = self._load.shortest_prefill(candidates, self._data_centre)
            if self._decode_reads(run, instance):
                return None
            tried.add(instance.instance)
            handle = await self._prefill_on(instance, work, len(candidates))
            if handle is not None:
                return handle
        return None

    def _decode_reads(self, run: "_StreamRun", prefill: BackendInstance) -> bool:
        """Tell whether the reserved decode engine has the prompt read sooner."""
        if run.reservation is None:
            return False
        decode = run.reservation.instance.instance
        return self._speed.prefers_decode(
            prompt_tokens=run.work.request.prompt_tokens,
            prefill_pending=self._load.total(prefill.instance).prompt_tokens,
            decode_pending=self._load.total(decode).prompt_tokens,
        )

    async def _prefill_on(
        self, instance: BackendInstance, work: GatewayWork, candidates: int
    ) -> _Handle | None:
        request, name = work.request, instance.instance
        self._log_sent(work, name, "prefill", candidates)
        step = EngineStep(is_prefill=True, priority=work.priority)
        tokens = request.prompt_tokens + self._load.total(name).prompt_tokens
        started_s = asyncio.get_running_loop().time()
        self._load.start(
            request.request_id, name, InstanceLoad(prompt_tokens=request.prompt_tokens)
        )
        try:
            outcome = await self._sender.send(
                instance,
                request,
                work.body,
                work.options(name, step),
                answer_s=min(PREFILL_S, max(0.0, work.left_s)),
            )
            if not isinstance(outcome, OpenReply):
                if isinstance(outcome, Unknown) or outcome.was_sent:
                    work.arrivals += 1
                return None
            handle = await self._handle_of(outcome, work)
            if handle is not None:
                now_s = asyncio.get_running_loop().time()
                self._speed.observe(tokens, now_s - started_s)
            return handle
        finally:
            self._load.finish(request.request_id, name)

    async def _handle_of(self, reply: OpenReply, work: GatewayWork) -> _Handle | None:
        reason = f"status {reply.head.status}"
        try:
            body = await reply.whole(ANSWER_LIMIT_BYTES)
        except ConnectionBroken as error:
            reason = str(error)
            body = b""
        finally:
            reply.close()
        if reply.head.status == 200 and body:
            decoded = self._dialect.handle_reply(body)
            if decoded.is_ok():
                self._sender.note_answer(reply.instance, good=True, reason="")
                engine = work.service.engine
                kept_s = engine.handle_s if engine is not None else 0.0
                now_s = asyncio.get_running_loop().time()
                return _Handle(
                    reply.instance,
                    decoded.unwrap().handle,
                    now_s + HANDLE_USE_SHARE * kept_s,
                )
            reason = decoded.unwrap_err()
        self._sender.note_answer(reply.instance, good=False, reason=reason)
        log_event(
            logger,
            EventNumber.SEND_FAILED,
            request_id=work.request.request_id,
            instance=reply.instance.instance,
            outcome="prefill",
            reason=reason,
            elapsed_ms=round(work.elapsed_s * 1000),
        )
        return None

    async def _decode(
        self, run: "_StreamRun", handle: _Handle | None
    ) -> _Handle | None:
        """Run the generation once; returns the handle if it is still unused."""
        work, answer = run.work, run.answer
        now_s = asyncio.get_running_loop().time()
        instance, candidates = self._choose(run, now_s)
        if instance is None:
            await self._fail(run, self._unserved(work))
            return handle
        if handle is not None and (now_s > handle.usable_until_s or run.has_events):
            self._release(handle)
            handle = None
        name = instance.instance
        run.tried.add(name)
        work.policy.sent()
        answer.attempts = work.policy.sends
        self._log_sent(work, name, "decode", candidates)
        request = work.request
        load = InstanceLoad(
            requests=1,
            prompt_tokens=0 if handle is not None else request.prompt_tokens,
            memory_tokens=work.memory_tokens,
        )
        self._load.start(request.request_id, name, load)
        try:
            outcome = await self._send(run, instance, handle)
            if isinstance(outcome, OpenReply):
                try:
                    await self._relay(run, outcome)
                finally:
                    outcome.close()
                return None
        finally:
            self._load.finish(work.request.request_id, name)
        await self._after_failed_send(run, outcome)
        if handle is None or isinstance(outcome, Unknown):
            return None
        run.handle_refusals += 1
        if run.handle_refusals < MOST_HANDLE_REFUSALS:
            return handle
        # The refusals do not say whether the engine is full or the handle is gone.
        self._release(handle)
        return None

    def _choose(
        self, run: "_StreamRun", now_s: float
    ) -> tuple[BackendInstance | None, int]:
        reservation = run.reservation
        if reservation is not None:
            if now_s < reservation.usable_until_s:
                return reservation.instance, 1
            self._cancel(run)
        service, stage = run.work.service.name, EngineStage.DECODE
        candidates = self._registry.candidates(
            service, now_s, stage, frozenset(run.tried)
        )
        candidates = candidates or self._registry.candidates(service, now_s, stage)
        if not candidates:
            return None, 0
        chosen = self._load.most_memory(candidates, self._data_centre)
        return chosen, len(candidates)

    async def _send(
        self, run: "_StreamRun", instance: BackendInstance, handle: _Handle | None
    ) -> Outcome:
        work = run.work
        reservation, run.reservation = run.reservation, None
        step = EngineStep(
            source_address=handle.instance.address if handle is not None else "",
            source_handle=handle.handle if handle is not None else "",
            reservation=reservation.name if reservation is not None else "",
            priority=work.priority,
        )
        answer_s = max(0.0, work.timeout_s)
        if work.policy.has_another_run:
            answer_s = min(answer_s, FIRST_EVENT_S)
        return await self._sender.send(
            instance,
            work.request,
            work.body,
            work.options(instance.instance, step, run.last_event_id),
            answer_s=answer_s,
            # A reservation has just shown that its connection is not silent.
            fresh=not work.policy.may_repeat and reservation is None,
        )

    async def _after_failed_send(
        self, run: "_StreamRun", outcome: NotRun | Unknown
    ) -> None:
        work = run.work
        decision: Resend | GiveUp
        if not isinstance(outcome, NotRun) or outcome.was_sent:
            work.arrivals += 1
        if isinstance(outcome, NotRun):
            may_resend = self._may_resend(work)
            decision = work.policy.not_run(left_s=work.left_s, may_resend=may_resend)
        else:
            decision = work.policy.unknown(
                left_s=work.left_s,
                may_resend=work.policy.has_another_run and self._may_resend(work),
                timed_out=outcome.timed_out,
            )
        if isinstance(decision, GiveUp):
            retry_after_s = None
            if decision.run_state is RunState.NOT_RUN:
                retry_after_s = self._refusals.engine_full_s(work.left_s)
            await self._fail(run, decision.failure(outcome.reason, retry_after_s))

    async def _relay(self, run: "_StreamRun", reply: OpenReply) -> None:
        """Pass events on; after a break the stream may go on elsewhere."""
        if reply.head.status != 200:
            await self._pass_on_failure(run, reply)
            return
        try:
            await self._relay_events(run, reply)
        except ConnectionBroken as error:
            self._sender.note_answer(reply.instance, good=False, reason=str(error))
            await self._continue(run, Unknown(str(error)), reply.instance)
        except _Silent:
            reply.close()
            reason = "no event for too long"
            self._sender.note_answer(reply.instance, good=False, reason=reason)
            await self._continue(run, Unknown(reason, timed_out=True), reply.instance)
        else:
            self._sender.note_answer(reply.instance, good=True, reason="")
            await run.answer.end_stream()

    async def _relay_events(self, run: "_StreamRun", reply: OpenReply) -> None:
        splitter = EventSplitter()
        async for chunk in self._watched(run, reply):
            ready = b"".join(
                event.data
                for event in splitter.feed(chunk)
                if run.is_new(event.event_id)
            )
            if ready:
                if not run.answer.has_started:
                    self._note_read(run, reply.instance)
                await run.write(reply, ready)
        # Only the end of the body tells that what is left is whole.
        if splitter.rest or not run.answer.has_started:
            await run.write(reply, splitter.rest)

    def _note_read(self, run: "_StreamRun", instance: BackendInstance) -> None:
        """Count no prompt tokens on an engine that has begun to answer."""
        request = run.work.request
        load = InstanceLoad(1, memory_tokens=run.work.memory_tokens)
        self._load.start(request.request_id, instance.instance, load)

    async def _watched(
        self, run: "_StreamRun", reply: OpenReply
    ) -> AsyncIterator[bytes]:
        """Yield the body; raises `_Silent` where another engine could go on."""
        chunks = reply.chunks()
        while True:
            limit_s: float | None = None
            if run.work.policy.has_another_run:
                limit_s = SILENCE_S if run.answer.has_started else FIRST_EVENT_S
            try:
                async with asyncio.timeout(limit_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise _Silent from None
            yield chunk

    async def _pass_on_failure(self, run: "_StreamRun", reply: OpenReply) -> None:
        work = run.work
        try:
            body = await reply.whole(ANSWER_LIMIT_BYTES)
        except ConnectionBroken as error:
            await self._continue(run, Unknown(str(error)), reply.instance)
            return
        reason = f"status {reply.head.status}"
        good = reply.head.status < 500
        self._sender.note_answer(reply.instance, good=good, reason=reason)
        work.arrivals += 1
        if not good:
            may_resend = work.policy.has_another_run and self._may_resend(work)
            if work.policy.failed(left_s=work.left_s, may_resend=may_resend):
                return
        if run.answer.has_started:
            await self._fail(run, Failure(ErrorKind.BACKEND_SERVER_FAILED, reason))
        else:
            await run.answer.pass_on(reply.head, reply.facts, body)

    async def _continue(
        self, run: "_StreamRun", outcome: Unknown, instance: BackendInstance
    ) -> None:
        log_event(
            logger,
            EventNumber.SEND_FAILED,
            request_id=run.work.request.request_id,
            instance=instance.instance,
            outcome="stream",
            reason=outcome.reason,
            elapsed_ms=round(run.work.elapsed_s * 1000),
        )
        await self._after_failed_send(run, outcome)

    async def _fail(self, run: "_StreamRun", failure: Failure) -> None:
        if run.answer.has_started:
            run.answer.break_off(failure)
        else:
            await run.answer.refuse(failure)

    def _unserved(self, work: GatewayWork) -> Failure:
        kind = ErrorKind.NO_BACKEND_SERVER
        if work.policy.runs:
            kind = ErrorKind.BACKEND_SERVER_FAILED
        detail = f"no decode engine for {work.service.name}"
        retry_after_s = self._refusals.no_server_s(work.left_s)
        return Failure(kind, detail, retry_after_s=retry_after_s)

    def _log_sent(
        self, work: GatewayWork, instance: str, step: str, candidates: int
    ) -> None:
        load = self._load.total(instance)
        log_event(
            logger,
            EventNumber.REQUEST_SENT,
            request_id=work.request.request_id,
            instance=instance,
            step=step,
            attempt=work.policy.sends,
            load=load.prompt_tokens if step == "prefill" else load.memory_tokens,
            candidates=candidates,
            list_age_ms=round((work.now_s - self._registry.seen_s) * 1000),
        )


class _StreamRun:
    """What one stream has been through."""

    def __init__(self, work: GatewayWork, answer: CallerAnswer) -> None:
        self.work = work
        self.answer = answer
        self.tried: set[str] = set()
        self.handle_refusals = 0
        self.has_asked = False
        self.reservation: _Reservation | None = None
        self.has_events = False
        # The caller's own position counts until an event has been passed on.
        self.last_event_id = work.request.last_event_id

    def is_new(self, event_id: int | None) -> bool:
        """Tell whether the caller lacks an event, and note that it gets it."""
        self.has_events = True
        if event_id is None:
            return True
        if self.last_event_id is not None and event_id <= self.last_event_id:
            return False
        self.last_event_id = event_id
        return True

    async def write(self, reply: OpenReply, data: bytes) -> None:
        """Pass data on, after the head of the first engine that sent some."""
        if not self.answer.has_started:
            await self.answer.start_stream(reply.head)
        await self.answer.write(data)
