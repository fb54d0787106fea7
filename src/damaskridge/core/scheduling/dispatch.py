"""Removes requests from the queue in scheduling order and places them."""

from damaskridge.core.scheduling import admission
from damaskridge.core.scheduling.fair_queue import FairQueue, QueueItem
from damaskridge.core.scheduling.messages import CellAction, SendSubmitResponse
from damaskridge.core.scheduling.placement import PlacementChoice, Placer, is_service
from damaskridge.core.scheduling.registry import RequestEntry, RequestRegistry
from damaskridge.core.scheduling.settings import (
    FIRST_TOKEN_TARGET_S,
    SchedulerSettings,
)
from damaskridge.core.scheduling.urgency import Level
from damaskridge.model.routing import Placement, RequestPhase, RequestProfile

__all__ = ["NO_SERVER_TIMEOUT_S", "Dispatcher"]

# Queued requests are refused after their model has had no usable server for this long.
NO_SERVER_TIMEOUT_S = 3.0
_RETRY_INTERVAL_S = 0.02
# Time past its due time after which a large request may claim an engine.
_CLAIM_TIMEOUT_S = 10.0
# Number of workspaces of a level whose first requests are considered.
_MAX_HEADS = 4
# Share of the cell that delay-tolerant requests past their due time are given.
_AGED_SHARE = 0.15
_MAX_AGED_CREDIT_S = 1.0
_TRANSFER_MARGIN_S = 0.3
_ASSUMED_SERVICE_CALL_S = 0.1
_DEFAULT_SLOTS = 1


