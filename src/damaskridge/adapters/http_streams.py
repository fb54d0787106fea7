"""Network backend for httpcore, based on asyncio streams.

The default backend stops and resumes reading from the socket at every read, and sets a
timer each time. This took two fifths of the processor time spent on token streams.
"""

import asyncio
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

__all__ = ["StreamBackend"]


class _CountingReader(asyncio.StreamReader):
    """Stream reader that counts the received bytes that have not been read."""

    def __init__(self) -> None:
        super().__init__(loop=asyncio.get_running_loop())
        self._unread_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read."""
        return self._unread_bytes > 0

    def feed_data(self, data: Any) -> None:
        """Add bytes received by the transport."""
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return received bytes; an empty result means the end of the stream."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data


class _Connection(httpcore.AsyncNetworkStream):
    """One connection; reads with a timeout of `None` set no timer."""

    def __init__(self, reader: _CountingReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Return received bytes; an empty result means the end of the stream."""
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
        """Close the connection without waiting for the peer."""
        self._writer.transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Raise an error: connections to backend servers use plain TCP."""
        raise httpcore.UnsupportedProtocol("TLS")

    def get_extra_info(self, info: str) -> Any:
        """
        Return whether an idle connection must not be reused.

        httpcore asks for this as ``is_readable``: the peer has closed the connection
        or has sent bytes that belong to no request.
        """
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
        """Open a connection."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await _open_connection(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError from error
        return _Connection(reader, writer)

    async def sleep(self, seconds: float) -> None:
        """Wait for `seconds`."""
        await asyncio.sleep(seconds)


async def _open_connection(
    host: str, port: int
) -> tuple[_CountingReader, asyncio.StreamWriter]:
    loop, reader = asyncio.get_running_loop(), _CountingReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
