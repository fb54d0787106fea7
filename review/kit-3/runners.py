"""Stand-ins for the runners of plain services, which behave as the pages say."""

import asyncio
import contextlib
import hashlib
import time

KEEP_ALIVE_S = 15


class Runner:
    """
    A sound runner of a plain service.

    `work(request, writer)` writes the response, for as many requests at a time as the
    runner has slots; `queue` others wait, and further ones are rejected.
    """

    def __init__(self, record, name, service, zone, work, *, slots=64, queue=1000):
        self.name, self.service, self.zone = name, service, zone
        self.record, self._work, self.slots = record, work, slots
        # Requests that it has read, in their order, and those that it is working on.
        self.runs = []
        self._free_slots = asyncio.Semaphore(slots)
        self._capacity = slots + queue
        self.in_progress = set()
        self.cut = []
        self.address = ""
        self._server = None
        self._born_ms = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def close(self):
        if self._server is not None:
            self._server.close()

    def entry(self):
        """Return the runner's entry in the platform's list."""
        return {
            "Id": self.name,
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "born": self._born_ms,
        }

    async def _serve(self, reader, writer):
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                request = await read_request(reader)
                expected = request.headers.get("x-expect-instance", self.name)
                if expected != self.name:
                    writer.write(head(request, 421, "X-Not-Executed: 1", length=0))
                elif not request.attempt:
                    writer.write(head(request, 400, "X-Not-Executed: 1", length=0))
                elif len(self.in_progress) >= self._capacity:
                    writer.write(head(request, 503, "X-Not-Executed: 1", length=0))
                else:
                    await self._run(request, writer)
                await writer.drain()
        with contextlib.suppress(RuntimeError):
            writer.close()

    async def _run(self, request, writer):
        self.runs.append(request)
        self.in_progress.add(request.attempt)
        self.record.write(
            f"{self.name} ({self.service}) gets {request.attempt}: {request.method} "
            f"{request.target}, Host {request.headers.get('host')}, "
            f"{len(request.body)} bytes"
        )
        try:
            async with self._free_slots:
                await self._work(request, writer)
        except OSError:
            self.cut.append(request.attempt)
            self.record.write(f"{self.name}: {request.attempt} was cut off")
            raise
        finally:
            self.in_progress.discard(request.attempt)


class Request:
    """A request that a runner has read."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers = method, target, headers
        self.body = body
        self.attempt = headers.get("x-attempt-id", "")


async def read_request(reader):
    """Read a request with a length or in chunks."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, bytes(body))


def head(request, status, *lines, length=None):
    """Return the head of a response."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    text = [
        f"HTTP/1.1 {status} Status",
        f"X-Attempt-Id: {request.attempt}",
        f"Keep-Alive: timeout={KEEP_ALIVE_S}",
        *lines,
        framing,
    ]
    return ("\r\n".join(text) + "\r\n\r\n").encode("latin-1")


def signature(request):
    """Return the signature header of a response that the runner has made."""
    digest = hashlib.sha256(request.attempt.encode()).hexdigest()[:16]
    return f"X-Response-Signature: {digest}"
