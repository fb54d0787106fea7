"""Events and actions of the life cycle of a request."""

from dataclasses import dataclass, field
from enum import Enum

from damaskridge.model.engine import DecodeChunk, DecodeRequest, PrefillRequest
from damaskridge.model.errors import Failure
from damaskridge.model.routing import Placement, Progress

__all__ = [
    "RequestAction",
    "AskPlacement",
    "AskRate",
    "AttemptFailed",
    "RequestAccepted",
    "CancelOnServer",
    "CancelRequested",
    "ChunkReceived",
    "CloseRequest",
    "TakeOverGranted",
    "DeliverChunks",
    "RequestEvent",
    "RateGranted",
    "AttemptPlaced",
    "PlacementRefused",
    "Prefilled",
    "RateRefused",
    "RefundTokens",
    "ReportProgress",
    "RequestParameters",
    "ResumeDecode",
    "RetryLimits",
    "SendDecode",
    "SendPrefill",
    "Stage",
    "TakenOver",
    "RequestTimerFired",
    "WithdrawRequest",
]


class Stage(Enum):
    """Stage of a request on its front."""

    NEW = "new"
    QUEUED_FOR_RATE = "queued_for_rate"
    QUEUED_FOR_PLACEMENT = "queued_for_placement"
    PREFILLING = "prefilling"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class RequestParameters:
    """Parameters of a request; `prompt` never appears in its `repr`."""

    request_id: str
    model: str
    prompt: str = field(repr=False)
    prompt_tokens: int
    max_output_tokens: int


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """
    Limits of the attempts of a request.

    Parameters
    ----------
    attempts : int
        Limit of the attempts on engines.
    crashes : int
        Limit of engine connections that broke while they ran this request. It bounds
        how many engines a request that crashes them can bring down.
    silence_s : float
        Time without a chunk after which a stream is resumed on a new connection, and
        after which a resumed stream counts as failed.
    prefill_s : float
        Timeout of the prefill.
    min_transfer_timeout_s : float
        Lower limit of the timeout from the end of prefill to the first token. With
        0.3 s, 144 of 200 requests that arrived at once were retried elsewhere and then
        refused, although no transfer had stalled.
    max_pending_chunks : int
        Limit of how far ahead of the next token a received chunk may be.
    """

    attempts: int = 4
    crashes: int = 2
    silence_s: float = 1.5
    prefill_s: float = 30.0
    min_transfer_timeout_s: float = 1.0
    max_pending_chunks: int = 256


@dataclass(frozen=True, slots=True)
class RequestAccepted:
    """The front accepted the request."""


@dataclass(frozen=True, slots=True)
class RateGranted:
    """The rate owner granted the tokens of the request."""


@dataclass(frozen=True, slots=True)
class RateRefused:
    """The rate owner refused the tokens of the request."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class AttemptPlaced:
    """The cell owner placed the attempt on engines."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """The cell owner refused to place the attempt."""

    attempt: int
    failure: Failure


@dataclass(frozen=True, slots=True)
class Prefilled:
    """The prefill engine finished and holds the result for the transfer."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """The decode engine sent a chunk of the output."""

    attempt: int
    chunk: DecodeChunk


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A call to an engine failed, or the stream of one ended early."""

    attempt: int
    server: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The request is to be cancelled, for the reason in `failure`."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class TakenOver:
    """Another front serves the request now; engines must keep running it."""


@dataclass(frozen=True, slots=True)
class TakeOverGranted:
    """
    The front took over a request of a lost front.

    Parameters
    ----------
    placement : Placement
        Engines of the last attempt.
    offset : int
        Offset of the first token to fetch.
    caller_offset : int
        Offset of the first token that the caller needs; used if the engine lacks
        the output before it.
    """

    placement: Placement
    offset: int
    caller_offset: int = 0


@dataclass(frozen=True, slots=True)
class RequestTimerFired:
    """A timer fired; a deadline may have passed."""


RequestEvent = (
    RequestAccepted
    | RateGranted
    | RateRefused
    | AttemptPlaced
    | PlacementRefused
    | Prefilled
    | ChunkReceived
    | AttemptFailed
    | CancelRequested
    | TakenOver
    | TakeOverGranted
    | RequestTimerFired
)


@dataclass(frozen=True, slots=True)
class AskRate:
    """Request `cost_tokens` from the rate owner."""

    cost_tokens: int


@dataclass(frozen=True, slots=True)
class AskPlacement:
    """Request a placement on engines from the cell owner."""

    attempt: int
    prompt_tokens: int
    max_output_tokens: int
    suspect: bool
    excluded: tuple[str, ...]
    crashed_server: str = ""


@dataclass(frozen=True, slots=True)
class SendPrefill:
    """Start the prefill on an engine."""

    attempt: int
    server: str
    address: str
    request: PrefillRequest


@dataclass(frozen=True, slots=True)
class SendDecode:
    """Start the KV transfer and the decode on an engine."""

    attempt: int
    server: str
    address: str
    request: DecodeRequest


@dataclass(frozen=True, slots=True)
class ResumeDecode:
    """Replace the connection to an engine and resume its stream at `offset`."""

    attempt: int
    server: str
    address: str
    engine_request_id: str
    offset: int


@dataclass(frozen=True, slots=True)
class CancelOnServer:
    """Cancel an attempt on an engine, which frees everything held for it."""

    address: str
    engine_request_id: str


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """Withdraw the request from the queue of the cell owner."""


@dataclass(frozen=True, slots=True)
class DeliverChunks:
    """Deliver chunks to the caller."""

    chunks: tuple[DecodeChunk, ...]


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Report progress to the cell owner without waiting for the next batch."""

    progress: Progress


@dataclass(frozen=True, slots=True)
class RefundTokens:
    """Return unused tokens to the rate owner."""

    tokens: int


@dataclass(frozen=True, slots=True)
class CloseRequest:
    """Close the request: finished if `failure` is `None`, else failed."""

    failure: Failure | None = None


RequestAction = (
    AskRate
    | AskPlacement
    | SendPrefill
    | SendDecode
    | ResumeDecode
    | CancelOnServer
    | WithdrawRequest
    | DeliverChunks
    | ReportProgress
    | RefundTokens
    | CloseRequest
)
