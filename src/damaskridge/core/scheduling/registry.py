"""Tracks the requests of a cell, by identifier and by front."""

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

# Time for other fronts to take over the requests of a lost front. Its memory has to be
# free within the lease time plus 3 s; with a lease of 3 s this leaves 1 s to free it.
TAKE_OVER_GRACE_S = 2.0
_ENDED_RETENTION_S = 60.0


@dataclass(slots=True)
class RequestEntry:
    """A request of the cell: queued while it has no placement, else running."""

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
        """The identifier of the current attempt on engines."""
        return f"{self.profile.request_id}.{self.profile.attempt}"

    def to_active_request(self) -> ActiveRequest | None:
        """Return the description of a running request, or `None` if it is queued."""
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
    """Requests of a cell, the fronts that run them, and recently ended attempts."""

    def __init__(self) -> None:
        self.entries: dict[str, RequestEntry] = {}
        self._ids_by_front: dict[str, dict[str, None]] = {}
        self._fronts: dict[str, _FrontState] = {}
        self._orphans: dict[str, None] = {}
        self._ended_at_s: dict[str, float] = {}
        self._unknown_since_s: dict[tuple[str, str], float] = {}

    def add(self, entry: RequestEntry) -> None:
        """Add a request to those of its front."""
        request_id = entry.profile.request_id
        self.entries[request_id] = entry
        self._ids_by_front.setdefault(entry.front, {})[request_id] = None

    def remove(self, request_id: str, now_s: float) -> RequestEntry | None:
        """Remove a request; if it was placed, its attempt is recorded as ended."""
        entry = self.entries.pop(request_id, None)
        if entry is not None:
            self._ids_by_front.get(entry.front, {}).pop(request_id, None)
            self._orphans.pop(request_id, None)
            if entry.placement is not None:
                self.record_ended(entry.engine_request_id, now_s)
        return entry

    def record_ended(self, engine_request_id: str, now_s: float) -> None:
        """Record that an attempt ended, and discard records that are too old."""
        self._ended_at_s[engine_request_id] = now_s
        while self._ended_at_s:
            oldest = next(iter(self._ended_at_s))
            if self._ended_at_s[oldest] > now_s - _ENDED_RETENTION_S:
                break
            del self._ended_at_s[oldest]

    def has_ended(self, engine_request_id: str) -> bool:
        """Return whether an attempt was placed and has ended."""
        return engine_request_id in self._ended_at_s

    def reassign(self, entry: RequestEntry, front: str, incarnation: int) -> None:
        """Move a request to another front, which ends its grace period."""
        request_id = entry.profile.request_id
        self._ids_by_front.get(entry.front, {}).pop(request_id, None)
        entry.front, entry.incarnation = front, incarnation
        entry.reclaim_at_s, entry.taken_over = None, True
        self._orphans.pop(request_id, None)
        self._ids_by_front.setdefault(front, {})[request_id] = None

    def find_by_fingerprint(self, fingerprint: str) -> list[RequestEntry]:
        """Return the requests with a fingerprint, by a scan; used for suspects only."""
        entries = self.entries.values()
        return [item for item in entries if item.profile.fingerprint == fingerprint]

    def record_front_alive(self, front: str, incarnation: int, now_s: float) -> None:
        """Record that a front's process is alive."""
        state = self._fronts.get(front)
        if state is None or incarnation != state.incarnation:
            self._fronts[front] = _FrontState(incarnation, now_s)
        else:
            state.last_seen_s, state.is_lost = now_s, False

    def is_front_lost(self, entry: RequestEntry) -> bool:
        """Return whether the process of the front of a request is lost."""
        state = self._fronts.get(entry.front)
        return state is None or state.is_lost or state.incarnation != entry.incarnation

    def mark_front_lost(self, front: str, incarnation: int) -> None:
        """Record that a front's process is lost."""
        state = self._fronts.get(front)
        if state is not None and state.incarnation == incarnation:
            state.is_lost = True

    def mark_orphaned(self, entry: RequestEntry, now_s: float) -> None:
        """Start the grace period in which other fronts may take over the request."""
        if entry.reclaim_at_s is None:
            entry.reclaim_at_s = now_s + TAKE_OVER_GRACE_S
            self._orphans[entry.profile.request_id] = None

    def pop_expired_orphans(self, now_s: float) -> list[RequestEntry]:
        """Remove and return expired orphans, except those of a front alive again."""
        expired: list[RequestEntry] = []
        for request_id in list(self._orphans):
            entry = self.entries[request_id]
            if entry.reclaim_at_s is None or now_s < entry.reclaim_at_s:
                continue
            del self._orphans[request_id]
            entry.reclaim_at_s = None
            if self.is_front_lost(entry):
                expired.append(entry)
        return expired

    def requests_of_front(self, front: str) -> list[RequestEntry]:
        """Return the requests of a front."""
        return [self.entries[item] for item in self._ids_by_front.get(front, {})]

    def find_silent_fronts(self, now_s: float) -> list[tuple[str, int]]:
        """Return fronts silent for the lease time, with their incarnations."""
        return [
            (name, front.incarnation)
            for name, front in self._fronts.items()
            if not front.is_lost and now_s - front.last_seen_s >= FRONT_LEASE_S
        ]

    def is_leaked(
        self, server: str, engine_request_id: str, requested_s: float, now_s: float
    ) -> bool:
        """
        Return whether an engine holds a request that belongs to no known request.

        An attempt that ended before the engine was asked for its list counts as leaked
        at once. One that no front has registered counts after the lease time.
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
        """Discard unknown requests that an engine no longer lists."""
        for key in [key for key in self._unknown_since_s if key[0] == server]:
            if key[1] not in listed:
                del self._unknown_since_s[key]
