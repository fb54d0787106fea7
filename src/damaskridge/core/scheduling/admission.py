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

# A decode engine allocates this far ahead of the token that it computes.
LOOK_AHEAD_TOKENS = 32
# Kept free of delay-tolerant work, whose requests hold memory for many seconds.
_BULK_HEADROOM = 0.1
# Kept free for streams that become longer than predicted.
_GROWTH_HEADROOM = 0.02


def pieces_for(server: ServerState, prompt_tokens: int, output_tokens: int) -> int:
    """Return the KV memory that a request needs, in pieces."""
    if server.spec.kv_pieces == 0:
        return 0
    tokens = prompt_tokens + output_tokens + LOOK_AHEAD_TOKENS
    return math.ceil(tokens / server.spec.piece_tokens)


def can_reserve(server: ServerState, pieces: int, level: Level) -> bool:
    """Tell whether a slot and `pieces` are free for a request of this level."""
    spec = server.spec
    reserved = _BULK_HEADROOM if level is Level.BULK else 0.0
    slots = spec.slots - math.floor(reserved * spec.slots)
    if server.used_slots + 1 > slots:
        return False
    if spec.kv_pieces == 0:
        return True
    used = server.used_pieces + server.unaccounted_pieces
    # A request larger than the limit may run alone rather than never.
    fits_alone = server.used_slots == 0 and used + pieces <= spec.kv_pieces
    return fits_alone or used + pieces <= shared_pieces_limit(server, level)


def shared_pieces_limit(server: ServerState, level: Level) -> float:
    """Return the memory that requests of this level may fill beside others."""
    reserved = _BULK_HEADROOM if level is Level.BULK else 0.0
    return server.spec.kv_pieces * (1 - reserved - _GROWTH_HEADROOM)


def reserve(server: ServerState, request_id: str, pieces: int) -> None:
    """Take a slot and memory."""
    assert request_id not in server.request_ids, "a request is placed once per attempt"
    server.request_ids.add(request_id)
    server.used_slots += 1
    server.used_pieces += pieces


def extend(server: ServerState, held_pieces: int, needed_pieces: int) -> int:
    """Return the pieces that a longer stream holds, within what is free."""
    spec = server.spec
    added_pieces = min(
        max(0, needed_pieces - held_pieces), max(0, spec.kv_pieces - server.used_pieces)
    )
    server.used_pieces += added_pieces
    return held_pieces + added_pieces


def release(server: ServerState, request_id: str, pieces: int) -> None:
    """Free what `reserve` and `extend` took; a second release does nothing."""
    if request_id in server.request_ids:
        server.request_ids.discard(request_id)
        server.used_slots -= 1
        server.used_pieces -= pieces
        assert server.used_slots >= 0, "slots are released once"
        assert server.used_pieces >= 0, "pieces are released once"
