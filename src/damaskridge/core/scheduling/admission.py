"""Reserves decode slots and KV memory before a prefill starts."""

import math

from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.urgency import Level

__all__ = [
    "LOOK_AHEAD_TOKENS",
    "can_reserve",
    "extend",
    "pieces_for",
    "release",
    "reserve",
    "shared_pieces_limit",
]

# Decode engines allocate KV memory this many tokens ahead of the current one.
LOOK_AHEAD_TOKENS = 32
# Share that delay-tolerant requests leave free: they hold memory for many seconds.
_BULK_HEADROOM = 0.1
# Share kept free for streams that become longer than predicted.
_GROWTH_HEADROOM = 0.02


def pieces_for(server: ServerState, prompt_tokens: int, output_tokens: int) -> int:
    """Return the KV memory that a request needs, in pieces; 0 without a KV cache."""
    if server.spec.kv_pieces == 0:
        return 0
    tokens = prompt_tokens + output_tokens + LOOK_AHEAD_TOKENS
    return math.ceil(tokens / server.spec.piece_tokens)


def can_reserve(server: ServerState, pieces: int, level: Level) -> bool:
    """Return whether a slot and `pieces` are free for a request of `level`."""
    spec = server.spec
    reserved = _BULK_HEADROOM if level is Level.BULK else 0.0
    slots = spec.slots - math.floor(reserved * spec.slots)
    if server.used_slots + 1 > slots:
        return False
    if spec.kv_pieces == 0:
        return True
    used = server.used_pieces + server.unaccounted_pieces
    # A request larger than the limit may run only if it is alone on the engine.
    fits_alone = server.used_slots == 0 and used + pieces <= spec.kv_pieces
    return fits_alone or used + pieces <= shared_pieces_limit(server, level)


def shared_pieces_limit(server: ServerState, level: Level) -> float:
    """Return the pieces that may be in use when a request of `level` is added."""
    reserved = _BULK_HEADROOM if level is Level.BULK else 0.0
    return server.spec.kv_pieces * (1 - reserved - _GROWTH_HEADROOM)


def reserve(server: ServerState, request_id: str, pieces: int) -> None:
    """Reserve a slot and `pieces` of memory for a request."""
    assert request_id not in server.request_ids, "an attempt is placed only once"
    server.request_ids.add(request_id)
    server.used_slots += 1
    server.used_pieces += pieces


def extend(server: ServerState, held_pieces: int, needed_pieces: int) -> int:
    """Reserve free pieces for a growing stream, and return how many it then has."""
    spec = server.spec
    added_pieces = min(
        max(0, needed_pieces - held_pieces), max(0, spec.kv_pieces - server.used_pieces)
    )
    server.used_pieces += added_pieces
    return held_pieces + added_pieces


def release(server: ServerState, request_id: str, pieces: int) -> None:
    """Free what `reserve` and `extend` reserved; a second release has no effect."""
    if request_id in server.request_ids:
        server.request_ids.discard(request_id)
        server.used_slots -= 1
        server.used_pieces -= pieces
        assert server.used_slots >= 0, "a slot was released twice"
        assert server.used_pieces >= 0, "KV memory was released twice"
