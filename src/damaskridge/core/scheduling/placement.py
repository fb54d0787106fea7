"""Selects engines by predicted time to first token, and reserves them."""

from collections.abc import Iterator
from dataclasses import dataclass

from damaskridge.core.scheduling import admission, links
from damaskridge.core.scheduling.lazy_heap import LazyHeap
from damaskridge.core.scheduling.prefix_hints import PrefixHints
from damaskridge.core.scheduling.registry import RequestEntry
from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.settings import SchedulerSettings
from damaskridge.core.scheduling.urgency import Level
from damaskridge.model.bundle import BackendServerRole
from damaskridge.model.routing import Placement

__all__ = ["PlacementChoice", "Placer", "is_service"]

_MAX_CANDIDATES = 8
# The slowdown stays constant at one lost transfer in about 50.
_SLOWDOWN_ON_LOSS, _SLOWDOWN_ON_ARRIVAL = 1.1, 0.998
_MAX_TRANSFER_SLOWDOWN = 2.2
# After this time in the queue a request may use servers again that failed it, since
# there may be no others for it.
_EXCLUSION_TIMEOUT_S = 2.0
# Requests wait longer than this in the cell's queue instead of that of an engine, so
# that the cell owner can still decide their order.
_MAX_PREFILL_WAIT_S = {Level.URGENT: 0.5, Level.LATE: 0.3, Level.BULK: 0.15}


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """A possible placement of a request, with its predicted times."""

    prefill: ServerState | None
    decode: ServerState
    pieces: int
    uncached_tokens: int = 0
    prefill_end_s: float = 0.0
    transfer_start_s: float = 0.0
    transfer_time_s: float = 0.0


