"""Uvicorn inside a running loop, without signal handlers of its own."""

import contextlib
import socket
import sys
from collections.abc import Iterator
from typing import Any

import uvicorn
from result import Err, Ok, Result
from uvicorn.protocols.http.h11_impl import H11Protocol

from damaskridge.adapters.http.answers import error_body
from damaskridge.adapters.http.exchange import ABORT_EXTENSION
from damaskridge.binaries.entry_settings import split_address
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["HttpServer", "listen"]

BACKLOG = 1024


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
    """Answers what is no request of HTTP with the body that other refusals have."""

    def send_400_response(self, msg: str) -> None:
        """Refuse and close; called while the parser's error is handled."""
        error = sys.exc_info()[1]
        kind = ErrorKind.INVALID_REQUEST
        if getattr(error, "error_status_hint", 400) == 431:
            kind = ErrorKind.HEADERS_TOO_LARGE
        failure = Failure(kind, msg)
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

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the program, which drains before it stops."""
        yield

    async def run_on(self, listener: socket.socket) -> None:
        """Serve until `stop`, then until the open responses have ended."""
        await self.serve(sockets=[listener])

    def stop(self) -> None:
        """Close the listener; open responses go on."""
        self.should_exit = True
