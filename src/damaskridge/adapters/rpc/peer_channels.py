"""Long-lived channels to other entry hosts, replaced when they go silent."""

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


class _Link:
    """One channel and the calls that wait on it."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.channel = RpcChannel(host, int(port))
        self.waits: set[asyncio.Task[Any]] = set()
        self.silent = False

    def close(self) -> None:
        """Close the channel and end every call on it."""
        self.silent = True
        for task in self.waits:
            task.cancel()
        self.channel.close()

    async def wait(
        self, step: Coroutine[Any, Any, Any], timeout_s: float | None
    ) -> Result[Any, Failure]:
        """
        Run one step of a call in its own task, so that `close` can end it.

        grpclib turns a cancellation into an error of its own, which would leave the
        cancel scope of the calling task open.
        """
        task = asyncio.ensure_future(step)
        task.add_done_callback(mark_exception_retrieved)
        self.waits.add(task)
        try:
            await asyncio.wait({task}, timeout=timeout_s)
        finally:
            self.waits.discard(task)
            if not task.done():
                task.cancel()
        if not task.done() or task.cancelled():
            reason = "silent" if self.silent else "timed out"
            return Err(_unavailable(self.address, reason))
        error = task.exception()
        if error is None:
            return Ok(task.result())
        if isinstance(error, RPC_ERRORS):
            return Err(_unavailable(self.address, type(error).__name__))
        raise error


class PeerChannels:
    """
    Calls to entry hosts by address.

    A call may wait long for a grant or a placement, so a separate ping on the same
    connection tells a silent connection from a long wait.
    """

    def __init__(self) -> None:
        self._links: dict[str, _Link] = {}

    async def run(self) -> None:
        """Ping every connection on which a call waits, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for link in list(self._links.values()):
                    if link.waits:
                        group.start_soon(self._ping, link)
                await anyio.sleep(PING_PERIOD_S)

    def close(self) -> None:
        """Close every channel."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    async def call(
        self, address: str, name: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a unary method; every failure means that no reply arrived."""
        link = self._link(address)
        return await link.wait(_invoke(link, name, message), timeout_s)

    async def resume(
        self, address: str, message: ResumeStream
    ) -> AsyncIterator[ResumeItem]:
        """Yield the items of a relayed stream; the last one may be a failure."""
        link = self._link(address)
        method: Any = UnaryStreamMethod(
            link.channel, method_path("Resume"), ResumeStream, ResumeItem
        )
        try:
            async with method.open() as stream:
                await stream.send_message(message, end=True)
                while True:
                    item = await link.wait(stream.recv_message(), None)
                    if isinstance(item, Err):
                        yield ResumeItem(failure=item.err_value)
                        return
                    if item.ok_value is None:
                        return
                    yield item.ok_value
        except RPC_ERRORS as error:
            yield ResumeItem(failure=_unavailable(address, type(error).__name__))

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
        return link

    async def _ping(self, link: _Link) -> None:
        reply = await link.wait(_invoke(link, "Ping", Ping()), PING_TIMEOUT_S)
        if isinstance(reply, Err) and self._links.get(link.address) is link:
            log_event(logger, EventNumber.CONNECTION_SILENT, peer_address=link.address)
            del self._links[link.address]
            link.close()


async def _invoke(link: _Link, name: str, message: Any) -> Any:
    request, reply = UNARY_METHODS[name]
    method: Any = UnaryUnaryMethod(link.channel, method_path(name), request, reply)
    return await method(message)


def _unavailable(address: str, reason: str) -> Failure:
    return Failure(ErrorKind.OWNER_UNAVAILABLE, f"entry host {address}: {reason}")
