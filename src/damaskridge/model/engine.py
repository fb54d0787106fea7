"""Operations of model engines, as the system sees them.

The text of a prompt is cut into blocks of `PREFIX_BLOCK_BYTES`; engines name
cached prefixes by the chained hashes of these blocks.

>>> a, b = prefix_block_hashes("x" * 512)
>>> prefix_block_hashes("x" * 300) == (a,)
True
>>> estimate_tokens("four bytes a token")
5
"""

import hashlib
from enum import Enum

import msgspec

__all__ = [
    "BYTES_PER_TOKEN",
    "PREFIX_BLOCK_BYTES",
    "CacheEvent",
    "CacheEventPage",
    "DecodeChunk",
    "DecodeRequest",
    "EnginePhase",
    "EngineRequestStatus",
    "LoadReport",
    "Order",
    "OrderKind",
    "PrefillRequest",
    "PrefillResult",
    "estimate_tokens",
    "prefix_block_hashes",
]

BYTES_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 256


class EnginePhase(Enum):
    """Where an engine is with a request."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    EXPORTED = "exported"
    IMPORTING = "importing"
    DECODING = "decoding"
    FINISHED = "finished"


class PrefillRequest(msgspec.Struct, frozen=True):
    """
    Computes a prompt's KV cache and keeps it for export.

    Parameters
    ----------
    engine_request_id : str
        Text of an `EngineRequestId`.
    model : str
        Name of the model.
    prompt : str
        The whole prompt, including output of earlier attempts.
    priority : int
        Smaller numbers run first.
    """

    engine_request_id: str
    model: str
    prompt: str
    priority: int = 0


class PrefillResult(msgspec.Struct, frozen=True):
    """The exported KV cache; the engine evicts it after `hold_ms`."""

    engine_request_id: str
    prompt_tokens: int
    cached_tokens: int
    kv_pieces: int
    kv_bytes: int
    hold_ms: int


class DecodeRequest(msgspec.Struct, frozen=True):
    """
    Imports an exported KV cache and generates output.

    Parameters
    ----------
    engine_request_id : str
        The same identifier as for the prefill.
    model : str
        Name of the model.
    prefill_address : str
        ``ip:port`` of the engine that holds the exported KV cache.
    first_offset : int
        Offset of the first token that this attempt generates.
    max_output_tokens : int
        Most tokens that this attempt may generate.
    priority : int
        Smaller numbers run first.
    """

    engine_request_id: str
    model: str
    prefill_address: str
    first_offset: int
    max_output_tokens: int
    priority: int = 0


class DecodeChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One output token at `offset`; the last chunk has a finish reason, no text."""

    offset: int
    text: str = ""
    finish_reason: str | None = None


class EngineRequestStatus(msgspec.Struct, frozen=True):
    """One entry of an engine's own list of requests."""

    engine_request_id: str
    phase: EnginePhase
    kv_pieces: int
    next_offset: int


class LoadReport(msgspec.Struct, frozen=True):
    """
    An engine's load some time ago.

    Parameters
    ----------
    incarnation : int
        Changes when the engine's process restarts.
    age_s : float
        How old the numbers are.
    running : int
        Requests that run.
    queued_prefill_tokens : int
        Prompt tokens not yet computed.
    free_kv_pieces : int
        Free KV memory.
    role : str
        The role that the engine has now.
    models : tuple[str, ...]
        Models that are loaded.
    """

    incarnation: int
    age_s: float
    running: int
    queued_prefill_tokens: int
    free_kv_pieces: int
    role: str = ""
    models: tuple[str, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block that entered (`cached`) or left an engine's cache."""

    sequence: int
    block_hash: int
    cached: bool


class CacheEventPage(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; `gap` if some were lost."""

    events: tuple[CacheEvent, ...]
    gap: bool = False


class OrderKind(Enum):
    """What an order changes on an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class Order(msgspec.Struct, frozen=True):
    """An order to an engine; engines that check refuse an old fencing number."""

    kind: OrderKind
    value: str
    fencing_number: int


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of `text`, rounded up."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prefix_block_hashes(text: str) -> tuple[int, ...]:
    """Return the chained 64-bit hashes of the whole blocks of `text`."""
    data = text.encode()
    hashes: list[int] = []
    chain = b""
    whole_bytes = len(data) - len(data) % PREFIX_BLOCK_BYTES
    for start in range(0, whole_bytes, PREFIX_BLOCK_BYTES):
        block = data[start : start + PREFIX_BLOCK_BYTES]
        chain = hashlib.blake2b(chain + block, digest_size=8).digest()
        hashes.append(int.from_bytes(chain, "big"))
    return tuple(hashes)
