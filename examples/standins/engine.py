"""A stand-in for a model engine that speaks the protocol of docs/engines.md.

Its output is a function of the text so far, so a test knows the whole answer, also
of a request that was moved to another engine: see `expected_output`.
"""

import asyncio
import hashlib
import heapq
import itertools
import os
import random
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import fire
import httpcore
import msgspec

from damaskridge.model.engine import (
    CacheEvent,
    CacheEventPage,
    DecodeChunk,
    DecodeRequest,
    EnginePhase,
    EngineRequestStatus,
    LoadReport,
    Order,
    PrefillRequest,
    PrefillResult,
    estimate_tokens,
    prefix_block_hashes,
)
from damaskridge.model.errors import ErrorKind, Failure, RunState
from examples.standins.asgi import Reply, encoded, serve

__all__ = ["Engine", "EngineOptions", "expected_output", "main"]

CRASH_IN_PREFILL = "CRASH-IN-PREFILL"
CRASH_IN_DECODE = "CRASH-IN-DECODE"
CRASH_AFTER_TOKENS = 3
FINISHED_KEPT = 200
CACHE_BLOCKS = 4_096
BLOCK_TOKENS = 64


def next_token(text: str) -> str:
    """Return the token that follows a text."""
    return " " + hashlib.blake2b(text.encode(), digest_size=3).hexdigest()


