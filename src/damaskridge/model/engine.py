"""Requests, responses and orders of the HTTP interface of model engines.

A prompt is split into blocks of `PREFIX_BLOCK_BYTES`. Engines identify a cached prefix
by the chained hashes of its blocks, so that each hash covers all blocks before it.

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

# Average for estimates without a tokenizer.
BYTES_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 256


class EnginePhase(Enum):
    """Phase of a request on an engine."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    EXPORTED = "exported"
    IMPORTING = "importing"
    DECODING = "decoding"
    FINISHED = "finished"


class PrefillRequest(msgspec.Struct, frozen=True):
    """
    Requests an engine to compute the KV cache of a prompt and keep it for export.

    Parameters
    ----------
    engine_request_id : str
        Text of an `EngineRequestId`.
    model : str
        Name of the model.
    prompt : str
        The complete prompt, including the output of earlier attempts.
    priority : int
        Smaller numbers run first.
    """

    engine_request_id: str
    model: str
    prompt: str
    priority: int = 0


class PrefillResult(msgspec.Struct, frozen=True):
    """
    The KV cache that a prefill has made available for export.

    Parameters
    ----------
    engine_request_id : str
        Identifier of the prefill.
    prompt_tokens : int
        Length of the prompt.
    cached_tokens : int
        Tokens of the prompt that were already in the engine's prefix cache.
    kv_pieces : int
        Size of the KV cache in blocks.
    kv_bytes : int
        Size of the KV cache in bytes.
    hold_ms : int
        Time after which the engine evicts the KV cache.
    """

    engine_request_id: str
    prompt_tokens: int
    cached_tokens: int
    kv_pieces: int
    kv_bytes: int
    hold_ms: int


class DecodeRequest(msgspec.Struct, frozen=True):
    """
    Requests an engine to import an exported KV cache and generate output.

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
        Maximum number of tokens that this attempt generates.
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
    """One output token at `offset`; the last chunk has only a finish reason."""

    offset: int
    text: str = ""
    finish_reason: str | None = None


class EngineRequestStatus(msgspec.Struct, frozen=True):
    """
    One request in the list that an engine keeps of its requests.

    Parameters
    ----------
    engine_request_id : str
        Text of an `EngineRequestId`.
    phase : EnginePhase
        Phase of the request.
    kv_pieces : int
        KV cache in use, in blocks.
    next_offset : int
        Offset of the next output token.
    """

    engine_request_id: str
    phase: EnginePhase
    kv_pieces: int
    next_offset: int


class LoadReport(msgspec.Struct, frozen=True):
    """
    The load of an engine, as measured `age_s` ago.

    Parameters
    ----------
    incarnation : int
        Identifies the process; it changes with every restart.
    age_s : float
        Age of the measurement, in seconds.
    running : int
        Number of running requests.
    queued_prefill_tokens : int
        Prompt tokens that are not prefilled yet.
    free_kv_pieces : int
        Free KV cache, in blocks.
    role : str
        Present role of the engine.
    models : tuple[str, ...]
        Loaded models.
    """

    incarnation: int
    age_s: float
    running: int
    queued_prefill_tokens: int
    free_kv_pieces: int
    role: str = ""
    models: tuple[str, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block was added to (`cached`) or evicted from an engine's cache."""

    sequence: int
    block_hash: int
    cached: bool


class CacheEventPage(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; `gap` is set if events were lost."""

    events: tuple[CacheEvent, ...]
    gap: bool = False


class OrderKind(Enum):
    """The change that an order makes to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class Order(msgspec.Struct, frozen=True):
    """
    An order to an engine.

    Parameters
    ----------
    kind : OrderKind
        The change to make.
    value : str
        Name of the model, adapter or role.
    fencing_number : int
        Number that increases with every order of a cell. An engine that checks it
        refuses orders with a lower number than it has accepted, which come from an
        earlier owner of the cell.
    """

    kind: OrderKind
    value: str
    fencing_number: int


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens of `text`, rounded up."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prefix_block_hashes(text: str) -> tuple[int, ...]:
    """Return the chained 64-bit hashes of the complete blocks of `text`."""
    data = text.encode()
    hashes: list[int] = []
    chain = b""
    whole_bytes = len(data) - len(data) % PREFIX_BLOCK_BYTES
    for start in range(0, whole_bytes, PREFIX_BLOCK_BYTES):
        block = data[start : start + PREFIX_BLOCK_BYTES]
        chain = hashlib.blake2b(chain + block, digest_size=8).digest()
        hashes.append(int.from_bytes(chain, "big"))
    return tuple(hashes)
