"""The life cycle of one request on its front, without I/O."""

import msgspec

from damaskridge.core.dispatch import DispatchMethod
from damaskridge.core.requests.assembler import Assembler, InvalidChunk
from damaskridge.core.requests.messages import (
    AskPlacement,
    AskRate,
    AttemptFailed,
    CancelOnServer,
    CancelRequested,
    ChunkReceived,
    CloseRequest,
    DeliverChunks,
    Placed,
    PlacementRefused,
    Prefilled,
    RateGranted,
    RateRefused,
    RefundTokens,
    ReportProgress,
    RequestAccepted,
    RequestAction,
    RequestEvent,
    RequestSpec,
    ResumeDecode,
    RetryLimits,
    SendDecode,
    SendPrefill,
    Stage,
    TakenOver,
    TakeOverGranted,
    TimePassed,
    WithdrawRequest,
)
from damaskridge.model.engine import DecodeChunk, DecodeRequest, PrefillRequest
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import Placement, Progress, RequestPhase

__all__ = ["RequestStateMachine"]

_PHASES = {
    Stage.PREFILLING: RequestPhase.PREFILLING,
    Stage.TRANSFERRING: RequestPhase.TRANSFERRING,
    Stage.DECODING: RequestPhase.DECODING,
    Stage.FINISHED: RequestPhase.FINISHED,
    Stage.FAILED: RequestPhase.CANCELLED,
    Stage.CANCELLED: RequestPhase.CANCELLED,
}
_ENDED = frozenset({Stage.FINISHED, Stage.FAILED, Stage.CANCELLED})
_RUNNING = frozenset({Stage.PREFILLING, Stage.TRANSFERRING, Stage.DECODING})
_NEVER_S = float("inf")


