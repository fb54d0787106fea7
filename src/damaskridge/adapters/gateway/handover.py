"""Hands requests to another host while this one reaches no backend server.

A host sends a request that nothing can have run to the peer address of another host,
which serves it like a request of its own caller: the other host checks the key, charges
the rate, and counts sends and crashes. A request takes one such hop at most.
"""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import AbstractContextManager
from typing import Protocol

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.connections import (
    BackendConnection,
    ConnectionBroken,
    Headers,
    NotSent,
    ResponseHead,
    open_connection,
)
from damaskridge.adapters.gateway.dialect import Dialect
from damaskridge.adapters.gateway.responses import CallerResponse
from damaskridge.adapters.gateway.server_probes import ServerProbes
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.peer_choice import PeerChoice
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.model.control import Session
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber

__all__ = [
    "Handover",
    "HandoverDue",
    "NoHandover",
    "PeerHandover",
    "PeerService",
    "may_hand_over",
]

# Hosts of one region connect within milliseconds.
CONNECT_TIMEOUT_S = 0.2
MAX_PEERS_TRIED = 8
# In a refusal of a host to another one: the request has not run here, and another host
# may serve it.
PEER_UNAVAILABLE_HEADER = b"damaskridge-unavailable"

# Failures for want of a server that can be reached.
UNSERVED_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.NO_BACKEND_SERVER,
        ErrorKind.BACKEND_SERVER_FAILED,
        ErrorKind.BACKEND_SERVER_TIMEOUT,
    }
)

logger = logging.getLogger(__name__)


class HandoverDue(Exception):
    """A request is to be handed over instead of being refused."""


def may_hand_over(admitted: AdmittedRequest) -> bool:
    """Return whether another host may serve a request that this one has begun."""
    if admitted.is_handed_over:
        return False
    return admitted.policy.may_run_again or not admitted.may_have_run


class Handover(Protocol):
    """Decides where a request is served, if not by this host."""

    @property
    def is_needed(self) -> bool:
        """Whether new requests are to be handed over."""
        ...

    def watch(self) -> AbstractContextManager[asyncio.Future[None]]:
        """Provide a future that is done once running requests are to be handed over."""
        ...

    async def unavailability(self) -> Failure | None:
        """Return why this host can't serve any request, if so."""
        ...

    async def forward(
        self, admitted: AdmittedRequest, headers: Headers, response: CallerResponse
    ) -> None:
        """Let another host serve a request, or refuse it."""
        ...

    async def before_refusal(
        self, admitted: AdmittedRequest, failure: Failure
    ) -> Headers:
        """
        Return headers to add to a refusal of a request by this host.

        Raises
        ------
        HandoverDue
            Another host may serve the request.
        """
        ...


