"""A proxy on the loopback that delays, resets, silences and half-closes connections."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

__all__ = ["FaultProxy", "LinkFault"]

_CHUNK_BYTES = 65_536
_LINGER_NONE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """What the proxy does to all its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    # Only what the accepting side sends is lost.
    MUTE = "mute"
    REFUSE = "refuse"


class FaultProxy:
    """
    Passes connections on to a target.

    Parameters
    ----------
    target : callable
        Returns IP address and port to connect to.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.fault = LinkFault.NONE
        self.delay_s = 0.15
        self.address = ""

    async def start(self, ip="127.0.0.1"):
        self._server = await asyncio.start_server(self._accept, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

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
                # Without this the peer would see an orderly end.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            writer.transport.abort()

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        upstream = None
        try:
            if self.fault is not LinkFault.REFUSE:
                ip, port = self._target()
                far_reader, upstream = await asyncio.open_connection(ip, port)
                self._writers.add(upstream)
                pumps = (
                    asyncio.ensure_future(self._pump(reader, upstream, False)),
                    asyncio.ensure_future(self._pump(far_reader, writer, True)),
                )
                try:
                    await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
                    # The other direction may still carry the end of an answer.
                    await asyncio.wait(pumps, timeout=0.05)
                finally:
                    for pump in pumps:
                        pump.cancel()
        except OSError:
            pass
        finally:
            for item in (writer, upstream):
                if item is not None:
                    self._writers.discard(item)
                    item.transport.abort()

    async def _pump(self, reader, writer, is_answer):
        is_silent = False
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                muted = is_answer and self.fault is LinkFault.MUTE
                # Nothing follows bytes that were lost, as on a real connection.
                is_silent |= muted or self.fault is LinkFault.SILENCE
                if not is_silent:
                    writer.write(data)
                    await writer.drain()
            # What was written before has left when the buffer is empty.
            while writer.transport.get_write_buffer_size():  # noqa: ASYNC110
                await asyncio.sleep(0.005)
