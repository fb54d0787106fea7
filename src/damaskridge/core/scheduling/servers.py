"""What the cell owner knows of each server, with its reservations."""

from collections import deque
from dataclasses import dataclass, field

from damaskridge.core.scheduling.urgency import Level
from damaskridge.model.bundle import BackendServer, BackendServerRole
from damaskridge.model.engine import LoadReport

__all__ = ["ServerState"]

_HISTORY_RETENTION_S = 10.0
_PREFILL_ROLES = (BackendServerRole.PREFILL, BackendServerRole.MIXED)
_DECODE_ROLES = (BackendServerRole.DECODE, BackendServerRole.MIXED)


@dataclass(slots=True)
class ServerState:
    """One server: condition, reservations of memory, slots, link and prefill."""

    spec: BackendServer
    role: BackendServerRole
    incarnation: int = 0
    failed: bool = False
    leaving: bool = False
    removed: bool = False
    used_slots: int = 0
    used_pieces: int = 0
    unaccounted_pieces: int = 0
    suspect_count: int = 0
    request_ids: set[str] = field(default_factory=set)
    busy_until_s: float = 0.0
    urgent_busy_until_s: float = 0.0
    reserved_transfers_s: list[tuple[float, float]] = field(default_factory=list)
    sent_prompts: deque[tuple[float, int]] = field(default_factory=deque)
    released_pieces: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def is_usable(self) -> bool:
        """Whether new work may go to the server."""
        return not (self.failed or self.leaving or self.removed)

    @property
    def can_prefill(self) -> bool:
        """Whether the server prefills."""
        return self.role in _PREFILL_ROLES

    @property
    def can_decode(self) -> bool:
        """Whether the server decodes, or is a plain service."""
        return self.role in _DECODE_ROLES or self.role is BackendServerRole.SERVICE

    @property
    def load(self) -> float:
        """Share of the scarcer of slots and memory that is reserved."""
        slots = self.used_slots / max(1, self.spec.slots)
        pieces = self.used_pieces + self.unaccounted_pieces
        return max(slots, pieces / max(1, self.spec.kv_pieces))

    def add_prefill(self, tokens: int, level: Level, now_s: float) -> float:
        """Count a prompt that is sent, and return when it should be computed."""
        duration_s = tokens / self.spec.prefill_tokens_per_s
        self.busy_until_s = max(now_s, self.busy_until_s) + duration_s
        self.sent_prompts.append((now_s, tokens))
        while self.sent_prompts[0][0] < now_s - _HISTORY_RETENTION_S:
            self.sent_prompts.popleft()
        if level is Level.BULK:
            return self.busy_until_s
        self.urgent_busy_until_s = max(now_s, self.urgent_busy_until_s) + duration_s
        return self.urgent_busy_until_s

    def prefill_wait_s(self, level: Level, now_s: float) -> float:
        """Return how long a new prompt of this level waits for prefill."""
        until_s = self.busy_until_s if level is Level.BULK else self.urgent_busy_until_s
        return max(0.0, until_s - now_s)

    def record_release(self, pieces: int, now_s: float) -> None:
        """Remember memory that a late report may still count as in use."""
        self.released_pieces.append((now_s, pieces))
        while self.released_pieces[0][0] < now_s - _HISTORY_RETENTION_S:
            self.released_pieces.popleft()

    def _count_unaccounted(self, report: LoadReport, measured_s: float) -> None:
        """Count memory that is in use but belongs to no request of the cell."""
        if not self.spec.kv_pieces or not self.can_decode:
            return
        known = self.used_pieces
        known += sum(held for at_s, held in self.released_pieces if at_s >= measured_s)
        used = self.spec.kv_pieces - report.free_kv_pieces
        self.unaccounted_pieces = max(0, used - known)

    def apply_report(
        self, report: LoadReport, count_sent_since: bool, now_s: float
    ) -> None:
        """Correct the backlog by a report and what was sent since."""
        measured_s = now_s - report.age_s
        self._count_unaccounted(report, measured_s)
        tokens = report.queued_prefill_tokens
        if count_sent_since:
            tokens += sum(
                sent_prompts
                for sent_s, sent_prompts in self.sent_prompts
                if sent_s >= measured_s
            )
        start_s = measured_s if count_sent_since else now_s
        self.busy_until_s = start_s + tokens / self.spec.prefill_tokens_per_s
        self.urgent_busy_until_s = min(self.urgent_busy_until_s, self.busy_until_s)
