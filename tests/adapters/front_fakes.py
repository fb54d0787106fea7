"""In-process fakes of the ports of a front, and a caller of its ASGI application."""

import asyncio
from types import SimpleNamespace

import msgspec
from examples.standins.engine import next_token
from result import Err, Ok

from damaskridge.adapters.front import Front
from damaskridge.adapters.front_settings import FrontSettings
from damaskridge.adapters.http.app import CallerApp
from damaskridge.adapters.http.credentials import key_digest
from damaskridge.adapters.ports import ServiceResponse, StreamFailed
from damaskridge.core.leases import HolderLease
from damaskridge.core.state.view import FleetView
from damaskridge.model.bundle import (
    BackendServer,
    BackendServerRole,
    Bundle,
    KeyRecord,
    Model,
    Route,
    Workspace,
)
from damaskridge.model.control import (
    CommandResult,
    LedgerRecord,
    LedgerState,
    Owner,
    RecordIntent,
    Session,
)
from damaskridge.model.engine import DecodeChunk, PrefillResult, estimate_tokens
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import (
    Duplicate,
    Placement,
    RateGrant,
    Refused,
    RequestPhase,
    TakeOverResponse,
)

KEY, OTHER_KEY, WITHDRAWN_KEY = "key-one-secret", "key-two-secret", "key-lost-secret"
DISCONNECTED = StreamFailed(Failure(ErrorKind.BACKEND_SERVER_FAILED, "broken"))


class FakeControl:
    """A control group that keeps a ledger; its lease doesn't expire by itself."""

    def __init__(self, host):
        self.fleet = FleetView()
        self.lease = HolderLease()
        self.lease.renew(0.0, 1e6)
        self.session = Session(host, 1, 1, "dc", f"{host}:80", f"{host}:81")
        self.ledger, self.commands = {}, []

    async def propose(self, command):
        self.commands.append(command)
        if not isinstance(command, RecordIntent):
            record = LedgerRecord(
                LedgerState.FINISHED, command.status, command.content_type, command.body
            )
            if command.not_run:
                del self.ledger[command.idempotency_key]
            else:
                self.ledger[command.idempotency_key] = record
            return CommandResult()
        earlier = self.ledger.get(command.idempotency_key)
        self.ledger.setdefault(
            command.idempotency_key, LedgerRecord(LedgerState.IN_PROGRESS)
        )
        return CommandResult(ledger=earlier or LedgerRecord(LedgerState.NEW))


class FakeRates:
    """A rate owner that grants every request, unless set to fail or refuse."""

    def __init__(self):
        self.requests, self.refunds, self.requests_by_key, self.ended_request_ids = (
            [],
            [],
            {},
            [],
        )
        self.wait_s, self.refusal, self.grant_valid_s, self.is_down = (
            0.0,
            None,
            [],
            False,
        )

    async def reserve(self, request):
        self.requests.append(request)
        if self.is_down:
            raise ConnectionError
        await asyncio.sleep(self.wait_s)
        if self.refusal:
            return Refused(request_id=request.request_id, failure=self.refusal)
        earlier = self.requests_by_key.setdefault(request.idempotency_key, request)
        if request.idempotency_key and earlier.request_id != request.request_id:
            return Duplicate(
                request_id=earlier.request_id, front=earlier.front, finished=False
            )
        grant_valid_s = self.grant_valid_s.pop() if self.grant_valid_s else 5.0
        return RateGrant(
            request_id=request.request_id,
            epoch=request.epoch,
            valid_for_s=grant_valid_s,
        )

    async def refund(self, refund):
        self.refunds.append(refund)

    async def notify_request_ended(self, resource, workspace, request_id):
        self.ended_request_ids.append(request_id)


