"""Requests of the cell by id and by front."""

from dataclasses import dataclass

from damaskridge.core.scheduling.settings import FRONT_LEASE_S
from damaskridge.core.scheduling.urgency import Estimate
from damaskridge.model.routing import (
    ActiveRequest,
    Placement,
    RequestPhase,
    RequestProfile,
)

__all__ = ["TAKE_OVER_GRACE_S", "RequestEntry", "RequestRegistry"]

# With the lease of 3 s this leaves 1 s of the promised lease time plus 3 s.
TAKE_OVER_GRACE_S = 2.0
_ENDED_RETENTION_S = 60.0


@dataclass(slots=True)
class RequestEntry:
    """One request: queued without a placement, running with one."""

    profile: RequestProfile
    front: str
    incarnation: int
    estimate: Estimate
    queued_at_s: float
    placement: Placement | None = None
    phase: RequestPhase = RequestPhase.QUEUED
    pieces: int = 0
    output_tokens: int = 0
    placed_at_s: float = 0.0
    prefill_end_s: float = 0.0
    reclaim_at_s: float | None = None
    taken_over: bool = False
    suspect: bool = False

    @property
    def engine_request_id(self) -> str:
        """The name of the attempt on engines."""
        return f"{self.profile.request_id}.{self.profile.attempt}"

    def to_active_request(self) -> ActiveRequest | None:
        """Return the message that describes the running request."""
        if self.placement is None:
            return None
        return ActiveRequest(
            profile=self.profile,
            placement=self.placement,
            phase=self.phase,
            output_tokens=self.output_tokens,
        )


@dataclass(slots=True)
class _FrontState:
    incarnation: int
    last_seen_s: float
    is_lost: bool = False


class RequestRegistry:
    """Finds requests, and fronts that have been silent for too long."""

    def __init__(self) -> None:
        self.entries: dict[str, RequestEntry] = {}
        self._ids_by_front: dict[str, dict[str, None]] = {}
        self._fronts: dict[str, _FrontState] = {}
        self._orphans: dict[str, None] = {}
        self._ended_at_s: dict[str, float] = {}
        self._unknown_since_s: dict[tuple[str, str], float] = {}

    def add(self, entry: RequestEntry) -> None:
        """Record a request of its front."""
        request_id = entry.profile.request_id
        self.entries[request_id] = entry
        self._ids_by_front.setdefault(entry.front, {})[request_id] = None

    def remove(self, request_id: str, now_s: float) -> RequestEntry | None:
        """Forget a request; an attempt that was placed counts as ended."""
        entry = self.entries.pop(request_id, None)
        if entry is not None:
            self._ids_by_front.get(entry.front, {}).pop(request_id, None)
            self._orphans.pop(request_id, None)
            if entry.placement is not None:
                self.record_ended(entry.engine_request_id, now_s)
        return entry

    def record_ended(self, engine_request_id: str, now_s: float) -> None:
        """Remember that an attempt is over."""
        self._ended_at_s[engine_request_id] = now_s
        while self._ended_at_s:
            oldest = next(iter(self._ended_at_s))
            if self._ended_at_s[oldest] > now_s - _ENDED_RETENTION_S:
                break
            del self._ended_at_s[oldest]

    def has_ended(self, engine_request_id: str) -> bool:
        """Tell whether an attempt was placed and is over."""
        return engine_request_id in self._ended_at_s

    def reassign(self, entry: RequestEntry, front: str, incarnation: int) -> None:
        """Give a request to another front."""
        request_id = entry.profile.request_id
        self._ids_by_front.get(entry.front, {}).pop(request_id, None)
        entry.front, entry.incarnation = front, incarnation
        entry.reclaim_at_s, entry.taken_over = None, True
        self._orphans.pop(request_id, None)
        self._ids_by_front.setdefault(front, {})[request_id] = None

    def find_by_fingerprint(self, fingerprint: str) -> list[RequestEntry]:
        """Return the requests with a fingerprint; asked for suspects only."""
        entries = self.entries.values()
        return [item for item in entries if item.profile.fingerprint == fingerprint]

    def record_front_alive(self, front: str, incarnation: int, now_s: float) -> None:
        """Note that a front is alive."""
        known = self._fronts.get(front)
        if known is None or incarnation != known.incarnation:
            self._fronts[front] = _FrontState(incarnation, now_s)
        else:
            known.last_seen_s, known.is_lost = now_s, False

    def is_front_lost(self, entry: RequestEntry) -> bool:
        """Tell whether the front of a request is gone."""
        known = self._fronts.get(entry.front)
        return known is None or known.is_lost or known.incarnation != entry.incarnation

    def mark_front_lost(self, front: str, incarnation: int) -> None:
        """Note that a front's process is gone."""
        known = self._fronts.get(front)
        if known is not None and known.incarnation == incarnation:
            known.is_lost = True

    def mark_orphaned(self, entry: RequestEntry, now_s: float) -> None:
        """Let others take the request over until its grace has passed."""
        if entry.reclaim_at_s is None:
            entry.reclaim_at_s = now_s + TAKE_OVER_GRACE_S
            self._orphans[entry.profile.request_id] = None

    def pop_expired_orphans(self, now_s: float) -> list[RequestEntry]:
        """Return orphans whose grace has passed; a front that is back keeps its."""
        due: list[RequestEntry] = []
        for request_id in list(self._orphans):
            entry = self.entries[request_id]
            if entry.reclaim_at_s is None or now_s < entry.reclaim_at_s:
                continue
            del self._orphans[request_id]
            entry.reclaim_at_s = None
            if self.is_front_lost(entry):
                due.append(entry)
        return due

    def requests_of_front(self, front: str) -> list[RequestEntry]:
        """Return the requests of a front."""
        return [self.entries[item] for item in self._ids_by_front.get(front, {})]

    def find_silent_fronts(self, now_s: float) -> list[tuple[str, int]]:
        """Return fronts that became silent, with their incarnations."""
        return [
            (name, front.incarnation)
            for name, front in self._fronts.items()
            if not front.is_lost and now_s - front.last_seen_s >= FRONT_LEASE_S
        ]

    def is_leaked(
        self, server: str, engine_request_id: str, requested_s: float, now_s: float
    ) -> bool:
        """
        Tell whether an engine's list entry belongs to no request and is old.

        An attempt that ended before the list was asked for is stray at once; one
        that nobody registered is stray after the lease time.
        """
        request_id, _, attempt = engine_request_id.rpartition(".")
        key = (server, engine_request_id)
        entry = self.entries.get(request_id)
        if entry is not None and str(entry.profile.attempt) == attempt:
            self._unknown_since_s.pop(key, None)
            return False
        ended_s = self._ended_at_s.get(engine_request_id)
        if ended_s is not None:
            return requested_s > ended_s
        return now_s - self._unknown_since_s.setdefault(key, now_s) >= FRONT_LEASE_S

    def discard_unlisted(self, server: str, listed: set[str]) -> None:
        """Forget unknown entries that an engine no longer lists."""
        for key in [key for key in self._unknown_since_s if key[0] == server]:
            if key[1] not in listed:
                del self._unknown_since_s[key]