def expected_output(prompt: str, tokens: int) -> str:
    """Return the whole answer to a prompt."""
    text = prompt
    for _ in range(tokens):
        text += next_token(text)
    return text[len(prompt) :]


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Size and speed of an engine; see `BackendServer` for the units."""

    role: str = "mixed"
    models: tuple[str, ...] = ()
    slots: int = 20
    kv_pieces: int = 1_280
    piece_tokens: int = 16
    prefill_tokens_per_s: float = 8_000.0
    decode_step_ms: float = 40.0
    kv_bytes_per_token: int = 131_072
    link_bytes_per_s: float = 1.25e9
    hold_s: float = 0.8
    load_lag_s: float = 0.5
    cache_lag_s: float = 0.3
    cache_gap_every: int = 0
    checks_fencing: bool = True


@dataclass(slots=True)
class Held:
    """A request that holds memory, waits, or has finished."""

    engine_request_id: str
    phase: EnginePhase = EnginePhase.QUEUED
    pieces: int = 0
    prompt: str = field(default="", repr=False)
    first_offset: int = 0
    texts: list[str] = field(default_factory=list)
    finished: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Refusal(Exception):
    """The engine refuses a call."""

    def __init__(self, failure: Failure) -> None:
        self.failure = failure


class Turns:
    """Lets callers pass one at a time per place, smaller priorities first."""

    def __init__(self, places: int) -> None:
        self._free = places
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()

    async def take(self, priority: int) -> None:
        if self._free > 0:
            self._free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._sequence), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give_back()
            raise

    def give_back(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1


class Engine:
    """One engine; `handle` answers the calls of the protocol."""

    def __init__(self, options: EngineOptions, seed: int = 0) -> None:
        self.options = options
        self.role = options.role
        self.models = set(options.models)
        self.held: dict[str, Held] = {}
        self.orders: list[Order] = []
        self._incarnation = random.Random(f"{seed}-{os.getpid()}").getrandbits(32)
        self._free = options.kv_pieces
        self._prefills = Turns(1)
        self._slots = Turns(options.slots)
        self._link = asyncio.Lock()
        self._queued_tokens = 0
        self._running = 0
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=CACHE_BLOCKS)
        self._event_sequence = 0
        self._loads: deque[tuple[float, LoadReport]] = deque(maxlen=1_000)
        self._fencing = 0
        self._http = httpcore.AsyncConnectionPool(max_connections=100)

    async def handle(self, scope: dict[str, Any], body: bytes) -> Reply:
        path = scope["path"].removeprefix("/v1")
        query = parse_qs(scope["query_string"].decode())
        try:
            return await self._route(scope["method"], path, query, body)
        except Refusal as refusal:
            return encoded(refusal.failure, refusal.failure.status)
        except (msgspec.MsgspecError, ValueError) as error:
            failure = Failure(ErrorKind.INVALID_REQUEST, str(error)[:100])
            return encoded(failure, failure.status)

    async def _route(
        self, method: str, path: str, query: dict[str, list[str]], body: bytes
    ) -> Reply:
        match method, path.strip("/").split("/"):
            case "POST", ["prefill"]:
                request = msgspec.json.decode(body, type=PrefillRequest)
                return encoded(await self._prefill(request))
            case "POST", ["decode"]:
                decode = msgspec.json.decode(body, type=DecodeRequest)
                return self._lines(await self._decode(decode), decode.first_offset)
            case "GET", ["requests", name, "stream"]:
                held = self.held.get(name)
                if held is None:
                    raise Refusal(Failure(ErrorKind.UNKNOWN_REQUEST))
                offset = int(query.get("offset", ["0"])[0])
                if offset < held.first_offset:
                    raise Refusal(Failure(ErrorKind.INVALID_OFFSET))
                return self._lines(held, offset)
            case "DELETE", ["requests", name]:
                self._drop(name)
                return 204, b""
            case "GET", ["requests"]:
                return encoded(self._list())
            case "GET", ["load"]:
                return encoded(self._load())
            case "GET", ["cache-events"]:
                return encoded(self._cache_events(int(query["after"][0])))
            case "POST", ["orders"]:
                self._order(msgspec.json.decode(body, type=Order))
                return 204, b""
            case "GET", ["kv", name]:
                return encoded(await self._export(name))
        raise Refusal(Failure(ErrorKind.UNKNOWN_ROUTE))

    async def _prefill(self, request: PrefillRequest) -> PrefillResult:
        tokens = estimate_tokens(request.prompt)
        name = request.engine_request_id
        held = Held(name, prompt=request.prompt)
        held.task = asyncio.current_task()
        self.held[name] = held
        self._queued_tokens += tokens
        try:
            await self._prefills.take(request.priority)
            try:
                self._allocate(held, tokens)
                held.phase = EnginePhase.PREFILLING
                if CRASH_IN_PREFILL in request.prompt:
                    os._exit(1)
                cached = self._cached_tokens(request.prompt)
                cost_tokens = max(1, tokens - cached)
                await asyncio.sleep(cost_tokens / self.options.prefill_tokens_per_s)
                self._remember(request.prompt)
            finally:
                self._prefills.give_back()
        except BaseException:
            self._drop(name)
            raise
        finally:
            self._queued_tokens -= tokens
        held.task = None
        held.phase = EnginePhase.EXPORTED
        asyncio.get_running_loop().call_later(self.options.hold_s, self._evict, held)
        return PrefillResult(
            engine_request_id=name,
            prompt_tokens=tokens,
            cached_tokens=cached,
            kv_pieces=held.pieces,
            kv_bytes=tokens * self.options.kv_bytes_per_token,
            hold_ms=int(self.options.hold_s * 1000),
        )

    async def _decode(self, request: DecodeRequest) -> Held:
        name = request.engine_request_id
        exported = self.held.get(name)
        held = Held(name, EnginePhase.IMPORTING, first_offset=request.first_offset)
        await self._slots.take(request.priority)
        try:
            if exported is not None and exported.phase is EnginePhase.EXPORTED:
                held.prompt = exported.prompt
                self._drop(name)
            else:
                held.prompt = await self._pull(request)
            self.held[name] = held
            tokens = estimate_tokens(held.prompt) + request.max_output_tokens
            self._allocate(held, tokens)
        except BaseException:
            self._drop(name)
            self._slots.give_back()
            raise
        work = self._generate(held, request.max_output_tokens)
        held.task = asyncio.get_running_loop().create_task(work)
        return held

    async def _pull(self, request: DecodeRequest) -> str:
        url = f"http://{request.prefill_address}/v1/kv/{request.engine_request_id}"
        try:
            response = await self._http.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            detail = "the prefill engine is gone"
            failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, detail)
            raise Refusal(failure) from None
        if response.status != 200:
            failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, "prefill was evicted")
            raise Refusal(failure)
        return msgspec.json.decode(response.content, type=str)

    async def _export(self, name: str) -> str:
        held = self.held.get(name)
        if held is None or held.phase is not EnginePhase.EXPORTED:
            raise Refusal(Failure(ErrorKind.UNKNOWN_REQUEST))
        size_bytes = estimate_tokens(held.prompt) * self.options.kv_bytes_per_token
        async with self._link:
            await asyncio.sleep(size_bytes / self.options.link_bytes_per_s)
        self._drop(name)
        return held.prompt

    async def _generate(self, held: Held, tokens: int) -> None:
        text = held.prompt
        held.phase = EnginePhase.DECODING
        self._running += 1
        try:
            for number in range(tokens):
                await asyncio.sleep(self.options.decode_step_ms / 1000)
                if CRASH_IN_DECODE in held.prompt and number >= CRASH_AFTER_TOKENS:
                    os._exit(1)
                token = next_token(text)
                text += token
                held.texts.append(token)
                held.wake()
            held.finished = True
            held.phase = EnginePhase.FINISHED
        finally:
            self._running -= 1
            self._slots.give_back()
            self._release(held)
            held.wake()
        self._forget_finished()

    async def _lines(self, held: Held, offset: int) -> AsyncIterator[bytes]:
        while True:
            changed = held.changed
            while offset - held.first_offset < len(held.texts):
                text = held.texts[offset - held.first_offset]
                yield msgspec.json.encode(DecodeChunk(offset, text)) + b"\n"
                offset += 1
            if held.finished:
                last = DecodeChunk(offset, finish_reason="length")
                yield msgspec.json.encode(last) + b"\n"
                return
            if self.held.get(held.engine_request_id) is not held:
                return
            await changed.wait()

    def _allocate(self, held: Held, tokens: int) -> None:
        pieces = -(-tokens // self.options.piece_tokens)
        if pieces > self._free:
            failure = Failure(
                ErrorKind.OVERLOADED, "no KV memory", RunState.NOT_RUN, 0.5
            )
            raise Refusal(failure)
        self._free -= pieces
        held.pieces = pieces

    def _release(self, held: Held) -> None:
        self._free += held.pieces
        held.pieces = 0

    def _drop(self, name: str) -> None:
        held = self.held.pop(name, None)
        if held is None:
            return
        self._release(held)
        if held.task is not None and held.task is not asyncio.current_task():
            held.task.cancel()
        held.wake()

    def _evict(self, held: Held) -> None:
        if self.held.get(held.engine_request_id) is held:
            self._drop(held.engine_request_id)

    def _forget_finished(self) -> None:
        finished = [name for name, held in self.held.items() if held.finished]
        for name in finished[:-FINISHED_KEPT]:
            del self.held[name]

    def _list(self) -> tuple[EngineRequestStatus, ...]:
        return tuple(
            EngineRequestStatus(
                held.engine_request_id,
                held.phase,
                held.pieces,
                held.first_offset + len(held.texts),
            )
            for held in self.held.values()
            if not held.finished
        )

    def _load(self) -> LoadReport:
        now_s = asyncio.get_running_loop().time()
        current = LoadReport(
            incarnation=self._incarnation,
            age_s=0.0,
            running=self._running,
            queued_prefill_tokens=self._queued_tokens,
            free_kv_pieces=self._free,
            role=self.role,
            models=tuple(sorted(self.models)),
        )
        self._loads.append((now_s, current))
        while len(self._loads) > 1 and self._loads[1][0] <= now_s - self._lag_s:
            self._loads.popleft()
        taken_s, report = self._loads[0]
        return msgspec.structs.replace(report, age_s=now_s - taken_s)

    @property
    def _lag_s(self) -> float:
        return self.options.load_lag_s

    def _cached_tokens(self, prompt: str) -> int:
        count = 0
        for block in prefix_block_hashes(prompt):
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _remember(self, prompt: str) -> None:
        for block in prefix_block_hashes(prompt):
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish(block, cached=True)
        while len(self._blocks) > CACHE_BLOCKS:
            self._publish(self._blocks.popitem(last=False)[0], cached=False)

    def _publish(self, block: int, cached: bool) -> None:
        self._event_sequence += 1
        event = CacheEvent(self._event_sequence, block, cached)
        every = self.options.cache_gap_every
        if every and self._event_sequence % every == 0:
            return
        self._events.append((asyncio.get_running_loop().time(), event))

    def _cache_events(self, after: int) -> CacheEventPage:
        due_s = asyncio.get_running_loop().time() - self.options.cache_lag_s
        events = [
            event
            for published_s, event in self._events
            if event.sequence > after and published_s <= due_s
        ]
        numbers = [after, *(event.sequence for event in events)]
        gap = any(b != a + 1 for a, b in itertools.pairwise(numbers))
        return CacheEventPage(tuple(events), gap)

    def _order(self, order: Order) -> None:
        if self.options.checks_fencing and order.fencing_number < self._fencing:
            raise Refusal(Failure(ErrorKind.EPOCH_CONFLICT, str(self._fencing)))
        self._fencing = max(self._fencing, order.fencing_number)
        self.orders.append(order)
        if order.kind.value == "change_role":
            self.role = order.value
        else:
            self.models.add(order.value)


def main(
    port: int, host: str = "127.0.0.1", seed: int = 0, models: str = "", **options: Any
) -> None:
    """Run an engine; `options` are the fields of `EngineOptions`."""
    names = tuple(name for name in str(models).split(",") if name)
    settings = EngineOptions(models=names, **options)

    engine: list[Engine] = []

    async def handle(scope: dict[str, Any], body: bytes) -> Reply:
        if not engine:
            engine.append(Engine(settings, seed))
        return await engine[0].handle(scope, body)

    serve(handle, host, port)


if __name__ == "__main__":
    fire.Fire(main)
