"""Forwards generations: prefill, then a decode whose events go to the caller."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from damaskridge.adapters.gateway.answers import CallerAnswer
from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.decode_room import DecodeRoom, RoomSearch
from damaskridge.adapters.gateway.dialect import Dialect, EngineStep
from damaskridge.adapters.gateway.generation import Generation
from damaskridge.adapters.gateway.prefills import Prefills
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import (
    NotRun,
    OpenReply,
    Outcome,
    Sender,
    Unknown,
)
from damaskridge.adapters.gateway.work import GatewayWork
from damaskridge.core.gateway.event_stream import EventSplitter, EventTooLong
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.core.gateway.send_policy import Fail, Retry
from damaskridge.model.control import InstanceLoad
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["StreamForwarder"]

ANSWER_LIMIT_BYTES = 4_194_304
# Decode engines that may refuse a request with one exported KV cache.
MOST_HANDLE_REFUSALS = 2
# The caller gives up after two seconds without an event at the earliest.
SILENCE_S = 1.2
# Before the first event a request may wait in the engine's queue.
FIRST_EVENT_S = 2.5
# A timer that is due by more has waited for this process, which stood still.
LATE_TIMER_S = 0.1


class _Silent(Exception):
    """The engine has sent nothing for too long."""


class StreamForwarder:
    """
    Runs generations on separate prefill and decode engines.

    Parameters
    ----------
    dialect : Dialect
        Encodes the calls to engines.
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Shared by all forwarders of the host.
    data_centre : str
        Where this host stands.
    gate : RetryGate
        Admits sends against the retry budget.
    refusals : RetryAfterTimes
        When refused callers may come back.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        sender: Sender,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
        gate: RetryGate,
        refusals: RetryAfterTimes,
    ) -> None:
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._gate = gate
        self._refusals = refusals
        engines: dict[str, Any] = {
            "dialect": dialect,
            "sender": sender,
            "registry": registry,
            "load": load,
            "data_centre": data_centre,
        }
        self._room = DecodeRoom(**engines)
        self._prefills = Prefills(gate=gate, **engines)

    async def forward(self, work: GatewayWork, answer: CallerAnswer) -> None:
        """Answer the caller with the engine's events, or with a failure."""
        run = Generation(work, answer)
        try:
            search = await self._room.find(run)
            if search is not RoomSearch.DONE:
                full = search is RoomSearch.FULL
                await answer.refuse(self._full(work) if full else self._unserved(work))
                return
            run.handle = await self._prefills.read(run)
            while not answer.is_complete:
                await self._decode(run)
                if run.has_events and not answer.is_complete:
                    await self._prepare_again(run)
        finally:
            self._prefills.release(run)
            self._room.cancel(run)

    async def _prepare_again(self, run: Generation) -> None:
        """
        Find room for a run that goes on elsewhere, and have its prompt read.

        A decode engine would hold up its other streams while it reads, and would have
        to preempt one of them without room. If there is none, it is tried all the same.
        """
        await self._room.find(run)
        if run.reservation is not None:
            run.handle = await self._prefills.read(run)

    async def _decode(self, run: Generation) -> None:
        """Run the generation on one decode engine."""
        work = run.work
        if not self._gate.admits(work, SendStep.RUN):
            decision = work.policy.after_not_run(left_s=work.left_s, may_retry=False)
            await self._give_up(run, decision, "the retry budget has no send left")
            return
        instance, candidates = self._choose(run)
        if instance is None:
            await self._fail(run, self._unserved(work))
            return
        handle = run.handle
        if handle is not None and work.now_s > handle.usable_until_s:
            self._prefills.release(run)
        name = instance.instance
        run.tried.add(name)
        work.policy.record_send()
        run.answer.attempts = work.policy.sends
        run.log_sent(
            name,
            "decode",
            load=self._load.total(name),
            candidates=candidates,
            list_seen_s=self._registry.confirmed_s,
        )
        self._load.start(work.request.request_id, name, self._load_of(run))
        try:
            outcome = await self._send(run, instance)
            if isinstance(outcome, OpenReply):
                run.handle = None
                try:
                    await self._relay(run, outcome)
                finally:
                    outcome.close()
                return
        finally:
            self._load.finish(work.request.request_id, name)
        if isinstance(outcome, Unknown):
            self._sender.note_run(instance, work.fingerprint, is_whole=False)
        await self._after_failed_send(run, outcome)
        self._note_handle(run, outcome)

    def _load_of(self, run: Generation) -> InstanceLoad:
        work = run.work
        return InstanceLoad(
            requests=1,
            prompt_tokens=0 if run.handle is not None else work.request.prompt_tokens,
            memory_tokens=work.memory_tokens,
        )

    def _note_handle(self, run: Generation, outcome: NotRun | Unknown) -> None:
        """Keep the handle after a refusal, as long as it may be good."""
        if isinstance(outcome, Unknown):
            # The engine may have imported the cache, and a handle serves once.
            run.handle = None
            return
        run.handle_refusals += 1
        if run.handle_refusals >= MOST_HANDLE_REFUSALS:
            # A refusal does not say whether the engine is full or the handle is gone.
            self._prefills.release(run)

    def _choose(self, run: Generation) -> tuple[BackendInstance | None, int]:
        now_s = run.work.now_s
        reservation = run.reservation
        if reservation is not None:
            name = reservation.instance.instance
            paused = self._registry.notices.remaining_pause_s(name, now_s) > 0
            if now_s < reservation.usable_until_s and not paused:
                return reservation.instance, 1
            self._room.cancel(run)
        service, stage = run.work.service.name, EngineStage.DECODE
        candidates = self._registry.candidates(
            service, now_s, stage, frozenset(run.tried)
        )
        candidates = candidates or self._registry.candidates(service, now_s, stage)
        if not candidates:
            return None, 0
        chosen = self._load.least_memory_used(candidates, self._data_centre)
        return chosen, len(candidates)

    async def _send(self, run: Generation, instance: BackendInstance) -> Outcome:
        work, handle = run.work, run.handle
        reservation, run.reservation = run.reservation, None
        step = EngineStep(
            source_address=handle.instance.address if handle is not None else "",
            source_handle=handle.name if handle is not None else "",
            reservation=reservation.name if reservation is not None else "",
            priority=work.priority,
        )
        answer_s = max(0.0, work.timeout_s)
        if work.policy.may_run_again:
            answer_s = min(answer_s, FIRST_EVENT_S)
        return await self._sender.send(
            instance,
            work,
            step,
            last_event_id=run.last_event_id,
            answer_s=answer_s,
            # A late copy of an earlier refusal would pass for this one's.
            fresh=not work.policy.is_repeatable,
        )

    async def _after_failed_send(
        self, run: Generation, outcome: NotRun | Unknown
    ) -> None:
        work = run.work
        decision: Retry | Fail
        if isinstance(outcome, NotRun):
            may_retry = self._gate.admits(work, SendStep.RUN)
            decision = work.policy.after_not_run(
                left_s=work.left_s, may_retry=may_retry
            )
        else:
            decision = work.policy.after_unknown(
                left_s=work.left_s,
                may_retry=work.policy.may_run_again
                and self._gate.admits(work, SendStep.RUN),
                timed_out=outcome.timed_out,
            )
        await self._give_up(run, decision, outcome.reason)

    async def _give_up(
        self, run: Generation, decision: Retry | Fail, reason: str
    ) -> None:
        """Answer the caller if no engine is to be tried again."""
        if not isinstance(decision, Fail):
            return
        retry_after_s = None
        if decision.run_state is RunState.NOT_RUN:
            retry_after_s = self._refusals.engine_full_s(run.work.left_s)
        await self._fail(run, decision.failure(reason, retry_after_s))

    async def _relay(self, run: Generation, reply: OpenReply) -> None:
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
            fingerprint = run.work.fingerprint
            self._sender.note_run(reply.instance, fingerprint, is_whole=True)
            await run.answer.end_stream()

    async def _relay_events(self, run: Generation, reply: OpenReply) -> None:
        splitter = EventSplitter()
        run.progress_s = run.work.now_s
        async for chunk in self._watched(run, reply):
            try:
                events = splitter.feed(chunk)
            except EventTooLong as error:
                raise ConnectionBroken(str(error)) from error
            ready = b"".join(
                event.data for event in events if run.is_new(event.event_id)
            )
            if ready:
                if not run.answer.has_started:
                    self._note_read(run, reply.instance)
                await run.write(reply, ready)
        # Only the end of the body tells that what is left is whole.
        if splitter.rest or not run.answer.has_started:
            await run.write(reply, splitter.rest)

    def _note_read(self, run: Generation, instance: BackendInstance) -> None:
        """Count no prompt tokens on an engine that has begun to answer."""
        request = run.work.request
        load = InstanceLoad(1, memory_tokens=run.work.memory_tokens)
        self._load.start(request.request_id, instance.instance, load)

    async def _watched(self, run: Generation, reply: OpenReply) -> AsyncIterator[bytes]:
        """
        Yield the body; raises `_Silent` where another engine could go on.

        Only whole events count as progress: an engine that stalls may still send a
        byte now and then.
        """
        chunks = reply.chunks()
        while True:
            deadline_s: float | None = None
            if run.work.policy.may_run_again:
                limit_s = SILENCE_S if run.answer.has_started else FIRST_EVENT_S
                deadline_s = run.progress_s + limit_s
            try:
                async with asyncio.timeout_at(deadline_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError:
                was_paused = run.work.now_s > (deadline_s or 0.0) + LATE_TIMER_S
                if not (was_paused and reply.has_unread):
                    raise _Silent from None
                # This process stood still, not the engine.
                run.progress_s = run.work.now_s
                chunks = reply.chunks()
                continue
            yield chunk

    async def _pass_on_failure(self, run: Generation, reply: OpenReply) -> None:
        work = run.work
        try:
            body = await reply.whole(ANSWER_LIMIT_BYTES)
        except ConnectionBroken as error:
            await self._continue(run, Unknown(str(error)), reply.instance)
            return
        reason = f"status {reply.head.status}"
        good = reply.head.status < 500
        self._sender.note_answer(reply.instance, good=good, reason=reason)
        if not good:
            may_retry = work.policy.may_run_again and self._gate.admits(
                work, SendStep.RUN
            )
            if work.policy.after_failure(left_s=work.left_s, may_retry=may_retry):
                return
        if run.answer.has_started:
            await self._fail(run, Failure(ErrorKind.BACKEND_SERVER_FAILED, reason))
        else:
            await run.answer.pass_on(reply.head, reply.facts, body)

    async def _continue(
        self, run: Generation, outcome: Unknown, instance: BackendInstance
    ) -> None:
        run.log_failed(instance.instance, "stream", outcome.reason)
        self._sender.note_run(instance, run.work.fingerprint, is_whole=False)
        await self._after_failed_send(run, outcome)

    async def _fail(self, run: Generation, failure: Failure) -> None:
        if run.answer.has_started:
            run.answer.break_off(failure)
        else:
            await run.answer.refuse(failure)

    def _full(self, work: GatewayWork) -> Failure:
        return Failure(
            ErrorKind.OVERLOADED,
            "no decode engine has room",
            retry_after_s=self._refusals.engine_full_s(work.left_s),
        )

    def _unserved(self, work: GatewayWork) -> Failure:
        kind = ErrorKind.NO_BACKEND_SERVER
        if work.policy.runs:
            kind = ErrorKind.BACKEND_SERVER_FAILED
        service = work.service.name
        detail = f"no decode engine for {service}"
        retry_after_s = self._refusals.no_server_s(work.left_s)
        pause_s = self._registry.pause_s(service, work.now_s, EngineStage.DECODE)
        if pause_s:
            detail = f"every decode engine for {service} wants no request now"
            retry_after_s = self._refusals.paused_s(pause_s)
        return Failure(kind, detail, retry_after_s=retry_after_s)
