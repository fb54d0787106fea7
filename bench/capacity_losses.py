"""Capacity rows for lost hosts, KV transfers and sizes at which limits are reached."""

import random

import msgspec

from bench.capacity_sheet import (
    BACKEND_SERVERS,
    CELLS,
    CHANGES_PER_DAY,
    DAY_S,
    GRANT_RETENTION_S,
    HOST_LIST_ENTRY_BYTES,
    HOST_LIST_READS_PER_S,
    HOSTS,
    KV_BYTES_PER_S,
    LARGE_WORKSPACE_SHARE,
    LEDGER_SHARE,
    MAX_BYTES_PER_S,
    MAX_CORE_PERCENT,
    MAX_MEMORY_MB,
    MIN_ELECTION_TIMEOUT_MS,
    REGIONS,
    REQUESTS_PER_S,
    TOKENS_PER_S,
    TOKENS_PER_S_PER_STREAM,
    WORKSPACES,
    CapacitySheet,
)
from damaskridge.model.engine import DecodeRequest, PrefillRequest, PrefillResult
from damaskridge.model.routing import (
    Placement,
    Progress,
    RateGrant,
    RateRequest,
    RequestPhase,
    RequestProfile,
)

__all__ = ["exhaustion_rows", "kv_transfer_rows", "progress_item_bytes", "loss_rows"]


def encoded_bytes(message: object) -> int:
    return len(msgspec.msgpack.encode(message))


def sample_id(number: int = 1) -> str:
    """Return a request id of realistic length and randomness."""
    return f"entry-001-{random.Random(number).getrandbits(96):024x}"


