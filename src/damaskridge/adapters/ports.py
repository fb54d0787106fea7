"""Typed interfaces of everything outside one process.

Every outside system (engines, plain services, the platform's host list, the
control group, other entry hosts) is used through one of these protocols, so a test
or a bench replaces it without touching a decision.
"""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from damaskridge.core.leases import HolderLease
from damaskridge.core.state.view import FleetView
from damaskridge.model.control import Command, CommandResult, Session
from damaskridge.model.engine import (
    CacheEventPage,
    DecodeChunk,
    DecodeRequest,
    EngineRequest,
    LoadReport,
    Order,
    PrefillRequest,
    PrefillResult,
)
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
    "CellPort",
    "ControlPort",
    "EnginePort",
    "HostListPort",
    "PeerPort",
    "RatePort",
    "ServiceResponse",
    "ServiceCall",
    "ServicePort",
    "StreamFailed",
]


class StreamFailed(Exception):
    """A stream of tokens ended before its last chunk."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value}: {failure.detail}")
        self.failure = failure


class EnginePort(Protocol):
    """One model engine; every failure says whether the engine may have run it."""

    async def prefill(self, request: PrefillRequest) -> Result[PrefillResult, Failure]:
        """Compute and hold a KV cache."""
        ...

    def decode(self, request: DecodeRequest) -> AsyncIterator[DecodeChunk]:
        """Import a KV cache and stream output; raises `StreamFailed`."""
        ...

    def resume(self, engine_request_id: str, offset: int) -> AsyncIterator[DecodeChunk]:
        """Stream output again from `offset`; raises `StreamFailed`."""
        ...

    async def cancel(self, engine_request_id: str) -> Result[None, Failure]:
        """Stop a request and free all its memory; unknown requests are fine."""
        ...

    async def list_requests(self) -> Result[tuple[EngineRequest, ...], Failure]:
        """List every request that holds memory or waits."""
        ...

    async def load(self) -> Result[LoadReport, Failure]:
        """Return the last load report."""
        ...

    async def cache_events(self, after: int) -> Result[CacheEventPage, Failure]:
        """Return cache events after a sequence number."""
        ...

    async def order(self, order: Order) -> Result[None, Failure]:
        """Give an order."""
        ...


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service, without any header that carries a credential."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class ServicePort(Protocol):
    """Instances of plain services."""

    async def call(
        self, address: str, call: ServiceCall
    ) -> Result[ServiceResponse, Failure]:
        """
        Send a call to one instance.

        A failure before the first byte left has run state ``not_run``, any later
        one ``unknown``.
        """
        ...


class HostListPort(Protocol):
    """The platform's list of backend servers, which lags."""

    async def leaving(self) -> Result[frozenset[str], Failure]:
        """Return the names of backend servers that are leaving or gone."""
        ...


class ControlPort(Protocol):
    """An entry host's connection to the control group."""

    @property
    def fleet(self) -> FleetView:
        """The fleet as last seen."""
        ...

    @property
    def lease(self) -> HolderLease:
        """The lease of this host's session."""
        ...

    @property
    def session(self) -> Session | None:
        """The session of this host, if it has one."""
        ...

    async def propose(self, command: Command) -> CommandResult:
        """Commit a command; finds the leader, sends again with the same id."""
        ...


class RatePort(Protocol):
    """The rate owner of a workspace, wherever it is."""

    async def reserve(self, request: RateRequest) -> RateReply:
        """Ask for admission; returns after the wait, if any."""
        ...

    async def refund(self, refund: Refund) -> None:
        """Give unused tokens back; a lost refund is not repeated."""
        ...

    async def notify_request_ended(
        self, resource: str, workspace: str, request_id: str
    ) -> None:
        """Tell that a request with an idempotency key has finished."""
        ...


class CellPort(Protocol):
    """The owner of a cell, wherever it is."""

    async def submit(self, profile: RequestProfile) -> SubmitReply:
        """Ask for a placement; returns when the request is placed or refused."""
        ...

    async def withdraw(self, withdraw: Withdraw) -> None:
        """Give a request up."""
        ...

    async def report(self, batch: ProgressBatch) -> None:
        """Report progress."""
        ...

    async def register(
        self,
        resource: str,
        epoch: int,
        front: str,
        incarnation: int,
        active: tuple[ActiveRequest, ...],
    ) -> None:
        """Report all running requests to a new owner."""
        ...

    async def take_over(self, take_over: TakeOver) -> TakeOverReply:
        """Ask to continue a request whose front is gone."""
        ...


class PeerPort(Protocol):
    """Streams of requests on other entry hosts."""

    def resume_stream(
        self, host: str, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """Relay a request's output from `offset`; raises `StreamFailed`."""
        ...
