"""HTTP calls to backend servers over httpcore, with every failure as a value."""

import importlib.util
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import httpcore
import msgspec

from damaskridge.adapters.http_pool import BackendConnectionPool
from damaskridge.adapters.http_streams import StreamBackend
from damaskridge.adapters.ports import StreamFailed
from damaskridge.model.errors import ErrorKind, Failure, RunState

__all__ = ["BackendClient", "HttpResponse", "backend_failure"]

if importlib.util.find_spec("sniffio") is None:
    # httpcore tries to import it several times per request, and Python searches all
    # paths each time: a fifth of an entry host's processor time under load.
    sys.modules["sniffio"] = None  # type: ignore[assignment]

# A connection that has been idle for longer may have gone silent.
_KEEPALIVE_S = 2.0
_CONNECT_S = 1.0


class HttpResponse(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    content_type: str
    body: bytes


class BackendClient:
    """
    Connections to backend servers.

    Parameters
    ----------
    connections : int
        Most connections to one address at the same time.
    """

    def __init__(self, connections: int = 400) -> None:
        self._connections = connections
        self._backend = StreamBackend()
        self._pools: dict[bytes, BackendConnectionPool] = {}

    async def close(self) -> None:
        """Close all connections."""
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
        """Return the whole answer; raises `StreamFailed`."""
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
            with _failures():
                async for part in response.aiter_stream():
                    data += part
                    if len(data) > max_bytes:
                        raise backend_failure("answer over the limit")
            return HttpResponse(response.status, _content_type(response), bytes(data))

    async def lines(
        self, response: httpcore.Response, max_bytes: int
    ) -> AsyncIterator[bytes]:
        """Yield the lines of a response; raises `StreamFailed`."""
        rest = b""
        with _failures():
            async for part in response.aiter_stream():
                *lines, rest = (rest + part).split(b"\n")
                for line in lines:
                    if line.strip():
                        yield line
                if len(rest) > max_bytes:
                    raise backend_failure("line over the limit")
        if rest.strip():
            yield rest

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
        Give the response with its body unread; raises `StreamFailed`.

        With `new_connection` the call never meets a connection that went silent.
        """
        with _failures():
            parsed = httpcore.URL(url)
            opened = self._pool_of(parsed).stream(
                method,
                parsed.target,
                headers or [(b"content-type", b"application/json")],
                body,
                read_timeout_s,
                new_connection,
            )
            response = await opened.__aenter__()
        try:
            yield response
        finally:
            await opened.__aexit__(None, None, None)

    def _pool_of(self, url: httpcore.URL) -> BackendConnectionPool:
        port = url.port or 80
        address = b"%b:%d" % (url.host, port)
        if address not in self._pools:
            self._pools[address] = BackendConnectionPool(
                url.host,
                port,
                self._backend,
                limit=self._connections,
                keepalive_s=_KEEPALIVE_S,
                connect_s=_CONNECT_S,
            )
        return self._pools[address]


@contextmanager
def _failures() -> Iterator[None]:
    """Turn errors of httpcore into `StreamFailed`."""
    try:
        yield
    except _NOT_SENT as error:
        raise backend_failure(type(error).__name__, RunState.NOT_RUN) from error
    except httpcore.TimeoutException as error:
        failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, type(error).__name__)
        raise StreamFailed(failure) from error
    except _BROKEN as error:
        raise backend_failure(type(error).__name__) from error


_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, OSError, ValueError)


def backend_failure(detail: str, run_state: RunState | None = None) -> StreamFailed:
    """Return the exception for a backend server that failed."""
    failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, detail, run_state)
    return StreamFailed(failure)


def _content_type(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1")
    return "application/octet-stream"
