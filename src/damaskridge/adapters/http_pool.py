"""Connections of httpcore to one address, kept for reuse."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

__all__ = ["BackendConnectionPool"]

Headers = list[tuple[bytes, bytes]]


class BackendConnectionPool:
    """
    Open connections to one address.

    httpcore's own pool looks at all pairs of its connections at every request, which
    took a third of an entry host's processor time when 200 requests came at once.

    Parameters
    ----------
    host, port : bytes, int
        The address.
    backend : httpcore.AsyncNetworkBackend
        Opens connections.
    limit : int
        Most requests at the same time.
    keepalive_s : float
        How long an idle connection is kept.
    connect_s : float
        Longest time until a connection is open.
    """

    def __init__(
        self,
        host: bytes,
        port: int,
        backend: httpcore.AsyncNetworkBackend,
        *,
        limit: int,
        keepalive_s: float,
        connect_s: float,
    ) -> None:
        self._origin = httpcore.Origin(b"http", host, port)
        self._backend = backend
        self._limit = limit
        self._keepalive_s = keepalive_s
        self._connect_s = connect_s
        self._running = 0
        # With the loop time since when each has been idle.
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
        """Yield the response with its body unread."""
        if self._running >= self._limit:
            raise httpcore.PoolTimeout
        self._running += 1
        try:
            connection = await self._connection(new_connection)
            request = self._request(method, target, headers, body, read_timeout_s)
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
                if (
                    connection.is_idle()
                    and not new_connection
                    and not _has_extra(connection)
                ):
                    self._idle.append((connection, _now_s()))
                else:
                    await connection.aclose()
        finally:
            self._running -= 1

    async def _connection(self, new_connection: bool) -> httpcore.AsyncHTTP11Connection:
        # The connection used last is the least likely to have gone silent.
        while self._idle and not new_connection:
            connection, idle_since_s = self._idle.pop()
            # The library's clock stands still while the machine is suspended.
            is_fresh = _now_s() - idle_since_s < self._keepalive_s
            if is_fresh and not connection.has_expired():
                return connection
            await connection.aclose()
        stream = await self._backend.connect_tcp(
            self._origin.host.decode(), self._origin.port, timeout=self._connect_s
        )
        return httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=self._keepalive_s
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


def _has_extra(connection: httpcore.AsyncHTTP11Connection) -> bool:
    """
    Tell whether bytes followed a complete answer.

    They belong to no request, and httpcore would take them for the next answer. It
    offers no public way to see them.
    """
    return bool(connection._h11_state.trailing_data[0])
