"""Events and actions of the life cycle of one request."""

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
    "Placed",
    "PlacementRefused",
    "Prefilled",
    "RateRefused",
    "RefundTokens",
    "ReportProgress",
    "RequestSpec",
    "ResumeDecode",
    "RetryLimits",
    "SendDecode",
    "SendPrefill",
    "Stage",
    "TakenOver",
    "TimePassed",
    "WithdrawRequest",
]


class Stage(Enum):
    """Where a request is."""

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
class RequestSpec:
    """What a caller asked for; `prompt` never appears in `repr`."""

    request_id: str
    model: str
    prompt: str = field(repr=False)
    prompt_tokens: int
    max_output_tokens: int


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """
    Bounds of one request's attempts.

    Parameters
    ----------
    attempts : int
        Most attempts on engines.
    crashes : int
        Connections that broke under this request; a request that crashes engines
        may cost two of them.
    silence_s : float
        Time without a chunk after which a stream is resumed on a new connection.
    prefill_s : float
        Longest prefill.
    transfer_s : float
        Shortest deadline from the end of prefill to the first token. With 0.3 s, 144
        of 200 requests that came at once were moved and then refused, although no
        transfer had stalled.
    window : int
        Most chunks that wait for a missing one.
    """

    attempts: int = 4
    crashes: int = 2
    silence_s: float = 1.5
    prefill_s: float = 30.0
    transfer_s: float = 1.0
    window: int = 256


@dataclass(frozen=True, slots=True)
class RequestAccepted:
    """The front accepted the request."""


@dataclass(frozen=True, slots=True)
class RateGranted:
    """The rate owner granted the request."""


@dataclass(frozen=True, slots=True)
class RateRefused:
    """The rate owner refused the request."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class Placed:
    """The cell owner placed an attempt."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """The cell owner refused an attempt."""

    attempt: int
    failure: Failure


@dataclass(frozen=True, slots=True)
class Prefilled:
    """The prefill engine holds the result."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """A chunk arrived from the decode engine."""

    attempt: int
    chunk: DecodeChunk


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A call to an engine failed, or its stream ended early."""

    attempt: int
    server: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The request must stop, for the reason in `failure`."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class TakenOver:
    """Another front continues the request; engines must keep running it."""


@dataclass(frozen=True, slots=True)
class TakeOverGranted:
    """
    The front continues a request of a front that is gone.

    Parameters
    ----------
    placement : Placement
        Engines of its last attempt.
    offset : int
        First token to fetch.
    caller_offset : int
        First token to fetch if the engine has none before; the caller's offset.
    """

    placement: Placement
    offset: int
    caller_offset: int = 0


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A deadline may have passed."""


RequestEvent = (
    RequestAccepted
    | RateGranted
    | RateRefused
    | Placed
    | PlacementRefused
    | Prefilled
    | ChunkReceived
    | AttemptFailed
    | CancelRequested
    | TakenOver
    | TakeOverGranted
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class AskRate:
    """Ask the rate owner for `cost_tokens`."""

    cost_tokens: int


@dataclass(frozen=True, slots=True)
class AskPlacement:
    """Ask the cell owner for engines."""

    attempt: int
    prompt_tokens: int
    max_output_tokens: int
    suspect: bool
    excluded: tuple[str, ...]
    crashed_server: str = ""


@dataclass(frozen=True, slots=True)
class SendPrefill:
    """Send a prefill to an engine."""

    attempt: int
    server: str
    address: str
    request: PrefillRequest


@dataclass(frozen=True, slots=True)
class SendDecode:
    """Import and decode on an engine."""

    attempt: int
    server: str
    address: str
    request: DecodeRequest


@dataclass(frozen=True, slots=True)
class ResumeDecode:
    """Replace the connection to an engine and read on at `offset`."""

    attempt: int
    server: str
    address: str
    engine_request_id: str
    offset: int


@dataclass(frozen=True, slots=True)
class CancelOnServer:
    """Free everything that an engine holds for an attempt."""

    address: str
    engine_request_id: str


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """Take the request out of the cell owner's queue."""


@dataclass(frozen=True, slots=True)
class DeliverChunks:
    """Hand chunks to the caller."""

    chunks: tuple[DecodeChunk, ...]


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Tell the cell owner at once."""

    progress: Progress


@dataclass(frozen=True, slots=True)
class RefundTokens:
    """Give unused tokens back."""

    tokens: int


@dataclass(frozen=True, slots=True)
class CloseRequest:
    """The request has ended, well if `failure` is `None`."""

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
