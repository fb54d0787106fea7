"""A scripted backend server on a real socket, and a gateway before it."""

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass, field

from tests.core.gateway.tables import route, table, workspace

from damaskridge.adapters.gateway.app import GatewayApp, GatewayState
from damaskridge.adapters.gateway.calls import CallForwarder
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.streams import StreamForwarder
from damaskridge.binaries.http_server import HttpServer
from damaskridge.core.gateway.crash_tracker import CrashTracker
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.core.gateway.quota import FleetQuota
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.routing import RoutingIndex
from damaskridge.model.gateway import BackendInstance, WorkKind
from damaskridge.platform.dialect import PlatformDialect

LIMIT_S = 10.0
WORKSPACES = (workspace("w", "k"),)
ROUTES = (
    route("/safe/", WorkKind.REPEATABLE, attempts=2, is_public=False),
    route("/once/", WorkKind.AT_MOST_ONCE, attempts=1),
    route("/open/", WorkKind.REPEATABLE, is_public=True),
    route("/gen/", WorkKind.STREAM, attempts=1, timeout_ms=4000),
    route("/res/", WorkKind.STREAM, attempts=2, is_resumable=True, timeout_ms=4000),
)


@dataclass
class Seen:
    """One request that reached a stand-in."""

    method: str
    target: str
    headers: dict
    body: bytes
    reader: asyncio.StreamReader

    @property
    def attempt(self):
        return self.headers.get("x-attempt-id", "")


def reply(seen, status=200, body=b"ok", *, signed=True, extra=b"", length=True):
    """Return the bytes of an answer that echoes the request's id."""
    head = b"HTTP/1.1 %d Status\r\nx-attempt-id: %s\r\n" % (
        status,
        seen.attempt.encode(),
    )
    if signed:
        head += b"x-response-signature: sig\r\n"
    if length:
        head += b"content-length: %d\r\n" % len(body)
    return head + extra + b"\r\n" + body


def not_executed(seen, status=503):
    return reply(seen, status, b"", signed=False, extra=b"x-not-executed: 1\r\n")


def chunked_head(seen):
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\nx-response-signature: sig\r\n"
        b"x-attempt-id: %s\r\n\r\n" % seen.attempt.encode()
    )


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def events(first, last):
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1))


@dataclass
class StandIn:
    """
    A backend server that answers as its script says.

    `script(seen, writer)` writes the answer; it returns true to close the connection.
    """

    name: str
    script: object
    stage: object = None
    service: str = "app"
    seen: list = field(default_factory=list)
    closed: int = 0
    reserved: int = 0
    listener: object = None
    writers: list = field(default_factory=list)
    address: str = ""

    def crash(self):
        """Reset all connections and take no new ones."""
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                seen = await self._read(reader)
                if seen.target.startswith("/api/"):
                    writer.write(self._api(seen))
                    continue
                self.seen.append(seen)
                if await self.script(seen, writer):
                    break
        self.closed += 1
        writer.transport.abort()

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Seen(method, target, headers, body, reader)

    def _api(self, seen):
        body = b"{}"
        if seen.target == "/api/hold-take":
            self.reserved += 1
            body = b'{"Hold":"h%d"}' % self.reserved
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)

    def instance(self):
        return BackendInstance(
            instance=self.name,
            service=self.service,
            address=self.address,
            data_centre="west",
            slots=4,
            stage=self.stage,
        )


@dataclass
class Gateway:
    """The running gateway."""

    port: int
    state: GatewayState
    registry: InstanceRegistry
    resends: list
    load: LoadTracker

    async def ask(
        self,
        path="/safe/x",
        headers=(),
        body=b"",
        method="POST",
        key="k",
        attempt="a1",
    ):
        """Return status, headers and body; the body is None if the answer is cut."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [f"{method} {path} HTTP/1.1", "host: h.example"]
        lines.append(f"x-attempt-id: {attempt}")
        lines += [f"authorization: Bearer {key}"] if key else []
        lines += [*headers, f"content-length: {len(body)}", "connection: close"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        async with asyncio.timeout(LIMIT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            try:
                rest = await reader.read()
            except ConnectionError:
                rest = None
        writer.close()
        first, *fields = head.strip().split("\r\n")
        found = dict(field.lower().split(": ", 1) for field in fields)
        if rest is not None and found.get("transfer-encoding") == "chunked":
            rest = _unchunk(rest)
        return int(first.split()[1]), found, rest

    async def generate(self, path="/res/x", **options):
        return await self.ask(path, ["x-token-count: 100,50"], b"prompt", **options)


class Retries:
    """A retry budget of a fixed number of sends."""

    def __init__(self, sends):
        self.sends = sends
        self.asked = []

    def spend(self, service, now_s):
        self.asked.append(service)
        return len(self.asked) <= self.sends

    def left(self, service):
        return float(max(0, self.sends - len(self.asked)))


def _unchunk(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size, 16)
        if count == 0:
            return body
        body, data = body + data[:count], data[count + 2 :]
    return None


@contextlib.asynccontextmanager
async def gateway(*standins, workspaces=WORKSPACES, budget=9):
    """Give a gateway on a real port with scripted backend servers behind it."""
    servers = []
    for standin in standins:
        server = await asyncio.start_server(standin.serve, "127.0.0.1", 0)
        standin.listener = server
        standin.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        servers.append(server)
    registry, pool = InstanceRegistry(), ConnectionPool()
    registry.replace([standin.instance() for standin in standins])
    retries = Retries(budget)
    gate = RetryGate(retries)
    rng, dialect, crashes = random.Random(1), PlatformDialect(), CrashTracker()
    refusals = RetryAfterTimes(rng)
    load = LoadTracker(rng)
    shared = {
        "sender": Sender(dialect, pool, registry, crashes, gate),
        "registry": registry,
        "load": load,
        "data_centre": "west",
        "gate": gate,
        "refusals": refusals,
    }
    targets = {"/gen/": "llm", "/res/": "llm"}
    routes = tuple(
        route(
            item.path_prefix,
            item.kind,
            attempts=item.attempts,
            is_public=item.is_public,
            is_resumable=item.is_resumable,
            timeout_ms=item.timeout_ms,
            targets=(type(item.targets[0])(targets.get(item.path_prefix, "app")),),
        )
        for item in ROUTES
    )
    state = GatewayState(RoutingIndex(table(1, *routes, workspaces=workspaces)))
    app = GatewayApp(
        state=state,
        dialect=dialect,
        calls=CallForwarder(**shared),
        streams=StreamForwarder(dialect=dialect, **shared),
        quota=FleetQuota(),
        refusals=refusals,
        crashes=crashes,
        rng=rng,
        on_request=lambda service: None,
    )
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    server = HttpServer(app)
    serving = asyncio.ensure_future(server.run_on(listener))
    try:
        async with asyncio.timeout(2 * LIMIT_S):
            yield Gateway(
                listener.getsockname()[1], state, registry, retries.asked, load
            )
    finally:
        server.stop()
        await serving
        pool.close()
        for item in servers:
            item.close()
