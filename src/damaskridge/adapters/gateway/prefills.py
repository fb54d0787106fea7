"""Runs the prefill of a generation on a prefill engine."""

import asyncio

from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.dialect import Dialect, EngineStep
from damaskridge.adapters.gateway.generation import CacheHandle, Generation
from damaskridge.adapters.gateway.outcomes import OpenReply, Unknown
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.prefill_choice import (
    EventPace,
    PrefillEstimator,
)
from damaskridge.core.gateway.placement.prefill_log import PrefillLog
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["PrefillRunner"]

MAX_RESPONSE_BYTES = 1_048_576
# A prefill that takes longer is abandoned: a decode engine prefills the prompt itself
# in less time.
PREFILL_TIMEOUT_S = 1.2
# A third attempt would be late in any case.
MAX_PREFILL_ATTEMPTS = 2
# Share of its lifetime for which the handle of an exported KV cache is used. An older
# one may expire before the decode engine imports the cache.
HANDLE_LIFETIME_FRACTION = 0.7


class PrefillRunner:
    """
    Prefills prompts and obtains the handles of the exported KV caches.

    Parameters
    ----------
    dialect : Dialect
        Decodes the responses of engines.
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    gate : RetryGate
        Checks requests against the retry budget before they are sent.
    permits : ServerPermits
        Obtains permits for requests to engines with a limit.
    prefill_log : PrefillLog
        Collects how long prefills take.
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
        permits: ServerPermits,
        prefill_log: PrefillLog,
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._gate = gate
        self._permits = permits
        self._prefill_log = prefill_log
        self._speed = PrefillEstimator()

    def release_handle(self, generation: Generation) -> None:
        """Free an exported KV cache that will not be imported."""
        handle, generation.handle = generation.handle, None
        if handle is not None:
            call = self._dialect.release_handle_call(handle.name)
            self._sender.call_in_background(handle.instance, call)

    async def prefill(self, generation: Generation) -> CacheHandle | None:
        """Run the prefill; returns None if a decode engine has to do it instead."""
        admitted = generation.admitted
        tried = set(self._permits.waits_s(admitted))
        attempts = 0
        while attempts < MAX_PREFILL_ATTEMPTS:
            now_s = generation.admitted.now_s
            candidates = self._registry.candidates(
                admitted.service.name,
                now_s,
                EngineStage.PREFILL,
                frozenset(tried),
                generation.required_version,
            )
            if not candidates or admitted.remaining_s <= 0:
                return None
            if not self._gate.admits(admitted, SendStep.PREFILL):
                return None
            instance = self._load.shortest_prefill(
                candidates, self._data_centre, admitted.request.prompt_tokens
            )
            if self._prefers_decode_engine(generation, instance):
                return None
            tried.add(instance.instance)
            if not await self._permits.acquire(instance, admitted):
                continue
            attempts += 1
            handle = await self._prefill_on(instance, generation, len(candidates))
            if handle is not None:
                return handle
        return None

    def _prefers_decode_engine(
        self, generation: Generation, prefill_engine: BackendInstance
    ) -> bool:
        """Return whether the reserved decode engine would finish the prefill sooner."""
        if generation.reservation is None:
            return False
        admitted = generation.admitted
        decode_engine = generation.reservation.instance.instance
        decode_load = self._load.load_on(decode_engine)
        pace = None
        engine = admitted.service.engine
        # The reservation itself counts as one request.
        if decode_load.requests > 1 and engine is not None:
            pace = EventPace(engine.steps_per_event, admitted.route.event_gap_ms / 1000)
        return self._speed.prefers_decode(
            prompt_tokens=admitted.request.prompt_tokens,
            prefill_pending=self._load.load_on(prefill_engine.instance).prompt_tokens,
            decode_pending=decode_load.prompt_tokens,
            pace=pace,
            prefill_speed=self._load.speed_of(prefill_engine.instance),
            decode_speed=self._load.speed_of(decode_engine),
        )

    async def _prefill_on(
        self, instance: BackendInstance, generation: Generation, candidates: int
    ) -> CacheHandle | None:
        """Run the prefill on one engine; returns None if it failed."""
        admitted = generation.admitted
        request, name = admitted.request, instance.instance
        generation.log_sent(
            instance,
            "prefill",
            load=self._load.load_on(name),
            candidates=candidates,
            list_seen_s=self._registry.confirmed_s,
        )
        step = EngineStep(is_prefill=True, priority=admitted.priority.on_engine)
        queued_tokens = request.prompt_tokens + self._load.load_on(name).prompt_tokens
        started_s = generation.admitted.now_s
        self._load.start(
            request.request_id, name, InstanceLoad(prompt_tokens=request.prompt_tokens)
        )
        try:
            outcome = await self._sender.send(
                instance,
                admitted,
                step,
                response_timeout_s=min(
                    PREFILL_TIMEOUT_S, max(0.0, admitted.remaining_s)
                ),
            )
            if not isinstance(outcome, OpenReply):
                if isinstance(outcome, Unknown):
                    await self._sender.record_interrupted_run(
                        instance, admitted, outcome
                    )
                return None
            handle = await self._read_handle(
                outcome, generation, started_s + PREFILL_TIMEOUT_S
            )
            if handle is not None:
                elapsed_s = generation.admitted.now_s - started_s
                self._speed.observe(queued_tokens, elapsed_s, self._load.speed_of(name))
                if queued_tokens == request.prompt_tokens:
                    self._prefill_log.record(name, request.prompt_tokens, elapsed_s)
            return handle
        finally:
            self._load.finish(request.request_id, name)

    async def _read_handle(
        self, server_response: OpenReply, generation: Generation, deadline_s: float
    ) -> CacheHandle | None:
        """Read the handle from a prefill response; returns None if it is unusable."""
        reason = f"status {server_response.head.status}"
        body = b""
        try:
            async with asyncio.timeout_at(deadline_s):
                body = await server_response.read_body(MAX_RESPONSE_BYTES)
        except TimeoutError:
            reason = f"no complete response within {PREFILL_TIMEOUT_S:g} s"
        except ConnectionBroken as error:
            reason = str(error)
        finally:
            server_response.close()
        if server_response.head.status == 200 and body:
            decoded = self._dialect.decode_prefill_response(body)
            if decoded.is_ok():
                self._sender.record_response(
                    server_response.instance, good=True, reason=""
                )
                engine = generation.admitted.service.engine
                lifetime_s = engine.handle_s if engine is not None else 0.0
                # A response that is read after the deadline had arrived before it,
                # while this process was suspended. The handle has aged since then.
                exported_s = min(generation.admitted.now_s, deadline_s)
                return CacheHandle(
                    server_response.instance,
                    decoded.unwrap().handle,
                    exported_s + HANDLE_LIFETIME_FRACTION * lifetime_s,
                )
            reason = decoded.unwrap_err()
        self._sender.record_response(
            server_response.instance, good=False, reason=reason
        )
        generation.log_failed(server_response.instance.instance, "prefill", reason)
        return None
