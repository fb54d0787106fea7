"""Protocols of the systems outside the process.

Every outside system (engines, plain services, the platform's host list, the control
group, other entry hosts) is used through one of these protocols, so that a test or a
benchmark can replace it without changing the code under test.
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
    EngineRequestStatus,
    LoadReport,
    Order,
    PrefillRequest,
    PrefillResult,
)
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
    """Raised when a call or a stream fails; `failure` has the details."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value}: {failure.detail}")
        self.failure = failure


class EnginePort(Protocol):
    """
    One engine.

    Every failure states whether the engine may have run the request.
    """

    async def prefill(self, request: PrefillRequest) -> Result[PrefillResult, Failure]:
        """Compute the KV cache of a prompt and keep it for a transfer."""
        ...

    def decode(self, request: DecodeRequest) -> AsyncIterator[DecodeChunk]:
        """Import a KV cache and stream the output; raises `StreamFailed`."""
        ...

    def resume(self, engine_request_id: str, offset: int) -> AsyncIterator[DecodeChunk]:
        """Resume the output from `offset` on a new stream; raises `StreamFailed`."""
        ...

    async def cancel(self, engine_request_id: str) -> Result[None, Failure]:
        """Stop a request and free its memory; does nothing if it is unknown."""
        ...

    async def list_requests(self) -> Result[tuple[EngineRequestStatus, ...], Failure]:
        """List the requests that hold memory or are queued."""
        ...

    async def load(self) -> Result[LoadReport, Failure]:
        """Return the latest load report."""
        ...

    async def cache_events(self, after: int) -> Result[CacheEventPage, Failure]:
        """Return the cache events after a sequence number."""
        ...

    async def order(self, order: Order) -> Result[None, Failure]:
        """Send an order."""
        ...


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """An HTTP request to a plain service, without headers that carry credentials."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The HTTP response of a plain service."""

    status: int
    content_type: str
    body: bytes


class ServicePort(Protocol):
    """Calls to instances of plain services."""

    async def call(
        self, address: str, call: ServiceCall
    ) -> Result[ServiceResponse, Failure]:
        """
        Send a call to one instance.

        A failure before the first byte is sent has the run state ``not_run``, a later
        one ``unknown``.
        """
        ...


class HostListPort(Protocol):
    """The platform's list of backend servers, which may be stale."""

    async def leaving(self) -> Result[frozenset[str], Failure]:
        """Return the names of backend servers that are leaving or gone."""
        ...


class ControlPort(Protocol):
    """An entry host's connection to the control group."""

    @property
    def fleet(self) -> FleetView:
        """The last received fleet view."""
        ...

    @property
    def lease(self) -> HolderLease:
        """The lease of this host's session."""
        ...

    @property
    def session(self) -> Session | None:
        """The open session of this host, if any."""
        ...

    async def propose(self, command: Command) -> CommandResult:
        """Commit a command; finds the leader, and retries with the same command id."""
        ...


class RatePort(Protocol):
    """Calls to the rate owner of a workspace, on this or another host."""

    async def reserve(self, request: RateRequest) -> RateResponse:
        """Request a grant; returns once the request is granted or refused."""
        ...

    async def refund(self, refund: Refund) -> None:
        """Return unused tokens; a lost refund is not retried."""
        ...

    async def notify_request_ended(
        self, resource: str, workspace: str, request_id: str
    ) -> None:
        """Notify the owner that a request with an idempotency key has ended."""
        ...


class CellPort(Protocol):
    """Calls to the owner of a cell, on this or another host."""

    async def submit(self, profile: RequestProfile) -> SubmitResponse:
        """Request a placement; returns once the request is placed or refused."""
        ...

    async def withdraw(self, withdraw: Withdraw) -> None:
        """Withdraw a request that no longer needs a placement."""
        ...

    async def report(self, batch: ProgressBatch) -> None:
        """Report the progress of requests."""
        ...

    async def register(
        self,
        resource: str,
        epoch: int,
        front: str,
        incarnation: int,
        active: tuple[ActiveRequest, ...],
    ) -> None:
        """Register the running requests of a front with a new owner."""
        ...

    async def take_over(self, take_over: TakeOver) -> TakeOverResponse:
        """Request to continue a request whose front has failed."""
        ...


class PeerPort(Protocol):
    """Access to streams of requests on other entry hosts."""

    def resume_stream(
        self, host: str, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """Relay a request's output from `offset`; raises `StreamFailed`."""
        ...