class NoHandover:
    """Serves all requests on this host."""

    is_needed = False

    @contextlib.contextmanager
    def watch(self) -> Iterator[asyncio.Future[None]]:
        """Provide a future that is never done."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        try:
            yield future
        finally:
            future.cancel()

    async def unavailability(self) -> Failure | None:
        """Return None."""
        return None

    async def forward(
        self, admitted: AdmittedRequest, headers: Headers, response: CallerResponse
    ) -> None:
        """Raise, since `is_needed` is never true."""
        raise AssertionError("requests are served on this host")

    async def before_refusal(
        self, admitted: AdmittedRequest, failure: Failure
    ) -> Headers:
        """Return no headers."""
        return []


class PeerService(NoHandover):
    """
    Serves requests that other hosts have handed over, and never hands them on.

    Parameters
    ----------
    probes : ServerProbes
        Tells whether this host is partitioned, too.
    is_draining : callable
        Returns whether this host is stopping.
    """

    def __init__(self, probes: ServerProbes, is_draining: Callable[[], bool]) -> None:
        self._probes = probes
        self._is_draining = is_draining

    async def unavailability(self) -> Failure | None:
        """Return why another host has to serve the request."""
        if self._is_draining():
            return Failure(ErrorKind.SHUTTING_DOWN, "the host is stopping")
        await self._probes.settle()
        if self._probes.is_partitioned:
            detail = "the host reaches no backend server"
            return Failure(ErrorKind.NO_BACKEND_SERVER, detail)
        return None

    async def before_refusal(
        self, admitted: AdmittedRequest, failure: Failure
    ) -> Headers:
        """Mark a refusal if another host may still serve the request."""
        if admitted.may_have_run:
            return []
        await self._probes.settle()
        if self._probes.is_partitioned or self._is_draining():
            return [(PEER_UNAVAILABLE_HEADER, b"1")]
        return []


class PeerHandover:
    """
    Hands requests over while the host is partitioned from all backend servers.

    Parameters
    ----------
    dialect : Dialect
        Encodes the headers of requests to other hosts.
    probes : ServerProbes
        Tells whether this host is partitioned.
    choice : PeerChoice
        Chooses the host for a request.
    sessions : callable
        Returns the sessions of the other hosts.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.

    Attributes
    ----------
    count : int
        How many requests were to be handed over.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        probes: ServerProbes,
        choice: PeerChoice,
        sessions: Callable[[], Sequence[Session]],
        refusals: RetryAfterTimes,
    ) -> None:
        self._dialect = dialect
        self._probes = probes
        self._choice = choice
        self._sessions = sessions
        self._refusals = refusals
        self.count = 0

    @property
    def is_needed(self) -> bool:
        """Whether the host is partitioned from all backend servers."""
        return self._probes.is_partitioned

    def watch(self) -> AbstractContextManager[asyncio.Future[None]]:
        """Provide a future that is done once the host is found to be partitioned."""
        return self._probes.watch()

    async def unavailability(self) -> Failure | None:
        """Return None; other hosts may serve what this one can't."""
        return None

    async def before_refusal(
        self, admitted: AdmittedRequest, failure: Failure
    ) -> Headers:
        """Find out whether the host is partitioned before it refuses a request."""
        is_due = admitted.is_seeking_server and may_hand_over(admitted)
        if is_due and failure.kind in UNSERVED_KINDS:
            await self._probes.settle()
            if self._probes.is_partitioned:
                raise HandoverDue
        return []

    async def forward(
        self, admitted: AdmittedRequest, headers: Headers, response: CallerResponse
    ) -> None:
        """Let another host serve a request; refuse it if none can."""
        self.count += 1
        tried: set[str] = set()
        while len(tried) < MAX_PEERS_TRIED:
            peer = self._choice.choose(self._sessions(), tried, admitted.now_s)
            if peer is None:
                break
            tried.add(peer.host)
            if await self._forward_to(peer, admitted, headers, response):
                return
            self._choice.record_unavailable(peer.host, admitted.now_s)
        await response.refuse(self._unserved_failure(admitted))

    def _unserved_failure(self, admitted: AdmittedRequest) -> Failure:
        detail = "no host that was asked reaches a backend server"
        if admitted.may_have_run:
            # By a server that this host sent it to before it was partitioned.
            kind = ErrorKind.BACKEND_SERVER_FAILED
            return Failure(kind, detail, RunState.UNKNOWN)
        retry_after_s = self._refusals.no_server_s(admitted.remaining_s)
        return Failure(ErrorKind.NO_BACKEND_SERVER, detail, retry_after_s=retry_after_s)

    async def _forward_to(
        self,
        peer: Session,
        admitted: AdmittedRequest,
        headers: Headers,
        response: CallerResponse,
    ) -> bool:
        """Send a request to one host; return whether that has ended the response."""
        log_event(
            logger,
            EventNumber.REQUEST_HANDED_OVER,
            request_id=admitted.request.request_id,
            host=peer.host,
        )
        try:
            connection = await open_connection(peer.peer_address, CONNECT_TIMEOUT_S)
        except NotSent:
            return False
        with contextlib.closing(connection):
            return await self._exchange(connection, peer, admitted, headers, response)

    async def _exchange(
        self,
        connection: BackendConnection,
        peer: Session,
        admitted: AdmittedRequest,
        headers: Headers,
        response: CallerResponse,
    ) -> bool:
        """Send a request and forward the response; return whether that has ended it."""
        request = admitted.request
        sent = self._dialect.handover_headers(headers, max(0.0, admitted.remaining_s))
        might_have_run = admitted.may_have_run
        try:
            await connection.send(request.method, request.target, sent, admitted.body)
        except NotSent:
            return False
        admitted.may_have_run = True
        try:
            head = await connection.head()
            if head.value(PEER_UNAVAILABLE_HEADER) is not None:
                admitted.may_have_run = might_have_run
                return False
            body = _checked_body(connection, head, peer)
            await response.forward_stream(head, body)
        except ConnectionBroken as error:
            failure = Failure(
                ErrorKind.BACKEND_SERVER_FAILED, str(error), RunState.UNKNOWN
            )
            if response.has_started:
                response.abort(failure)
            else:
                await response.refuse(failure)
        return True


async def _checked_body(
    connection: BackendConnection, head: ResponseHead, peer: Session
) -> AsyncIterator[bytes]:
    """
    Yield the parts of a body as they arrive.

    Raises
    ------
    ConnectionBroken
        The body is incomplete, or the host is gone, or resets the connection, at the
        end of a body without a length, so that it may be incomplete.
    """
    async for part in connection.body():
        yield part
    if head.ends_with_connection:
        (await open_connection(peer.peer_address, CONNECT_TIMEOUT_S)).close()
        if connection.was_reset:
            raise ConnectionBroken("the response was reset after its end")