class Placer:
    """
    Selects servers of the cell for requests, and reserves them.

    Servers are kept ordered by load, so a placement takes O(log n) time.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self.servers: dict[str, ServerState] = {}
        self.hints = PrefixHints()
        self._transfer_slowdown = 1.0
        # Identifier of a request, and name of the engine that is kept free for it.
        self._claim: tuple[str, str] | None = None
        self._prefill_by_backlog = LazyHeap()
        self._decode_by_load = LazyHeap()

    def update(self, server: ServerState) -> None:
        """Update the position of a server after a change of its state."""
        name = server.spec.name
        is_current = self.servers.get(name) is server
        if is_current and server.is_usable and server.can_prefill:
            self._prefill_by_backlog.update(name, server.busy_until_s)
        else:
            self._prefill_by_backlog.discard(name)
        if is_current and server.is_usable and server.can_decode:
            self._decode_by_load.update(name, server.load)
        else:
            self._decode_by_load.discard(name)

    def record_transfer(self, arrived: bool) -> None:
        """Adapt the estimate of how much slower links are than the bundle declares."""
        change = _SLOWDOWN_ON_ARRIVAL if arrived else _SLOWDOWN_ON_LOSS
        self._transfer_slowdown = min(
            _MAX_TRANSFER_SLOWDOWN, max(1.0, self._transfer_slowdown * change)
        )

    def cached_tokens(self, entry: RequestEntry) -> int:
        """Return the length of the longest prefix cached by any engine, in tokens."""
        hashes = entry.profile.prefix_hashes
        if not self._settings.use_prefix_hints:
            return 0
        names = self.hints.servers_with_prefix(hashes, _MAX_CANDIDATES)
        return max((self.hints.cached_tokens(n, hashes) for n in names), default=0)

    @property
    def claimant_id(self) -> str | None:
        """Identifier of the request that claims a decode engine, if any."""
        return self._claim[0] if self._claim else None

    def claim_engine(self, entry: RequestEntry, level: Level, now_s: float) -> None:
        """
        Keep a decode engine free for a request that needs most of its memory.

        Small requests would otherwise fill the memory as it becomes free, and the
        large request would starve.
        """
        for server in self._decode_candidates(entry, now_s):
            pieces = self._pieces_for(server, entry)
            if 2 * pieces > admission.shared_pieces_limit(server, level):
                self._claim = (entry.profile.request_id, server.spec.name)
                return

    def release_stale_claim(self, is_queued: bool) -> None:
        """Release the claim if the request left the queue or the engine is unusable."""
        if self._claim is not None:
            server = self.servers.get(self._claim[1])
            if not is_queued or server is None or not server.is_usable:
                self._claim = None

    def servable_models(self) -> set[str]:
        """Return the models and services that have the usable servers they need."""
        usable = [server for server in self.servers.values() if server.is_usable]
        prefill = {s.spec.serves for s in usable if s.can_prefill}
        decode = {s.spec.serves for s in usable if s.can_decode and not is_service(s)}
        services = {s.spec.serves for s in usable if is_service(s)}
        return (prefill & decode) | services

    def choose(
        self, entry: RequestEntry, level: Level, now_s: float
    ) -> PlacementChoice | None:
        """Return the best placement that is possible now, or `None`."""
        # Without room on a decode engine, prefill engines need not be ranked.
        decode_engines = self._decode_engines_with_room(entry, level, now_s)
        if not decode_engines:
            return None
        for prefill, uncached_tokens in self._rank_prefill_engines(entry, level, now_s):
            prefill_end_s = now_s + prefill.prefill_wait_s(level, now_s)
            prefill_end_s += uncached_tokens / prefill.spec.prefill_tokens_per_s
            choice = self._choose_decode(
                entry, level, prefill, decode_engines, uncached_tokens, prefill_end_s
            )
            if choice is not None:
                return choice
        return None

    def choose_service(
        self, entry: RequestEntry, level: Level, now_s: float
    ) -> PlacementChoice | None:
        """Return the least loaded instance of a plain service with a free slot."""
        for server in self._decode_candidates(entry, now_s):
            if admission.can_reserve(server, 0, level):
                return PlacementChoice(None, server, 0)
        return None

    def reserve(
        self, entry: RequestEntry, choice: PlacementChoice, level: Level, now_s: float
    ) -> None:
        """Reserve everything that a chosen placement uses, before it is sent."""
        request_id = entry.profile.request_id
        if self._settings.reserve_decode:
            assert admission.can_reserve(choice.decode, choice.pieces, level), (
                "slots and pieces have to stay within capacity"
            )
        admission.reserve(choice.decode, request_id, choice.pieces)
        if entry.suspect:
            choice.decode.suspect_count += 1
        if choice.prefill is not None:
            choice.prefill.add_prefill(choice.uncached_tokens, level, now_s)
            if choice.prefill is not choice.decode and entry.suspect:
                choice.prefill.suspect_count += 1
            links.reserve_transfer(
                choice.prefill,
                choice.decode,
                choice.transfer_start_s,
                choice.transfer_time_s,
                now_s,
            )
            self.update(choice.prefill)
        entry.pieces = choice.pieces
        entry.placed_at_s, entry.prefill_end_s = now_s, choice.prefill_end_s
        self.update(choice.decode)

    def reserve_running(self, entry: RequestEntry, placement: Placement) -> None:
        """Reserve what a registered request, which runs already, uses."""
        server = self.servers.get(placement.decode_server)
        if server is None or entry.profile.request_id in server.request_ids:
            return
        entry.pieces = self._pieces_for(server, entry)
        admission.reserve(server, entry.profile.request_id, entry.pieces)
        self._change_suspect_count(entry, placement, 1)
        self.update(server)

    def release(self, entry: RequestEntry, now_s: float) -> None:
        """Free the decode reservation of a request."""
        if entry.placement is None:
            return
        server = self.servers.get(entry.placement.decode_server)
        if server is None or entry.profile.request_id not in server.request_ids:
            return
        admission.release(server, entry.profile.request_id, entry.pieces)
        server.record_release(entry.pieces, now_s)
        entry.pieces = 0
        self._change_suspect_count(entry, entry.placement, -1)
        self.update(server)

    def extend(self, entry: RequestEntry) -> None:
        """Reserve more memory for a stream that exceeds its predicted length."""
        assert entry.placement is not None
        server = self.servers.get(entry.placement.decode_server)
        if server is None or entry.profile.request_id not in server.request_ids:
            return
        prompt_tokens = entry.profile.prompt_tokens
        needed_pieces = admission.pieces_for(server, prompt_tokens, entry.output_tokens)
        if needed_pieces > entry.pieces:
            entry.pieces = admission.extend(server, entry.pieces, needed_pieces)
            self.update(server)

    def _change_suspect_count(
        self, entry: RequestEntry, placement: Placement, change: int
    ) -> None:
        if entry.suspect:
            for name in {placement.prefill_server, placement.decode_server}:
                if name in self.servers:
                    server = self.servers[name]
                    server.suspect_count = max(0, server.suspect_count + change)

    def _pieces_for(self, server: ServerState, entry: RequestEntry) -> int:
        expected_tokens = entry.estimate.max_expected_output_tokens
        output_tokens = max(expected_tokens, entry.output_tokens)
        pieces = admission.pieces_for(
            server, entry.profile.prompt_tokens, output_tokens
        )
        return min(pieces, server.spec.kv_pieces)

    def _rank_prefill_engines(
        self, entry: RequestEntry, level: Level, now_s: float
    ) -> list[tuple[ServerState, int]]:
        hashes = entry.profile.prefix_hashes
        names = self._prefill_by_backlog.smallest(_MAX_CANDIDATES)
        if self._settings.use_prefix_hints:
            names += self.hints.servers_with_prefix(hashes, _MAX_CANDIDATES)
        ranked: list[tuple[float, str, int]] = []
        for name in dict.fromkeys(names):
            server = self.servers.get(name)
            if server is None or not self._is_allowed(server, entry, now_s):
                continue
            if name not in self._prefill_by_backlog:
                continue
            wait_s = server.prefill_wait_s(level, now_s)
            if wait_s > _MAX_PREFILL_WAIT_S[level]:
                continue
            cached_tokens = 0
            if self._settings.use_prefix_hints:
                cached_tokens = self.hints.cached_tokens(name, hashes)
            uncached_tokens = max(1, entry.profile.prompt_tokens - cached_tokens)
            ready_s = wait_s + uncached_tokens / server.spec.prefill_tokens_per_s
            ranked.append((ready_s, name, uncached_tokens))
        return [
            (self.servers[name], uncached_tokens)
            for _, name, uncached_tokens in sorted(ranked)
        ]

    def _decode_engines_with_room(
        self, entry: RequestEntry, level: Level, now_s: float
    ) -> list[tuple[ServerState, int]]:
        """Return decode engines with room for a request, and the pieces it needs."""
        candidates: list[tuple[ServerState, int]] = []
        for server in self._decode_candidates(entry, now_s):
            pieces = self._pieces_for(server, entry)
            if not self._settings.reserve_decode or admission.can_reserve(
                server, pieces, level
            ):
                candidates.append((server, pieces))
        return candidates

    def _choose_decode(
        self,
        entry: RequestEntry,
        level: Level,
        prefill: ServerState,
        decode_engines: list[tuple[ServerState, int]],
        uncached_tokens: int,
        prefill_end_s: float,
    ) -> PlacementChoice | None:
        size_bytes = entry.profile.prompt_tokens * self._settings.kv_bytes_per_token
        best: PlacementChoice | None = None
        for decode, pieces in decode_engines:
            start_s = prefill_end_s
            duration_s = links.transfer_time_s(prefill, decode, size_bytes)
            duration_s *= self._transfer_slowdown
            if self._settings.reserve_links:
                gap_s = (
                    duration_s * links.BULK_GAP_RATIO if level is Level.BULK else 0.0
                )
                start_s = gap_s + links.transfer_start_s(
                    prefill, decode, prefill_end_s - gap_s, gap_s + duration_s
                )
                if start_s > prefill_end_s + links.MAX_TRANSFER_DELAY_S[level]:
                    continue
            candidate = PlacementChoice(
                prefill,
                decode,
                pieces,
                uncached_tokens,
                prefill_end_s,
                start_s,
                duration_s,
            )
            if best is None or _arrival_score_s(candidate) < _arrival_score_s(best):
                best = candidate
        return best

    def _decode_candidates(
        self, entry: RequestEntry, now_s: float
    ) -> Iterator[ServerState]:
        names = self._decode_by_load.smallest(_MAX_CANDIDATES)
        claimant_id, claimed_server = self._claim or ("", "")
        if claimant_id == entry.profile.request_id:
            names = [claimed_server, *names]
        for name in dict.fromkeys(names):
            server = self.servers[name]
            if name == claimed_server and claimant_id != entry.profile.request_id:
                continue
            if self._is_allowed(server, entry, now_s):
                yield server

    def _is_allowed(
        self, server: ServerState, entry: RequestEntry, now_s: float
    ) -> bool:
        """Return whether model, exclusions and suspects permit the placement."""
        if server.spec.serves != entry.profile.model:
            return False
        is_excluded = server.spec.name in entry.profile.excluded
        if is_excluded and now_s - entry.queued_at_s < _EXCLUSION_TIMEOUT_S:
            return False
        return not (entry.suspect and server.suspect_count)


def _arrival_score_s(choice: PlacementChoice) -> float:
    # The load decides among engines with free links, so that they fill evenly.
    return choice.transfer_start_s + choice.transfer_time_s + 0.1 * choice.decode.load


def is_service(server: ServerState) -> bool:
    """Return whether a server is an instance of a plain service."""
    return server.spec.role is BackendServerRole.SERVICE
