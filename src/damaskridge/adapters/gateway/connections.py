"""HTTP/1.1 connections to backend servers, one request at a time.

h11 parses; this module decides what counts as a whole answer and when a connection may
be used again. httpcore hides both: bytes that follow a complete answer, and whether an
answer without a length ended cleanly or was reset.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11

__all__ = [
    "BackendConnection",
    "ConnectionBroken",
    "NotSent",
    "ResponseHead",
    "open_connection",
]

Headers = list[tuple[bytes, bytes]]

# Bounds the memory of an answer whose reader is slow.
READ_AHEAD_BYTES = 65_536
# A head of a backend server beyond this is no answer.
REPLY_HEAD_BYTES = 32_768
# Replies such as "100 Continue" before the answer; more of them are no answer.
MOST_INFORMATIONAL = 8
# Finds a connection that went silent: unacknowledged data for this long ends it.
USER_TIMEOUT_MS = 1_500


class ConnectionBroken(Exception):
    """The connection ended, or what arrived is no answer."""


class NotSent(ConnectionBroken):
    """No byte of the request has left."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def value(self, name: bytes) -> bytes | None:
        """Return the first header with this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)


class _Link(asyncio.Protocol):
    """Collects what arrives, with back pressure, and how the connection ended."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.ended = False
        self.error: Exception | None = None
        self._transport: asyncio.Transport | None = None
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def transport(self) -> asyncio.Transport:
        assert self._transport is not None, "used before it is connected"
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        self.received += data
        if len(self.received) > READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        self.ended = True
        self._changed.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc or ConnectionBroken("closed")
        self._changed.set()
        self._writable.set()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    async def read(self) -> bytes:
        """Return what arrived, nothing at a clean end; raises `ConnectionBroken`."""
        while not self.received:
            if self.ended:
                return b""
            if self.error is not None:
                raise ConnectionBroken(str(self.error) or type(self.error).__name__)
            self._changed.clear()
            await self._changed.wait()
        data = bytes(self.received)
        self.received.clear()
        if self.error is None:
            self.transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send; returns early once the other side has answered or ended."""
        if self.error is not None or self.ended:
            raise NotSent(str(self.error or "closed by the other side"))
        self.transport.write(data)
        await self._writable.wait()


class BackendConnection:
    """
    One connection; `send`, `head` and `body` are called in this order.

    Parameters
    ----------
    link : _Link
        The open connection.

    Attributes
    ----------
    idle_since_s : float
        Loop time at which the last answer was complete.
    keep_alive_s : float or None
        How long the server keeps an idle connection, if it said so.
    """

    def __init__(self, link: _Link) -> None:
        self._link = link
        self._http = self._new_parser()
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether the last answer was complete and nothing has followed it."""
        link = self._link
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not link.received
            and not link.ended
            and link.error is None
        )

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that nobody has taken yet."""
        return bool(self._link.received)

    def close(self) -> None:
        """Drop the connection; the server learns of it at once."""
        self._link.transport.abort()

    async def send(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """
        Send a request.

        Raises
        ------
        NotSent
            Nothing was sent, because the connection had ended or the request is
            no valid HTTP.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        try:
            data = self._http.send(
                h11.Request(method=method, target=target, headers=framed)
            )
            if body:
                data = (data or b"") + (self._http.send(h11.Data(data=body)) or b"")
            data = (data or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as error:
            raise NotSent(str(error)) from error
        await self._link.write(data)

    async def head(self) -> ResponseHead:
        """Return the head of the answer; raises `ConnectionBroken`."""
        for _ in range(MOST_INFORMATIONAL + 1):
            event = await self._next()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(f"unexpected {type(event).__name__}")
        raise ConnectionBroken(f"over {MOST_INFORMATIONAL} informational replies")

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `ConnectionBroken` if it is not whole."""
        while True:
            event = await self._next()
            if isinstance(event, h11.EndOfMessage):
                self.idle_since_s = asyncio.get_running_loop().time()
                return
            if not isinstance(event, h11.Data):
                raise ConnectionBroken(f"unexpected {type(event).__name__}")
            yield bytes(event.data)

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the body; raises `ConnectionBroken` if it is not whole or too long."""
        body = bytearray()
        async for chunk in self.body():
            body += chunk
            if len(body) > limit_bytes:
                raise ConnectionBroken(f"body over {limit_bytes} bytes")
        return bytes(body)

    async def _next(self) -> object:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._link.read())
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(str(error)) from error

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=REPLY_HEAD_BYTES)


async def open_connection(address: str, timeout_s: float) -> BackendConnection:
    """
    Open a connection to ``ip:port``.

    Raises
    ------
    NotSent
        It was refused, or not open within `timeout_s` seconds.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, link = await loop.create_connection(_Link, host, int(port))
    except TimeoutError as error:
        raise NotSent("connect timed out") from error
    except OSError as error:
        raise NotSent(f"connect failed: {error.strerror}") from error
    return BackendConnection(link)
