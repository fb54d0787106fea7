"""The gRPC service through which entry hosts call this host's owners and front."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, Protocol

from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import CellPort, RatePort, StreamFailed
from damaskridge.adapters.rpc.peer_messages import (
    UNARY_METHODS,
    Ack,
    ActiveKey,
    ActiveKeys,
    ActiveRequests,
    KeyEnded,
    ListActiveKeys,
    ListActiveRequests,
    Ping,
    RegisterFront,
    RequestTakenOver,
    ResumeItem,
    ResumeStream,
    method_path,
)
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import ActiveRequest, ProgressBatch, Refund, Withdraw

__all__ = ["FrontPort", "PeerService", "active_keys_of"]

logger = logging.getLogger(__name__)


class FrontPort(Protocol):
    """The methods of this host's front that other hosts can call."""

    def active_requests(self, resource: str) -> Sequence[ActiveRequest]:
        """Return the running requests of this front in a cell."""
        ...

    def active_keys(self, workspace: str) -> Sequence[Any]:
        """Return the requests of a workspace with a key; items are like `ActiveKey`."""
        ...

    def stream_local(
        self, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """Yield a request's output from `offset`; raise `StreamFailed` on failure."""
        ...

    def handle_take_over(self, request_id: str) -> Any:
        """Handle a take-over by another front; may return an awaitable."""
        ...


def active_keys_of(front: FrontPort, workspace: str) -> tuple[ActiveKey, ...]:
    """Return the front's idempotency keys of a workspace as messages."""
    return tuple(
        ActiveKey(
            item.request_id, item.idempotency_key, item.body_digest, item.finished
        )
        for item in front.active_keys(workspace)
    )


class PeerService:
    """
    RPC handlers for calls of other entry hosts.

    Parameters
    ----------
    incarnation : int
        Identifies this run of the process.
    rates, cells : RatePort, CellPort
        The rate owners and cell owners on this host.
    front : FrontPort
        The front on this host.
    """

    def __init__(
        self, *, incarnation: int, rates: RatePort, cells: CellPort, front: FrontPort
    ) -> None:
        self._incarnation = incarnation
        self._rates = rates
        self._cells = cells
        self._front = front

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler of each method path, for grpclib."""
        functions: dict[str, Callable[[Any], Awaitable[Any]]] = {
            "Ping": self._ping,
            "Reserve": self._rates.reserve,
            "Refund": self._refund,
            "KeyEnded": self._key_ended,
            "Submit": self._cells.submit,
            "Withdraw": self._withdraw,
            "Report": self._report,
            "Register": self._register,
            "TakeOver": self._cells.take_over,
            "ActiveRequests": self._active_requests,
            "ActiveKeys": self._active_keys,
            "TakenOver": self._request_taken_over,
        }
        handlers = {
            method_path(name): Handler(
                _unary_handler(functions[name]),
                Cardinality.UNARY_UNARY,
                request,
                response,
            )
            for name, (request, response) in UNARY_METHODS.items()
        }
        handlers[method_path("Resume")] = Handler(
            self._resume, Cardinality.UNARY_STREAM, ResumeStream, ResumeItem
        )
        return handlers

    async def _ping(self, message: Ping) -> Ack:
        return Ack()

    async def _refund(self, message: Refund) -> Ack:
        await self._rates.refund(message)
        return Ack()

    async def _key_ended(self, message: KeyEnded) -> Ack:
        await self._rates.notify_request_ended(
            message.resource, message.workspace, message.request_id
        )
        return Ack()

    async def _withdraw(self, message: Withdraw) -> Ack:
        await self._cells.withdraw(message)
        return Ack()

    async def _report(self, message: ProgressBatch) -> Ack:
        await self._cells.report(message)
        return Ack()

    async def _register(self, message: RegisterFront) -> Ack:
        await self._cells.register(
            message.resource,
            message.epoch,
            message.front,
            message.incarnation,
            message.active,
        )
        return Ack()

    async def _active_requests(self, message: ListActiveRequests) -> ActiveRequests:
        items = tuple(self._front.active_requests(message.resource))
        return ActiveRequests(self._incarnation, items)

    async def _active_keys(self, message: ListActiveKeys) -> ActiveKeys:
        return ActiveKeys(active_keys_of(self._front, message.workspace))

    async def _request_taken_over(self, message: RequestTakenOver) -> Ack:
        outcome = self._front.handle_take_over(message.request_id)
        if outcome is not None:
            await outcome
        return Ack()

    async def _resume(self, stream: "Stream[ResumeStream, ResumeItem]") -> None:
        message = await stream.recv_message()
        assert message is not None, "the request has no message"
        try:
            async for chunk in self._front.stream_local(
                message.request_id, message.workspace, message.offset
            ):
                await stream.send_message(ResumeItem(chunk=chunk))
        except StreamFailed as error:
            await stream.send_message(ResumeItem(failure=error.failure))
        except Exception as error:
            _log_unexpected(error)
            failure = Failure(ErrorKind.INTERNAL, "the relayed stream failed")
            await stream.send_message(ResumeItem(failure=failure))


def _unary_handler(
    function: Callable[[Any], Awaitable[Any]],
) -> Callable[["Stream[Any, Any]"], Awaitable[None]]:
    async def handle(stream: "Stream[Any, Any]") -> None:
        message = await stream.recv_message()
        try:
            response = await function(message)
        except Exception as error:
            _log_unexpected(error)
            raise
        await stream.send_message(response)

    return handle


def _log_unexpected(error: Exception) -> None:
    log_event(
        logger,
        EventNumber.UNEXPECTED_ERROR,
        level=logging.ERROR,
        error_type=type(error).__name__,
    )
