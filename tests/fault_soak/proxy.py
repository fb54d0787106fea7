"""A loopback TCP proxy that delays or drops data and closes or resets connections."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

__all__ = ["FaultProxy", "LinkFault"]

_READ_BYTES = 65_536
_LINGER_ZERO = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """Fault that the proxy applies to all its connections."""

    NONE = "none"
    DELAY = "delay"
    DROP_ALL = "drop_all"
    # Drops only the bytes that the target sends.
    DROP_RESPONSES = "drop_responses"
    # Closes new connections without contacting the target.
    CLOSE = "close"


class _Link:
    """One connection through the proxy."""

    def __init__(self):
        self.is_severed = False


class FaultProxy:
    """
    Relays connections to a target and applies the current `fault` to them.

    Parameters
    ----------
    target : callable
        Returns the IP address and port to connect to.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._links = set()
        self.fault = LinkFault.NONE
        self.delay_s = 0.15
        self.address = ""

    async def start(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._start_connection, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def crash(self):
        """Reset every open connection and refuse new ones until `restart`."""
        self._server.close()
        self.reset()

    async def restart(self):
        """Accept connections again, at the same address."""
        ip, _, port = self.address.rpartition(":")
        await self.start(ip, int(port))

    async def stop(self):
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Reset every open connection."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                # Linger time 0 sends RST; otherwise the peer sees a regular close.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            writer.transport.abort()

    def sever(self, rng, share=1.0):
        """
        Let a share of the open connections go silent for good, without a close.

        New connections work.
        """
        for link in sorted(self._links, key=id):
            link.is_severed |= rng.random() < share

    def _start_connection(self, reader, writer):
        task = asyncio.ensure_future(self._relay_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay_connection(self, reader, writer):
        self._writers.add(writer)
        link = _Link()
        self._links.add(link)
        upstream_writer = None
        try:
            if self.fault is not LinkFault.CLOSE:
                ip, port = self._target()
                upstream_reader, upstream_writer = await asyncio.open_connection(
                    ip, port
                )
                self._writers.add(upstream_writer)
                relays = (
                    asyncio.ensure_future(
                        self._relay_direction(reader, upstream_writer, False, link)
                    ),
                    asyncio.ensure_future(
                        self._relay_direction(upstream_reader, writer, True, link)
                    ),
                )
                try:
                    await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
                    # The other direction may still carry the end of a response.
                    await asyncio.wait(relays, timeout=0.05)
                finally:
                    for relay in relays:
                        relay.cancel()
        except OSError:
            pass
        finally:
            self._links.discard(link)
            for open_writer in (writer, upstream_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.transport.abort()

    async def _relay_direction(self, reader, writer, is_response, link):
        is_dropping = False
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if link.is_severed:
                    continue
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                drops_response = is_response and self.fault is LinkFault.DROP_RESPONSES
                # TCP delivers no bytes after lost ones, so the rest is dropped too.
                is_dropping |= drops_response or self.fault is LinkFault.DROP_ALL
                if not is_dropping:
                    writer.write(data)
                    await writer.drain()
            # `_relay_connection` aborts the transport, which discards unsent data.
            while writer.transport.get_write_buffer_size():  # noqa: ASYNC110
                await asyncio.sleep(0.005)
