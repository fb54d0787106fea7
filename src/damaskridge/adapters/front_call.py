"""Run one request to a model: perform the actions that its state machine returns."""

import asyncio
import logging
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err

from damaskridge.adapters.front_claims import ResponseClaim
from damaskridge.adapters.front_context import (
    FrontContext,
    closing_stream,
    request_placement,
    reserve_rate,
    send_progress,
)
from damaskridge.adapters.front_events import RequestEventLogger
from damaskridge.adapters.front_output import RequestOutput
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import (
    StreamFailed,
)
from damaskridge.core.dispatch import DispatchMethod
from damaskridge.core.requests.lifecycle import RequestStateMachine
from damaskridge.core.requests.messages import (
    AskPlacement,
    AskRate,
    AttemptFailed,
    AttemptPlaced,
    CancelOnServer,
    CancelRequested,
    ChunkReceived,
    CloseRequest,
    DeliverChunks,
    PlacementRefused,
    Prefilled,
    RateGranted,
    RateRefused,
    RefundTokens,
    ReportProgress,
    RequestAccepted,
    RequestEvent,
    RequestParameters,
    RequestTimerFired,
    ResumeDecode,
    SendDecode,
    SendPrefill,
    Stage,
    TakenOver,
    WithdrawRequest,
)
from damaskridge.core.state.fleet_queries import (
    owner_of,
    workspace_resource,
)
from damaskridge.model.engine import DecodeChunk, prefix_block_hashes
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import (
    Duplicate,
    Placement,
    Progress,
    RateGrant,
    RateRequest,
    Refund,
    RequestProfile,
    Withdraw,
)

__all__ = ["ModelCall", "RunningModelCall"]

_logger = logging.getLogger(__name__)
# A cancellation may reach the engine before the call that it cancels, so it is
# sent a second time after this delay.
_CANCEL_RETRY_DELAY_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelCall:
    """
    A validated request to a model.

    Attributes
    ----------
    workspace, key_digest : str
        The caller's workspace, and the digest of its key. The digest is empty for a
        request that was taken over from another front.
    route : str
        Path of the HTTP request.
    streaming : bool
        Whether the caller reads a stream of events.
    spec : RequestParameters
        Model, prompt and limits.
    fingerprint : str
        Digest of model and prompt, by which a request that crashes engines is
        recognized when the caller retries it.
    idempotency_key, body_digest : str
        The idempotency key, if any, and a digest by which another body with the same
        key is refused.
    """

    workspace: str
    key_digest: str
    route: str
    streaming: bool
    spec: RequestParameters
    fingerprint: str = ""
    idempotency_key: str = ""
    body_digest: str = ""