class FakeCells:
    """A cell owner that chooses the first pair of servers that isn't excluded."""

    def __init__(self, server_pairs):
        self.server_pairs, self.wait_s, self.refusal = server_pairs, 0.0, None
        self.profiles, self.reports, self.withdrawals, self.registrations = (
            [],
            [],
            [],
            [],
        )
        self.take_overs = {}

    async def submit(self, profile):
        self.profiles.append(profile)
        await asyncio.sleep(self.wait_s)
        if self.refusal:
            return Refused(request_id=profile.request_id, failure=self.refusal)
        for prefill, decode in self.server_pairs:
            if not {prefill, decode} & set(profile.excluded):
                return Placement(
                    request_id=profile.request_id,
                    attempt=profile.attempt,
                    epoch=profile.epoch,
                    prefill_server=prefill,
                    prefill_address=prefill,
                    decode_server=decode,
                    decode_address=decode,
                )
        failure = Failure(ErrorKind.NO_BACKEND_SERVER, retry_after_s=0.4)
        return Refused(request_id=profile.request_id, failure=failure)

    async def withdraw(self, withdraw):
        self.withdrawals.append(withdraw)

    async def report(self, batch):
        self.reports.extend(batch.items)

    async def register(self, resource, epoch, front, incarnation, active):
        self.registrations.append((resource, epoch, active))

    async def take_over(self, take_over):
        active = self.take_overs.pop((take_over.request_id, take_over.workspace), None)
        unknown = Failure(ErrorKind.UNKNOWN_REQUEST)
        return TakeOverResponse(active=active, failure=None if active else unknown)

    def phases(self, request_id):
        items = [item for item in self.reports if item.request_id == request_id]
        return [item.phase for item in items]


class FakeEngine:
    """An engine; a request is in `memory` until it finishes or is cancelled."""

    def __init__(self, engines):
        self.engines, self.memory, self.texts, self.prompts = engines, {}, {}, {}
        self.prefill_s, self.transfer_s, self.step_s = 0.1, 0.1, 0.02
        self.disconnect_at = self.stall_at = self.malformed_at = None
        self.refusal, self.shuffle, self.cancelled = None, False, []

    async def prefill(self, request):
        if self.refusal:
            return Err(self.refusal)
        name = request.engine_request_id
        self.memory[name] = RequestPhase.PREFILLING
        self.prompts[name] = request.prompt
        await asyncio.sleep(self.prefill_s)
        tokens = estimate_tokens(request.prompt)
        return Ok(PrefillResult(name, tokens, 0, 1, 1, 800))

    async def decode(self, request):
        name = request.engine_request_id
        self.memory[name] = RequestPhase.TRANSFERRING
        await asyncio.sleep(self.transfer_s)
        source = self.engines[request.prefill_address]
        text = source.prompts[name]
        source.memory.pop(name, None)
        self.memory[name] = RequestPhase.DECODING
        generated = self.texts[name] = {}
        for offset in range(
            request.first_offset, request.first_offset + request.max_output_tokens
        ):
            generated[offset] = next_token(text)
            text += generated[offset]
        async for chunk in self.stream(name, request.first_offset):
            yield chunk

    async def resume(self, engine_request_id, offset):
        self.stall_at = None
        if engine_request_id not in self.texts:
            raise StreamFailed(Failure(ErrorKind.UNKNOWN_REQUEST))
        async for chunk in self.stream(engine_request_id, offset):
            yield chunk

    async def stream(self, name, first):
        generated = self.texts[name]
        offsets = [offset for offset in sorted(generated) if offset >= first]
        if self.shuffle:
            pairs = zip(offsets[::2], offsets[1::2], strict=True)
            offsets = [item for a, b in pairs for item in (b, a, b)]
        for offset in offsets:
            await asyncio.sleep(self.step_s)
            if offset == self.disconnect_at:
                raise DISCONNECTED
            if offset == self.stall_at:
                await asyncio.sleep(1e6)
            is_malformed = offset == self.malformed_at
            yield DecodeChunk(-7 if is_malformed else offset, generated[offset])
        self.memory.pop(name, None)
        yield DecodeChunk(max(generated) + 1, finish_reason="length")

    async def cancel(self, engine_request_id):
        self.cancelled.append(engine_request_id)
        self.memory.pop(engine_request_id, None)
        return Ok(None)


class FakeServices:
    """Instances of plain services that return `results`, then a fixed response."""

    def __init__(self):
        self.calls, self.results, self.delay_s = [], [], 0.0

    async def call(self, address, call):
        self.calls.append(call)
        await asyncio.sleep(self.delay_s)
        if self.results:
            return self.results.pop(0)
        return Ok(ServiceResponse(200, "text/plain", b"done"))


class FakePeers:
    """Connects the fronts of one test by host name."""

    def __init__(self):
        self.fronts = {}

    async def resume_stream(self, host, request_id, workspace, offset):
        if host not in self.fronts:
            raise ConnectionError
        stream = self.fronts[host].stream_local(request_id, workspace, offset)
        async for chunk in stream:
            yield chunk


