"""State of the servers of a cell, with the reservations on them."""

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
    """
    One backend server: its condition and its reservations.

    Memory is counted in pieces of KV cache. `busy_until_s` is the predicted end of the
    prefill backlog, and `urgent_busy_until_s` that of its part above `Level.BULK`.
    `sent_prompts` and `released_pieces` hold recent times with tokens or pieces, to
    correct load reports that were measured before.
    """

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
        """Whether new requests may be placed on the server."""
        return not (self.failed or self.leaving or self.removed)

    @property
    def can_prefill(self) -> bool:
        """Whether the server runs prefills."""
        return self.role in _PREFILL_ROLES

    @property
    def can_decode(self) -> bool:
        """Whether the server runs decodes, or is a plain service."""
        return self.role in _DECODE_ROLES or self.role is BackendServerRole.SERVICE

    @property
    def load(self) -> float:
        """Utilisation of slots or memory, whichever is higher."""
        slots = self.used_slots / max(1, self.spec.slots)
        pieces = self.used_pieces + self.unaccounted_pieces
        return max(slots, pieces / max(1, self.spec.kv_pieces))

    def add_prefill(self, tokens: int, level: Level, now_s: float) -> float:
        """Add a prompt to the backlog, and return the predicted end of its prefill."""
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
        """Return the predicted wait of a new prompt of `level` for its prefill."""
        until_s = self.busy_until_s if level is Level.BULK else self.urgent_busy_until_s
        return max(0.0, until_s - now_s)

    def record_release(self, pieces: int, now_s: float) -> None:
        """Record freed memory, which a delayed load report may still count as used."""
        self.released_pieces.append((now_s, pieces))
        while self.released_pieces[0][0] < now_s - _HISTORY_RETENTION_S:
            self.released_pieces.popleft()

    def _count_unaccounted(self, report: LoadReport, measured_s: float) -> None:
        """Compute the memory that is in use but reserved for no request of the cell."""
        if not self.spec.kv_pieces or not self.can_decode:
            return
        known = self.used_pieces
        known += sum(
            pieces for at_s, pieces in self.released_pieces if at_s >= measured_s
        )
        used = self.spec.kv_pieces - report.free_kv_pieces
        self.unaccounted_pieces = max(0, used - known)

    def apply_report(
        self, report: LoadReport, count_sent_since: bool, now_s: float
    ) -> None:
        """
        Set the backlog to that of a load report.

        With `count_sent_since`, prompts that were sent after the report was measured
        are added; without it the report is taken as current.
        """
        measured_s = now_s - report.age_s
        self._count_unaccounted(report, measured_s)
        tokens = report.queued_prefill_tokens
        if count_sent_since:
            tokens += sum(
                prompt_tokens
                for sent_s, prompt_tokens in self.sent_prompts
                if sent_s >= measured_s
            )
        start_s = measured_s if count_sent_since else now_s
        self.busy_until_s = start_s + tokens / self.spec.prefill_tokens_per_s
        self.urgent_busy_until_s = min(self.urgent_busy_until_s, self.busy_until_s)
