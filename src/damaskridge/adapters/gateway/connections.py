"""HTTP/1.1 connections to backend servers, one request at a time.

h11 parses the bytes. This module decides whether a response is complete and whether a
connection may be reused. httpcore doesn't expose what that takes: bytes that follow a
complete response, and whether a response without a length ended cleanly or was reset.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11

from damaskridge.adapters.gateway.timer_delay import was_suspended
from damaskridge.adapters.gateway.turn_queue import MAX_PARTS_PER_TURN, TurnQueue
from damaskridge.core.gateway.buffer_budget import BufferBudget

__all__ = [
    "BackendConnection",
    "ConnectLate",
    "ConnectionBroken",
    "NotSent",
    "ResponseHead",
    "ServerGone",
    "open_connection",
]

Headers = list[tuple[bytes, bytes]]

# Limits the memory of a response that is read more slowly than it arrives.
MAX_READ_AHEAD_BYTES = 65_536
# Size of one read. Transports read into one buffer that all connections share.
READ_BYTES = 65_536
# A larger response head is treated as a broken connection.
MAX_RESPONSE_HEAD_BYTES = 32_768
# Interim responses such as "100 Continue" that may precede the final response; a
# server that sends more is treated as a broken connection.
MAX_INFORMATIONAL_RESPONSES = 8
# Detects an unresponsive peer: the kernel closes a connection whose sent data has been
# unacknowledged for this long. A sound server may be silent for a second or two.
TCP_USER_TIMEOUT_MS = 3_000
MAX_CONNECT_ATTEMPTS = 2
MAX_STATUS = 599
_BODILESS_STATUSES = frozenset({204, 304})
_INT = struct.Struct("i")


class ConnectionBroken(Exception):
    """The connection ended, or the data received is not a valid response."""


class NotSent(ConnectionBroken):
    """No byte of the request was sent."""


class ConnectLate(NotSent):
    """The process stood still, so that it isn't known whether the server accepts."""


