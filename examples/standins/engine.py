"""A stand-in for a model engine that speaks the protocol of docs/engines.md.

Each output token depends only on the text before it, so a test can compute the whole
output, even if the request moved to another engine: see `expected_output`.
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
from examples.standins.asgi import Response, json_response, serve

__all__ = ["Engine", "EngineOptions", "expected_output", "main"]

# A prompt that contains one of these texts ends the process in that phase.
CRASH_IN_PREFILL = "CRASH-IN-PREFILL"
CRASH_IN_DECODE = "CRASH-IN-DECODE"
CRASH_AFTER_TOKENS = 3
MAX_FINISHED_REQUESTS = 200
MAX_CACHED_BLOCKS = 4_096
BLOCK_TOKENS = 64


def next_token(text: str) -> str:
    """Return the token that follows a text."""
    return " " + hashlib.blake2b(text.encode(), digest_size=3).hexdigest()


def expected_output(prompt: str, tokens: int) -> str:
    """Return the first `tokens` tokens that an engine generates for a prompt."""
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
    # Drops every n-th cache event to simulate a gap; 0 drops none.
    cache_gap_every: int = 0
    checks_fencing: bool = True


@dataclass(slots=True)
class RequestState:
    """The state of a request that is queued, running or recently finished."""

    engine_request_id: str
    phase: EnginePhase = EnginePhase.QUEUED
    kv_pieces: int = 0
    prompt: str = field(default="", repr=False)
    first_offset: int = 0
    token_texts: list[str] = field(default_factory=list)
    finished: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def notify_waiters(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Refusal(Exception):
    """Raised to refuse a call; `failure` is the body of the response."""

    def __init__(self, failure: Failure) -> None:
        self.failure = failure


class PrioritySemaphore:
    """A semaphore that serves waiting tasks by priority, the smallest number first."""

    def __init__(self, permits: int) -> None:
        self._free = permits
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()

    async def acquire(self, priority: int) -> None:
        if self._free > 0:
            self._free -= 1
            return
        permit: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._sequence), permit))
        try:
            await permit
        except asyncio.CancelledError:
            if permit.done() and not permit.cancelled():
                self.release()
            raise

    def release(self) -> None:
        while self._waiting:
            permit = heapq.heappop(self._waiting)[2]
            if not permit.done():
                permit.set_result(None)
                return
        self._free += 1


class Engine:
    """An engine; `handle` serves the calls of the protocol."""

    def __init__(self, options: EngineOptions, seed: int = 0) -> None:
        self.options = options
        self.role = options.role
        self.models = set(options.models)
        self.requests: dict[str, RequestState] = {}
        self.orders: list[Order] = []
        self._incarnation = random.Random(f"{seed}-{os.getpid()}").getrandbits(32)
        self._free_kv_pieces = options.kv_pieces
        self._prefill_semaphore = PrioritySemaphore(1)
        self._decode_semaphore = PrioritySemaphore(options.slots)
        self._link_lock = asyncio.Lock()
        self._queued_tokens = 0
        self._running_count = 0
        self._cached_blocks: OrderedDict[int, None] = OrderedDict()
        self._published_events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_CACHED_BLOCKS
        )
        self._event_sequence = 0
        self._load_history: deque[tuple[float, LoadReport]] = deque(maxlen=1_000)
        self._max_fencing_number = 0
        self._http = httpcore.AsyncConnectionPool(max_connections=100)

    async def handle(self, scope: dict[str, Any], body: bytes) -> Response:
        path = scope["path"].removeprefix("/v1")
        query = parse_qs(scope["query_string"].decode())
        try:
            return await self._route(scope["method"], path, query, body)
        except Refusal as refusal:
            return json_response(refusal.failure, refusal.failure.status)
        except (msgspec.MsgspecError, ValueError) as error:
            failure = Failure(ErrorKind.INVALID_REQUEST, str(error)[:100])
            return json_response(failure, failure.status)

    async def _route(
        self, method: str, path: str, query: dict[str, list[str]], body: bytes
    ) -> Response:
        match method, path.strip("/").split("/"):
            case "POST", ["prefill"]:
                request = msgspec.json.decode(body, type=PrefillRequest)
                return json_response(await self._prefill(request))
            case "POST", ["decode"]:
                decode = msgspec.json.decode(body, type=DecodeRequest)
                return self._stream_chunks(
                    await self._decode(decode), decode.first_offset
                )
            case "GET", ["requests", request_id, "stream"]:
                state = self.requests.get(request_id)
                if state is None:
                    raise Refusal(Failure(ErrorKind.UNKNOWN_REQUEST))
                offset = int(query.get("offset", ["0"])[0])
                if offset < state.first_offset:
                    raise Refusal(Failure(ErrorKind.INVALID_OFFSET))
                return self._stream_chunks(state, offset)
            case "DELETE", ["requests", request_id]:
                self._remove(request_id)
                return 204, b""
            case "GET", ["requests"]:
                return json_response(self._list_requests())
            case "GET", ["load"]:
                return json_response(self._report_load())
            case "GET", ["cache-events"]:
                return json_response(self._cache_events(int(query["after"][0])))
            case "POST", ["orders"]:
                self._apply_order(msgspec.json.decode(body, type=Order))
                return 204, b""
            case "GET", ["kv", request_id]:
                return json_response(await self._export_kv(request_id))
        raise Refusal(Failure(ErrorKind.UNKNOWN_ROUTE))

    async def _prefill(self, request: PrefillRequest) -> PrefillResult:
        tokens = estimate_tokens(request.prompt)
        request_id = request.engine_request_id
        state = RequestState(request_id, prompt=request.prompt)
        state.task = asyncio.current_task()
        self.requests[request_id] = state
        self._queued_tokens += tokens
        try:
            await self._prefill_semaphore.acquire(request.priority)
            try:
                self._allocate_kv_pieces(state, tokens)
                state.phase = EnginePhase.PREFILLING
                if CRASH_IN_PREFILL in request.prompt:
                    os._exit(1)
                cached = self._count_cached_tokens(request.prompt)
                uncached_tokens = max(1, tokens - cached)
                await asyncio.sleep(uncached_tokens / self.options.prefill_tokens_per_s)
                self._cache_prompt(request.prompt)
            finally:
                self._prefill_semaphore.release()
        except BaseException:
            self._remove(request_id)
            raise
        finally:
            self._queued_tokens -= tokens
        state.task = None
        state.phase = EnginePhase.EXPORTED
        asyncio.get_running_loop().call_later(self.options.hold_s, self._evict, state)
        return PrefillResult(
            engine_request_id=request_id,
            prompt_tokens=tokens,
            cached_tokens=cached,
            kv_pieces=state.kv_pieces,
            kv_bytes=tokens * self.options.kv_bytes_per_token,
            hold_ms=int(self.options.hold_s * 1000),
        )

    async def _decode(self, request: DecodeRequest) -> RequestState:
        request_id = request.engine_request_id
        exported = self.requests.get(request_id)
        state = RequestState(
            request_id, EnginePhase.IMPORTING, first_offset=request.first_offset
        )
        await self._decode_semaphore.acquire(request.priority)
        try:
            if exported is not None and exported.phase is EnginePhase.EXPORTED:
                state.prompt = exported.prompt
                self._remove(request_id)
            else:
                state.prompt = await self._fetch_prompt(request)
            self.requests[request_id] = state
            tokens = estimate_tokens(state.prompt) + request.max_output_tokens
            self._allocate_kv_pieces(state, tokens)
        except BaseException:
            self._remove(request_id)
            self._decode_semaphore.release()
            raise
        work = self._generate(state, request.max_output_tokens)
        state.task = asyncio.get_running_loop().create_task(work)
        return state

    async def _fetch_prompt(self, request: DecodeRequest) -> str:
        """Fetch the prompt, which stands for its KV cache, from the prefill engine."""
        url = f"http://{request.prefill_address}/v1/kv/{request.engine_request_id}"
        try:
            response = await self._http.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            detail = "connection to the prefill engine failed"
            failure = Failure(ErrorKind.BACKEND_SERVER_TIMEOUT, detail)
            raise Refusal(failure) from None
        if response.status != 200:
            failure = Failure(
                ErrorKind.BACKEND_SERVER_TIMEOUT,
                "the prefill engine has evicted the request",
            )
            raise Refusal(failure)
        return msgspec.json.decode(response.content, type=str)

    async def _export_kv(self, request_id: str) -> str:
        """Return the prompt after the time that its KV cache needs on the link."""
        state = self.requests.get(request_id)
        if state is None or state.phase is not EnginePhase.EXPORTED:
            raise Refusal(Failure(ErrorKind.UNKNOWN_REQUEST))
        size_bytes = estimate_tokens(state.prompt) * self.options.kv_bytes_per_token
        async with self._link_lock:
            await asyncio.sleep(size_bytes / self.options.link_bytes_per_s)
        self._remove(request_id)
        return state.prompt

    async def _generate(self, state: RequestState, tokens: int) -> None:
        context = state.prompt
        state.phase = EnginePhase.DECODING
        self._running_count += 1
        try:
            for number in range(tokens):
                await asyncio.sleep(self.options.decode_step_ms / 1000)
                if CRASH_IN_DECODE in state.prompt and number >= CRASH_AFTER_TOKENS:
                    os._exit(1)
                token = next_token(context)
                context += token
                state.token_texts.append(token)
                state.notify_waiters()
            state.finished = True
            state.phase = EnginePhase.FINISHED
        finally:
            self._running_count -= 1
            self._decode_semaphore.release()
            self._release_kv_pieces(state)
            state.notify_waiters()
        self._discard_finished()

    async def _stream_chunks(
        self, state: RequestState, offset: int
    ) -> AsyncIterator[bytes]:
        while True:
            changed = state.changed
            while offset - state.first_offset < len(state.token_texts):
                text = state.token_texts[offset - state.first_offset]
                yield msgspec.json.encode(DecodeChunk(offset, text)) + b"\n"
                offset += 1
            if state.finished:
                last = DecodeChunk(offset, finish_reason="length")
                yield msgspec.json.encode(last) + b"\n"
                return
            if self.requests.get(state.engine_request_id) is not state:
                return
            await changed.wait()

    def _allocate_kv_pieces(self, state: RequestState, tokens: int) -> None:
        kv_pieces = -(-tokens // self.options.piece_tokens)
        if kv_pieces > self._free_kv_pieces:
            failure = Failure(
                ErrorKind.OVERLOADED, "not enough free KV memory", RunState.NOT_RUN, 0.5
            )
            raise Refusal(failure)
        self._free_kv_pieces -= kv_pieces
        state.kv_pieces = kv_pieces

    def _release_kv_pieces(self, state: RequestState) -> None:
        self._free_kv_pieces += state.kv_pieces
        state.kv_pieces = 0

    def _remove(self, request_id: str) -> None:
        state = self.requests.pop(request_id, None)
        if state is None:
            return
        self._release_kv_pieces(state)
        if state.task is not None and state.task is not asyncio.current_task():
            state.task.cancel()
        state.notify_waiters()

    def _evict(self, state: RequestState) -> None:
        if self.requests.get(state.engine_request_id) is state:
            self._remove(state.engine_request_id)

    def _discard_finished(self) -> None:
        finished = [
            request_id for request_id, state in self.requests.items() if state.finished
        ]
        for request_id in finished[:-MAX_FINISHED_REQUESTS]:
            del self.requests[request_id]

    def _list_requests(self) -> tuple[EngineRequestStatus, ...]:
        return tuple(
            EngineRequestStatus(
                state.engine_request_id,
                state.phase,
                state.kv_pieces,
                state.first_offset + len(state.token_texts),
            )
            for state in self.requests.values()
            if not state.finished
        )

    def _report_load(self) -> LoadReport:
        """Record the current load, and return the report of `load_lag_s` ago."""
        now_s = asyncio.get_running_loop().time()
        current = LoadReport(
            incarnation=self._incarnation,
            age_s=0.0,
            running=self._running_count,
            queued_prefill_tokens=self._queued_tokens,
            free_kv_pieces=self._free_kv_pieces,
            role=self.role,
            models=tuple(sorted(self.models)),
        )
        self._load_history.append((now_s, current))
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now_s - self._load_lag_s
        ):
            self._load_history.popleft()
        reported_s, report = self._load_history[0]
        return msgspec.structs.replace(report, age_s=now_s - reported_s)

    @property
    def _load_lag_s(self) -> float:
        return self.options.load_lag_s

    def _count_cached_tokens(self, prompt: str) -> int:
        count = 0
        for block in prefix_block_hashes(prompt):
            if block not in self._cached_blocks:
                break
            self._cached_blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _cache_prompt(self, prompt: str) -> None:
        for block in prefix_block_hashes(prompt):
            if block not in self._cached_blocks:
                self._cached_blocks[block] = None
                self._publish_cache_event(block, cached=True)
        while len(self._cached_blocks) > MAX_CACHED_BLOCKS:
            self._publish_cache_event(
                self._cached_blocks.popitem(last=False)[0], cached=False
            )

    def _publish_cache_event(self, block: int, cached: bool) -> None:
        self._event_sequence += 1
        event = CacheEvent(self._event_sequence, block, cached)
        every = self.options.cache_gap_every
        if every and self._event_sequence % every == 0:
            return
        self._published_events.append((asyncio.get_running_loop().time(), event))

    def _cache_events(self, after: int) -> CacheEventPage:
        due_s = asyncio.get_running_loop().time() - self.options.cache_lag_s
        events = [
            event
            for published_s, event in self._published_events
            if event.sequence > after and published_s <= due_s
        ]
        sequences = [after, *(event.sequence for event in events)]
        gap = any(b != a + 1 for a, b in itertools.pairwise(sequences))
        return CacheEventPage(tuple(events), gap)

    def _apply_order(self, order: Order) -> None:
        if (
            self.options.checks_fencing
            and order.fencing_number < self._max_fencing_number
        ):
            raise Refusal(
                Failure(ErrorKind.EPOCH_CONFLICT, str(self._max_fencing_number))
            )
        self._max_fencing_number = max(self._max_fencing_number, order.fencing_number)
        self.orders.append(order)
        if order.kind.value == "change_role":
            self.role = order.value
        else:
            self.models.add(order.value)


def main(
    port: int, host: str = "127.0.0.1", seed: int = 0, models: str = "", **options: Any
) -> None:
    """Run an engine; `models` is separated by commas, `options` as `EngineOptions`."""
    names = tuple(name for name in str(models).split(",") if name)
    settings = EngineOptions(models=names, **options)

    engine: list[Engine] = []

    async def handle(scope: dict[str, Any], body: bytes) -> Response:
        if not engine:
            engine.append(Engine(settings, seed))
        return await engine[0].handle(scope, body)

    serve(handle, host, port)


if __name__ == "__main__":
    fire.Fire(main)
