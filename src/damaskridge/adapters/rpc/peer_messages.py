"""Messages and method table of the RPC between entry hosts."""

from typing import Any

import msgspec

from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import Failure
from damaskridge.model.routing import (
    ActiveRequest,
    ProgressBatch,
    RateRequest,
    RateResponse,
    Refund,
    RequestProfile,
    SubmitResponse,
    TakeOver,
    TakeOverResponse,
    Withdraw,
)

__all__ = [
    "Ack",
    "ActiveKey",
    "ActiveKeys",
    "ActiveRequests",
    "ListActiveKeys",
    "ListActiveRequests",
    "KeyEnded",
    "UNARY_METHODS",
    "Ping",
    "RegisterFront",
    "RequestTakenOver",
    "ResumeItem",
    "ResumeStream",
    "method_path",
]

SERVICE = "damaskridge.Peer"


class Ack(msgspec.Struct, frozen=True):
    """Acknowledges that a message was handled."""


class Ping(msgspec.Struct, frozen=True):
    """Checks whether a connection still delivers messages."""


class KeyEnded(msgspec.Struct, frozen=True):
    """Reports that a request with an idempotency key has finished."""

    resource: str
    workspace: str
    request_id: str


class RegisterFront(msgspec.Struct, frozen=True):
    """Registers all running requests of a front in a cell with its new owner."""

    resource: str
    epoch: int
    front: str
    incarnation: int
    active: tuple[ActiveRequest, ...]


class ListActiveRequests(msgspec.Struct, frozen=True):
    """Request of a new cell owner for a front's running requests."""

    resource: str


class ActiveRequests(msgspec.Struct, frozen=True):
    """The response to `ListActiveRequests`: a front's running requests in a cell."""

    incarnation: int
    items: tuple[ActiveRequest, ...]


class ListActiveKeys(msgspec.Struct, frozen=True):
    """Request of a new rate owner for a front's idempotency keys."""

    workspace: str


class ActiveKey(msgspec.Struct, frozen=True):
    """A request that has an idempotency key."""

    request_id: str
    idempotency_key: str
    body_digest: str
    finished: bool = False


class ActiveKeys(msgspec.Struct, frozen=True):
    """The response to `ListActiveKeys`: a front's keys of a workspace."""

    items: tuple[ActiveKey, ...]


class RequestTakenOver(msgspec.Struct, frozen=True):
    """Notifies a front that another front has taken over its request."""

    request_id: str


class ResumeStream(msgspec.Struct, frozen=True):
    """Requests that a front relays the output of a request from `offset`."""

    request_id: str
    workspace: str
    offset: int


class ResumeItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A chunk of a relayed stream, or the failure that ended it."""

    chunk: DecodeChunk | None = None
    failure: Failure | None = None


# Request and response type of each unary method. `Resume`, which isn't unary, responds
# with a stream of `ResumeItem`.
UNARY_METHODS: dict[str, tuple[Any, Any]] = {
    "Ping": (Ping, Ack),
    "Reserve": (RateRequest, RateResponse),
    "Refund": (Refund, Ack),
    "KeyEnded": (KeyEnded, Ack),
    "Submit": (RequestProfile, SubmitResponse),
    "Withdraw": (Withdraw, Ack),
    "Report": (ProgressBatch, Ack),
    "Register": (RegisterFront, Ack),
    "TakeOver": (TakeOver, TakeOverResponse),
    "ActiveRequests": (ListActiveRequests, ActiveRequests),
    "ActiveKeys": (ListActiveKeys, ActiveKeys),
    "TakenOver": (RequestTakenOver, Ack),
}


def method_path(method_name: str) -> str:
    """Return the HTTP/2 path of a method of the peer service."""
    return f"/{SERVICE}/{method_name}"