def make_bundle():
    def server(name, role, serves, cell):
        return BackendServer(name, cell, role, serves, "dc", name, 20)

    return Bundle(
        workspaces=(Workspace("one", 100, 100), Workspace("two", 100, 100)),
        keys=(
            KeyRecord(key_digest(KEY), "one"),
            KeyRecord(key_digest(OTHER_KEY), "two"),
            KeyRecord(key_digest(WITHDRAWN_KEY), "one"),
        ),
        models=(Model("m", 4096),),
        routes=(
            Route("desk"),
            Route("desk", "charge", repeatable=False),
            Route("desk", "open", open_to_all=True),
        ),
        backend_servers=(
            server("p1", BackendServerRole.PREFILL, "m", "llm"),
            server("desk1", BackendServerRole.SERVICE, "desk", "desk"),
        ),
    )


def start_front(host="h1", peers=None, **settings):
    """Start a front with fake ports; must be called in a running event loop."""
    control = FakeControl(host)
    fleet = control.fleet
    fleet.bundle, fleet.withdrawn_keys = make_bundle(), {key_digest(WITHDRAWN_KEY)}
    fleet.sessions = {host: control.session}
    resources = ("workspace/one", "workspace/two", "cell/llm", "cell/desk")
    fleet.owners = {name: Owner(name, host, 1, 1) for name in resources}
    engines = {}
    for name in ("p1", "p2", "d1", "d2", "d3", "desk1"):
        engines[name] = FakeEngine(engines)
    server_pairs = [
        ("p1", "d1"),
        ("p2", "d2"),
        ("p1", "d2"),
        ("p2", "d3"),
        ("p1", "d3"),
    ]
    env = SimpleNamespace(
        control=control,
        rates=FakeRates(),
        cells=FakeCells(server_pairs),
        peers=peers or FakePeers(),
        services=FakeServices(),
        engines=engines,
    )
    env.front = Front(
        host=host,
        incarnation=1,
        data_centre="dc",
        control=control,
        rates=env.rates,
        cells=env.cells,
        peers=env.peers,
        engine_for=engines.__getitem__,
        services=env.services,
        settings=FrontSettings(**settings),
    )
    env.peers.fronts[host] = env.front
    env.app = CallerApp(env.front)
    env.run = asyncio.ensure_future(env.front.run())
    return env


def memory_by_engine(env):
    return {name: engine.memory for name, engine in env.engines.items()}


def holds_no_memory(env):
    return not any(engine.memory for engine in env.engines.values())


class Caller:
    """One HTTP request to the application."""

    def __init__(self, app, method, path, body=b"", headers=(), key=KEY, query=""):
        self.messages, self.changed = [], asyncio.Event()
        self.parts, self.stall_after = asyncio.Queue(), None
        raw = [(b"authorization", f"Bearer {key}".encode())] if key else []
        raw += [(name.encode(), value.encode()) for name, value in headers]
        scope = {"type": "http", "method": method, "path": path, "headers": raw}
        scope["query_string"] = query.encode()
        if body is not None:
            data = body if isinstance(body, bytes) else msgspec.json.encode(body)
            self.parts.put_nowait({"type": "http.request", "body": data})
        self.task = asyncio.ensure_future(app(scope, self.parts.get, self._send))

    async def _send(self, message):
        if self.stall_after is not None and len(self.messages) >= self.stall_after:
            await asyncio.sleep(1e6)
        self.messages.append(message)

    def disconnect(self):
        self.parts.put_nowait({"type": "http.disconnect"})

    @property
    def status(self):
        return self.messages[0]["status"]

    @property
    def headers(self):
        return {
            name.decode(): value.decode() for name, value in self.messages[0]["headers"]
        }

    @property
    def body(self):
        return b"".join(message.get("body", b"") for message in self.messages[1:])

    @property
    def json(self):
        return msgspec.json.decode(self.body)

    @property
    def error(self):
        """The error in the response body, or in the last event of a stream."""
        return msgspec.json.decode(self.body.rpartition(b"data: ")[2])["error"]

    @property
    def tokens(self):
        """Offset and text of every token event, in the order received."""
        tokens = []
        for event in self.body.decode().split("\n\n"):
            if event.startswith("id: "):
                first, data = event.split("\n")
                choice = msgspec.json.decode(data.removeprefix("data: "))["choices"][0]
                if choice["finish_reason"] is None:
                    tokens.append((int(first[4:]), choice["text"]))
        return tokens


def send_completion(app, tokens=20, stream=True, prompt="a prompt", **options):
    body = {"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream}
    return Caller(app, "POST", "/v1/completions", body, **options)


NOT_RUN = RunState.NOT_RUN.value
