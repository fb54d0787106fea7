"""Connections for httpcore on the streams of asyncio.

The default backend stops and restarts reading from the socket at every read and
sets a timer each time, which cost two fifths of the processor time of token streams.
"""

import asyncio
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

__all__ = ["StreamBackend"]


class _Reader(asyncio.StreamReader):
    """Tells whether bytes have arrived that nobody has read."""

    def __init__(self) -> None:
        super().__init__(loop=asyncio.get_running_loop())
        self._unread_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that nobody has read."""
        return self._unread_bytes > 0

    def feed_data(self, data: Any) -> None:
        """Take bytes from the transport."""
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return some bytes, or none at the end."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data


class _Connection(httpcore.AsyncNetworkStream):
    """One connection; a timeout of `None` sets no timer."""

    def __init__(self, reader: _Reader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Return some bytes, or none at the end."""
        try:
            if timeout is None:
                return await self._reader.read(max_bytes)
            async with asyncio.timeout(timeout):
                return await self._reader.read(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error
        except OSError as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Send bytes."""
        try:
            self._writer.write(buffer)
            async with asyncio.timeout(timeout):
                await self._writer.drain()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except OSError as error:
            raise httpcore.WriteError from error

    async def aclose(self) -> None:
        """Close the connection without waiting for the other side."""
        self._writer.transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: backend servers are met over plain TCP."""
        raise httpcore.UnsupportedProtocol("TLS")

    def get_extra_info(self, info: str) -> Any:
        """Tell whether an idle connection has ended, or holds bytes of no request."""
        if info != "is_readable":
            return None
        return self._reader.at_eof() or self._reader.has_unread


class StreamBackend(httpcore.AsyncNetworkBackend):
    """Opens plain TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a connection."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await _open(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError from error
        return _Connection(reader, writer)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)


async def _open(host: str, port: int) -> tuple[_Reader, asyncio.StreamWriter]:
    loop, reader = asyncio.get_running_loop(), _Reader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
