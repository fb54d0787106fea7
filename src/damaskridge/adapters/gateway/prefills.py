"""Has prompts read by prefill engines."""

import asyncio

from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.dialect import Dialect, EngineStep
from damaskridge.adapters.gateway.generation import Generation, Handle
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import OpenReply, Sender, Unknown
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.core.gateway.prefill_choice import EventPace, PrefillEstimator
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.control import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["Prefills"]

ANSWER_LIMIT_BYTES = 1_048_576
# An engine that has read nothing by then is better left: a decode engine reads the
# prompt by itself in less.
PREFILL_S = 1.2
# A third try would be late in any case.
MOST_PREFILLS = 2
# An exported KV cache that is older may lapse before it is imported.
HANDLE_USE_SHARE = 0.7


class Prefills:
    """
    Reads prompts for decode engines.

    Parameters
    ----------
    dialect : Dialect
        Decodes the answers.
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Shared by all forwarders of the host.
    data_centre : str
        Where this host stands.
    gate : RetryGate
        Admits sends against the retry budget.
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
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._gate = gate
        self._speed = PrefillEstimator()

    def release(self, run: Generation) -> None:
        """Free a KV cache that will not be imported."""
        handle, run.handle = run.handle, None
        if handle is not None:
            call = self._dialect.release_handle(handle.name)
            self._sender.call_later(handle.instance, call)

    async def read(self, run: Generation) -> Handle | None:
        """Read the prompt; None if a decode engine has to read it."""
        work = run.work
        tried: set[str] = set()
        for _ in range(MOST_PREFILLS):
            now_s = run.work.now_s
            candidates = self._registry.candidates(
                work.service.name, now_s, EngineStage.PREFILL, frozenset(tried)
            )
            if not candidates or work.left_s <= 0:
                return None
            if not self._gate.admits(work, SendStep.PREFILL):
                return None
            instance = self._load.shortest_prefill_queue(candidates, self._data_centre)
            if self._decode_reads(run, instance):
                return None
            tried.add(instance.instance)
            handle = await self._read_on(instance, run, len(candidates))
            if handle is not None:
                return handle
        return None

    def _decode_reads(self, run: Generation, prefill: BackendInstance) -> bool:
        """Tell whether the reserved decode engine has the prompt read sooner."""
        if run.reservation is None:
            return False
        work = run.work
        decode = self._load.total(run.reservation.instance.instance)
        pace = None
        engine = work.service.engine
        # The reservation itself counts as one request.
        if decode.requests > 1 and engine is not None:
            pace = EventPace(engine.steps_per_event, work.route.event_gap_ms / 1000)
        return self._speed.prefers_decode(
            prompt_tokens=work.request.prompt_tokens,
            prefill_pending=self._load.total(prefill.instance).prompt_tokens,
            decode_pending=decode.prompt_tokens,
            pace=pace,
        )

    async def _read_on(
        self, instance: BackendInstance, run: Generation, candidates: int
    ) -> Handle | None:
        work = run.work
        request, name = work.request, instance.instance
        run.log_sent(
            name,
            "prefill",
            load=self._load.total(name),
            candidates=candidates,
            list_seen_s=self._registry.confirmed_s,
        )
        step = EngineStep(is_prefill=True, priority=work.priority)
        tokens = request.prompt_tokens + self._load.total(name).prompt_tokens
        started_s = run.work.now_s
        self._load.start(
            request.request_id, name, InstanceLoad(prompt_tokens=request.prompt_tokens)
        )
        try:
            outcome = await self._sender.send(
                instance,
                work,
                step,
                answer_s=min(PREFILL_S, max(0.0, work.left_s)),
            )
            if not isinstance(outcome, OpenReply):
                if isinstance(outcome, Unknown):
                    self._sender.note_run(instance, work.fingerprint, is_whole=False)
                return None
            handle = await self._handle_of(outcome, run, started_s + PREFILL_S)
            if handle is not None:
                now_s = run.work.now_s
                self._speed.observe(tokens, now_s - started_s)
            return handle
        finally:
            self._load.finish(request.request_id, name)

    async def _handle_of(
        self, reply: OpenReply, run: Generation, deadline_s: float
    ) -> Handle | None:
        reason = f"status {reply.head.status}"
        body = b""
        try:
            async with asyncio.timeout_at(deadline_s):
                body = await reply.whole(ANSWER_LIMIT_BYTES)
        except TimeoutError:
            reason = f"no whole answer in {PREFILL_S:g} s"
        except ConnectionBroken as error:
            reason = str(error)
        finally:
            reply.close()
        if reply.head.status == 200 and body:
            decoded = self._dialect.handle_reply(body)
            if decoded.is_ok():
                self._sender.note_answer(reply.instance, good=True, reason="")
                engine = run.work.service.engine
                kept_s = engine.handle_s if engine is not None else 0.0
                # An answer that is taken after its deadline has waited for this
                # process, and the handle with it.
                made_s = min(run.work.now_s, deadline_s)
                return Handle(
                    reply.instance,
                    decoded.unwrap().handle,
                    made_s + HANDLE_USE_SHARE * kept_s,
                )
            reason = decoded.unwrap_err()
        self._sender.note_answer(reply.instance, good=False, reason=reason)
        run.log_failed(reply.instance.instance, "prefill", reason)
        return None
