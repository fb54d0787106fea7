"""Scripted backend servers on real sockets, and a gateway in front of them."""

import asyncio
import contextlib
import random
import socket
import time
from dataclasses import dataclass, field

from tests.arrivals import ArrivalLog
from tests.core.gateway.tables import route, table, workspace

from damaskridge.adapters.gateway.app import GatewayApp, GatewayState
from damaskridge.adapters.gateway.calls import CallForwarder
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.plain_streams import PlainStreamForwarder
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.gateway.rate_admission import RateAdmission
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.room_requests import RoomRequests
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.gateway.stream_versions import StreamVersions
from damaskridge.adapters.gateway.streams import StreamForwarder
from damaskridge.binaries.http_server import HttpServer
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.prefill_log import PrefillLog
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.routing import RoutingIndex
from damaskridge.model.gateway import BackendInstance, RouteKind
from damaskridge.model.room_requests import RoomAnswer, RoomDecided
from damaskridge.model.server_limits import SendDecided
from damaskridge.model.software_versions import OriginDecided
from damaskridge.platform.dialect import PlatformDialect

TIMEOUT_S = 10.0
WORKSPACES = (workspace("w", "k"),)
ROUTES = (
    route("/safe/", RouteKind.REPEATABLE, attempts=2, is_public=False),
    route("/once/", RouteKind.AT_MOST_ONCE, attempts=1),
    route("/open/", RouteKind.REPEATABLE, is_public=True),
    route("/gen/", RouteKind.STREAM, attempts=1, timeout_ms=4000),
    route("/res/", RouteKind.STREAM, attempts=2, is_resumable=True, timeout_ms=4000),
    route("/events/", RouteKind.STREAM, attempts=1, timeout_ms=4000),
    route(
        "/events-res/",
        RouteKind.STREAM,
        attempts=2,
        is_resumable=True,
        timeout_ms=4000,
    ),
)


@dataclass
class ReceivedRequest:
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: dict
    body: bytes
    reader: asyncio.StreamReader
    # Headers of every response that the server gives now.
    server_headers: bytes = b""

    @property
    def attempt(self):
        return self.headers.get("x-attempt-id", "")


def response(request, status=200, body=b"ok", *, signed=True, extra=b"", length=True):
    """Return the bytes of a response that carries the id of the request."""
    head = b"HTTP/1.1 %d Status\r\nx-attempt-id: %s\r\n" % (
        status,
        request.attempt.encode(),
    )
    if signed:
        head += b"x-response-signature: sig\r\n"
    if length:
        head += b"content-length: %d\r\n" % len(body)
    return head + request.server_headers + extra + b"\r\n" + body


def not_executed(request, status=503):
    """Return the bytes of a refusal that states that the request did not run."""
    return response(request, status, b"", signed=False, extra=b"x-not-executed: 1\r\n")


def chunked_head(request):
    """Return the head of a chunked event stream."""
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\nx-response-signature: sig\r\n"
        b"x-attempt-id: %s\r\n%s\r\n"
        % (request.attempt.encode(), request.server_headers)
    )


