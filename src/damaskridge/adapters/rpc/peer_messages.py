"""Messages and method table of the RPC between entry hosts."""

from typing import Any

import msgspec

from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import Failure
from damaskridge.model.routing import (
    ActiveRequest,
    ProgressBatch,
    RateReply,
    RateRequest,
    Refund,
    RequestProfile,
    SubmitReply,
    TakeOver,
    TakeOverReply,
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
    """The message was handled."""


class Ping(msgspec.Struct, frozen=True):
    """Tests whether a connection still carries messages."""


class KeyEnded(msgspec.Struct, frozen=True):
    """A request with an idempotency key has finished."""

    resource: str
    workspace: str
    request_id: str


class RegisterFront(msgspec.Struct, frozen=True):
    """All running requests of a front in one cell."""

    resource: str
    epoch: int
    front: str
    incarnation: int
    active: tuple[ActiveRequest, ...]


class ListActiveRequests(msgspec.Struct, frozen=True):
    """A new cell owner asks a front for its running requests."""

    resource: str


class ActiveRequests(msgspec.Struct, frozen=True):
    """A front's running requests in one cell."""

    incarnation: int
    items: tuple[ActiveRequest, ...]


class ListActiveKeys(msgspec.Struct, frozen=True):
    """A new rate owner asks a front for its idempotency keys."""

    workspace: str


class ActiveKey(msgspec.Struct, frozen=True):
    """One request with an idempotency key."""

    request_id: str
    idempotency_key: str
    body_digest: str
    finished: bool = False


class ActiveKeys(msgspec.Struct, frozen=True):
    """A front's idempotency keys of one workspace."""

    items: tuple[ActiveKey, ...]


class RequestTakenOver(msgspec.Struct, frozen=True):
    """Another front has continued the request."""

    request_id: str


class ResumeStream(msgspec.Struct, frozen=True):
    """Asks a front to relay a request's output from `offset`."""

    request_id: str
    workspace: str
    offset: int


class ResumeItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """One chunk of a relayed stream, or why it ended."""

    chunk: DecodeChunk | None = None
    failure: Failure | None = None


# Request and reply type of each unary method; `Resume` is a stream of `ResumeItem`.
UNARY_METHODS: dict[str, tuple[Any, Any]] = {
    "Ping": (Ping, Ack),
    "Reserve": (RateRequest, RateReply),
    "Refund": (Refund, Ack),
    "KeyEnded": (KeyEnded, Ack),
    "Submit": (RequestProfile, SubmitReply),
    "Withdraw": (Withdraw, Ack),
    "Report": (ProgressBatch, Ack),
    "Register": (RegisterFront, Ack),
    "TakeOver": (TakeOver, TakeOverReply),
    "ActiveRequests": (ListActiveRequests, ActiveRequests),
    "ActiveKeys": (ListActiveKeys, ActiveKeys),
    "TakenOver": (RequestTakenOver, Ack),
}


def method_path(method_name: str) -> str:
    """Return the HTTP/2 path of a method."""
    return f"/{SERVICE}/{method_name}"