class RunningModelCall:
    """
    One request to a model with its state machine, its output and its readers.

    Attributes
    ----------
    failure : Failure or None
        Why the request ended before its last token, if it did.
    duplicate_of : Duplicate or None
        The earlier request with the same idempotency key, whose output is sent
        instead, if there is one.
    is_taken_over : bool
        Whether another front continues this request.
    """

    def __init__(self, context: FrontContext, call: ModelCall) -> None:
        self._context = context
        self._loop = asyncio.get_running_loop()
        self.call = call
        self.accepted_s = self._loop.time()
        self._events = RequestEventLogger(
            call.spec.request_id, call.workspace, self._loop.time
        )
        self.machine = RequestStateMachine(
            call.spec, context.settings.retry_limits(), self.accepted_s
        )
        self.profile: RequestProfile | None = None
        self.failure: Failure | None = None
        self.duplicate_of: Duplicate | None = None
        self.ended_s: float | None = None
        self.is_taken_over = False
        self._output = RequestOutput(self.machine)
        self._grant: tuple[str, RateGrant] | None = None
        self._response_claim: ResponseClaim | None = None
        if call.idempotency_key:
            self._response_claim = ResponseClaim(
                context,
                request_id=self.request_id,
                workspace=call.workspace,
                idempotency_key=call.idempotency_key,
                body_digest=call.body_digest,
            )
        self._readers = 0
        self._step_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = float("inf")

    @property
    def request_id(self) -> str:
        """The request's identifier."""
        return self.call.spec.request_id

    @property
    def is_granted(self) -> bool:
        """Whether a rate owner admitted the request."""
        return self._grant is not None

    @property
    def placement(self) -> Placement | None:
        """The engines of the current attempt."""
        return self.machine.placement

    def progress(self) -> Progress:
        """Return the progress to report to the cell owner."""
        return self.machine.progress()

    def dispatch(self, event: RequestEvent) -> None:
        """Pass an event to the state machine and perform the resulting actions."""
        for action in self.machine.handle(event, self._loop.time()):
            self._perform(action)
        self._update_timer()

    def begin(self) -> None:
        """Start the request by reserving its rate."""
        self._events.log_accepted(self.call.spec.prompt_tokens)
        self.dispatch(RequestAccepted())

    def cancel(self, failure: Failure) -> None:
        """Cancel the request and free the memory that it holds on engines."""
        self.dispatch(CancelRequested(failure))

    async def read(self, offset: int) -> AsyncIterator[DecodeChunk]:
        """
        Yield output from `offset`.

        Raises
        ------
        StreamFailed
            If the request fails before its last chunk.
        """
        self._readers += 1
        stream = self._output.read(offset)
        try:
            async with closing_stream(stream):
                async for chunk in stream:
                    yield chunk
        finally:
            self._readers -= 1
            self._on_reader_closed()

    def _on_reader_closed(self) -> None:
        if self._readers or self.machine.ended or self.duplicate_of is not None:
            return
        if self.call.streaming and self.machine.texts:
            grace_s = self._context.settings.resume_grace_s
            self._loop.call_later(grace_s, self._cancel_if_unread)
        else:
            self._cancel_if_unread()

    def _cancel_if_unread(self) -> None:
        if self._readers == 0 and not self.machine.ended:
            log_event(_logger, EventNumber.CALLER_LOST, request_id=self.request_id)
            self.cancel(Failure(ErrorKind.CANCELLED, "the caller disconnected"))

    def _update_timer(self) -> None:
        # The timer is kept if the deadline moves to a later time, because it would
        # otherwise be set anew for every token.
        deadline_s = self.machine.deadline_s
        if deadline_s < self._timer_due_s:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due_s = deadline_s
            self._timer = self._loop.call_at(deadline_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_due_s = float("inf")
        self._timer = None
        self.dispatch(RequestTimerFired())

    def _start_step(self, work: Coroutine[Any, Any, None]) -> None:
        """Replace the running step (a call to an owner or an engine) by `work`."""
        self._cancel_step()
        self._step_task = self._context.start_task(work)

    def _cancel_step(self) -> None:
        if (
            self._step_task is not None
            and self._step_task is not asyncio.current_task()
        ):
            self._step_task.cancel()
        self._step_task = None

    @DispatchMethod
    def _perform(self, action: object) -> None:
        raise TypeError(f"unknown action: {type(action).__name__}")

    @_perform.register
    def _(self, action: AskRate) -> None:
        self._start_step(self._reserve_rate(action))

    @_perform.register
    def _(self, action: AskPlacement) -> None:
        self._events.log_placement_requested(action.attempt)
        self._start_step(self._request_placement(action))

    @_perform.register
    def _(self, action: SendPrefill) -> None:
        if self.machine.placement is not None:
            self._events.log_placed(self.machine.placement)
        self._start_step(self._prefill(action))

    @_perform.register
    def _(self, action: SendDecode) -> None:
        self._events.log_prefilled(action.attempt)
        engine = self._context.engine_for(action.address)
        chunks = engine.decode(action.request)
        self._start_step(self._receive_chunks(action.attempt, action.server, chunks))

    @_perform.register
    def _(self, action: ResumeDecode) -> None:
        # A request that was just taken over had no connection before, so that none
        # was silent.
        taken_over = self.machine.base_offset > 0 and not self.machine.texts
        if self._step_task is not None and not taken_over:
            self._events.log_silent_connection(action.address, action.offset)
        engine = self._context.engine_for(action.address)
        chunks = engine.resume(action.engine_request_id, action.offset)
        self._start_step(self._receive_chunks(action.attempt, action.server, chunks))

    @_perform.register
    def _(self, action: CancelOnServer) -> None:
        self._cancel_step()
        self._context.start_task(self._cancel_on_server(action))

    @_perform.register
    def _(self, action: WithdrawRequest) -> None:
        profile = self.profile
        if profile is None:
            return
        owner = owner_of(self._context.control.fleet, profile.resource)
        withdraw = Withdraw(
            resource=profile.resource,
            epoch=owner.epoch if owner else profile.epoch,
            request_id=self.request_id,
        )
        cells = self._context.cells
        self._context.start_task(
            self._context.owners.send_best_effort(cells.withdraw(withdraw))
        )

    @_perform.register
    def _(self, action: DeliverChunks) -> None:
        self._events.log_first_token(self.machine.first_token_s)
        self._output.notify_chunks(action.chunks[-1])

    @_perform.register
    def _(self, action: ReportProgress) -> None:
        if self.profile is not None:
            progress = self._record_crash(action.progress, self.profile)
            work = send_progress(self._context, self.profile.resource, (progress,))
            self._context.start_task(work)

    @_perform.register
    def _(self, action: RefundTokens) -> None:
        if self._grant is None:
            return
        resource, grant = self._grant
        refund = Refund(
            resource=resource,
            epoch=grant.epoch,
            workspace=self.call.workspace,
            request_id=self.request_id,
            tokens=action.tokens,
        )
        self._context.start_task(
            self._context.owners.send_best_effort(self._context.rates.refund(refund))
        )

    @_perform.register
    def _(self, action: CloseRequest) -> None:
        self.failure = action.failure
        if action.failure is None:
            self._context.suspects.clear(self.call.fingerprint)
        if self._response_claim is not None:
            self._response_claim.close(completed=action.failure is None)
        kind = action.failure.kind if action.failure else None
        self.is_taken_over = kind is ErrorKind.STREAM_TAKEN_OVER
        self.ended_s = self._loop.time()
        self._cancel_step()
        if self._timer is not None:
            self._timer.cancel()
        self._output.notify_ended(
            action.failure, is_duplicate=self.duplicate_of is not None
        )
        context = self._context
        if self.call.idempotency_key and not self.is_taken_over:
            resource = workspace_resource(self.call.workspace)
            ended = context.rates.notify_request_ended(
                resource, self.call.workspace, self.request_id
            )
            context.start_task(context.owners.send_best_effort(ended))
        cancelled = self.machine.stage is Stage.CANCELLED
        machine = self.machine
        self._events.log_ended(
            self.failure, cancelled, machine.output_tokens, machine.attempt
        )

    async def _reserve_rate(self, action: AskRate) -> None:
        request = RateRequest(
            resource=workspace_resource(self.call.workspace),
            epoch=0,
            workspace=self.call.workspace,
            request_id=self.request_id,
            front=self._context.host,
            cost_tokens=action.cost_tokens,
            idempotency_key=self.call.idempotency_key,
            body_digest=self.call.body_digest,
            wait_s=self._context.settings.rate_wait_s,
        )
        response = await reserve_rate(self._context, request)
        if isinstance(response, RateGrant):
            self._grant = (request.resource, response)
            self._events.log_granted(response.waited_s)
            self.dispatch(RateGranted())
        elif isinstance(response, Duplicate):
            self.duplicate_of = response
            self.dispatch(TakenOver())
        else:
            self.dispatch(RateRefused(response.failure))

    async def _request_placement(self, action: AskPlacement) -> None:
        fleet = self._context.control.fleet
        call = self.call
        if self._context.is_quarantined(call.fingerprint):
            failure = Failure(ErrorKind.REQUEST_QUARANTINED)
            self.dispatch(PlacementRefused(action.attempt, failure))
            return
        self.profile = RequestProfile(
            resource="",
            epoch=0,
            request_id=self.request_id,
            attempt=action.attempt,
            workspace=call.workspace,
            front=self._context.host,
            incarnation=self._context.incarnation,
            route=call.route,
            model=call.spec.model,
            prompt_tokens=action.prompt_tokens,
            max_output_tokens=action.max_output_tokens,
            prefix_hashes=prefix_block_hashes(call.spec.prompt),
            fingerprint=call.fingerprint,
            suspect=action.suspect or call.fingerprint in fleet.suspects,
            waited_s=self._loop.time() - self.accepted_s,
            excluded=action.excluded,
            crashed_server=action.crashed_server,
        )
        response = await request_placement(
            self._context, self.profile, self._set_profile
        )
        if isinstance(response, Placement):
            if not self.machine.texts:
                await self._context.wait_for_lease()
            self._start_attempt_if_allowed(response)
        else:
            self.dispatch(PlacementRefused(action.attempt, response.failure))

    def _start_attempt_if_allowed(self, placement: Placement) -> None:
        # The request may have been quarantined while this attempt was queued.
        if self._context.is_quarantined(self.call.fingerprint):
            self.cancel(Failure(ErrorKind.REQUEST_QUARANTINED))
            return
        # The key may have been withdrawn while the request was queued.
        failure = self._context.check_key(self.call.key_digest)
        if failure is None or self.machine.texts:
            self.dispatch(AttemptPlaced(placement))
        else:
            self.cancel(failure)

    def _record_crash(self, progress: Progress, profile: RequestProfile) -> Progress:
        """Record a crash, if this is one; return the report with its fingerprint."""
        if not (progress.crashed and progress.failed_server and profile.fingerprint):
            return progress
        progress = msgspec.structs.replace(
            progress, fingerprint=profile.fingerprint, suspect=profile.suspect
        )
        self._context.record_crash(profile, progress)
        return progress

    def _set_profile(self, profile: RequestProfile) -> None:
        self.profile = profile

    async def _prefill(self, action: SendPrefill) -> None:
        engine = self._context.engine_for(action.address)
        response = await engine.prefill(action.request)
        if isinstance(response, Err):
            failure = response.err_value
            self.dispatch(AttemptFailed(action.attempt, action.server, failure))
        else:
            self.dispatch(Prefilled(action.attempt))

    async def _receive_chunks(
        self, attempt: int, server: str, chunks: AsyncIterator[DecodeChunk]
    ) -> None:
        try:
            async with closing_stream(chunks):
                async for chunk in chunks:
                    if (
                        chunk.finish_reason is not None
                        and not await self._claim_response()
                    ):
                        return
                    self.dispatch(ChunkReceived(attempt, chunk))
                    if self._step_task is not asyncio.current_task():
                        return
            failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, "stream ended early")
        except StreamFailed as error:
            failure = error.failure
        self.dispatch(AttemptFailed(attempt, server, failure))

    async def _claim_response(self) -> bool:
        """
        Return whether the last chunk may be delivered.

        Of all requests with the same idempotency key, only one in the fleet may
        deliver its last chunk.
        """
        if self._response_claim is None:
            return True
        failure = await self._response_claim.acquire()
        if failure is not None:
            self.cancel(failure)
        return failure is None

    async def _cancel_on_server(self, action: CancelOnServer) -> None:
        engine = self._context.engine_for(action.address)
        await engine.cancel(action.engine_request_id)
        await asyncio.sleep(_CANCEL_RETRY_DELAY_S)
        await engine.cancel(action.engine_request_id)
