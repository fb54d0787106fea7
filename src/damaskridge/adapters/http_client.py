"""HTTP client for backend servers, based on httpcore.

Every error is raised as `StreamFailed`, whose `Failure` states whether the request may
have run.
"""

import importlib.util
import re
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import httpcore
import msgspec

from damaskridge.adapters.http_pool import BackendConnectionPool
from damaskridge.adapters.http_streams import StreamBackend
from damaskridge.adapters.ports import StreamFailed
from damaskridge.core.byte_splitter import ByteSplitter
from damaskridge.model.errors import ErrorKind, Failure, RunState

__all__ = ["BackendClient", "HttpResponse", "backend_failure"]

if importlib.util.find_spec("sniffio") is None:
    # httpcore tries to import sniffio several times per request. Without this entry,
    # Python searches all paths each time, which took a fifth of an entry host's
    # processor time under load.
    sys.modules["sniffio"] = None  # type: ignore[assignment]

# An idle connection may fail unnoticed, so it isn't reused after this time.
_KEEPALIVE_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
_LINE_END = re.compile(rb"\n")


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    content_type: str
    body: bytes


class BackendClient:
    """
    HTTP client with a connection pool per backend server.

    Parameters
    ----------
    max_connections : int
        Maximum number of concurrent requests to one address.
    """

    def __init__(self, max_connections: int = 400) -> None:
        self._max_connections = max_connections
        self._backend = StreamBackend()
        self._pools: dict[bytes, BackendConnectionPool] = {}

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.close()

    async def call(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
        read_timeout_s: float | None,
        max_bytes: int,
        new_connection: bool = False,
    ) -> HttpResponse:
        """
        Send a request and return the complete response.

        Parameters
        ----------
        method, url, body, headers
            The request.
        read_timeout_s : float or None
            Timeout of each read and write.
        max_bytes : int
            Maximum size of the response body.
        new_connection : bool
            Whether to open a new connection, so that the request isn't sent on an idle
            one that has failed unnoticed.

        Raises
        ------
        StreamFailed
            If there is no complete response within the limits.
        """
        stream = self.stream(
            method,
            url,
            body=body,
            headers=headers,
            read_timeout_s=read_timeout_s,
            new_connection=new_connection,
        )
        data = bytearray()
        async with stream as response:
            with _translate_errors():
                async for chunk in response.aiter_stream():
                    data += chunk
                    if len(data) > max_bytes:
                        raise backend_failure("answer over the limit")
            return HttpResponse(response.status, _content_type(response), bytes(data))

    async def lines(
        self, response: httpcore.Response, max_bytes: int
    ) -> AsyncIterator[bytes]:
        """Yield the non-empty lines of a response; raises `StreamFailed`."""
        splitter = ByteSplitter(_LINE_END, longest_match_bytes=1)
        with _translate_errors():
            async for chunk in response.aiter_stream():
                for line in splitter.feed(chunk):
                    if line.strip():
                        yield line.removesuffix(b"\n")
                if splitter.rest_bytes > max_bytes:
                    raise backend_failure("line over the limit")
        if splitter.rest.strip():
            yield splitter.rest

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
        read_timeout_s: float | None,
        new_connection: bool = False,
    ) -> AsyncIterator[httpcore.Response]:
        """
        Send a request and yield the response before its body is read.

        The parameters are those of `call`. Raises `StreamFailed`.
        """
        with _translate_errors():
            parsed = httpcore.URL(url)
            stream_context = self._pool_for(parsed).stream(
                method,
                parsed.target,
                headers or [(b"content-type", b"application/json")],
                body,
                read_timeout_s,
                new_connection,
            )
            response = await stream_context.__aenter__()
        try:
            yield response
        finally:
            await stream_context.__aexit__(None, None, None)

    def _pool_for(self, url: httpcore.URL) -> BackendConnectionPool:
        port = url.port or 80
        address = b"%b:%d" % (url.host, port)
        if address not in self._pools:
            self._pools[address] = BackendConnectionPool(
                url.host,
                port,
                self._backend,
                max_requests=self._max_connections,
                keepalive_timeout_s=_KEEPALIVE_TIMEOUT_S,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
            )
        return self._pools[address]


@contextmanager
def _translate_errors() -> Iterator[None]:
    """Translate errors of httpcore to `StreamFailed`."""
    try:
        yield
    except _NOT_SENT_ERRORS as error:
        raise backend_failure(type(error).__name__, RunState.NOT_RUN) from error
    except httpcore.TimeoutException as error:
        failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, type(error).__name__)
        raise StreamFailed(failure) from error
    except _CONNECTION_ERRORS as error:
        raise backend_failure(type(error).__name__) from error


_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    OSError,
    ValueError,
)


def backend_failure(detail: str, run_state: RunState | None = None) -> StreamFailed:
    """Return the exception for a failure of a backend server."""
    failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, detail, run_state)
    return StreamFailed(failure)


def _content_type(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1")
    return "application/octet-stream"
