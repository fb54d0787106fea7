"""Forwards event streams of servers that need no prefill, such as plain services."""

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.decode_reservations import RoomSearch
from damaskridge.adapters.gateway.event_timeouts import (
    FIRST_EVENT_TIMEOUT_S,
    EventTimeouts,
)
from damaskridge.adapters.gateway.outcomes import OpenReply, Outcome, Unknown
from damaskridge.adapters.gateway.relayed_stream import RelayedStream
from damaskridge.adapters.gateway.responses import CallerResponse
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_choice import ServerChoice
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.gateway.stream_relay import StreamRelay
from damaskridge.adapters.gateway.stream_versions import StreamVersions
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["PlainStreamForwarder"]


class _UntriedServers:
    """Lets a silent stream move if there is a server that has not had it."""

    def __init__(self, choice: ServerChoice) -> None:
        self._choice = choice

    async def reserve_elsewhere(self, stream: RelayedStream, /) -> RoomSearch:
        has_other = self._choice.has_untried(
            stream.admitted, stream.tried_servers, stream.software_version
        )
        return RoomSearch.DONE if has_other else RoomSearch.PAUSED

    def cancel(self, stream: RelayedStream, /) -> None:
        """Do nothing, as nothing is reserved."""


class PlainStreamForwarder:
    """
    Sends a request for a stream to one server, and relays its events.

    A stream that may be resumed goes on at another server after a failure.

    Parameters
    ----------
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    gate : RetryGate
        Checks requests against the retry budget before they are sent.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    permits : ServerPermits
        Obtains permits for requests to servers with a limit.
    crashes : CrashMonitor
        Decides which requests are refused because they crash servers.
    versions : StreamVersions
        Knows the software versions at which streams began here.
    """

    def __init__(
        self,
        *,
        sender: Sender,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
        gate: RetryGate,
        refusals: RetryAfterTimes,
        permits: ServerPermits,
        crashes: CrashMonitor,
        versions: StreamVersions,
    ) -> None:
        self._sender = sender
        self._registry = registry
        self._load = load
        self._crashes = crashes
        self._versions = versions
        self._choice = ServerChoice(
            registry=registry,
            load=load,
            data_centre=data_centre,
            permits=permits,
            refusals=refusals,
        )
        self._relay = StreamRelay[RelayedStream](
            sender=sender,
            gate=gate,
            versions=versions,
            timeouts=EventTimeouts(gate, _UntriedServers(self._choice)),
            overload_wait_s=refusals.overloaded_s,
            sends_head_at_once=True,
        )

    async def forward(
        self, admitted: AdmittedRequest, response: CallerResponse
    ) -> None:
        """Forward the events of a server, or send the caller a failure."""
        stream = RelayedStream(admitted, response)
        if admitted.request.is_taken_up:
            stream.software_version = self._versions.known(admitted)
        while not response.is_complete:
            await self._send_once(stream)

    async def _send_once(self, stream: RelayedStream) -> None:
        """Send the request to one server and relay its events."""
        admitted = stream.admitted
        quarantined = self._crashes.failure(admitted)
        if quarantined is not None:
            await self._relay.fail(stream, quarantined)
            return
        version = stream.software_version
        instance, candidates = await self._choice.choose(
            admitted, stream.tried_servers, version
        )
        if instance is None:
            failure = self._choice.no_server_failure(admitted, version)
            await self._relay.fail(stream, failure)
            return
        name, request_id = instance.instance, admitted.request.request_id
        stream.tried_servers.add(name)
        admitted.policy.record_send()
        stream.response.attempts = admitted.policy.sends
        stream.log_sent(
            instance,
            "call",
            load=self._load.load_on(name),
            candidates=candidates,
            list_seen_s=self._registry.confirmed_s,
        )
        self._load.start(request_id, name, InstanceLoad(requests=1))
        try:
            outcome = await self._send(stream, instance, candidates)
            if isinstance(outcome, OpenReply):
                try:
                    await self._relay.relay(stream, outcome)
                finally:
                    outcome.close()
                return
        finally:
            self._load.finish(request_id, name)
        if isinstance(outcome, Unknown):
            await self._sender.record_interrupted_run(instance, admitted, outcome)
        await self._relay.handle_failed_send(stream, outcome)

    async def _send(
        self, stream: RelayedStream, instance: BackendInstance, candidates: int
    ) -> Outcome:
        admitted = stream.admitted
        response_timeout_s = max(0.0, admitted.route_remaining_s)
        if admitted.policy.may_run_again and candidates > 1:
            response_timeout_s = min(response_timeout_s, FIRST_EVENT_TIMEOUT_S)
        return await self._sender.send(
            instance,
            admitted,
            last_event_id=stream.last_event_id,
            response_timeout_s=response_timeout_s,
            # On a reused connection, a late duplicate of an earlier refusal could be
            # taken for the response to this request.
            fresh=not admitted.policy.is_repeatable,
        )
