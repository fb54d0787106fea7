"""Events and actions of the cell scheduler."""

from dataclasses import dataclass

from damaskridge.model.bundle import BackendServer, Workspace
from damaskridge.model.engine import (
    CacheEventPage,
    EngineRequestStatus,
    LoadReport,
    OrderKind,
)
from damaskridge.model.routing import (
    ActiveRequest,
    ProgressBatch,
    RequestProfile,
    SubmitResponse,
    TakeOver,
    TakeOverResponse,
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
    "SchedulerTimerFired",
]


@dataclass(frozen=True, slots=True)
class CellGained:
    """
    The host acquired the ownership of the cell.

    No request is placed until every host in `fronts` has registered its running
    requests (`RequestRegistered`, then `FrontRegistered`) or was reported lost, and
    every engine has listed its requests once or was reported as failed.
    """

    cell: str
    epoch: int
    backend_servers: tuple[BackendServer, ...]
    workspaces: tuple[Workspace, ...]
    fronts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CellChanged:
    """A new bundle changed the servers of the cell or the workspaces."""

    backend_servers: tuple[BackendServer, ...]
    workspaces: tuple[Workspace, ...]


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A front requests a placement."""

    profile: RequestProfile


@dataclass(frozen=True, slots=True)
class RequestRegistered:
    """A front reports a request that runs already, to a new owner of the cell."""

    active: ActiveRequest


@dataclass(frozen=True, slots=True)
class FrontRegistered:
    """A front has registered all its running requests."""

    front: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """A front cancels a request, queued or running."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ProgressReported:
    """A front reports the progress of its requests."""

    batch: ProgressBatch


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An engine returned a load report."""

    backend_server: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class CacheReported:
    """An engine returned a page of prefix cache events."""

    backend_server: str
    page: CacheEventPage


@dataclass(frozen=True, slots=True)
class EngineRequestsListed:
    """An engine listed the requests it holds; the call was sent at `requested_s`."""

    backend_server: str
    requests: tuple[EngineRequestStatus, ...]
    requested_s: float


@dataclass(frozen=True, slots=True)
class ServerFailed:
    """A server crashed (`crashed`) or does not respond."""

    backend_server: str
    incarnation: int
    crashed: bool


@dataclass(frozen=True, slots=True)
class ServerRecovered:
    """A server responds again."""

    backend_server: str


@dataclass(frozen=True, slots=True)
class ServerLeaveCancelled:
    """A server that was leaving stays after all."""

    backend_server: str


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A server is leaving and gets no new requests."""

    backend_server: str


@dataclass(frozen=True, slots=True)
class FrontLost:
    """The process of a front is gone, or its session ended."""

    front: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class TakeOverRequested:
    """A front asks to take over a request of a lost front."""

    take_over: TakeOver


@dataclass(frozen=True, slots=True)
class SchedulerTimerFired:
    """A timer fired; no other event happened."""


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
    | SchedulerTimerFired
)


@dataclass(frozen=True, slots=True)
class SendSubmitResponse:
    """Send the response to `RequestSubmitted`."""

    front: str
    request_id: str
    response: SubmitResponse


@dataclass(frozen=True, slots=True)
class SendTakeOverResponse:
    """Send the response to `TakeOverRequested`."""

    front: str
    request_id: str
    response: TakeOverResponse


@dataclass(frozen=True, slots=True)
class NotifyTakenOver:
    """Notify the previous front, if it is alive, that a request was taken over."""

    front: str
    request_id: str


@dataclass(frozen=True, slots=True)
class CancelOnEngine:
    """Cancel a request on an engine, which frees its memory there."""

    backend_server: str
    engine_request_id: str


@dataclass(frozen=True, slots=True)
class ReportCrashedRequests:
    """Report the fingerprints that ran on an engine when it crashed."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReportSuspectCleared:
    """Report that a suspect request finished without a crash."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to an engine, with a fencing number of the cell owner."""

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
