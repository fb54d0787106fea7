"""Simulated engines: chunked prefill, KV transfer and batched decode."""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.workload import Request
from damaskridge.model.engine import CacheEvent, CacheEventPage, LoadReport

__all__ = ["SimulatedClock", "DecodeEngine", "PrefillEngine", "EngineRun"]

EXPORT_HOLD_S = 0.8
CHUNK_TOKENS = 512
CACHE_BLOCKS = 3000
BLOCK_TOKENS = 64
IMPORT_COST_S = 0.004


class SimulatedClock:
    """Simulated time; runs scheduled actions in order of their time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list = []
        self._count = itertools.count()

    def at(self, time_s: float, action: Callable, *args) -> None:
        """Schedule an action at a time, or now if the time has passed."""
        item = (max(time_s, self.now_s), next(self._count), action, args)
        heapq.heappush(self._heap, item)

    def after(self, delay_s: float, action: Callable, *args) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_s + delay_s, action, *args)

    def run(self, until_s: float) -> None:
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self._heap)
            action(*args)


@dataclass(eq=False)
class EngineRun:
    """One attempt to run a request on a prefill and a decode engine."""

    request: Request
    attempt: int
    priority: int
    decode: "DecodeEngine"
    prompt_tokens: int
    on_token: Callable
    on_end: Callable
    prefix_hashes: tuple[int, ...] = ()
    remaining_prefill_tokens: int = 0
    computed_tokens: int = 0
    produced_tokens: int = 0
    exported_s: float | None = None
    has_ended: bool = False


@dataclass
class PrefillEngine:
    """Computes prompts in chunks, in order of priority, with a prefix cache."""

    clock: SimulatedClock
    spec: object
    link_bytes_per_s: float
    kv_bytes_per_token: int
    is_alive: bool = True
    wasted_tokens: int = 0
    total_tokens: int = 0
    link_free_s: float = 0.0
    busy_s: float = 0.0
    queue: list = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    events: deque = field(default_factory=deque)
    is_busy: bool = False
    _count: itertools.count = field(default_factory=itertools.count)
    _sequence: int = 0

    def submit(self, run: EngineRun) -> None:
        if not self.is_alive:
            return run.on_end(run, "failed")
        cached = 0
        for block_hash in run.prefix_hashes:
            if block_hash not in self.cache:
                break
            self.cache.move_to_end(block_hash)
            cached += BLOCK_TOKENS
        run.remaining_prefill_tokens = max(1, run.prompt_tokens - cached)
        run.computed_tokens = run.remaining_prefill_tokens
        heapq.heappush(self.queue, (run.priority, next(self._count), run))
        self._start_next_chunk()

    def _start_next_chunk(self) -> None:
        while self.queue and self.queue[0][2].has_ended:
            heapq.heappop(self.queue)
        if self.is_busy or not self.queue or not self.is_alive:
            return
        run = self.queue[0][2]
        tokens = min(CHUNK_TOKENS, run.remaining_prefill_tokens)
        duration_s = tokens / self.spec.prefill_tokens_per_s
        self.is_busy = True
        self.busy_s += duration_s
        self.clock.after(duration_s, self._finish_chunk, run, tokens)

    def _finish_chunk(self, run: EngineRun, tokens: int) -> None:
        self.is_busy = False
        self.total_tokens += tokens
        run.remaining_prefill_tokens -= tokens
        if run.remaining_prefill_tokens <= 0 and not run.has_ended:
            self.queue = [item for item in self.queue if item[2] is not run]
            heapq.heapify(self.queue)
            self._cache_blocks(run)
            run.exported_s = self.clock.now_s
            self.clock.after(0.002, run.decode.offer_export, run, self)
            self.clock.after(EXPORT_HOLD_S, self._expire_export, run)
        self._start_next_chunk()

    def _expire_export(self, run: EngineRun) -> None:
        """Drop an export that no decode engine imported within the hold time."""
        if run.exported_s is not None and not run.has_ended:
            run.exported_s = None
            self.wasted_tokens += run.computed_tokens
            run.on_end(run, "evicted")

    def _cache_blocks(self, run: EngineRun) -> None:
        for block_hash in run.prefix_hashes:
            if block_hash not in self.cache:
                self._record_cache_event(block_hash, True)
            self.cache[block_hash] = None
            self.cache.move_to_end(block_hash)
        while len(self.cache) > CACHE_BLOCKS:
            self._record_cache_event(self.cache.popitem(last=False)[0], False)

    def _record_cache_event(self, block_hash: int, cached: bool) -> None:
        self._sequence += 1
        self.events.append(CacheEvent(self._sequence, block_hash, cached))

    def report(self, age_s: float) -> LoadReport:
        queued = sum(item[2].remaining_prefill_tokens for item in self.queue)
        return LoadReport(1, age_s, len(self.queue), queued, 0)

    def drain_events(self) -> CacheEventPage:
        """Return and clear the cache events since the last call."""
        events = tuple(self.events)
        self.events.clear()
        return CacheEventPage(events)


@dataclass
class DecodeEngine:
    """Decodes a batch.

    Imports wait for a slot and memory. If the growth of the batch exceeds the memory,
    the most recently started request is evicted.
    """

    clock: SimulatedClock
    spec: object
    link_bytes_per_s: float
    kv_bytes_per_token: int
    is_alive: bool = True
    running: list = field(default_factory=list)
    importing: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)
    link_free_s: float = 0.0
    busy_slot_s: float = 0.0
    evictions: int = 0
    is_stepping: bool = False
    finished_imports: int = 0

    def needed_pieces(self, run: EngineRun) -> int:
        """Return the KV pieces of a run, including its next token."""
        return -(
            -(run.prompt_tokens + run.produced_tokens + 1) // self.spec.piece_tokens
        )

    def used_pieces(self) -> int:
        return sum(self.needed_pieces(run) for run in [*self.running, *self.importing])

    def offer_export(self, run: EngineRun, source: PrefillEngine) -> None:
        """Queue a KV transfer until there is memory; the source holds the export."""
        if not self.is_alive and not run.has_ended:
            return run.on_end(run, "failed")
        self.waiting.append((run, source))
        self._start_imports()

    def _start_imports(self) -> None:
        while self.waiting:
            run, source = self.waiting[0]
            if run.has_ended or run.exported_s is None:
                self.waiting.popleft()
                continue
            used_slots = len(self.running) + len(self.importing)
            if used_slots >= self.spec.slots:
                return
            if self.used_pieces() + self.needed_pieces(run) > self.spec.kv_pieces:
                return
            self.waiting.popleft()
            start_s = max(self.clock.now_s, self.link_free_s, source.link_free_s)
            if start_s > run.exported_s + EXPORT_HOLD_S:
                continue
            bytes_per_s = min(self.link_bytes_per_s, source.link_bytes_per_s)
            end_s = start_s + run.prompt_tokens * self.kv_bytes_per_token / bytes_per_s
            self.link_free_s = source.link_free_s = end_s
            run.exported_s = None
            self.importing.append(run)
            self.clock.at(end_s, self._finish_import, run)

    def _finish_import(self, run: EngineRun) -> None:
        if run not in self.importing:
            return
        self.importing.remove(run)
        if run.has_ended:
            return self._start_imports()
        self.finished_imports += 1
        self.running.append(run)
        if not self.is_stepping:
            self.is_stepping = True
            self._schedule_step()

    def _schedule_step(self) -> None:
        """Schedule the next decode step; it takes longer with a fuller batch."""
        batch_fill = len(self.running) / self.spec.slots
        step_s = self.spec.decode_step_ms / 1000 * (0.5 + 0.5 * batch_fill)
        step_s += IMPORT_COST_S * self.finished_imports
        self.finished_imports = 0
        self.busy_slot_s += step_s * len(self.running)
        self.clock.after(step_s, self._step)

    def _step(self) -> None:
        self.is_stepping = False
        for run in list(self.running):
            if run.has_ended:
                self.running.remove(run)
                continue
            run.produced_tokens += 1
            run.on_token(run)
            if run.has_ended:
                self.running.remove(run)
        while self.running and self.used_pieces() > self.spec.kv_pieces:
            self.evictions += 1
            victim = self.running.pop()
            victim.on_end(victim, "evicted")
        self._start_imports()
        if self.running and self.is_alive:
            self.is_stepping = True
            self._schedule_step()

    def kill(self) -> None:
        """Fail the engine with all its runs."""
        self.is_alive = False
        lost = [*self.running, *self.importing, *(run for run, _ in self.waiting)]
        self.running, self.importing = [], []
        self.waiting.clear()
        for run in lost:
            if not run.has_ended:
                run.on_end(run, "failed")

    def report(self, age_s: float) -> LoadReport:
        free = self.spec.kv_pieces - self.used_pieces()
        return LoadReport(1, age_s, len(self.running), 0, free)
