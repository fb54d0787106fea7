"""What the cell owner knows of each server, with its reservations."""

from collections import deque
from dataclasses import dataclass, field

from damaskridge.core.scheduling.urgency import Level
from damaskridge.model.bundle import BackendServer, BackendServerRole
from damaskridge.model.engine import LoadReport

__all__ = ["ServerState"]

_SENT_RETENTION_S = 10.0
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
    stray_pieces: int = 0
    suspects: int = 0
    requests: set[str] = field(default_factory=set)
    busy_until_s: float = 0.0
    urgent_until_s: float = 0.0
    transfers_s: list[tuple[float, float]] = field(default_factory=list)
    sent: deque[tuple[float, int]] = field(default_factory=deque)
    released: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def is_usable(self) -> bool:
        """Whether new work may go to the server."""
        return not (self.failed or self.leaving or self.removed)

    @property
    def prefills(self) -> bool:
        """Whether the server prefills."""
        return self.role in _PREFILL_ROLES

    @property
    def decodes(self) -> bool:
        """Whether the server decodes, or is a plain service."""
        return self.role in _DECODE_ROLES or self.role is BackendServerRole.SERVICE

    @property
    def load(self) -> float:
        """Share of the scarcer of slots and memory that is reserved."""
        slots = self.used_slots / max(1, self.spec.slots)
        pieces = self.used_pieces + self.stray_pieces
        return max(slots, pieces / max(1, self.spec.kv_pieces))

    def add_prefill(self, tokens: int, level: Level, now_s: float) -> float:
        """Count a prompt that is sent, and return when it should be computed."""
        duration_s = tokens / self.spec.prefill_tokens_per_s
        self.busy_until_s = max(now_s, self.busy_until_s) + duration_s
        self.sent.append((now_s, tokens))
        while self.sent[0][0] < now_s - _SENT_RETENTION_S:
            self.sent.popleft()
        if level is Level.BULK:
            return self.busy_until_s
        self.urgent_until_s = max(now_s, self.urgent_until_s) + duration_s
        return self.urgent_until_s

    def prefill_wait_s(self, level: Level, now_s: float) -> float:
        """Return how long a new prompt of this level waits for prefill."""
        until_s = self.busy_until_s if level is Level.BULK else self.urgent_until_s
        return max(0.0, until_s - now_s)

    def note_release(self, pieces: int, now_s: float) -> None:
        """Remember memory that a late report may still count as in use."""
        self.released.append((now_s, pieces))
        while self.released[0][0] < now_s - _SENT_RETENTION_S:
            self.released.popleft()

    def _count_strays(self, report: LoadReport, taken_s: float) -> None:
        """Count memory that is in use but belongs to no request of the cell."""
        if not self.spec.kv_pieces or not self.decodes:
            return
        known = self.used_pieces
        known += sum(held for at_s, held in self.released if at_s >= taken_s)
        used = self.spec.kv_pieces - report.free_kv_pieces
        self.stray_pieces = max(0, used - known)

    def apply_report(self, report: LoadReport, correct: bool, now_s: float) -> None:
        """Correct the backlog by a report and what was sent since."""
        taken_s = now_s - report.age_s
        self._count_strays(report, taken_s)
        tokens = report.queued_prefill_tokens
        if correct:
            tokens += sum(sent for sent_s, sent in self.sent if sent_s >= taken_s)
        start_s = taken_s if correct else now_s
        self.busy_until_s = start_s + tokens / self.spec.prefill_tokens_per_s
        self.urgent_until_s = min(self.urgent_until_s, self.busy_until_s)
