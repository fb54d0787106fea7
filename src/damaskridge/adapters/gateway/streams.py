"""Forwards generations: a prefill, then a decode whose events are relayed."""

from typing import Any

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.decode_choice import DecodeChoice
from damaskridge.adapters.gateway.decode_reservations import (
    DecodeReservations,
    RoomSearch,
)
from damaskridge.adapters.gateway.dialect import Dialect, EngineStep
from damaskridge.adapters.gateway.event_timeouts import (
    FIRST_EVENT_TIMEOUT_S,
    EventTimeouts,
)
from damaskridge.adapters.gateway.generation import Generation
from damaskridge.adapters.gateway.outcomes import NotRun, OpenReply, Outcome, Unknown
from damaskridge.adapters.gateway.prefills import PrefillRunner
from damaskridge.adapters.gateway.responses import CallerResponse
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.room_requests import RoomRequests
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.gateway.stream_relay import StreamRelay
from damaskridge.adapters.gateway.stream_versions import (
    OriginUndecided,
    StreamVersions,
)
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.prefill_log import PrefillLog
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["StreamForwarder"]

# Refusals by decode engines after which a handle is no longer used.
MAX_HANDLE_REFUSALS = 2


class StreamForwarder:
    """
    Runs generations on separate prefill and decode engines.

    Parameters
    ----------
    dialect : Dialect
        Encodes the gateway's own calls to engines.
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    gate : RetryGate
        Checks requests against the retry budget before they are sent.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    permits : ServerPermits
        Obtains permits for requests to engines with a limit.
    crashes : CrashMonitor
        Decides which requests are refused because they crash engines.
    versions : StreamVersions
        Finds the software versions at which streams began.
    rooms : RoomRequests
        Asks the leader for room on the engines of crowded services.
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
        refusals: RetryAfterTimes,
        permits: ServerPermits,
        crashes: CrashMonitor,
        versions: StreamVersions,
        rooms: RoomRequests,
        prefill_log: PrefillLog,
    ) -> None:
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._gate = gate
        self._refusals = refusals
        self._permits = permits
        self._crashes = crashes
        self._versions = versions
        shared: dict[str, Any] = {
            "dialect": dialect,
            "sender": sender,
            "registry": registry,
            "load": load,
            "data_centre": data_centre,
            "permits": permits,
        }
        self._reservations = DecodeReservations(rooms=rooms, **shared)
        self._relay = StreamRelay[Generation](
            sender=sender,
            gate=gate,
            versions=versions,
            timeouts=EventTimeouts(gate, self._reservations),
            overload_wait_s=refusals.engine_full_s,
            on_first_event=self._clear_prompt_load,
        )
        self._prefills = PrefillRunner(gate=gate, prefill_log=prefill_log, **shared)
        self._choice = DecodeChoice(
            registry=registry,
            load=load,
            data_centre=data_centre,
            permits=permits,
            refusals=refusals,
            reservations=self._reservations,
            prefills=self._prefills,
        )

    async def forward(
        self, admitted: AdmittedRequest, response: CallerResponse
    ) -> None:
        """Run a generation and send the caller the engine's events, or a failure."""
        generation = Generation(admitted, response)
        if admitted.request.is_taken_up:
            failure = await self._pin_version(generation)
            if failure is not None:
                await response.refuse(failure)
                return
        try:
            search = await self._reservations.reserve(generation)
            if search is not RoomSearch.DONE:
                is_full = search is RoomSearch.FULL
                await response.refuse(
                    self._choice.full_failure(admitted)
                    if is_full
                    else self._choice.no_engine_failure(generation)
                )
                return
            generation.handle = await self._prefills.prefill(generation)
            while not response.is_complete:
                await self._decode(generation)
                if generation.has_events and not response.is_complete:
                    await self._prepare_resume(generation)
        finally:
            self._prefills.release_handle(generation)
            self._reservations.cancel(generation)

    async def _pin_version(self, generation: Generation) -> Failure | None:
        """Find the version at which a stream has to go on; return why it can't."""
        kind = ErrorKind.NO_BACKEND_SERVER
        try:
            version = await self._versions.find(generation.admitted)
        except OriginUndecided:
            return Failure(
                kind,
                "no leader tells at which software version the stream began",
                retry_after_s=self._refusals.not_ready_s(),
            )
        generation.software_version = version
        if version is None:
            return Failure(kind, "the software version of the stream is not on record")
        return None

    async def _prepare_resume(self, generation: Generation) -> None:
        """
        Reserve capacity and prefill again for a stream that resumes elsewhere.

        A decode engine that prefills delays its other streams, and without free
        capacity it would have to preempt one of them. If no engine has free capacity,
        the decode is sent all the same.
        """
        if generation.reservation is None:
            await self._reservations.reserve(generation)
        if generation.reservation is not None:
            generation.handle = await self._prefills.prefill(generation)

    async def _decode(self, generation: Generation) -> None:
        """Send the generation to one decode engine and relay its events."""
        admitted = generation.admitted
        quarantined = self._crashes.failure(admitted)
        if quarantined is not None:
            await self._relay.fail(generation, quarantined)
            return
        if not self._gate.admits(admitted, SendStep.RUN):
            decision = admitted.policy.after_not_run(
                left_s=admitted.remaining_s, may_retry=False
            )
            await self._relay.fail_if_final(
                generation, decision, "the retry budget has no send left"
            )
            return
        instance, candidates = await self._choice.choose(generation)
        if instance is None:
            await self._relay.fail(
                generation, self._choice.no_engine_failure(generation)
            )
            return
        handle = generation.handle
        if handle is not None and admitted.now_s > handle.usable_until_s:
            self._prefills.release_handle(generation)
        name = instance.instance
        generation.tried_servers.add(name)
        admitted.policy.record_send()
        generation.response.attempts = admitted.policy.sends
        generation.log_sent(
            instance,
            "decode",
            load=self._load.load_on(name),
            candidates=candidates,
            list_seen_s=self._registry.confirmed_s,
        )
        self._load.start(
            admitted.request.request_id, name, self._expected_load(generation)
        )
        try:
            outcome = await self._send(generation, instance)
            if isinstance(outcome, OpenReply):
                generation.handle = None
                try:
                    await self._relay.relay(generation, outcome)
                finally:
                    outcome.close()
                return
        finally:
            self._load.finish(admitted.request.request_id, name)
        if isinstance(outcome, Unknown):
            await self._sender.record_interrupted_run(instance, admitted, outcome)
        await self._relay.handle_failed_send(generation, outcome)
        self._update_handle(generation, outcome)

    def _expected_load(self, generation: Generation) -> InstanceLoad:
        admitted = generation.admitted
        return InstanceLoad(
            requests=1,
            prompt_tokens=0
            if generation.handle is not None
            else admitted.request.prompt_tokens,
            memory_tokens=admitted.memory_tokens,
        )

    def _update_handle(self, generation: Generation, outcome: NotRun | Unknown) -> None:
        """Decide after a failed decode whether the handle may be used again."""
        if isinstance(outcome, Unknown):
            # The engine may have imported the cache, which is possible only once.
            generation.handle = None
            return
        generation.handle_refusals += 1
        if generation.handle_refusals >= MAX_HANDLE_REFUSALS:
            # A refusal doesn't state whether the engine is full or the handle invalid.
            self._prefills.release_handle(generation)

    async def _send(self, generation: Generation, instance: BackendInstance) -> Outcome:
        admitted, handle = generation.admitted, generation.handle
        reservation, generation.reservation = generation.reservation, None
        step = EngineStep(
            source_address=handle.instance.address if handle is not None else "",
            source_handle=handle.name if handle is not None else "",
            reservation=reservation.name if reservation is not None else "",
            priority=admitted.priority.on_engine,
        )
        response_timeout_s = max(0.0, admitted.route_remaining_s)
        if admitted.policy.may_run_again:
            response_timeout_s = min(response_timeout_s, FIRST_EVENT_TIMEOUT_S)
        return await self._sender.send(
            instance,
            admitted,
            step,
            last_event_id=generation.last_event_id,
            response_timeout_s=response_timeout_s,
            # On a reused connection, a late duplicate of an earlier refusal could be
            # taken for the response to this request.
            fresh=not admitted.policy.is_repeatable,
        )

    def _clear_prompt_load(
        self, generation: Generation, instance: BackendInstance
    ) -> None:
        """Stop counting prompt tokens as load of an engine that has begun to decode."""
        request = generation.admitted.request
        load = InstanceLoad(1, memory_tokens=generation.admitted.memory_tokens)
        self._load.start(request.request_id, instance.instance, load)
