"""Events and actions of the scheduler of one cell."""

from dataclasses import dataclass

from damaskridge.model.bundle import BackendServer, Workspace
from damaskridge.model.engine import (
    CacheEventPage,
    EngineRequest,
    LoadReport,
    OrderKind,
)
from damaskridge.model.routing import (
    ActiveRequest,
    ProgressBatch,
    RequestProfile,
    SubmitReply,
    TakeOver,
    TakeOverReply,
)

__all__ = [
    "CacheReported",
    "CancelOnEngine",
    "CellAction",
    "CellChanged",
    "CellEvent",
    "CellGained",
    "EngineRequestsListed",
    "FrontLost",
    "FrontRegistered",
    "LoadReported",
    "NotifyTakenOver",
    "ProgressReported",
    "ReportCrashedRequests",
    "ReportSuspectCleared",
    "RequestRegistered",
    "RequestSubmitted",
    "RequestWithdrawn",
    "SendOrder",
    "SendSubmitResponse",
    "SendTakeOverResponse",
    "ServerFailed",
    "ServerLeaving",
    "ServerRecovered",
    "ServerLeaveCancelled",
    "TakeOverRequested",
    "TimePassed",
]


@dataclass(frozen=True, slots=True)
class CellGained:
    """
    The host now owns the cell.

    Nothing is placed before every host in `fronts` has registered its running
    requests (`RequestRegistered`, then `FrontRegistered`) or was reported lost,
    and every engine has been listed once or reported as failed.
    """

    cell: str
    epoch: int
    backend_servers: tuple[BackendServer, ...]
    workspaces: tuple[Workspace, ...]
    fronts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CellChanged:
    """A new bundle changed the cell's servers or the workspaces."""

    backend_servers: tuple[BackendServer, ...]
    workspaces: tuple[Workspace, ...]


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A front asks for a placement."""

    profile: RequestProfile


@dataclass(frozen=True, slots=True)
class RequestRegistered:
    """A front reports a request that already runs."""

    active: ActiveRequest


@dataclass(frozen=True, slots=True)
class FrontRegistered:
    """A front has reported all its running requests."""

    front: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """A front gives a request up, queued or running."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ProgressReported:
    """Progress of a front's requests."""

    batch: ProgressBatch


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An engine's load report arrived."""

    backend_server: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class CacheReported:
    """Cache events of an engine arrived."""

    backend_server: str
    page: CacheEventPage


@dataclass(frozen=True, slots=True)
class EngineRequestsListed:
    """An engine's own list of requests arrived; `requested_s` is when it was asked."""

    backend_server: str
    requests: tuple[EngineRequest, ...]
    requested_s: float


@dataclass(frozen=True, slots=True)
class ServerFailed:
    """A server died (`crashed`) or does not answer."""

    backend_server: str
    incarnation: int
    crashed: bool


@dataclass(frozen=True, slots=True)
class ServerRecovered:
    """A server answers again."""

    backend_server: str


@dataclass(frozen=True, slots=True)
class ServerLeaveCancelled:
    """A server that was leaving is not leaving any more."""

    backend_server: str


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A server is leaving: no new work."""

    backend_server: str


@dataclass(frozen=True, slots=True)
class FrontLost:
    """A front's process is gone, or its session ended."""

    front: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class TakeOverRequested:
    """A front asks to continue a request of a front that is gone."""

    take_over: TakeOver


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Nothing happened but time."""


CellEvent = (
    CellGained
    | CellChanged
    | RequestSubmitted
    | RequestRegistered
    | FrontRegistered
    | RequestWithdrawn
    | ProgressReported
    | LoadReported
    | CacheReported
    | EngineRequestsListed
    | ServerFailed
    | ServerRecovered
    | ServerLeaving
    | ServerLeaveCancelled
    | FrontLost
    | TakeOverRequested
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class SendSubmitResponse:
    """Answer a submitted request."""

    front: str
    request_id: str
    reply: SubmitReply


@dataclass(frozen=True, slots=True)
class SendTakeOverResponse:
    """Answer a request to take over."""

    front: str
    request_id: str
    reply: TakeOverReply


@dataclass(frozen=True, slots=True)
class NotifyTakenOver:
    """Tell the earlier front, if it is alive, that the request is no longer its."""

    front: str
    request_id: str


@dataclass(frozen=True, slots=True)
class CancelOnEngine:
    """Cancel a request on an engine and free its memory."""

    backend_server: str
    engine_request_id: str


@dataclass(frozen=True, slots=True)
class ReportCrashedRequests:
    """Report the fingerprints that ran on an engine when it died."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReportSuspectCleared:
    """A suspect ran to its end without a crash."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to an engine, with a fencing number of the owner."""

    backend_server: str
    kind: OrderKind
    value: str


CellAction = (
    SendSubmitResponse
    | SendTakeOverResponse
    | NotifyTakenOver
    | CancelOnEngine
    | ReportCrashedRequests
    | ReportSuspectCleared
    | SendOrder
)
