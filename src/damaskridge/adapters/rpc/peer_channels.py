"""Long-lived channels to other entry hosts, replaced when they become silent."""

import asyncio
import logging
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import anyio
from grpclib.client import UnaryStreamMethod, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from result import Err, Ok, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.channels import RpcChannel
from damaskridge.adapters.rpc.isolated_tasks import mark_exception_retrieved
from damaskridge.adapters.rpc.peer_messages import (
    UNARY_METHODS,
    Ping,
    ResumeItem,
    ResumeStream,
    method_path,
)
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber

__all__ = ["PeerChannels"]

logger = logging.getLogger(__name__)

PING_PERIOD_S = 0.5
PING_TIMEOUT_S = 1.0
RPC_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class _Connection:
    """A channel and the calls that are waiting on it."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.channel = RpcChannel(host, int(port))
        self.pending_calls: set[asyncio.Task[Any]] = set()
        self.is_silent = False

    def close(self) -> None:
        """Close the channel and cancel every call on it."""
        self.is_silent = True
        for task in self.pending_calls:
            task.cancel()
        self.channel.close()

    async def run_call(
        self, coroutine: Coroutine[Any, Any, Any], timeout_s: float | None
    ) -> Result[Any, Failure]:
        """
        Await a part of a call in its own task, so that `close` can cancel it.

        grpclib converts a cancellation to an error of its own, so that a cancel scope
        of the calling task would not end.
        """
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(mark_exception_retrieved)
        self.pending_calls.add(task)
        try:
            await asyncio.wait({task}, timeout=timeout_s)
        finally:
            self.pending_calls.discard(task)
            if not task.done():
                task.cancel()
        if not task.done() or task.cancelled():
            reason = "silent" if self.is_silent else "timed out"
            return Err(_unavailable(self.address, reason))
        error = task.exception()
        if error is None:
            return Ok(task.result())
        if isinstance(error, RPC_ERRORS):
            return Err(_unavailable(self.address, type(error).__name__))
        raise error


class PeerChannels:
    """
    Calls methods of other entry hosts, given their address.

    A call may wait long for a grant or a placement. To distinguish that from a silent
    connection, a connection with waiting calls is also pinged.
    """

    def __init__(self) -> None:
        self._connections: dict[str, _Connection] = {}

    async def run(self) -> None:
        """Ping every connection with waiting calls, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for connection in list(self._connections.values()):
                    if connection.pending_calls:
                        group.start_soon(self._ping, connection)
                await anyio.sleep(PING_PERIOD_S)

    def close(self) -> None:
        """Close every channel."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def call(
        self, address: str, method_name: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a unary method; a failure means that no response arrived."""
        connection = self._connection_to(address)
        return await connection.run_call(
            _call_unary(connection, method_name, message), timeout_s
        )

    async def resume(
        self, address: str, message: ResumeStream
    ) -> AsyncIterator[ResumeItem]:
        """Yield the items of a relayed stream; the last item may be a failure."""
        connection = self._connection_to(address)
        method: Any = UnaryStreamMethod(
            connection.channel, method_path("Resume"), ResumeStream, ResumeItem
        )
        try:
            async with method.open() as stream:
                await stream.send_message(message, end=True)
                while True:
                    item = await connection.run_call(stream.recv_message(), None)
                    if isinstance(item, Err):
                        yield ResumeItem(failure=item.err_value)
                        return
                    if item.ok_value is None:
                        return
                    yield item.ok_value
        except RPC_ERRORS as error:
            yield ResumeItem(failure=_unavailable(address, type(error).__name__))

    def _connection_to(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = _Connection(address)
        return connection

    async def _ping(self, connection: _Connection) -> None:
        response = await connection.run_call(
            _call_unary(connection, "Ping", Ping()), PING_TIMEOUT_S
        )
        if (
            isinstance(response, Err)
            and self._connections.get(connection.address) is connection
        ):
            log_event(
                logger, EventNumber.CONNECTION_SILENT, peer_address=connection.address
            )
            del self._connections[connection.address]
            connection.close()


async def _call_unary(connection: _Connection, method_name: str, message: Any) -> Any:
    request, response = UNARY_METHODS[method_name]
    method: Any = UnaryUnaryMethod(
        connection.channel, method_path(method_name), request, response
    )
    return await method(message)


def _unavailable(address: str, reason: str) -> Failure:
    return Failure(ErrorKind.OWNER_UNAVAILABLE, f"entry host {address}: {reason}")
