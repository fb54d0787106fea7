"""State machine of a request on its front, without I/O."""

import msgspec

from damaskridge.core.dispatch import DispatchMethod
from damaskridge.core.requests.assembler import Assembler, InvalidChunk
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
    RequestAction,
    RequestEvent,
    RequestParameters,
    RequestTimerFired,
    ResumeDecode,
    RetryLimits,
    SendDecode,
    SendPrefill,
    Stage,
    TakenOver,
    TakeOverGranted,
    WithdrawRequest,
)
from damaskridge.model.engine import DecodeChunk, DecodeRequest, PrefillRequest
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import Placement, Progress, RequestPhase

__all__ = ["RequestStateMachine"]

_PHASE_BY_STAGE = {
    Stage.PREFILLING: RequestPhase.PREFILLING,
    Stage.TRANSFERRING: RequestPhase.TRANSFERRING,
    Stage.DECODING: RequestPhase.DECODING,
    Stage.FINISHED: RequestPhase.FINISHED,
    Stage.FAILED: RequestPhase.CANCELLED,
    Stage.CANCELLED: RequestPhase.CANCELLED,
}
_ENDED_STAGES = frozenset({Stage.FINISHED, Stage.FAILED, Stage.CANCELLED})
_RUNNING_STAGES = frozenset({Stage.PREFILLING, Stage.TRANSFERRING, Stage.DECODING})
_NO_DEADLINE_S = float("inf")


