"""Pool of httpcore connections to one address."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

__all__ = ["BackendConnectionPool"]

Headers = list[tuple[bytes, bytes]]


class BackendConnectionPool:
    """
    Keeps open connections to one address for reuse.

    httpcore's own pool compares all pairs of its connections at every request, which
    took a third of an entry host's processor time for 200 concurrent requests.

    Parameters
    ----------
    host, port : bytes, int
        The address of the backend server.
    backend : httpcore.AsyncNetworkBackend
        Opens connections.
    max_requests : int
        Maximum number of concurrent requests.
    keepalive_timeout_s : float
        Maximum time for which an idle connection is kept.
    connect_timeout_s : float
        Timeout of opening a connection.
    """

    def __init__(
        self,
        host: bytes,
        port: int,
        backend: httpcore.AsyncNetworkBackend,
        *,
        max_requests: int,
        keepalive_timeout_s: float,
        connect_timeout_s: float,
    ) -> None:
        self._origin = httpcore.Origin(b"http", host, port)
        self._backend = backend
        self._max_requests = max_requests
        self._keepalive_timeout_s = keepalive_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._active_requests = 0
        # Each connection with the event loop's time at which it became idle.
        self._idle: list[tuple[httpcore.AsyncHTTP11Connection, float]] = []

    async def close(self) -> None:
        """Close idle connections."""
        idle, self._idle = self._idle, []
        for connection, _ in idle:
            await connection.aclose()

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        read_timeout_s: float | None,
        new_connection: bool,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield the response before its body is read."""
        if self._active_requests >= self._max_requests:
            raise httpcore.PoolTimeout
        self._active_requests += 1
        try:
            connection = await self._acquire(new_connection)
            request = self._request(method, target, headers, body, read_timeout_s)
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
                if (
                    connection.is_idle()
                    and not new_connection
                    and not _has_trailing_data(connection)
                ):
                    self._idle.append((connection, _now_s()))
                else:
                    await connection.aclose()
        finally:
            self._active_requests -= 1

    async def _acquire(self, new_connection: bool) -> httpcore.AsyncHTTP11Connection:
        # The most recently used connection is the least likely to have failed.
        while self._idle and not new_connection:
            connection, idle_since_s = self._idle.pop()
            # The clock of httpcore stops while the machine is suspended, so that
            # `has_expired` alone isn't enough.
            is_recent = _now_s() - idle_since_s < self._keepalive_timeout_s
            if is_recent and not connection.has_expired():
                return connection
            await connection.aclose()
        stream = await self._backend.connect_tcp(
            self._origin.host.decode(),
            self._origin.port,
            timeout=self._connect_timeout_s,
        )
        return httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=self._keepalive_timeout_s
        )

    def _request(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        read_timeout_s: float | None,
    ) -> httpcore.Request:
        origin = self._origin
        url = httpcore.URL(
            scheme=b"http", host=origin.host, port=origin.port, target=target
        )
        names = {name.lower() for name, _ in headers}
        if b"content-length" not in names and b"transfer-encoding" not in names:
            headers = [(b"Content-Length", b"%d" % len(body)), *headers]
        if b"host" not in names:
            headers = [(b"Host", b"%b:%d" % (origin.host, origin.port)), *headers]
        timeouts = {"write": read_timeout_s, "read": read_timeout_s}
        return httpcore.Request(
            method, url, headers=headers, content=body, extensions={"timeout": timeouts}
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _has_trailing_data(connection: httpcore.AsyncHTTP11Connection) -> bool:
    """
    Return whether bytes followed a complete response.

    They belong to no request, and httpcore would parse them as the next response.
    None of its public attributes shows them.
    """
    return bool(connection._h11_state.trailing_data[0])
