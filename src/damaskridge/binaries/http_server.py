"""Uvicorn inside a running loop, without signal handlers of its own."""

import asyncio
import contextlib
import socket
import sys
from collections.abc import Iterator
from typing import Any

import h11
import uvicorn
from result import Err, Ok, Result
from uvicorn.protocols.http.h11_impl import H11Protocol

from damaskridge.adapters.addresses import split_address
from damaskridge.adapters.http.exchange import ABORT_EXTENSION
from damaskridge.adapters.http.responses import error_body
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["HttpServer", "listen"]

BACKLOG = 1024
# Callers on the slowest links send a head in a few hundred milliseconds.
HEADER_TIMEOUT_S = 5.0
# Longer than callers pause between the requests of one task.
IDLE_TIMEOUT_S = 5.0


def listen(setting: str, address: str) -> Result[socket.socket, str]:
    """Return a listening socket, or one line that names the setting at fault."""
    ip, port = split_address(address)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name the protocol.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((ip, port))
    except OSError as error:
        listener.close()
        return Err(f"{setting}: cannot listen on {address}: {error.strerror}")
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return Ok(listener)


class _Protocol(H11Protocol):
    """
    Bounds the time of a request's head.

    What is no request of HTTP is answered with the body that other refusals have.
    """

    _head_timer: asyncio.TimerHandle | None = None
    _has_part_of_head = False

    def connection_made(self, transport: Any) -> None:
        """Start the time of the first request."""
        super().connection_made(transport)
        self._watch_head(self.config.timeout_keep_alive)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and start or stop the time of a head."""
        super().data_received(data)
        incomplete = self.conn.their_state is h11.IDLE and self.conn.trailing_data[0]
        if not incomplete:
            self._stop_watching()
        elif not self._has_part_of_head:
            self._stop_watching()
            self._has_part_of_head = True
            self._watch_head(self.config.header_timeout_s)  # type: ignore[attr-defined]

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timer."""
        self._stop_watching()
        super().connection_lost(exc)

    def _watch_head(self, timeout_s: float) -> None:
        self._head_timer = self.loop.call_later(timeout_s, self._head_timed_out)

    def _stop_watching(self) -> None:
        self._has_part_of_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_timed_out(self) -> None:
        self._head_timer = None
        if not self.conn.trailing_data[0]:
            # Nothing was sent, so that no request is lost.
            self.transport.close()
            return
        self._refuse(Failure(ErrorKind.BODY_TIMEOUT, "the head is not complete"))

    def send_400_response(self, msg: str) -> None:
        """Refuse and close; called while the parser's error is handled."""
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


def _with_abort(app: Any) -> Any:
    """Let the application drop a connection with all that is still buffered."""

    async def wrapped(scope: Any, receive: Any, send: Any) -> None:
        transport = getattr(getattr(send, "__self__", None), "transport", None)
        if transport is not None:
            scope.setdefault("extensions", {})[ABORT_EXTENSION] = transport.abort
        await app(scope, receive, send)

    return wrapped


class HttpServer(uvicorn.Server):
    """
    Serves one ASGI application.

    Parameters
    ----------
    app : ASGI application
        What answers.
    max_header_bytes : int
        Longest request head that h11 takes.
    """

    def __init__(self, app: Any, max_header_bytes: int = 16_384) -> None:
        super().__init__(
            uvicorn.Config(
                _with_abort(app),
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
        self.limit(
            max_header_bytes=max_header_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the program, which drains before it stops."""
        yield

    async def run_on(self, listener: socket.socket) -> None:
        """Serve until `stop`, then until the open responses have ended."""
        await self.serve(sockets=[listener])

    def limit(
        self, *, max_header_bytes: int, header_timeout_s: float, idle_timeout_s: float
    ) -> None:
        """
        Set the limits of connections that are opened from now on.

        Parameters
        ----------
        max_header_bytes : int
            Longest request head.
        header_timeout_s : float
            Longest time until a head is complete, in seconds.
        idle_timeout_s : float
            How long a connection without requests is kept, in seconds.
        """
        self.config.h11_max_incomplete_event_size = max_header_bytes
        self.config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]
        self.config.header_timeout_s = header_timeout_s  # type: ignore[attr-defined]

    def stop(self) -> None:
        """Close the listener; open responses go on."""
        self.should_exit = True