class RequestStateMachine:
    """
    Turns the events of a request into the actions that its front has to perform.

    Parameters
    ----------
    spec : RequestParameters
        Model, prompt and output limit of the request.
    limits : RetryLimits
        Limits of the attempts.
    accepted_s : float
        Time at which the front accepted the request.

    Attributes
    ----------
    stage : Stage
        Current stage of the request.
    attempt : int
        Number of the current attempt, from 1; 0 before the first.
    placement : Placement or None
        Engines of the current attempt.
    deadline_s : float
        Time at which `RequestTimerFired` is due.
    texts : list[str]
        Texts of the output tokens received so far, from `base_offset` on.
    base_offset : int
        Offset of the first token in `texts`; 0 unless the request was taken over from
        another front.
    first_token_s : float or None
        Time from `accepted_s` to the first token, once it was received.
    """

    def __init__(
        self, spec: RequestParameters, limits: RetryLimits, accepted_s: float
    ) -> None:
        self.spec = spec
        self.stage = Stage.NEW
        self.attempt = 0
        self.placement: Placement | None = None
        self.deadline_s = _NO_DEADLINE_S
        self.texts: list[str] = []
        self.base_offset = 0
        self.first_token_s: float | None = None
        self._limits = limits
        self._accepted_s = accepted_s
        self._now_s = accepted_s
        self._assembler = Assembler(limits.max_pending_chunks)
        self._excluded: tuple[str, ...] = ()
        self._excluded_once = ""
        self._crash_count = 0
        self._crashed_server = ""
        self._has_rate_grant = False
        self._may_have_run = False
        self._is_resuming = False
        self._caller_offset = 0

    @property
    def ended(self) -> bool:
        """Whether the request has finished, failed or was cancelled."""
        return self.stage in _ENDED_STAGES

    @property
    def output_tokens(self) -> int:
        """Number of output tokens delivered so far, by all fronts."""
        return self.base_offset + len(self.texts)

    def progress(self, failed_server: str = "", crashed: bool = False) -> Progress:
        """Return the current progress, for the cell owner."""
        return Progress(
            request_id=self.spec.request_id,
            attempt=max(self.attempt, 1),
            phase=_PHASE_BY_STAGE.get(self.stage, RequestPhase.QUEUED),
            output_tokens=self.output_tokens,
            first_token_s=self.first_token_s,
            failed_server=failed_server,
            crashed=crashed,
        )

    def handle(self, event: RequestEvent, now_s: float) -> list[RequestAction]:
        """Apply an event and return the actions to perform."""
        self._now_s = now_s
        if self.ended:
            return self._handle_after_end(event)
        return self._handle(event)

    def _handle_after_end(self, event: RequestEvent) -> list[RequestAction]:
        # A placement that arrives after the end is reported as ended, so that the cell
        # owner releases its reservation.
        if isinstance(event, AttemptPlaced):
            self.attempt = max(self.attempt, event.placement.attempt)
            return [ReportProgress(self.progress())]
        return []

    @DispatchMethod
    def _handle(self, event: object) -> list[RequestAction]:
        raise TypeError(f"unknown event: {type(event).__name__}")

    @_handle.register
    def _(self, event: RequestAccepted) -> list[RequestAction]:
        self.stage = Stage.QUEUED_FOR_RATE
        return [AskRate(self.spec.prompt_tokens + self.spec.max_output_tokens)]

    @_handle.register
    def _(self, event: RateGranted) -> list[RequestAction]:
        self._has_rate_grant = True
        return self._ask_placement()

    @_handle.register
    def _(self, event: RateRefused) -> list[RequestAction]:
        return self._end(Stage.FAILED, event.failure)

    @_handle.register
    def _(self, event: AttemptPlaced) -> list[RequestAction]:
        placement = event.placement
        if (
            self.stage is not Stage.QUEUED_FOR_PLACEMENT
            or placement.attempt != self.attempt
        ):
            return []
        self.placement = placement
        self._enter_stage(Stage.PREFILLING, self._limits.prefill_s)
        request = PrefillRequest(
            engine_request_id=self._engine_request_id(),
            model=self.spec.model,
            prompt=self.spec.prompt + "".join(self.texts),
            priority=placement.priority,
        )
        send = SendPrefill(
            self.attempt, placement.prefill_server, placement.prefill_address, request
        )
        return [send, ReportProgress(self.progress())]

    @_handle.register
    def _(self, event: PlacementRefused) -> list[RequestAction]:
        if event.attempt != self.attempt:
            return []
        return self._end(Stage.FAILED, event.failure)

    @_handle.register
    def _(self, event: Prefilled) -> list[RequestAction]:
        if event.attempt != self.attempt or self.stage is not Stage.PREFILLING:
            return []
        placement = self._current_placement()
        # The prefill engine evicts its result in less than a second, so the transfer
        # has to start at once and has a deadline. The deadline also covers the first
        # decode step and, in a burst, delays in this process.
        timeout_s = max(
            placement.transfer_deadline_s, self._limits.min_transfer_timeout_s
        )
        self._enter_stage(Stage.TRANSFERRING, timeout_s)
        request = DecodeRequest(
            engine_request_id=self._engine_request_id(),
            model=self.spec.model,
            prefill_address=placement.prefill_address,
            first_offset=self.output_tokens,
            max_output_tokens=self.spec.max_output_tokens - self.output_tokens,
            priority=placement.priority,
        )
        send = SendDecode(
            self.attempt, placement.decode_server, placement.decode_address, request
        )
        return [send, ReportProgress(self.progress())]

    @_handle.register
    def _(self, event: ChunkReceived) -> list[RequestAction]:
        if event.attempt != self.attempt or self.stage not in _RUNNING_STAGES:
            return []
        actions: list[RequestAction] = []
        if self.stage is not Stage.DECODING:
            self._enter_stage(Stage.DECODING, self._limits.silence_s)
            actions.append(ReportProgress(self.progress()))
        self.deadline_s = self._now_s + self._limits.silence_s
        self._is_resuming = False
        try:
            chunks = self._assembler.add(event.chunk)
        except InvalidChunk as error:
            failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, str(error))
            return self._retry(self._current_placement().decode_server, failure)
        return [*actions, *self._deliver(chunks)]

    @_handle.register
    def _(self, event: AttemptFailed) -> list[RequestAction]:
        if event.attempt != self.attempt or self.stage not in _RUNNING_STAGES:
            return []
        if self._skip_to_caller_offset(event.failure):
            return [self._resume_decode()]
        # Failures of other kinds are responses of a server that is alive.
        server_failed = event.failure.kind is ErrorKind.BACKEND_SERVER_FAILED
        return self._retry(event.server, event.failure, server_failed)

    @_handle.register
    def _(self, event: CancelRequested) -> list[RequestAction]:
        self._may_have_run |= self.stage in _RUNNING_STAGES
        return self._end(Stage.CANCELLED, event.failure)

    @_handle.register
    def _(self, event: TakenOver) -> list[RequestAction]:
        self.stage = Stage.CANCELLED
        self.deadline_s = _NO_DEADLINE_S
        return [CloseRequest(Failure(ErrorKind.STREAM_TAKEN_OVER))]

    @_handle.register
    def _(self, event: TakeOverGranted) -> list[RequestAction]:
        self.placement = event.placement
        self.attempt = event.placement.attempt
        self.base_offset = event.offset
        self._caller_offset = max(event.offset, event.caller_offset)
        self._assembler = Assembler(self._limits.max_pending_chunks, event.offset)
        self._enter_stage(Stage.DECODING, self._limits.silence_s)
        self._may_have_run = True
        return [self._resume_decode(), ReportProgress(self.progress())]

    @_handle.register
    def _(self, event: RequestTimerFired) -> list[RequestAction]:
        if self._now_s < self.deadline_s:
            return []
        placement = self._current_placement()
        if self.stage is Stage.DECODING and not self._is_resuming:
            self._is_resuming = True
            self.deadline_s = self._now_s + self._limits.silence_s
            return [self._resume_decode()]
        failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, self.stage.value)
        is_prefilling = self.stage is Stage.PREFILLING
        server = placement.prefill_server if is_prefilling else placement.decode_server
        # The link may be the cause of a stalled transfer, so no server is reported.
        return self._retry(server, failure, self.stage is not Stage.TRANSFERRING)

    def _skip_to_caller_offset(self, failure: Failure) -> bool:
        """Skip to the caller's offset if the engine lacks the output before it."""
        is_offset_refused = failure.kind is ErrorKind.INVALID_OFFSET and not self.texts
        if not is_offset_refused or self.base_offset >= self._caller_offset:
            return False
        self.base_offset = self._caller_offset
        self._assembler = Assembler(self._limits.max_pending_chunks, self.base_offset)
        self.deadline_s = self._now_s + self._limits.silence_s
        return True

    def _ask_placement(self) -> list[RequestAction]:
        self.attempt += 1
        self.placement = None
        self._is_resuming = False
        self._assembler.discard_pending()
        self.stage = Stage.QUEUED_FOR_PLACEMENT
        self.deadline_s = _NO_DEADLINE_S
        crashed_server, self._crashed_server = self._crashed_server, ""
        return [
            AskPlacement(
                attempt=self.attempt,
                prompt_tokens=self.spec.prompt_tokens + self.output_tokens,
                max_output_tokens=self.spec.max_output_tokens - self.output_tokens,
                suspect=self._crash_count > 0,
                excluded=self._excluded
                + ((self._excluded_once,) if self._excluded_once else ()),
                crashed_server=crashed_server,
            )
        ]

    def _retry(
        self, server: str, failure: Failure, server_failed: bool = True
    ) -> list[RequestAction]:
        """End the current attempt, and start another or close the request."""
        crashed = False
        if failure.final_run_state is not RunState.NOT_RUN:
            self._may_have_run = True
            crashed = failure.kind is ErrorKind.BACKEND_SERVER_FAILED
            self._crash_count += crashed
        # After the prefill stage the prefill has run.
        self._may_have_run |= self.stage is not Stage.PREFILLING
        # A server that is alive is excluded from the next attempt only. Otherwise a few
        # stalls in a small fleet would exclude all servers and refuse the request.
        self._excluded_once = "" if server_failed else server
        if server_failed and server not in self._excluded:
            self._excluded = (*self._excluded, server)
        failed_server = server if server_failed else ""
        if self.output_tokens >= self.spec.max_output_tokens:
            return self._finish_at_length()
        # Without a rate grant the request was taken over, and its prompt is unknown.
        is_prompt_unknown = not self._has_rate_grant
        is_exhausted = self.attempt >= self._limits.attempts
        if (
            is_prompt_unknown
            or is_exhausted
            or self._crash_count >= self._limits.crashes
        ):
            return self._end(Stage.FAILED, failure, failed_server, crashed)
        cancellations = self._cancel_engines()
        self.stage = Stage.FAILED
        self._crashed_server = server if crashed else ""
        report = ReportProgress(self.progress(failed_server, crashed))
        return [*cancellations, report, *self._ask_placement()]

    def _finish_at_length(self) -> list[RequestAction]:
        # Only the last chunk is missing, which has no text.
        last = DecodeChunk(self.output_tokens, finish_reason="length")
        return [*self._cancel_engines(), *self._deliver(self._assembler.add(last))]

    def _deliver(self, chunks: tuple[DecodeChunk, ...]) -> list[RequestAction]:
        if not chunks:
            return []
        for chunk in chunks:
            if chunk.finish_reason is None:
                assert chunk.offset == self.output_tokens, (
                    "a token is duplicate or out of order"
                )
                self.texts.append(chunk.text)
        if self.first_token_s is None:
            self.first_token_s = self._now_s - self._accepted_s
        if not self._assembler.finished:
            return [DeliverChunks(chunks)]
        return [DeliverChunks(chunks), *self._end(Stage.FINISHED, None)]

    def _end(
        self,
        stage: Stage,
        failure: Failure | None,
        failed_server: str = "",
        crashed: bool = False,
    ) -> list[RequestAction]:
        actions: list[RequestAction] = []
        if failure is not None:
            state = self._final_run_state()
            failure = msgspec.structs.replace(failure, run_state=state)
            actions += self._cancel_engines()
        # The cell owner may have placed the request, with its response in transit.
        is_queued = self.stage is Stage.QUEUED_FOR_PLACEMENT
        if is_queued:
            actions.append(WithdrawRequest())
        self.stage = stage
        self.deadline_s = _NO_DEADLINE_S
        if is_queued or self.placement is not None:
            actions.append(ReportProgress(self.progress(failed_server, crashed)))
        unused_tokens = self._unused_tokens()
        if unused_tokens > 0:
            actions.append(RefundTokens(unused_tokens))
        return [*actions, CloseRequest(failure)]

    def _final_run_state(self) -> RunState:
        if self.output_tokens:
            return RunState.RAN
        return RunState.UNKNOWN if self._may_have_run else RunState.NOT_RUN

    def _unused_tokens(self) -> int:
        if not self._has_rate_grant:
            return 0
        unused_tokens = self.spec.max_output_tokens - self.output_tokens
        if not self._may_have_run:
            unused_tokens += self.spec.prompt_tokens
        return unused_tokens

    def _cancel_engines(self) -> list[RequestAction]:
        placement = self.placement
        if placement is None:
            return []
        engine_request_id = self._engine_request_id()
        addresses = dict.fromkeys((placement.prefill_address, placement.decode_address))
        return [CancelOnServer(item, engine_request_id) for item in addresses if item]

    def _resume_decode(self) -> ResumeDecode:
        placement = self._current_placement()
        return ResumeDecode(
            self.attempt,
            placement.decode_server,
            placement.decode_address,
            self._engine_request_id(),
            self._assembler.next_offset,
        )

    def _enter_stage(self, stage: Stage, timeout_s: float) -> None:
        self.stage = stage
        self.deadline_s = self._now_s + timeout_s

    def _engine_request_id(self) -> str:
        return f"{self.spec.request_id}.{self.attempt}"

    def _current_placement(self) -> Placement:
        assert self.placement is not None, "no attempt is placed"
        return self.placement
