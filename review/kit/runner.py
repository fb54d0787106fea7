"""Stand-in for the runners of a small deployment, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import json

__all__ = ["Request", "Runner"]

BUSY_STATUS = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Request:
    """A request as a runner has received it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )
        self.attempt = headers.get("x-attempt-id", "")


async def read_request(reader):
    """Read one request with a length; raise `IncompleteReadError` at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Runner:
    """
    A runner of one service.

    Parameters
    ----------
    log : callable
        Called with a kind of event and its fields.
    name, service, zone : str
        As the platform's list shows them.
    phase : str
        ``prefill`` or ``decode``; empty for a plain service.
    work_s : callable
        Returns for a request how long a plain runner works on it.
    pieces : callable
        Returns for a request the number of events and the time between them.
    drops : bool
        Whether a run ends when its connection closes, as with most runners.

    Attributes
    ----------
    slow_factor : float
        How many times as long the next events take.
    """

    def __init__(
        self,
        log,
        name,
        service,
        zone,
        phase="",
        work_s=lambda request: 0.02,
        pieces=lambda request: (8, 0.03),
        drops=True,
    ):
        self.name, self.service, self.zone, self.phase = name, service, zone, phase
        self.state = "ready"
        self.address = ""
        self.work_s, self.pieces, self.drops = work_s, pieces, drops
        self.slow_factor = 1.0
        self.answer = None
        self._log = log
        self._server = None
        self._writers = set()
        self._counter = 0
        self.active = 0

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        """End like a crashed process: connections are reset, new ones are refused."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Return the runner's entry of the platform's list."""
        entry = {
            "Id": self.name,
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 64 if self.phase else 6,
            "State": self.state,
            "ColdLeftMs": 0,
        }
        if self.phase:
            entry["Phase"] = self.phase
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        return entry

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        errors = (asyncio.IncompleteReadError, ConnectionError, OSError)
        with contextlib.suppress(*errors):
            while True:
                request = await read_request(reader)
                if request.target.startswith("/api/"):
                    writer.write(self._serve_api(request))
                else:
                    await self._serve_request(request, reader, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    def _serve_api(self, request):
        self._counter += 1
        if request.target == "/api/report":
            report = {
                "Phase": self.phase,
                "Models": [],
                "Busy": False,
                "Seq": 0,
                "Queued": 0,
                "Active": self.active,
                "KvUsed": 0,
                "KvTotal": 65205,
                "KvHandles": 0,
            }
            return _json_answer(report)
        if request.target == "/api/hold-take":
            return _json_answer({"Hold": f"{self.name}-hold-{self._counter}"})
        if request.target == "/api/order":
            self._log("order", runner=self.name, body=request.body.decode())
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def _serve_request(self, request, reader, writer):
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
            return
        if not request.attempt:
            writer.write(
                b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return
        if request.headers.get("x-stage") == "prefill":
            self._counter += 1
            await asyncio.sleep(0.05)
            handle = {
                "HandleId": f"{self.name}-{self._counter}",
                "Tokens": 1,
                "Version": 1,
            }
            head = f"X-Attempt-Id: {request.attempt}\r\n"
            writer.write(_json_answer(handle, head.encode()))
            return
        self.active += 1
        self._log("run", runner=self.name, attempt=request.attempt)
        try:
            if self.phase == "decode":
                await self._stream(request, reader, writer)
            else:
                await self._answer(request, writer)
        finally:
            self.active -= 1

    async def _answer(self, request, writer):
        await asyncio.sleep(self.work_s(request))
        self._log("run-end", runner=self.name, attempt=request.attempt)
        if self.answer is not None and await self.answer(request, writer):
            return
        body = f"{request.attempt} {request.method} {request.target}".encode()
        writer.write(_head(request, b"Content-Length: %d\r\n" % len(body)) + body)

    async def _stream(self, request, reader, writer):
        count, gap_s = self.pieces(request)
        loop = asyncio.get_running_loop()
        # A runner stops work at the deadline that it receives.
        ends_s = loop.time() + int(request.headers["x-deadline-ms"]) / 1000
        first = int(request.headers.get("last-event-id", "0")) + 1
        fields = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(_head(request, fields))
        done = 0
        is_open = True
        for number in range(first, count + 1):
            await asyncio.sleep(gap_s * self.slow_factor)
            if loop.time() >= ends_s:
                self._log("run-late", runner=self.name, attempt=request.attempt)
                raise ConnectionError
            if is_open and (writer.transport.is_closing() or reader.at_eof()):
                self._log(
                    "run-cut", runner=self.name, attempt=request.attempt, events=done
                )
                if self.drops:
                    raise ConnectionError
                is_open = False
            done += 1
            if not is_open:
                self._log("works-on", runner=self.name, attempt=request.attempt)
                continue
            event = f"id: {number}\ndata: {request.attempt}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        if is_open:
            writer.write(b"0\r\n\r\n")
        self._log("run-end", runner=self.name, attempt=request.attempt, events=done)


def _head(request, fields):
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig.%s\r\n"
        % (request.attempt.encode(), request.attempt.encode())
        + fields
        + b"\r\n"
    )


def _json_answer(content, fields=b""):
    body = json.dumps(content).encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d"
        b"\r\n\r\n%s" % (fields, len(body), body)
    )
