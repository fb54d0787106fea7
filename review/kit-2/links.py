"""A path to a runner that can be cut, as a network does it to both its ends."""

import asyncio

READ_BYTES = 65_536


class Link:
    """
    Forwards connections to a runner.

    While the link is cut, nothing passes in either direction, also no end of a
    connection. What was sent meanwhile passes once the link has healed, because the
    operating systems of both sides send it again; those of a process that has ended
    do so too.
    """

    def __init__(self, target):
        self._target = target
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server = None
        self._tasks = set()
        self.address = ""

    async def start(self, ip):
        self._server = await asyncio.start_server(self._accept, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def cut(self):
        self._is_open.clear()

    def heal(self):
        self._is_open.set()

    def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        await self._is_open.wait()
        host, _, port = self._target.rpartition(":")
        try:
            ahead, behind = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for source, sink in ((reader, behind), (ahead, writer)):
            task = asyncio.ensure_future(self._forward(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()
            await self._is_open.wait()
            writer.close()
        except ConnectionError:
            await self._is_open.wait()
            writer.transport.abort()
