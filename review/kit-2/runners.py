"""Stand-ins for the runners of a service and for the platform's list of them."""

import asyncio
import json
import time
from itertools import count

from http11 import answer, serve

# As in SYSTEM.md, "Engines".
PREFILL_TOKENS_PER_MS = 55.5
STEP_S = 0.007
EVENT_TEXT_BYTES = 44
ROLE_SWITCH_S = 6.0


class Runner:
    """
    One runner; a plain service's if it has no phase.

    `spoil(request)` returns the bytes to answer instead of the sound answer, or None.
    """

    def __init__(self, record, service, phase="", zone="fukuoka", work_s=0.0225):
        self.record = record
        self.service = service
        self.phase = phase
        self.zone = zone
        self.work_s = work_s
        self.step_s = STEP_S
        self.name = ""
        self.address = ""
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.orders = 0
        self.busy = False
        self.active = 0
        self.answered = 0
        self.spoil = lambda request: None
        # Whether a stream has neither a length nor chunks.
        self.is_unframed = lambda request: False
        self._numbers = count(1)
        self._handles = set()
        self._server = None
        self._writers = set()

    async def start(self, ip, number, port=0):
        """Start under a new `Id`, at a port of its own or at the given one."""
        self.name = f"i-{number:08x}"
        self.born_ms = int(time.time() * 1000)
        self._server = await serve(ip, port, self._handle, self._writers)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self):
        """End as a process does: its connections are closed with it."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Return the runner's entry in the list."""
        entry = {
            "Id": self.name,
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 64 if self.phase else 6,
            "State": self.state,
            "ColdLeftMs": 0,
            "born": self.born_ms,
        }
        if self.phase:
            entry["Phase"] = self.phase
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        return entry

    async def _handle(self, request, writer):
        if request.target.startswith("/api/"):
            writer.write(self._api(request))
            return
        expected = request.get("x-expect-instance", self.name)
        stage = request.get("x-stage")
        if expected != self.name or (stage and stage != self.phase):
            writer.write(self._reply(request, 421))
        elif not stage and self.phase == "prefill":
            writer.write(self._reply(request, 421))
        elif self.busy:
            writer.write(self._reply(request, 503, headers=["X-Not-Executed: 1"]))
        elif stage:
            await self._read_prompt(request, writer)
        else:
            await self._run(request, writer)

    def _api(self, request):
        body = {}
        if request.target == "/api/report":
            body = {
                "Phase": self.phase,
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": self.busy,
                "Seq": self.orders,
                "Queued": 0,
                "Active": self.active,
                "KvUsed": 5200 * self.active,
                "KvTotal": 65_205,
                "KvHandles": len(self._handles),
                "born": self.born_ms,
            }
        elif request.target == "/api/hold-take":
            body = {"Hold": f"{self.name}-l{next(self._numbers)}"}
        elif request.target == "/api/order":
            return self._order(json.loads(request.body))
        return answer(200, json.dumps(body).encode())

    def _order(self, order):
        if self.busy or order.get("Expected", self.orders) != self.orders:
            return answer(409)
        if order["Phase"] == self.phase:
            return answer(200, b"{}")
        self.orders += 1
        self.busy = True

        def finish():
            self.busy, self.phase = False, order["Phase"]

        asyncio.get_running_loop().call_later(ROLE_SWITCH_S, finish)
        return answer(202, b"{}")

    def _reply(self, request, status, body=b"", headers=()):
        attempt = f"X-Attempt-Id: {request.get('x-attempt-id')}"
        return answer(status, body, [attempt, *headers])

    async def _read_prompt(self, request, writer):
        tokens = int(request.get("x-token-count", "0,0").split(",")[0])
        await asyncio.sleep(tokens / PREFILL_TOKENS_PER_MS / 1000)
        handle = f"{self.name}-h{next(self._numbers)}"
        self._handles.add(handle)
        body = {"HandleId": handle, "Tokens": tokens, "Version": 1}
        writer.write(self._reply(request, 200, json.dumps(body).encode()))

    async def _run(self, request, writer):
        attempt = request.get("x-attempt-id")
        self.record.ran(self.name, self.service, attempt, request)
        self.active += 1
        try:
            spoiled = self.spoil(request)
            if spoiled is not None:
                self.record.note(f"{self.name} spoils its answer to {attempt}")
                writer.write(spoiled)
                await writer.drain()
            elif self.phase:
                await self._stream(request, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{self.service} {request.target} {attempt}".encode()
                headers = [f"X-Response-Signature: {self.name}.{attempt}"]
                writer.write(self._reply(request, 200, body, headers))
            self.answered += 1
        except ConnectionError:
            self.record.note(f"{self.name} lost the connection of {attempt}")
            raise
        finally:
            self.active -= 1

    async def _stream(self, request, writer):
        pieces = int(request.get("x-token-count", "0,20").split(",")[1])
        first = int(request.get("last-event-id", "0") or "0") + 1
        is_unframed = self.is_unframed(request)
        framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
        writer.write(stream_head(self.name, request, framing))
        for number in range(first, pieces + 1):
            text = f"id: {number}\ndata: {'t' * EVENT_TEXT_BYTES}\n\n".encode()
            writer.write(text if is_unframed else chunk(text))
            await writer.drain()
            await asyncio.sleep(self.step_s)
        if is_unframed:
            writer.close()
        else:
            writer.write(b"0\r\n\r\n")


def stream_head(name, request, framing="Transfer-Encoding: chunked"):
    """Return the head of a streamed answer, by default of one in chunks."""
    attempt = request.get("x-attempt-id")
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"X-Attempt-Id: {attempt}",
        f"X-Response-Signature: {name}.{attempt}",
        "X-Weight-Versions: 1",
        framing,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data):
    """Return data as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Platform:
    """Serves the list of runners at the address `Cloud.Address`."""

    def __init__(self, runners):
        self.runners = runners
        self._server = None

    async def start(self, address):
        host, _, port = address.rpartition(":")
        self._server = await serve(host, int(port), self._handle)

    def stop(self):
        self._server.close()

    async def _handle(self, request, writer):
        listed = {"Instances": [r.entry() for r in self.runners], "Next": None}
        headers = ["Content-Type: application/json"]
        writer.write(answer(200, json.dumps(listed).encode(), headers))
