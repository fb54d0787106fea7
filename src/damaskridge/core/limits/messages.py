"""Events and actions of the rate owner."""

from dataclasses import dataclass

from damaskridge.model.bundle import Workspace
from damaskridge.model.routing import RateRequest, RateResponse, Refund

__all__ = [
    "OwnershipEnded",
    "OwnershipGained",
    "RateAction",
    "RateEvent",
    "RateRequested",
    "RateTimerFired",
    "RefundReceived",
    "ReleaseBucket",
    "ReleaseRequested",
    "RequestActive",
    "RequestEnded",
    "SendRateResponse",
    "WorkspaceChanged",
]


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """
    The ownership of a workspace's rate has moved to this host.

    `level_tokens` is the bucket level that the previous owner released, or 0 after a
    crash. `is_level_unknown` marks a level that was lost with the previous owner.
    Requests with an idempotency key wait until every host in `fronts` has reported
    its active requests: one `RequestActive` per request, then one with an empty
    request id as the end marker.
    """

    workspace: Workspace
    epoch: int
    level_tokens: float
    fronts: tuple[str, ...]
    is_level_unknown: bool = False


@dataclass(frozen=True, slots=True)
class WorkspaceChanged:
    """A new bundle has changed the workspace's rate, burst or weight."""

    workspace: Workspace


@dataclass(frozen=True, slots=True)
class OwnershipEnded:
    """The lease of this host or its ownership of the workspace has ended."""

    workspace: str


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The ownership moves: refuse waiting and new requests and release the level."""

    workspace: str


@dataclass(frozen=True, slots=True)
class RateRequested:
    """A front requests admission; a grant is valid for `lease_remaining_s` at most."""

    request: RateRequest
    lease_remaining_s: float


@dataclass(frozen=True, slots=True)
class RefundReceived:
    """A front refunds unused tokens of a request."""

    refund: Refund


@dataclass(frozen=True, slots=True)
class RequestActive:
    """
    A front reports a request with an idempotency key that is active there.

    An empty `request_id` marks the end of the front's report.
    """

    workspace: str
    front: str
    request_id: str
    idempotency_key: str
    body_digest: str
    finished: bool = False


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A front has finished a request; its idempotency key is retained for a while."""

    workspace: str
    request_id: str


@dataclass(frozen=True, slots=True)
class RateTimerFired:
    """Only time has passed: check queues, deadlines and expiry."""

    lease_remaining_s: float


RateEvent = (
    OwnershipGained
    | WorkspaceChanged
    | OwnershipEnded
    | ReleaseRequested
    | RateRequested
    | RefundReceived
    | RequestActive
    | RequestEnded
    | RateTimerFired
)


@dataclass(frozen=True, slots=True)
class SendRateResponse:
    """Send a response to `front` for the request `request_id`."""

    front: str
    request_id: str
    response: RateResponse


@dataclass(frozen=True, slots=True)
class ReleaseBucket:
    """Commit the release of a workspace together with its bucket level."""

    workspace: str
    epoch: int
    level_tokens: float


RateAction = SendRateResponse | ReleaseBucket