class ServerGone(NotSent):
    """The address refuses connections, or belongs to another server."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """
    Status and headers of a response.

    Parameters
    ----------
    status : int
        The status code.
    headers : list of tuple of bytes
        Names in lower case, and values.
    ends_with_connection : bool
        Whether the body has neither a length nor chunks, so that its end does not show
        that it is complete.
    """

    status: int
    headers: Headers
    ends_with_connection: bool = False

    def value(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)


class _ConnectionProtocol(asyncio.BufferedProtocol):
    """Buffers received data with flow control, and records how the connection ended."""

    # Holds data only between `get_buffer` and `buffer_updated`, which the transport
    # calls without a pause.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at_eof = False
        self.error: Exception | None = None
        self._transport: asyncio.Transport | None = None
        self._wakeup = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def transport(self) -> asyncio.Transport:
        assert self._transport is not None, "the connection is not established yet"
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer += self._read_buffer[:nbytes]
        if len(self.buffer) > MAX_READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self._wakeup.set()

    def eof_received(self) -> bool:
        self.at_eof = True
        self._wakeup.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc or ConnectionBroken("closed")
        self._wakeup.set()
        self._writable.set()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    @property
    def unacknowledged_bytes(self) -> int:
        """Size of the sent data that the other side has not received."""
        raw = self.transport.get_extra_info("socket")
        in_kernel = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        return self.transport.get_write_buffer_size() + int(_INT.unpack(in_kernel)[0])

    @property
    def was_reset(self) -> bool:
        """Whether the connection was reset, also after a clean end of the stream."""
        if self.error is not None:
            return True
        raw = self.transport.get_extra_info("socket")
        return bool(raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    async def read(self) -> bytes:
        """
        Return the buffered data, waiting for some if there is none.

        The result is empty at a clean end of the stream.

        Raises
        ------
        ConnectionBroken
            The connection was lost.
        """
        while not self.buffer:
            if self.at_eof:
                return b""
            if self.error is not None:
                raise ConnectionBroken(str(self.error) or type(self.error).__name__)
            self._wakeup.clear()
            await self._wakeup.wait()
        data = bytes(self.buffer)
        self.buffer.clear()
        if self.error is None:
            self.transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """
        Write data and wait until the transport accepts more, or is closed.

        Raises
        ------
        NotSent
            The connection had ended before the call.
        """
        if self.error is not None or self.at_eof:
            raise NotSent(str(self.error or "closed by the other side"))
        self.transport.write(data)
        await self._writable.wait()


class BackendConnection:
    """
    An HTTP/1.1 connection that carries one request at a time.

    For each request, call `send`, `head` and `body` in this order.

    Parameters
    ----------
    protocol : _ConnectionProtocol
        The established connection.
    budget : BufferBudget or None
        Limits the bodies that `read_body` buffers on all connections together.

    Attributes
    ----------
    idle_since_s : float
        Event loop time at which the last response was complete.
    keep_alive_s : float or None
        How long the server keeps an idle connection open; None if unknown.
    is_reused : bool
        Whether the current request is not the first one on this connection.
    """

    def __init__(
        self, protocol: _ConnectionProtocol, budget: BufferBudget | None = None
    ) -> None:
        self._protocol = protocol
        self._budget = budget
        self._http = self._new_parser()
        self._method = ""
        self._ends_with_connection = False
        self._parts_in_turn = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.is_reused = False

    @property
    def is_reusable(self) -> bool:
        """Whether the last response was complete and no data has followed it."""
        protocol = self._protocol
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not protocol.buffer
            and not protocol.at_eof
            and protocol.error is None
        )

    @property
    def has_unread_data(self) -> bool:
        """Whether received data is waiting to be read."""
        return bool(self._protocol.buffer)

    @property
    def was_reset(self) -> bool:
        """Whether the connection was reset, also after the end of a response."""
        return self._protocol.was_reset

    def close(self) -> None:
        """Abort the connection, so that the server notices it at once."""
        self._protocol.transport.abort()

    async def send(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """
        Send a request.

        Raises
        ------
        NotSent
            Nothing was sent, because the connection had ended or the request is
            not valid HTTP.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
            self.is_reused = True
        self._method = method
        framed_headers = [*headers, (b"content-length", b"%d" % len(body))]
        try:
            data = self._http.send(
                h11.Request(method=method, target=target, headers=framed_headers)
            )
            if body:
                data = (data or b"") + (self._http.send(h11.Data(data=body)) or b"")
            data = (data or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as error:
            raise NotSent(str(error)) from error
        await self._protocol.write(data)

    async def head(self) -> ResponseHead:
        """
        Return the head of the final response.

        Raises
        ------
        ConnectionBroken
            The connection ended, or the data received is not a valid response.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return self._response_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(f"unexpected {type(event).__name__}")
        raise ConnectionBroken(
            f"over {MAX_INFORMATIONAL_RESPONSES} informational replies"
        )

    async def body(self) -> AsyncIterator[bytes]:
        """
        Yield the response body in chunks.

        Raises
        ------
        ConnectionBroken
            The connection ended before the body was complete.
        """
        turns = TurnQueue.of_running_loop()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._check_request_received()
                self.idle_since_s = asyncio.get_running_loop().time()
                return
            if not isinstance(event, h11.Data):
                raise ConnectionBroken(f"unexpected {type(event).__name__}")
            yield bytes(event.data)
            self._parts_in_turn += 1
            if self._parts_in_turn >= MAX_PARTS_PER_TURN:
                self._parts_in_turn = 0
                await turns.wait()

    async def read_body(self, limit_bytes: int) -> bytes:
        """
        Return the complete response body.

        Raises
        ------
        ConnectionBroken
            The body is incomplete, longer than `limit_bytes`, or the longest one when
            the budget was exceeded.
        """
        budget = self._budget or BufferBudget(limit_bytes)
        number = budget.begin(on_abandoned=self.close)
        body = bytearray()
        try:
            async for chunk in self.body():
                if budget.is_abandoned(number):
                    raise ConnectionBroken("the bodies of all responses are too large")
                body += chunk
                if len(body) > limit_bytes:
                    raise ConnectionBroken(f"body over {limit_bytes} bytes")
                budget.add(number, len(chunk))
        finally:
            budget.end(number)
        return bytes(body)

    def _check_request_received(self) -> None:
        """
        Raise `ConnectionBroken` if a response may have ended before it was complete.

        A server that ends its connection while the request is on its way resets it, so
        that the end of a response without a length shows nothing.
        """
        if self._ends_with_connection and (
            self._protocol.was_reset or self._protocol.unacknowledged_bytes
        ):
            raise ConnectionBroken("the response ended before the request was received")

    def _response_head(self, response: h11.Response) -> ResponseHead:
        if response.status_code > MAX_STATUS:
            raise ConnectionBroken(f"status {response.status_code} is not valid")
        headers = list(response.headers)
        has_body = (
            self._method != "HEAD" and response.status_code not in _BODILESS_STATUSES
        )
        is_framed = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in headers
        )
        self._ends_with_connection = has_body and not is_framed
        return ResponseHead(
            response.status_code,
            headers,
            ends_with_connection=self._ends_with_connection,
        )

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if not self._protocol.buffer:
                    # Other tasks run while this one waits for data.
                    self._parts_in_turn = 0
                self._http.receive_data(await self._protocol.read())
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(str(error)) from error

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )


async def open_connection(
    address: str, timeout_s: float, budget: BufferBudget | None = None
) -> BackendConnection:
    """
    Open a connection to ``ip:port``; `budget` limits the bodies that it buffers.

    If the timeout fires late, because this process was suspended or blocked, the server
    may have accepted in time. The process then tries once more.

    Raises
    ------
    ServerGone
        The connection was refused.
    ConnectLate
        The timeout fired late twice.
    NotSent
        The connection was not established within `timeout_s` seconds.
    """
    loop = asyncio.get_running_loop()
    for _ in range(MAX_CONNECT_ATTEMPTS):
        deadline_s = loop.time() + timeout_s
        try:
            return BackendConnection(await _connect(address, timeout_s), budget)
        except TimeoutError as error:
            if not was_suspended(deadline_s, loop.time()):
                raise NotSent("connect timed out") from error
    raise ConnectLate("connect timed out while the process stood still")


async def _connect(address: str, timeout_s: float) -> _ConnectionProtocol:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                _ConnectionProtocol, host, int(port)
            )
    except ConnectionRefusedError as error:
        raise ServerGone(f"connect failed: {error.strerror}") from error
    except TimeoutError:
        raise
    except OSError as error:
        raise NotSent(f"connect failed: {error.strerror}") from error
    return protocol
