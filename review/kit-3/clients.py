"""A client that keeps its connection, as the pages allow."""

import asyncio


class Client:
    """One kept connection of a client to one machine."""

    def __init__(self, record, machine, port, host, key):
        self.record, self.machine, self.port = record, machine, port
        self.host, self.key = host, key
        self._reader = self._writer = None

    async def connect(self):
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, self.port), 1.0
        )

    def close(self):
        if self._writer is not None:
            self._writer.close()

    async def send(self, attempt, method, path, *, body=b"", deadline_ms, headers=()):
        """Send a request, and return the status, headers and reader of the answer."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {self.key}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        self._writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await self._writer.drain()
        text = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = text.strip().split("\r\n")
        values = {}
        for line in rest:
            name, _, value = line.partition(":")
            values[name.strip().lower()] = value.strip()
        return int(first.split(" ")[1]), values, self._reader

    async def request(self, attempt, method, path, **options):
        """
        Send a request and read the whole answer.

        Returns the status, or the text "cut" if the connection ended without an answer
        and "late" if there was none within the deadline and a second more.
        """
        limit_s = options["deadline_ms"] / 1000 + 1.0
        try:
            async with asyncio.timeout(limit_s):
                status, values, reader = await self.send(
                    attempt, method, path, **options
                )
                await reader.readexactly(int(values.get("content-length", "0")))
        except TimeoutError:
            return "late"
        except (OSError, asyncio.IncompleteReadError):
            return "cut"
        return status