class RequestStateMachine:
    """
    Decides what happens to one request.

    Parameters
    ----------
    spec : RequestSpec
        What the caller asked for.
    limits : RetryLimits
        Bounds of the attempts.
    accepted_s : float
        When the front accepted the request.

    Attributes
    ----------
    stage : Stage
        Where the request is.
    attempt : int
        The current attempt, from 1; 0 before the first.
    placement : Placement or None
        Engines of the current attempt.
    deadline_s : float
        When `TimePassed` is due.
    texts : list[str]
        Output tokens so far, the first at `base_offset`.
    base_offset : int
        Not 0 for a request that was taken over from another front.
    """

    def __init__(
        self, spec: RequestSpec, limits: RetryLimits, accepted_s: float
    ) -> None:
        self.spec = spec
        self.stage = Stage.NEW
        self.attempt = 0
        self.placement: Placement | None = None
        self.deadline_s = _NEVER_S
        self.texts: list[str] = []
        self.base_offset = 0
        self.first_token_s: float | None = None
        self._limits = limits
        self._accepted_s = accepted_s
        self._now_s = accepted_s
        self._assembler = Assembler(limits.window)
        self._excluded: tuple[str, ...] = ()
        self._avoided = ""
        self._crashes = 0
        self._crashed_server = ""
        self._granted = False
        self._may_have_run = False
        self._resumed = False
        self._wanted_offset = 0

    @property
    def ended(self) -> bool:
        """Whether the request has its final answer."""
        return self.stage in _ENDED

    @property
    def output_tokens(self) -> int:
        """Number of tokens delivered so far, by all fronts."""
        return self.base_offset + len(self.texts)

    def progress(self, failed_server: str = "", crashed: bool = False) -> Progress:
        """Return what the cell owner needs to know now."""
        return Progress(
            request_id=self.spec.request_id,
            attempt=max(self.attempt, 1),
            phase=_PHASES.get(self.stage, RequestPhase.QUEUED),
            output_tokens=self.output_tokens,
            first_token_s=self.first_token_s,
            failed_server=failed_server,
            crashed=crashed,
        )

    def handle(self, event: RequestEvent, now_s: float) -> list[RequestAction]:
        """Apply an event and return what has to be done."""
        self._now_s = now_s
        if self.ended:
            return self._after_end(event)
        return self._handle(event)

    def _after_end(self, event: RequestEvent) -> list[RequestAction]:
        # The reservation of a placement that arrives after the end is released.
        if isinstance(event, Placed):
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
        self._granted = True
        return self._ask_placement()

    @_handle.register
    def _(self, event: RateRefused) -> list[RequestAction]:
        return self._end(Stage.FAILED, event.failure)

    @_handle.register
    def _(self, event: Placed) -> list[RequestAction]:
        placement = event.placement
        if (
            self.stage is not Stage.QUEUED_FOR_PLACEMENT
            or placement.attempt != self.attempt
        ):
            return []
        self.placement = placement
        self._enter(Stage.PREFILLING, self._limits.prefill_s)
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
        placement = self._placed()
        # The prefill engine evicts its result in under a second, so the transfer
        # starts at once and has a deadline. The first token also waits for the first
        # decode step and, in a burst, for this process.
        limit_s = max(placement.transfer_deadline_s, self._limits.transfer_s)
        self._enter(Stage.TRANSFERRING, limit_s)
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
        if event.attempt != self.attempt or self.stage not in _RUNNING:
            return []
        actions: list[RequestAction] = []
        if self.stage is not Stage.DECODING:
            self._enter(Stage.DECODING, self._limits.silence_s)
            actions.append(ReportProgress(self.progress()))
        self.deadline_s = self._now_s + self._limits.silence_s
        self._resumed = False
        try:
            chunks = self._assembler.add(event.chunk)
        except InvalidChunk as error:
            failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, str(error))
            return self._retry(self._placed().decode_server, failure)
        return [*actions, *self._deliver(chunks)]

    @_handle.register
    def _(self, event: AttemptFailed) -> list[RequestAction]:
        if event.attempt != self.attempt or self.stage not in _RUNNING:
            return []
        if self._starts_later(event.failure):
            return [self._resume()]
        # Other kinds are answers of a server that is alive.
        broken = event.failure.kind is ErrorKind.BACKEND_SERVER_FAILED
        return self._retry(event.server, event.failure, broken)

    @_handle.register
    def _(self, event: CancelRequested) -> list[RequestAction]:
        self._may_have_run |= self.stage in _RUNNING
        return self._end(Stage.CANCELLED, event.failure)

    @_handle.register
    def _(self, event: TakenOver) -> list[RequestAction]:
        self.stage = Stage.CANCELLED
        self.deadline_s = _NEVER_S
        return [CloseRequest(Failure(ErrorKind.STREAM_TAKEN_OVER))]

    @_handle.register
    def _(self, event: TakeOverGranted) -> list[RequestAction]:
        self.placement = event.placement
        self.attempt = event.placement.attempt
        self.base_offset = event.offset
        self._wanted_offset = max(event.offset, event.caller_offset)
        self._assembler = Assembler(self._limits.window, event.offset)
        self._enter(Stage.DECODING, self._limits.silence_s)
        self._may_have_run = True
        return [self._resume(), ReportProgress(self.progress())]

    @_handle.register
    def _(self, event: TimePassed) -> list[RequestAction]:
        if self._now_s < self.deadline_s:
            return []
        placement = self._placed()
        if self.stage is Stage.DECODING and not self._resumed:
            self._resumed = True
            self.deadline_s = self._now_s + self._limits.silence_s
            return [self._resume()]
        failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, self.stage.value)
        prefilling = self.stage is Stage.PREFILLING
        server = placement.prefill_server if prefilling else placement.decode_server
        # A stalled transfer may be the link's fault, so no server is reported.
        return self._retry(server, failure, self.stage is not Stage.TRANSFERRING)

    def _starts_later(self, failure: Failure) -> bool:
        """Continue at the caller's offset if the engine has nothing before it."""
        refused = failure.kind is ErrorKind.INVALID_OFFSET and not self.texts
        if not refused or self.base_offset >= self._wanted_offset:
            return False
        self.base_offset = self._wanted_offset
        self._assembler = Assembler(self._limits.window, self.base_offset)
        self.deadline_s = self._now_s + self._limits.silence_s
        return True

    def _ask_placement(self) -> list[RequestAction]:
        self.attempt += 1
        self.placement = None
        self._resumed = False
        self._assembler.restart()
        self.stage = Stage.QUEUED_FOR_PLACEMENT
        self.deadline_s = _NEVER_S
        crashed_server, self._crashed_server = self._crashed_server, ""
        return [
            AskPlacement(
                attempt=self.attempt,
                prompt_tokens=self.spec.prompt_tokens + self.output_tokens,
                max_output_tokens=self.spec.max_output_tokens - self.output_tokens,
                suspect=self._crashes > 0,
                excluded=self._excluded + ((self._avoided,) if self._avoided else ()),
                crashed_server=crashed_server,
            )
        ]

    def _retry(
        self, server: str, failure: Failure, server_failed: bool = True
    ) -> list[RequestAction]:
        crashed = False
        if failure.ran is not RunState.NOT_RUN:
            self._may_have_run = True
            crashed = failure.kind is ErrorKind.BACKEND_SERVER_FAILED
            self._crashes += crashed
        # A prefill has run by the time of a transfer.
        self._may_have_run |= self.stage is not Stage.PREFILLING
        # A server that is alive is avoided once only, else a few stalls in a small
        # fleet would leave no server and refuse the request.
        self._avoided = "" if server_failed else server
        if server_failed and server not in self._excluded:
            self._excluded = (*self._excluded, server)
        failed_server = server if server_failed else ""
        if self.output_tokens >= self.spec.max_output_tokens:
            return self._finish_at_length()
        # The prompt of a request that was taken over is not known here.
        no_prompt = not self._granted
        exhausted = self.attempt >= self._limits.attempts
        if no_prompt or exhausted or self._crashes >= self._limits.crashes:
            return self._end(Stage.FAILED, failure, failed_server, crashed)
        cancels = self._cancel_engines()
        self.stage = Stage.FAILED
        self._crashed_server = server if crashed else ""
        report = ReportProgress(self.progress(failed_server, crashed))
        return [*cancels, report, *self._ask_placement()]

    def _finish_at_length(self) -> list[RequestAction]:
        # Only the last chunk, which carries no text, was lost.
        last = DecodeChunk(self.output_tokens, finish_reason="length")
        return [*self._cancel_engines(), *self._deliver(self._assembler.add(last))]

    def _deliver(self, chunks: tuple[DecodeChunk, ...]) -> list[RequestAction]:
        if not chunks:
            return []
        for chunk in chunks:
            if chunk.finish_reason is None:
                assert chunk.offset == self.output_tokens, (
                    "a token twice or out of order"
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
        # The placement may have been decided while its answer is on the way.
        queued = self.stage is Stage.QUEUED_FOR_PLACEMENT
        if queued:
            actions.append(WithdrawRequest())
        self.stage = stage
        self.deadline_s = _NEVER_S
        if queued or self.placement is not None:
            actions.append(ReportProgress(self.progress(failed_server, crashed)))
        unused = self._unused_tokens()
        if unused > 0:
            actions.append(RefundTokens(unused))
        return [*actions, CloseRequest(failure)]

    def _final_run_state(self) -> RunState:
        if self.output_tokens:
            return RunState.RAN
        return RunState.UNKNOWN if self._may_have_run else RunState.NOT_RUN

    def _unused_tokens(self) -> int:
        if not self._granted:
            return 0
        unused = self.spec.max_output_tokens - self.output_tokens
        if not self._may_have_run:
            unused += self.spec.prompt_tokens
        return unused

    def _cancel_engines(self) -> list[RequestAction]:
        placement = self.placement
        if placement is None:
            return []
        engine_request_id = self._engine_request_id()
        addresses = dict.fromkeys((placement.prefill_address, placement.decode_address))
        return [CancelOnServer(item, engine_request_id) for item in addresses if item]

    def _resume(self) -> ResumeDecode:
        placement = self._placed()
        return ResumeDecode(
            self.attempt,
            placement.decode_server,
            placement.decode_address,
            self._engine_request_id(),
            self._assembler.next_offset,
        )

    def _enter(self, stage: Stage, limit_s: float) -> None:
        self.stage = stage
        self.deadline_s = self._now_s + limit_s

    def _engine_request_id(self) -> str:
        return f"{self.spec.request_id}.{self.attempt}"

    def _placed(self) -> Placement:
        assert self.placement is not None, "no engine before a placement"
        return self.placement
