"""An HTTP server on uvicorn for a running event loop, without signal handlers."""

import asyncio
import contextlib
import socket
import sys
from collections.abc import Iterator
from functools import partial
from typing import Any

import h11
import uvicorn
from result import Err, Ok, Result

from damaskridge.adapters.addresses import split_address
from damaskridge.adapters.http.exchange import ABORT_EXTENSION, UNFRAMED_EXTENSION
from damaskridge.adapters.http.responses import error_body
from damaskridge.binaries.lingering_close import LingeringTransport
from damaskridge.binaries.paced_protocol import PacedProtocol
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["LATE_REQUEST_S", "HttpServer", "listen"]

LISTEN_BACKLOG = 1024
# Callers on the slowest links send a request head in a few hundred milliseconds.
HEADER_TIMEOUT_S = 5.0
# Longer than the pauses of callers between the requests of one task.
IDLE_TIMEOUT_S = 5.0
# Time for the arrival of a request that was sent just before the caller's list of
# addresses expired.
LATE_REQUEST_S = 0.4


def listen(setting: str, address: str) -> Result[socket.socket, str]:
    """Return a listening socket, or an error line that names the setting."""
    ip, port = split_address(address)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol is IPPROTO_TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((ip, port))
    except OSError as error:
        listener.close()
        return Err(f"{setting}: cannot listen on {address}: {error.strerror}")
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return Ok(listener)


class _Protocol(PacedProtocol):
    """
    Adds a timeout for the request head to uvicorn's protocol.

    Input that is not valid HTTP gets the same JSON error body as other refusals. A
    response that closes the connection arrives although the caller is still sending.
    """

    _lingering: LingeringTransport
    _head_timer: asyncio.TimerHandle | None = None
    _has_partial_head = False
    _idle_since_s = 0.0

    def connection_made(self, transport: Any) -> None:
        """Start the timer for the first request."""
        self._lingering = LingeringTransport(transport, self._is_request_incomplete)
        super().connection_made(self._lingering)
        self._start_head_timer(self.config.timeout_keep_alive)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and start or stop the timer of a request head."""
        if self._lingering.is_lingering:
            return
        super().data_received(data)
        incomplete = self.conn.their_state is h11.IDLE and self.conn.trailing_data[0]
        if not incomplete:
            self._stop_head_timer()
        elif not self._has_partial_head:
            self._stop_head_timer()
            self._has_partial_head = True
            self._start_head_timer(self.config.header_timeout_s)  # type: ignore[attr-defined]

    def _is_request_incomplete(self) -> bool:
        state = self.conn.their_state
        has_partial_head = state is h11.IDLE and bool(self.conn.trailing_data[0])
        return state in (h11.SEND_BODY, h11.ERROR) or has_partial_head

    @property  # type: ignore[override]
    def timeout_keep_alive(self) -> float:
        """The idle timeout in force, which may have changed since the connection."""
        return self.config.timeout_keep_alive

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, value: float) -> None:
        """Ignore the value that uvicorn stores when the connection is opened."""

    def on_response_complete(self) -> None:
        """Note when the connection becomes idle."""
        self._idle_since_s = self.loop.time()
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection, unless the idle timeout was extended meanwhile."""
        remaining_s = self._idle_since_s + self.timeout_keep_alive - self.loop.time()
        if remaining_s <= 0:
            super().timeout_keep_alive_handler()
        else:
            self.timeout_keep_alive_task = self.loop.call_later(
                remaining_s, self.timeout_keep_alive_handler
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _start_head_timer(self, timeout_s: float) -> None:
        self._head_timer = self.loop.call_later(timeout_s, self._on_head_timeout)

    def _stop_head_timer(self) -> None:
        self._has_partial_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if not self.conn.trailing_data[0]:
            # No byte of a request has arrived, so closing loses no request.
            self.transport.close()
            return
        self._refuse(Failure(ErrorKind.BODY_TIMEOUT, "the head is not complete"))

    def send_400_response(self, msg: str) -> None:
        """Refuse and close; uvicorn calls this while it handles the parse error."""
        error = sys.exc_info()[1]
        kind = ErrorKind.INVALID_REQUEST
        if getattr(error, "error_status_hint", 400) == 431:
            kind = ErrorKind.HEADERS_TOO_LARGE
        self._refuse(Failure(kind, msg))

    def _refuse(self, failure: Failure) -> None:
        body = error_body(failure, "")
        head = (
            f"HTTP/1.1 {failure.status} Refused\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()


def _with_connection_extensions(app: Any) -> Any:
    """Pass the application functions that act on its caller's connection."""

    async def wrapped(scope: Any, receive: Any, send: Any) -> None:
        cycle = getattr(send, "__self__", None)
        if cycle is not None:
            scope.setdefault("extensions", {}).update(
                {
                    ABORT_EXTENSION: cycle.transport.abort,
                    UNFRAMED_EXTENSION: partial(_end_with_connection, cycle.conn),
                }
            )
        await app(scope, receive, send)

    return wrapped


def _end_with_connection(connection: h11.Connection) -> None:
    """Let h11 frame the next response as for a peer that knows no chunks."""
    connection.their_http_version = b"1.0"


class HttpServer(uvicorn.Server):
    """
    Serves an ASGI application.

    Parameters
    ----------
    app : ASGI application
        The application.
    max_header_bytes : int
        Maximum size of a request head, which h11 enforces.
    """

    def __init__(self, app: Any, max_header_bytes: int = 16_384) -> None:
        super().__init__(
            uvicorn.Config(
                _with_connection_extensions(app),
                http=_Protocol,
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                proxy_headers=False,
                h11_max_incomplete_event_size=max_header_bytes,
            )
        )
        self.set_limits(
            max_header_bytes=max_header_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers; the program handles signals and drains before exit."""
        yield

    async def run_on(self, listener: socket.socket) -> None:
        """Serve until `stop` is called and the open responses are complete."""
        await self.serve(sockets=[listener])

    def set_limits(
        self, *, max_header_bytes: int, header_timeout_s: float, idle_timeout_s: float
    ) -> None:
        """
        Set the limits, also the idle timeout of open connections.

        Parameters
        ----------
        max_header_bytes : int
            Maximum size of a request head.
        header_timeout_s : float
            Maximum time until a request head is complete.
        idle_timeout_s : float
            Time after which a connection without requests is closed.
        """
        self.config.h11_max_incomplete_event_size = max_header_bytes
        self.config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]
        self.config.header_timeout_s = header_timeout_s  # type: ignore[attr-defined]

    def stop(self) -> None:
        """Close the listener; open responses continue."""
        self.should_exit = True
