"""Relays the events of backend servers to a caller, from one server after another."""

from collections.abc import Callable
from itertools import takewhile
from operator import attrgetter
from typing import Generic, TypeVar

from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.event_timeouts import EventTimeout, EventTimeouts
from damaskridge.adapters.gateway.outcomes import NotRun, OpenReply, Unknown
from damaskridge.adapters.gateway.relayed_stream import RelayedStream
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.stream_versions import StreamVersions
from damaskridge.core.gateway.event_stream import EventSplitter, EventTooLong
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.core.gateway.send_policy import Fail, Retry
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.gateway import BackendInstance

__all__ = ["StreamRelay"]

EVENT_STREAM_TYPE = b"text/event-stream"
# Longest response that is not a stream, which is read in full before it is forwarded.
MAX_RESPONSE_BYTES = 4_194_304

StreamT = TypeVar("StreamT", bound=RelayedStream)


class StreamRelay(Generic[StreamT]):
    """
    Forwards events as they arrive, and decides what follows a broken stream.

    Only whole events are forwarded. A stream that may be resumed goes on at another
    server within one response; any other is cut, so that its caller sees its end.

    Parameters
    ----------
    sender : Sender
        Records how the servers respond.
    gate : RetryGate
        Checks requests against the retry budget before they are sent.
    versions : StreamVersions
        Records the software versions at which streams begin.
    timeouts : EventTimeouts
        Ends the wait for a server once another one can go on.
    overload_wait_s : callable
        Returns after what time a caller may retry, from the time that it has left.
    on_first_event : callable
        Called before the first event of a stream is forwarded.
    sends_head_at_once : bool
        Whether the head of an event stream is forwarded before the first event, if no
        other server may run the request. Otherwise a failure before that event still
        gets a status of its own.
    """

    def __init__(
        self,
        *,
        sender: Sender,
        gate: RetryGate,
        versions: StreamVersions,
        timeouts: EventTimeouts[StreamT],
        overload_wait_s: Callable[[float], float],
        on_first_event: Callable[[StreamT, BackendInstance], None] = (
            lambda stream, instance: None
        ),
        sends_head_at_once: bool = False,
    ) -> None:
        self._sender = sender
        self._gate = gate
        self._versions = versions
        self._timeouts = timeouts
        self._overload_wait_s = overload_wait_s
        self._on_first_event = on_first_event
        self._sends_head_at_once = sends_head_at_once

    async def relay(self, stream: StreamT, server_response: OpenReply) -> None:
        """Relay a server's response; a broken stream may resume on another server."""
        if server_response.head.status != 200:
            await self._forward_failure(stream, server_response)
            return
        try:
            await self._relay_events(stream, server_response)
        except ConnectionBroken as error:
            outcome = Unknown(str(error), is_broken=True)
            await self._resume_or_fail(stream, outcome, server_response.instance)
        except EventTimeout:
            server_response.close()
            outcome = Unknown("no event for too long", timed_out=True)
            await self._resume_or_fail(stream, outcome, server_response.instance)
        else:
            self._sender.record_response(server_response.instance, good=True, reason="")
            self._sender.record_complete_run(stream.admitted, server_response)
            await stream.response.end_stream()

    async def _relay_events(self, stream: StreamT, server_response: OpenReply) -> None:
        splitter = EventSplitter()
        stream.run_events = 0
        stream.last_progress_s = stream.admitted.now_s
        if self._may_send_head_at_once(stream, server_response):
            await stream.write(server_response, b"")
        async for chunk in self._timeouts.chunks(stream, server_response):
            try:
                events = splitter.feed(chunk)
            except EventTooLong as error:
                raise ConnectionBroken(str(error)) from error
            valid_events = list(takewhile(attrgetter("is_valid"), events))
            if any(event.event_id is not None for event in valid_events):
                self._record_begin(stream, server_response.instance)
            new_data = b"".join(
                event.data
                for event in valid_events
                if stream.accept_event(event.event_id)
            )
            if new_data:
                if not stream.response.has_started:
                    self._on_first_event(stream, server_response.instance)
                await stream.write(server_response, new_data)
            if len(valid_events) < len(events):
                raise ConnectionBroken("the stream holds text that is no event")
        # Without a length or chunks, only the events show that data is missing.
        if splitter.rest:
            raise ConnectionBroken("the stream ended inside an event")
        if server_response.head.ends_with_connection and not stream.run_events:
            raise ConnectionBroken("the stream ended before its first event")
        await self._sender.check_complete(server_response)
        if not stream.response.has_started:
            await stream.write(server_response, b"")

    def _may_send_head_at_once(
        self, stream: StreamT, server_response: OpenReply
    ) -> bool:
        content_type = (server_response.head.value(b"content-type") or b"").lower()
        return (
            self._sends_head_at_once
            and not stream.admitted.policy.may_run_again
            and content_type.startswith(EVENT_STREAM_TYPE)
        )

    def _record_begin(self, stream: StreamT, instance: BackendInstance) -> None:
        """Keep a stream at the software version of its first event."""
        if stream.software_version is None:
            stream.software_version = instance.software_version
            if stream.admitted.route.is_resumable:
                self._versions.record_begin(stream.admitted, instance)

    async def _forward_failure(
        self, stream: StreamT, server_response: OpenReply
    ) -> None:
        """Forward a response that is not a stream, unless it is to be retried."""
        admitted = stream.admitted
        try:
            body = await server_response.read_body(MAX_RESPONSE_BYTES)
            await self._sender.check_complete(server_response)
        except ConnectionBroken as error:
            outcome = Unknown(str(error), is_broken=True)
            await self._resume_or_fail(stream, outcome, server_response.instance)
            return
        reason = f"status {server_response.head.status}"
        good = server_response.head.status < 500
        self._sender.record_response(server_response.instance, good=good, reason=reason)
        if not good:
            may_retry = admitted.policy.may_run_again and self._gate.admits(
                admitted, SendStep.RUN
            )
            if admitted.policy.after_failure(
                left_s=admitted.remaining_s, may_retry=may_retry
            ):
                return
        if stream.response.has_started:
            await self.fail(stream, Failure(ErrorKind.BACKEND_SERVER_FAILED, reason))
        else:
            await stream.response.forward(
                server_response.head, server_response.metadata, body
            )

    async def _resume_or_fail(
        self, stream: StreamT, outcome: Unknown, instance: BackendInstance
    ) -> None:
        """Resume a broken stream on another server if the policy allows it."""
        self._sender.record_response(instance, good=False, reason=outcome.reason)
        stream.log_failed(instance.instance, "stream", outcome.reason)
        await self._sender.record_interrupted_run(
            instance,
            stream.admitted,
            outcome,
            events=stream.run_events,
        )
        await self.handle_failed_send(stream, outcome)

    async def handle_failed_send(
        self, stream: StreamT, outcome: NotRun | Unknown
    ) -> None:
        """Respond to the caller if the policy allows no further send."""
        admitted = stream.admitted
        decision: Retry | Fail
        if isinstance(outcome, NotRun):
            may_retry = self._gate.admits(admitted, SendStep.RUN)
            decision = admitted.policy.after_not_run(
                left_s=admitted.remaining_s, may_retry=may_retry
            )
        else:
            decision = admitted.policy.after_unknown(
                left_s=admitted.remaining_s,
                may_retry=admitted.policy.may_run_again
                and self._gate.admits(admitted, SendStep.RUN),
                timed_out=outcome.timed_out,
            )
        await self.fail_if_final(stream, decision, outcome.reason)

    async def fail_if_final(
        self, stream: StreamT, decision: Retry | Fail, reason: str
    ) -> None:
        """Fail the stream unless it is to be sent to another server."""
        if not isinstance(decision, Fail):
            return
        retry_after_s = None
        if decision.run_state is RunState.NOT_RUN:
            retry_after_s = self._overload_wait_s(stream.admitted.remaining_s)
        await self.fail(stream, decision.failure(reason, retry_after_s))

    async def fail(self, stream: StreamT, failure: Failure) -> None:
        """Refuse the request, or cut its response if that has begun."""
        if stream.response.has_started:
            stream.response.abort(failure)
        else:
            await stream.response.refuse(failure)