def request_messages_bytes(prompt_tokens: int) -> int:
    """Return the size of the messages between front and owners for one request."""
    request_id = sample_id()
    messages = (
        RateRequest(
            resource="workspace/workspace-000",
            epoch=1,
            workspace="workspace-000",
            request_id=request_id,
            front="entry-001",
            cost_tokens=2000,
        ),
        RateGrant(request_id=request_id, epoch=1, valid_for_s=2.0),
        RequestProfile(
            resource="cell/cell-000",
            epoch=1,
            request_id=request_id,
            attempt=1,
            workspace="workspace-000",
            front="entry-001",
            incarnation=1 << 56,
            route="/v1/completions",
            model="model-0",
            prompt_tokens=prompt_tokens,
            max_output_tokens=500,
            prefix_hashes=tuple((1 << 62) + n for n in range(prompt_tokens // 64)),
            fingerprint="0" * 32,
        ),
        Placement(
            request_id=request_id,
            attempt=1,
            epoch=1,
            prefill_server="engine-00001",
            prefill_address="10.1.0.1:8000",
            decode_server="engine-00002",
            decode_address="10.1.0.2:8000",
        ),
    )
    return sum(map(encoded_bytes, messages))


def progress_item_bytes() -> int:
    """Return the encoded size of the progress of one stream."""
    item = Progress(
        request_id=sample_id(),
        attempt=1,
        phase=RequestPhase.DECODING,
        output_tokens=500,
    )
    return encoded_bytes(item)


def engine_messages_bytes() -> int:
    """Return the bytes of engine messages per KV transfer, without the prompt."""
    engine_request_id = f"{sample_id()}.1"
    messages = (
        PrefillRequest(engine_request_id, "model-0", ""),
        PrefillResult(engine_request_id, 8000, 0, 500, 1 << 30, 800),
        DecodeRequest(engine_request_id, "model-0", "10.1.0.1:8000", 0, 500),
    )
    return sum(len(msgspec.json.encode(message)) for message in messages)


def loss_rows(sheet: CapacitySheet) -> None:
    """Add the costs of losing a rack, a data centre or a region."""
    role = "loss"
    resources_per_host = (WORKSPACES + CELLS) / HOSTS
    delta = sheet.cost_at("session_loss_bytes_per_resource", resources_per_host)
    loss_ms = sheet.cost_at("session_loss_us_per_host", HOSTS) / 1e3
    streams = TOKENS_PER_S / TOKENS_PER_S_PER_STREAM / HOSTS
    for name, hosts in (
        ("rack", 14),
        ("data centre", 28),
        ("region", HOSTS // REGIONS),
    ):
        remaining_hosts = HOSTS - hosts
        resources = hosts * resources_per_host
        sheet.add_row(role, f"{name}: hosts", "", hosts, "1")
        sheet.add_row(role, f"{name}: owners to move", "0.9 a host", resources, "1")
        sheet.add_row(
            role, f"{name}: expiry at the leader", "each loss", hosts * loss_ms, "ms"
        )
        sheet.add_row(
            role,
            f"{name}: deltas to each remaining host",
            "losses times their bytes",
            hosts * delta / 1e3,
            "kB",
        )
        sheet.add_row(
            role,
            f"{name}: questions to each remaining front",
            "one for each moved owner",
            resources,
            "calls",
        )
        sheet.add_row(
            role,
            f"{name}: questions of a new owner of one resource",
            "remaining hosts",
            remaining_hosts,
            "calls",
        )
        sheet.add_row(
            role,
            f"{name}: streams resumed by each remaining host",
            "streams of the lost fronts",
            hosts * streams / remaining_hosts,
            "streams",
        )


def kv_transfer_rows(sheet: CapacitySheet) -> None:
    """Add the KV cache size of one request and the messages about its transfer."""
    role = "kv"
    prompt = int(KV_BYTES_PER_S / REQUESTS_PER_S / 131_072)
    sheet.add_row(
        role, "KV cache of one request", "2,900 GB/s over 2,800/s", 1035.7, "MB"
    )
    sheet.add_row(role, "its prompt", "at 131,072 B a token", prompt, "tokens")
    sheet.add_row(
        role,
        "messages of front and engines about it, less the prompt",
        "encoded",
        engine_messages_bytes(),
        "B",
    )
    sheet.add_row(
        role,
        "messages of front and owners for it",
        "encoded; grows by 9 B per 64 tokens",
        request_messages_bytes(prompt),
        "B",
    )
    sheet.add_limited(
        role,
        "the latter on one host",
        "7.2 requests/s",
        request_messages_bytes(prompt) * REQUESTS_PER_S / HOSTS,
        "B/s",
        MAX_BYTES_PER_S,
    )


def exhaustion_rows(sheet: CapacitySheet) -> None:
    """Add the sizes at which the current mechanisms reach a limit."""
    role = "ends"

    def add_exhaustion(
        line: str, limit: str, size: float, unit: str, needed: float
    ) -> None:
        """Add a row with the size at which a limit is reached."""
        # A negative size means that the base cost alone exceeds the limit.
        how = f"{limit}; needed: {needed:,.4g}"
        sheet.add_row(role, line, how, max(0.0, size), unit)

    def size_at_limit(name: str, limit: float) -> float:
        """Return the size at which the fitted cost reaches the limit."""
        slope = sheet.slopes[name]
        return (limit - slope.at_zero) / slope.value

    names = MAX_BYTES_PER_S / HOST_LIST_READS_PER_S / HOST_LIST_ENTRY_BYTES
    add_exhaustion(
        "platform's host list", "12 KB/s", names, "names", HOSTS + BACKEND_SERVERS
    )
    engines = MAX_CORE_PERCENT / sheet.cost_per_unit("poll_core")
    add_exhaustion(
        "polled engines of one owner", "2.7% of a core", engines, "engines", 20
    )
    grants = MAX_MEMORY_MB * 1e6 / sheet.cost_per_unit("rate_owner_bytes_per_grant")
    large_grants_per_s = REQUESTS_PER_S * LARGE_WORKSPACE_SHARE
    grants /= GRANT_RETENTION_S
    add_exhaustion(
        "grants of one rate owner kept for 1 h",
        "64 MB",
        grants,
        "1/s",
        large_grants_per_s,
    )
    hosts = size_at_limit("leader_idle_core", MAX_CORE_PERCENT)
    add_exhaustion("sessions of one leader", "2.7% of a core", hosts, "hosts", HOSTS)
    names_by_direction = (
        "host_idle_in",
        "host_idle_out",
        "member_idle_in",
        "member_idle_out",
    )
    slopes = [sheet.slopes[f"{name}_bytes"] for name in names_by_direction]
    base = sum(slope.at_zero for slope in slopes)
    hosts = (MAX_BYTES_PER_S - base) / sum(slope.value for slope in slopes)
    add_exhaustion("sessions of one leader", "12 KB/s", hosts, "hosts", HOSTS)
    hosts = size_at_limit("roll_us_per_host", MIN_ELECTION_TIMEOUT_MS / 2 * 1e3)
    add_exhaustion(
        "stall of a roll", "half the least election timeout", hosts, "hosts", HOSTS
    )
    proposal_bytes = sheet.cost_at("propose_bytes_per_runner", BACKEND_SERVERS)
    rolls = MAX_BYTES_PER_S / proposal_bytes * DAY_S
    add_exhaustion(
        "whole bundles in the log", "12 KB/s", rolls, "rolls a day", CHANGES_PER_DAY
    )
    call_bytes = sheet.cost_per_unit("control_state_bytes_per_ledger_call")
    calls = REQUESTS_PER_S * LEDGER_SHARE
    call_rate = MAX_MEMORY_MB * 1e6 / call_bytes / DAY_S
    add_exhaustion("ledger calls kept for 24 h", "64 MB", call_rate, "1/s", calls)
    max_commits_per_s = max(
        rate for _, rate in sheet.slopes["ledger_commits_per_s"].points
    )
    add_exhaustion(
        "ledger calls of one group",
        "most commits measured",
        max_commits_per_s / 2,
        "1/s",
        calls,
    )
    per_token = sheet.cost_per_unit("front_ms_per_request")
    tokens = 1e3 / per_token
    add_exhaustion(
        "tokens of one front", "one core", tokens, "1/s", TOKENS_PER_S / HOSTS
    )