class Dispatcher:
    """Decides which queued request is placed next, and places it."""

    retry_interval_s = _RETRY_INTERVAL_S

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self.placer = Placer(settings)
        self.queue = FairQueue(settings.fair_share)
        self._aged_credit_s = 0.0
        self._prefill_tokens_per_s = 1.0
        self._total_slots = _DEFAULT_SLOTS
        self._total_pieces = 0
        self._max_pieces = 0
        self._piece_tokens = 16
        self._decode_step_s = 0.04
        self._unservable_since_s: dict[str, float] = {}

    @property
    def has_queued_requests(self) -> bool:
        """Whether requests are queued."""
        return len(self.queue) > 0

    def update_capacity(self) -> None:
        """Recompute the capacity of the cell after a change of its servers."""
        usable = [s for s in self.placer.servers.values() if s.is_usable]
        prefill = [s.spec.prefill_tokens_per_s for s in usable if s.can_prefill]
        decode = [s.spec for s in usable if s.can_decode]
        self._prefill_tokens_per_s = sum(prefill) or 1.0
        self._total_slots = sum(spec.slots for spec in decode) or _DEFAULT_SLOTS
        self._total_pieces = sum(spec.kv_pieces for spec in decode)
        self._max_pieces = max((spec.kv_pieces for spec in decode), default=0)
        if decode:
            self._piece_tokens = decode[0].piece_tokens
            self._decode_step_s = max(spec.decode_step_ms for spec in decode) / 1000

    def can_ever_fit(self, profile: RequestProfile) -> bool:
        """Return whether the prompt fits into the memory of the largest engine."""
        tokens = profile.prompt_tokens + admission.LOOK_AHEAD_TOKENS
        return not self._max_pieces or tokens <= self._max_pieces * self._piece_tokens

    def enqueue(self, entry: RequestEntry, now_s: float) -> None:
        """Queue a request at the level of its estimated urgency."""
        profile = entry.profile
        is_retry = profile.attempt > 1
        level, due_s = Level.URGENT, now_s
        if self._settings.infer_urgency:
            level = entry.estimate.level
            due_s = now_s - profile.waited_s + entry.estimate.slack_s
        if is_retry:
            # The caller of a stream that lost its engine may be reading it already.
            level = Level.URGENT
        cost_s = self._cost_s(entry)
        self.queue.push(
            QueueItem(profile.request_id, profile.workspace, level, due_s, cost_s)
        )

    def dispatch(self, registry: RequestRegistry, now_s: float) -> list[CellAction]:
        """Place as many queued requests as fit, in scheduling order."""
        actions: list[CellAction] = []
        if not self.has_queued_requests:
            return actions
        if self._settings.infer_urgency:
            self._demote_late(registry, now_s)
        actions += self._place_claimant(registry, now_s)
        for level in (Level.URGENT, Level.LATE, Level.BULK):
            if level is not Level.BULK:
                actions += self._place_aged(registry, now_s)
            while placed := self._place_first(registry, level, now_s):
                actions.append(placed)
        return actions

    def find_unservable(self, registry: RequestRegistry, now_s: float) -> list[str]:
        """Return queued requests whose model has had no server for the timeout."""
        if not self.has_queued_requests:
            self._unservable_since_s.clear()
            return []
        servable = self.placer.servable_models()
        unservable_since_s = self._unservable_since_s
        models = {server.spec.serves for server in self.placer.servers.values()}
        for model in models:
            if model in servable:
                unservable_since_s.pop(model, None)
            else:
                unservable_since_s.setdefault(model, now_s)
        unservable_models = {
            m
            for m in unservable_since_s
            if now_s - unservable_since_s[m] >= NO_SERVER_TIMEOUT_S
        }
        if not unservable_models:
            return []
        entries = registry.entries
        return [
            r
            for r in self.queue.request_ids()
            if entries[r].profile.model in unservable_models
        ]

    def _place_claimant(
        self, registry: RequestRegistry, now_s: float
    ) -> list[CellAction]:
        """Place the request that claims an engine, or let an overdue one claim one."""
        claimant_id = self.placer.claimant_id
        if claimant_id is not None:
            self.placer.release_stale_claim(claimant_id in self.queue)
            if self.placer.claimant_id is not None:
                item = self.queue.get(claimant_id)
                placed = self._place(registry, item, item.level, now_s)
                return [placed] if placed else []
        for level in Level:
            for item in self.queue.heads(level, _MAX_HEADS):
                if now_s >= item.due_s + _CLAIM_TIMEOUT_S:
                    entry = registry.entries[item.request_id]
                    self.placer.claim_engine(entry, level, now_s)
                    if self.placer.claimant_id is not None:
                        return []
        return []

    def _place_aged(self, registry: RequestRegistry, now_s: float) -> list[CellAction]:
        """Place delay-tolerant requests past their due time, within their credit."""
        actions: list[CellAction] = []
        while self._settings.age_queued and self._aged_credit_s > 0:
            item = next(self.queue.heads(Level.BULK, 1), None)
            if item is None or now_s < item.due_s:
                break
            placed = self._place(registry, item, Level.BULK, now_s)
            if placed is None:
                break
            self._aged_credit_s -= item.cost_s
            actions.append(placed)
        return actions

    def _place_first(
        self, registry: RequestRegistry, level: Level, now_s: float
    ) -> CellAction | None:
        for item in self.queue.heads(level, _MAX_HEADS):
            placed = self._place(registry, item, level, now_s)
            if placed is not None:
                if level is not Level.BULK:
                    credit_s = self._aged_credit_s + item.cost_s * _AGED_SHARE
                    self._aged_credit_s = min(_MAX_AGED_CREDIT_S, credit_s)
                return placed
        return None

    def _place(
        self, registry: RequestRegistry, item: QueueItem, level: Level, now_s: float
    ) -> CellAction | None:
        entry = registry.entries[item.request_id]
        if entry.suspect and _is_running(registry, entry.profile.fingerprint):
            return None
        choice = self._choose(entry, level, now_s)
        if choice is None:
            return None
        assert entry.placement is None, "an attempt is placed only once"
        self.queue.remove_placed(item.request_id)
        self.placer.reserve(entry, choice, level, now_s)
        entry.placement = _to_placement(entry, choice, level)
        entry.phase = RequestPhase.PREFILLING
        return SendSubmitResponse(entry.front, item.request_id, entry.placement)

    def _choose(
        self, entry: RequestEntry, level: Level, now_s: float
    ) -> PlacementChoice | None:
        first = next(iter(self.placer.servers.values()))
        if is_service(first):
            return self.placer.choose_service(entry, level, now_s)
        return self.placer.choose(entry, level, now_s)

    def _demote_late(self, registry: RequestRegistry, now_s: float) -> None:
        """
        Demote urgent requests that missed the target below those that can meet it.

        Each request is demoted at most once.
        """
        demoted = True
        while demoted:
            demoted = False
            for item in list(self.queue.heads(Level.URGENT, _MAX_HEADS)):
                entry = registry.entries[item.request_id]
                waited_s = now_s - entry.queued_at_s + entry.profile.waited_s
                if waited_s < FIRST_TOKEN_TARGET_S or entry.profile.attempt > 1:
                    continue
                self.queue.remove(item.request_id)
                item.level = Level.LATE
                self.queue.push(item)
                demoted = True

    def _cost_s(self, entry: RequestEntry) -> float:
        """
        Return the time for which the request would occupy the whole cell.

        It is the mean of the times for prefill, decode slots and KV memory.
        """
        profile, output_tokens = entry.profile, entry.estimate.output_tokens
        if not self._total_pieces:
            return _ASSUMED_SERVICE_CALL_S / self._total_slots
        decode_s = output_tokens * self._decode_step_s
        pieces = (profile.prompt_tokens + output_tokens) / self._piece_tokens
        cached_tokens = self.placer.cached_tokens(entry)
        prefill_tokens = max(1, profile.prompt_tokens - cached_tokens)
        return (
            prefill_tokens / self._prefill_tokens_per_s
            + decode_s / self._total_slots
            + decode_s * pieces / self._total_pieces
        ) / 3


def _is_running(registry: RequestRegistry, fingerprint: str) -> bool:
    # Two copies of a suspect could crash two servers before the first crash is seen.
    found = registry.find_by_fingerprint(fingerprint)
    return any(item.placement is not None for item in found)


def _to_placement(
    entry: RequestEntry, choice: PlacementChoice, level: Level
) -> Placement:
    profile = entry.profile
    placement = Placement(
        request_id=profile.request_id,
        attempt=profile.attempt,
        epoch=profile.epoch,
        decode_server=choice.decode.spec.name,
        decode_address=choice.decode.spec.address,
        priority=int(level),
    )
    if choice.prefill is None:
        return placement
    wait_s = choice.transfer_start_s - choice.prefill_end_s + choice.transfer_time_s
    return Placement(
        request_id=placement.request_id,
        attempt=placement.attempt,
        epoch=placement.epoch,
        prefill_server=choice.prefill.spec.name,
        prefill_address=choice.prefill.spec.address,
        decode_server=placement.decode_server,
        decode_address=placement.decode_address,
        priority=placement.priority,
        transfer_deadline_s=2 * wait_s + _TRANSFER_MARGIN_S,
    )
