"""Events and actions of the rate owner."""

from dataclasses import dataclass

from damaskridge.model.bundle import Workspace
from damaskridge.model.routing import RateReply, RateRequest, Refund

__all__ = [
    "OwnershipEnded",
    "OwnershipGained",
    "RateAction",
    "RateEvent",
    "RateRequested",
    "RefundReceived",
    "ReleaseBucket",
    "ReleaseRequested",
    "RequestActive",
    "RequestEnded",
    "SendRateReply",
    "TimePassed",
    "WorkspaceChanged",
]


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """
    The host now owns a workspace's rate.

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
    """A new bundle changed the workspace's rate, burst or weight."""

    workspace: Workspace


@dataclass(frozen=True, slots=True)
class OwnershipEnded:
    """The lease or the ownership of a workspace ended."""

    workspace: str


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The ownership is to move: refuse new requests and hand the level over."""

    workspace: str


@dataclass(frozen=True, slots=True)
class RateRequested:
    """A front asks for admission; `lease_remaining_s` bounds the grant."""

    request: RateRequest
    lease_remaining_s: float


@dataclass(frozen=True, slots=True)
class RefundReceived:
    """A front gives back unused tokens."""

    refund: Refund


@dataclass(frozen=True, slots=True)
class RequestActive:
    """A front reports a request with an idempotency key that it runs."""

    workspace: str
    front: str
    request_id: str
    idempotency_key: str
    body_digest: str
    finished: bool = False


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A front has finished a request; its idempotency key stays known a while."""

    workspace: str
    request_id: str


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Nothing happened but time."""

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
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class SendRateReply:
    """Answer the request `request_id` of `front`."""

    front: str
    request_id: str
    reply: RateReply


@dataclass(frozen=True, slots=True)
class ReleaseBucket:
    """Commit the release of a workspace with the level of its bucket."""

    workspace: str
    epoch: int
    level_tokens: float


RateAction = SendRateReply | ReleaseBucket
