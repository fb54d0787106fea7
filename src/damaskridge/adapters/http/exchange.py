"""One HTTP request of a caller and its response, with limits on both."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from damaskridge.adapters.http.bodies import RequestError
from damaskridge.adapters.http.responses import error_body, retry_after_header
from damaskridge.model.errors import ErrorKind, Failure

__all__ = [
    "ABORT_EXTENSION",
    "REQUEST_ID_HEADER",
    "UNFRAMED_EXTENSION",
    "CallerGone",
    "Exchange",
    "ExchangeLimits",
    "Receive",
    "Scope",
    "Send",
]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_MAX_HEADER_BYTES = 32_768
_JSON = b"application/json"
# Key in the ASGI scope's `extensions`: a function that closes the connection at once
# and discards what is still buffered.
ABORT_EXTENSION = "damaskridge.abort"
# Another one: a function that makes the response end with its connection instead of
# with a length or chunks. It has to be called before the response starts.
UNFRAMED_EXTENSION = "damaskridge.unframed"
REQUEST_ID_HEADER = b"x-request-id"


class CallerGone(Exception):
    """The caller disconnected, or stopped reading (`too_slow`)."""

    def __init__(self, too_slow: bool = False) -> None:
        super().__init__("caller disconnected or stopped reading")
        self.too_slow = too_slow


@dataclass(frozen=True, slots=True)
class ExchangeLimits:
    """
    Limits of one exchange with a caller.

    Parameters
    ----------
    body_limit_bytes, body_wait_s : int, float
        Maximum size of a request body, and maximum time until it is complete.
    write_timeout_s : float
        Maximum time for which a write may block because the caller does not read.
    """

    body_limit_bytes: int
    body_wait_s: float
    write_timeout_s: float


class Exchange:
    """
    A request with its response.

    Parameters
    ----------
    scope, receive, send
        The arguments of the ASGI application.
    request_id : str
        Sent in the ``x-request-id`` header of the response.
    limits : ExchangeLimits
        Limits of size and time.

    Attributes
    ----------
    started : bool
        Whether the response has started.
    has_external_timeout : bool
        Whether the code that runs the exchange limits its time, for example by polling
        `is_stalled`. Writes then set no timeout of their own, since a timer for each
        write is costly.
    """

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        request_id: str,
        limits: ExchangeLimits,
    ) -> None:
        self._receive = receive
        self._send = send
        self._limits = limits
        self.request_id = request_id
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query = bytes(scope.get("query_string", b"")).decode("latin-1")
        self.raw_headers: list[tuple[bytes, bytes]] = list(scope["headers"])
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self.raw_headers
        }
        extensions = scope.get("extensions", {})
        self._abort = extensions.get(ABORT_EXTENSION)
        self._end_with_connection = extensions.get(UNFRAMED_EXTENSION)
        self.started = False
        self.has_external_timeout = False
        self._writing_since_s = float("inf")

    def check_headers(self, limit_bytes: int = _MAX_HEADER_BYTES) -> None:
        """Raise `RequestError` if path, query and headers exceed the limit."""
        size_bytes = sum(len(name) + len(value) for name, value in self.raw_headers)
        if size_bytes + len(self.path) + len(self.query) > limit_bytes:
            raise RequestError(Failure(ErrorKind.HEADERS_TOO_LARGE))

    async def body(self) -> bytes:
        """Receive the whole body; raise `RequestError` if it exceeds a limit."""
        limit_bytes = self._limits.body_limit_bytes
        declared_length = self.headers.get("content-length", "0")
        if declared_length.isdecimal() and int(declared_length) > limit_bytes:
            raise RequestError(Failure(ErrorKind.BODY_TOO_LARGE))
        body = bytearray()
        try:
            async with asyncio.timeout(self._limits.body_wait_s):
                while True:
                    message = await self._receive()
                    if message["type"] == "http.disconnect":
                        raise CallerGone
                    body += message.get("body", b"")
                    if len(body) > limit_bytes:
                        raise RequestError(Failure(ErrorKind.BODY_TOO_LARGE))
                    if not message.get("more_body", False):
                        return bytes(body)
        except TimeoutError:
            raise RequestError(Failure(ErrorKind.BODY_TIMEOUT)) from None

    @asynccontextmanager
    async def watch_disconnect(self) -> AsyncIterator[asyncio.Task[None]]:
        """Provide a task that finishes when the caller disconnects."""
        task = asyncio.get_running_loop().create_task(self._wait_for_disconnect())
        try:
            yield task
        finally:
            task.cancel()

    async def start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """
        Start the response.

        Parameters
        ----------
        status : int
            Status code.
        headers : list of tuple of bytes
            Names and values.
        ends_with_connection : bool
            Whether the body gets neither a length nor chunks.
        """
        self.started = True
        if ends_with_connection and self._end_with_connection is not None:
            self._end_with_connection()
        headers = [*headers, (REQUEST_ID_HEADER, self.request_id.encode())]
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await self._write(start)

    async def write(self, data: bytes, more: bool = True) -> None:
        """Send a part of the body; raise `CallerGone` if the caller is not reading."""
        body = {"type": "http.response.body", "body": data, "more_body": more}
        await self._write(body)

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: bytes = _JSON,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [(b"content-type", content_type), length, *headers])
        await self.write(b"" if self.method == "HEAD" else body, more=False)

    async def refuse(self, failure: Failure) -> None:
        """Send an error response."""
        headers = retry_after_header(failure)
        # Otherwise the unread rest of the body would be parsed as the next request.
        if failure.kind in (ErrorKind.BODY_TOO_LARGE, ErrorKind.BODY_TIMEOUT):
            headers.append((b"connection", b"close"))
        body = error_body(failure, self.request_id)
        await self.respond(failure.status, body, headers=tuple(headers))

    async def _write(self, message: MutableMapping[str, Any]) -> None:
        loop = asyncio.get_running_loop()
        self._writing_since_s = loop.time()
        try:
            if self.has_external_timeout:
                await self._send(message)
            else:
                async with asyncio.timeout(self._limits.write_timeout_s):
                    await self._send(message)
        except TimeoutError:
            raise CallerGone(too_slow=True) from None
        except OSError:
            raise CallerGone from None
        finally:
            self._writing_since_s = float("inf")

    def abort(self) -> None:
        """Close the connection at once and discard data that is still buffered."""
        if self._abort is not None:
            self._abort()

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def is_stalled(self) -> bool:
        """Return whether a write has been blocked for longer than the limit."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._writing_since_s >= self._limits.write_timeout_s

    async def _wait_for_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