def chunk(data):
    """Return data as a chunk of a body with chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def events(first, last):
    """Return the server-sent events with the ids from `first` to `last`."""
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1))


@dataclass
class StandIn:
    """
    A backend server whose responses are scripted.

    `script(request, writer)` writes the response and returns true to close the
    connection. While `limit_per_s` is set, all responses state it as the limit of
    requests; `arrivals` checks it.
    """

    name: str
    script: object
    stage: object = None
    service: str = "app"
    received: list = field(default_factory=list)
    closed_connections: int = 0
    reservation_count: int = 0
    api_calls: int = 0
    listener: object = None
    writers: list = field(default_factory=list)
    address: str = ""
    limit_per_s: float | None = None
    # Time until it responds to reservations and other calls.
    api_delay_s: float = 0.0
    # For how many further reservations it has room.
    room: float = float("inf")
    # Unix time of the start; another one after a restart.
    started_ms: int = 1_700_000_000_000
    software_version: str = "v1"
    is_leaving: bool = False
    arrivals: ArrivalLog = field(default_factory=ArrivalLog)

    def crash(self):
        """Abort all connections and accept no new ones."""
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = await self._read_request(reader)
                if request.headers.get("x-expect-instance", self.name) != self.name:
                    # Another test's server had this port before.
                    writer.write(not_executed(request, 421))
                    continue
                if request.target.startswith("/api/"):
                    await asyncio.sleep(self.api_delay_s)
                    writer.write(self._api_response(request))
                    continue
                self.received.append(request)
                if await self.script(request, writer):
                    break
        self.closed_connections += 1
        writer.transport.abort()

    async def _read_request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.arrivals.add(time.monotonic(), limit_per_s=self.limit_per_s)
        return ReceivedRequest(
            method, target, headers, body, reader, self._server_headers()
        )

    def _server_headers(self):
        if self.limit_per_s is None:
            return b""
        return b"server-limit: %g\r\n" % self.limit_per_s

    def _api_response(self, request):
        self.api_calls += 1
        body = b"{}"
        if request.target == "/api/hold-take" and self.room < 1:
            return b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"
        if request.target == "/api/hold-take":
            self.reservation_count += 1
            self.room -= 1
            body = b'{"Hold":"h%d"}' % self.reservation_count
        return b"HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s" % (
            request.server_headers,
            len(body),
            body,
        )

    def instance(self):
        return BackendInstance(
            instance=self.name,
            service=self.service,
            address=self.address,
            data_centre="west",
            slots=4,
            stage=self.stage,
            software_version=self.software_version,
            is_leaving=self.is_leaving,
        )


@dataclass
class Gateway:
    """A running gateway, and access to its state."""

    port: int
    state: GatewayState
    registry: InstanceRegistry
    spend_requests: list
    load: LoadTracker
    leader: "StandInLeader"
    # The bytes of each body that was received, truncated ones included.
    raw_bodies: list = field(default_factory=list)

    async def send_request(
        self,
        path="/safe/x",
        headers=(),
        body=b"",
        method="POST",
        key="k",
        attempt="a1",
    ):
        """Return status, headers and body; the body is None if it is truncated."""
        reader, writer = await self.begin_request(
            path, headers, body, method, key, attempt
        )
        async with asyncio.timeout(TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            try:
                rest = await reader.read()
            except ConnectionError:
                rest = None
        writer.close()
        self.raw_bodies.append(rest)
        first, *fields = head.strip().split("\r\n")
        response_headers = dict(field.lower().split(": ", 1) for field in fields)
        if rest is not None and response_headers.get("transfer-encoding") == "chunked":
            rest = _decode_chunked(rest)
        return int(first.split()[1]), response_headers, rest

    async def begin_request(
        self, path, headers=(), body=b"", method="POST", key="k", attempt="a1"
    ):
        """Send a request, and return the streams of its connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [f"{method} {path} HTTP/1.1", "host: h.example"]
        lines.append(f"x-attempt-id: {attempt}")
        lines += [f"authorization: Bearer {key}"] if key else []
        lines += [*headers, f"content-length: {len(body)}", "connection: close"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return reader, writer

    async def generate(self, path="/res/x", **options):
        return await self.send_request(
            path, ["x-token-count: 100,50"], b"prompt", **options
        )


class StandInLeader:
    """
    Decides on permits for servers with a limit.

    Attributes
    ----------
    wait_s : float or None
        The decision on every request; 0 permits it, `None` leaves it unanswered.
    wanted : list of SendWanted
        The requests for permits so far; `is_asked` is set at the first one.
    charged : list of SendsCharged
        What was sent without permits.
    origin : str or None
        The software version of every stream that the host doesn't know.
    services : dict
        The services with cold servers, by name.
    assigned : list of (str or RoomAnswer) or None
        Engines to assign to the next requests for room, none after them, or answers
        without an engine; `None` leaves them unanswered.
    rooms_wanted : list of RoomWanted
        The requests for room so far.
    """

    def __init__(self, registry):
        self.wait_s = 0.0
        self.wanted = []
        self.is_asked = asyncio.Event()
        self.charged = []
        self.limits = []
        self.origin = "v1"
        self.services = {}
        self.permits = ServerPermits(
            registry.limits, self._request_report, lambda: self.services
        )
        self.versions = StreamVersions(self._answer_questions)
        self.rooms = RoomRequests(self._assign_rooms)
        self.prefill_log = PrefillLog()
        self.rooms_wanted = []
        self.assigned = []

    def _assign_rooms(self):
        for item in self.rooms.pop_wanted():
            self.rooms_wanted.append(item)
            if self.assigned is not None:
                engine = self.assigned.pop(0) if self.assigned else RoomAnswer.REFUSED
                decided = (
                    RoomDecided(item.sequence, engine)
                    if isinstance(engine, RoomAnswer)
                    else RoomDecided(item.sequence, RoomAnswer.ASSIGNED, engine)
                )
                self.rooms.on_decisions([decided])

    def _answer_questions(self):
        report = self.versions.pop_report(everything=False)
        self.versions.on_decisions(
            OriginDecided(item.sequence, self.origin) for item in report.wanted
        )

    def _request_report(self):
        report = self.permits.pop_report(everything=False)
        self.wanted += report.wanted
        if report.wanted:
            self.is_asked.set()
        self.charged += report.charged
        self.limits += report.limits
        if self.wait_s is not None:
            self.permits.on_decisions(
                SendDecided(item.sequence, self.wait_s) for item in report.wanted
            )


class FixedRetryBudget:
    """A retry budget with a fixed number of retries."""

    def __init__(self, retries):
        self.retries = retries
        self.spend_requests = []

    def spend(self, service, now_s):
        self.spend_requests.append(service)
        return len(self.spend_requests) <= self.retries

    def remaining(self, service):
        return float(max(0, self.retries - len(self.spend_requests)))


def _decode_chunked(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size, 16)
        if count == 0:
            return body
        body, data = body + data[:count], data[count + 2 :]
    return None


async def listen(standins):
    """Start a listener for each stand-in; return the listeners."""
    for standin in standins:
        server = await asyncio.start_server(standin.serve, "127.0.0.1", 0)
        standin.listener = server
        standin.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    return [standin.listener for standin in standins]


@contextlib.asynccontextmanager
async def gateway(*standins, workspaces=WORKSPACES, budget=9, drain_s=0.0):
    """Run a gateway on a real port with scripted backend servers behind it."""
    servers = await listen(standins)
    registry, pool = InstanceRegistry(drain_s=drain_s), ConnectionPool()
    registry.replace([standin.instance() for standin in standins])
    retries = FixedRetryBudget(budget)
    gate = RetryGate(retries)
    leader = StandInLeader(registry)
    rng, dialect = random.Random(1), PlatformDialect()
    refusals = RetryAfterTimes(rng)
    crashes = CrashMonitor(refusals, lambda: None)
    load = LoadTracker(rng)
    shared = {
        "sender": Sender(dialect, pool, registry, crashes, gate, leader.permits),
        "registry": registry,
        "load": load,
        "data_centre": "west",
        "gate": gate,
        "refusals": refusals,
        "permits": leader.permits,
        "crashes": crashes,
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
        plain_streams=PlainStreamForwarder(versions=leader.versions, **shared),
        streams=StreamForwarder(
            dialect=dialect,
            versions=leader.versions,
            rooms=leader.rooms,
            prefill_log=leader.prefill_log,
            **shared,
        ),
        rates=RateAdmission(FleetQuota()),
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
        async with asyncio.timeout(2 * TIMEOUT_S):
            yield Gateway(
                listener.getsockname()[1],
                state,
                registry,
                retries.spend_requests,
                load,
                leader,
            )
    finally:
        server.stop()
        await serving
        pool.close()
        for item in servers:
            item.close()
        for standin in standins:
            for writer in standin.writers:
                writer.transport.abort()
        # Lets the transports close before the event loop ends.
        await asyncio.sleep(0)
