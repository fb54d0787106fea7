"""Derives the cost of each role at the size of section 1.4 from measured slopes."""

from collections import Counter
from collections.abc import Mapping

from bench.capacity_losses import (
    exhaustion_rows,
    kv_transfer_rows,
    loss_rows,
    progress_item_bytes,
)
from bench.capacity_sheet import (
    BACKEND_SERVERS,
    CELLS,
    CHANGES_PER_DAY,
    CONTROL_HOSTS,
    DAY_S,
    FAILURES_PER_DAY,
    GRANT_RETENTION_S,
    HOST_LIST_ENTRY_BYTES,
    HOST_LIST_READS_PER_S,
    HOSTS,
    LARGE_WORKSPACE_SHARE,
    LEDGER_SHARE,
    MAX_BYTES_PER_S,
    MAX_CONTROL_HOSTS,
    MAX_CORE_PERCENT,
    MAX_IN_FORCE_MS,
    MAX_MEMORY_MB,
    MIN_ELECTION_TIMEOUT_MS,
    RENEWALS_PER_S,
    REPLACEMENTS_PER_DAY,
    REQUESTS_PER_S,
    STORED_PROPOSALS,
    STORED_VERSIONS,
    TOKENS_PER_S,
    TOKENS_PER_S_PER_STREAM,
    WORKSPACES,
    CapacitySheet,
    Row,
)
from bench.slope_fit import Slope
from bench.slopes_state import build_state

__all__ = ["capacity_rows"]


def largest_shares() -> tuple[int, int, int]:
    """Return the maximum of workspaces, cells and backend servers owned by a host."""
    data = build_state(BACKEND_SERVERS, WORKSPACES, HOSTS).state.data
    sizes = Counter(server.cell for server in data.bundle.backend_servers)
    workspaces: Counter[str] = Counter()
    cells: Counter[str] = Counter()
    backend_servers: Counter[str] = Counter()
    for owner in data.owners.values():
        kind, _, name = owner.resource.partition("/")
        (workspaces if kind == "workspace" else cells)[owner.host] += 1
        backend_servers[owner.host] += sizes[name] if kind == "cell" else 0
    return max(workspaces.values()), max(cells.values()), max(backend_servers.values())


def front_rows(sheet: CapacitySheet) -> None:
    """Add the costs of an entry host as a front."""
    role = "front"
    view_mb = sheet.state_mb("fleet_view_bytes")
    sheet.add_row(
        role, "fleet view", "1,700, 270 and 390 times its bytes", view_mb, "MB"
    )
    rss_mb = sheet.cost_at_largest_size("entry_rss")
    sheet.add_limited(
        role,
        "memory at idle with the view",
        "`entry_rss` at the largest size measured, plus the view",
        rss_mb + view_mb,
        "MB",
        MAX_MEMORY_MB,
    )
    sent_bytes_per_s = sheet.cost_per_unit("host_idle_in_bytes")
    sheet.add_row(role, "renewals out", "`host_idle_in_bytes`", sent_bytes_per_s, "B/s")
    received_bytes_per_s = sheet.cost_per_unit("host_idle_out_bytes")
    sheet.add_row(
        role, "renewals in", "`host_idle_out_bytes`", received_bytes_per_s, "B/s"
    )
    rolls_per_s = CHANGES_PER_DAY / DAY_S
    delta_bytes_per_s = sheet.cost_per_unit("host_bytes_per_roll") * rolls_per_s
    sheet.add_row(
        role,
        "deltas of 4,600 rolls a day",
        "per roll, over a day",
        delta_bytes_per_s,
        "B/s",
    )
    losses_per_s = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / DAY_S
    resources_per_host = (WORKSPACES + CELLS) / HOSTS
    moved_bytes_per_s = (
        sheet.cost_at("session_loss_bytes_per_resource", resources_per_host)
        * 3
        * losses_per_s
    )
    sheet.add_row(
        role,
        "deltas of 265 lost hosts a day",
        "loss, return and release of 0.9 resources",
        moved_bytes_per_s,
        "B/s",
    )
    total_bytes_per_s = (
        sent_bytes_per_s + received_bytes_per_s + delta_bytes_per_s + moved_bytes_per_s
    )
    sheet.add_limited(
        role,
        "traffic with the control group",
        "sum of the four lines above",
        total_bytes_per_s,
        "B/s",
        MAX_BYTES_PER_S,
    )
    listed_bytes_per_s = (
        HOST_LIST_READS_PER_S * (HOSTS + BACKEND_SERVERS) * HOST_LIST_ENTRY_BYTES
    )
    sheet.add_limited(
        role,
        "platform's host list",
        f"2 reads/s of 2,090 names of {HOST_LIST_ENTRY_BYTES} B",
        listed_bytes_per_s,
        "B/s",
        MAX_BYTES_PER_S,
    )
    idle_core = sheet.cost_at_largest_size("entry_idle_core")
    roll_us = sheet.cost_at("view_roll_us_per_runner", BACKEND_SERVERS) * rolls_per_s
    sheet.add_limited(
        role,
        "control work at idle with an empty host list",
        "`entry_idle_core` at the largest size measured, plus rolls",
        idle_core + roll_us / 1e4,
        "% of a core",
        MAX_CORE_PERCENT,
    )
    sheet.add_limited(
        role,
        "the same with a host list of 2,090 names",
        "`host_list_core` at 2,090",
        sheet.cost_at("host_list_core", HOSTS + BACKEND_SERVERS) + roll_us / 1e4,
        "% of a core",
        MAX_CORE_PERCENT,
    )
    requests_per_s = REQUESTS_PER_S / HOSTS
    sheet.add_row(role, "requests", "2,800 over 390 hosts", requests_per_s, "1/s")
    sheet.add_row(role, "tokens", "1.3 million over 390", TOKENS_PER_S / HOSTS, "1/s")
    streams = TOKENS_PER_S / TOKENS_PER_S_PER_STREAM / HOSTS
    sheet.add_row(role, "streams", "at 20 tokens/s each", streams, "streams")
    per_token = sheet.cost_per_unit("front_ms_per_request")
    sheet.add_row(
        role,
        "requests, all three roles in one process",
        "`front_ms_per_request` at size 0",
        requests_per_s * max(0.0, sheet.cost_at("front_ms_per_request", 0)) / 10,
        "% of a core",
    )
    sheet.add_limited(
        role,
        "token relay at an even spread, one process a host",
        "tokens times `front_ms_per_request` per token",
        TOKENS_PER_S / HOSTS * per_token / 10,
        "% of a core",
        100.0,
    )


def owner_rows(sheet: CapacitySheet) -> None:
    """Add the costs of an entry host as an owner of workspaces and of cells."""
    workspaces, cells, backend_servers = largest_shares()
    role = "workspace owner"
    mean_grants_per_s = REQUESTS_PER_S / WORKSPACES
    large_grants_per_s = REQUESTS_PER_S * LARGE_WORKSPACE_SHARE
    grant_us, grant_bytes = (
        sheet.cost_per_unit("rate_owner_us_per_grant"),
        sheet.cost_per_unit("rate_owner_bytes_per_grant"),
    )
    call_ms = sheet.cost_per_unit("leader_ms_per_commit")
    sheet.add_row(role, "most workspaces on a host", "rendezvous hash", workspaces, "1")
    sheet.add_row(
        role, "grants of a mean workspace", "2,800 over 270", mean_grants_per_s, "1/s"
    )
    sheet.add_row(
        role, "grants of a very large one", "30% of 2,800", large_grants_per_s, "1/s"
    )
    sheet.add_row(
        role,
        "its decisions",
        "grants times `rate_owner_us_per_grant`",
        large_grants_per_s * grant_us / 1e4,
        "% of a core",
    )
    sheet.add_limited(
        role,
        "its decisions with an RPC each",
        "plus `leader_ms_per_commit` as the upper bound of an RPC",
        large_grants_per_s * (grant_us / 1e3 + call_ms) / 10,
        "% of a core",
        100.0,
    )
    sheet.add_limited(
        role,
        "memory for grants of the most mean workspaces on a host",
        "1 h of grants times `rate_owner_bytes_per_grant`",
        workspaces * mean_grants_per_s * GRANT_RETENTION_S * grant_bytes / 1e6,
        "MB",
        MAX_MEMORY_MB,
    )
    sheet.add_limited(
        role,
        "memory for grants of the very large workspace",
        "the same",
        large_grants_per_s * GRANT_RETENTION_S * grant_bytes / 1e6,
        "MB",
        MAX_MEMORY_MB,
    )
    cell_rows(sheet, cells, backend_servers)


def cell_rows(sheet: CapacitySheet, cells: int, backend_servers: int) -> None:
    """Add the costs of the owner of the most cells and backend servers."""
    role = "backend server owner"
    sheet.add_row(role, "most cells on a host", "rendezvous hash of 84", cells, "1")
    sheet.add_row(
        role, "most backend servers on a host", "of 1,700", backend_servers, "1"
    )
    sheet.add_limited(
        role,
        "polling of its engines",
        "servers times `poll_core`",
        backend_servers * sheet.cost_per_unit("poll_core"),
        "% of a core",
        MAX_CORE_PERCENT,
    )
    rate = REQUESTS_PER_S / CELLS * cells
    decide_us = sheet.cost_at("cell_us_per_request_by_runner", backend_servers)
    sheet.add_row(role, "placements", "2,800 over 84 cells", rate, "1/s")
    sheet.add_row(
        role,
        "decisions",
        "placements times `cell_us_per_request_by_runner`",
        rate * decide_us / 1e4,
        "% of a core",
    )
    items = TOKENS_PER_S / TOKENS_PER_S_PER_STREAM / CELLS * cells
    sheet.add_row(
        role,
        "progress of its streams, once a second",
        "streams times `cell_us_per_progress_item`",
        items * sheet.cost_per_unit("cell_us_per_progress_item") / 1e4,
        "% of a core",
    )
    sheet.add_limited(
        role,
        "progress in",
        f"streams times {progress_item_bytes()} B",
        items * progress_item_bytes(),
        "B/s",
        MAX_BYTES_PER_S,
    )
    memory_bytes = backend_servers * sheet.cost_per_unit("cell_bytes_per_runner")
    memory_bytes += items * sheet.cost_per_unit("cell_bytes_per_request")
    sheet.add_limited(
        role, "memory", "servers and streams", memory_bytes / 1e6, "MB", MAX_MEMORY_MB
    )


def leader_rows(sheet: CapacitySheet) -> None:
    """Add the costs of the leader of the control group."""
    role = "leader"
    state_mb = sheet.state_mb("control_state_bytes")
    state_mb += (
        STORED_VERSIONS * sheet.cost_per_unit("control_state_bytes_per_version") / 1e6
    )
    sheet.add_row(
        role, "state without proposals and ledger", "as above", state_mb, "MB"
    )
    proposals_mb = (
        STORED_PROPOSALS
        * sheet.cost_per_unit("control_state_bytes_per_full_proposal")
        / 1e6
    )
    sheet.add_row(
        role, "20 proposals not in force", "whole bundles", proposals_mb, "MB"
    )
    sheet.add_limited(
        role,
        "memory with them",
        "`leader_rss` at the largest size, plus both",
        sheet.cost_at_largest_size("leader_rss") + state_mb + proposals_mb,
        "MB",
        MAX_MEMORY_MB,
    )
    sheet.add_limited(
        role,
        "sessions of 390 hosts",
        "`leader_idle_core` at 390",
        sheet.cost_at("leader_idle_core", HOSTS),
        "% of a core",
        MAX_CORE_PERCENT,
    )
    sheet.add_row(role, "renewals in", "390 over 0.75 s", HOSTS * RENEWALS_PER_S, "1/s")
    host_bytes_per_s = sum(
        sheet.cost_at(f"host_idle_{way}_bytes", HOSTS) for way in ("in", "out")
    )
    member_bytes_per_s = sum(
        sheet.cost_at(f"member_idle_{way}_bytes", HOSTS) for way in ("in", "out")
    )
    sheet.add_row(
        role, "bytes to and from hosts", "both at 390", host_bytes_per_s, "B/s"
    )
    sheet.add_row(
        role, "bytes between control hosts", "both at 390", member_bytes_per_s, "B/s"
    )
    sheet.add_limited(
        role,
        "bytes in and out at idle",
        "both lines above",
        host_bytes_per_s + member_bytes_per_s,
        "B/s",
        MAX_BYTES_PER_S,
    )
    apply_ms = sheet.cost_at("roll_us_per_host", HOSTS) / 1e3
    sheet.add_limited(
        role,
        "stall while one roll is applied, on all control hosts",
        "`roll_us_per_host` at 390, against the least election timeout",
        apply_ms,
        "ms",
        MIN_ELECTION_TIMEOUT_MS / 2,
    )
    stream_ms = sheet.cost_at("leader_ms_per_roll", HOSTS)
    sheet.add_row(
        role, "streams of one roll", "`leader_ms_per_roll` at 390", stream_ms, "ms"
    )
    sheet.add_limited(
        role,
        "a roll in force on 390 hosts",
        "`in_force_ms` at 390, plus the stall and `view_roll_us_per_runner`",
        max(0.0, sheet.cost_at("in_force_ms", HOSTS))
        + apply_ms
        + sheet.cost_at("view_roll_us_per_runner", BACKEND_SERVERS) / 1e3,
        "ms",
        MAX_IN_FORCE_MS,
    )
    rolls_per_s = CHANGES_PER_DAY / DAY_S
    sheet.add_row(
        role,
        "rolls, over a day",
        "stall and streams, 4,600 times",
        rolls_per_s * (apply_ms + stream_ms) / 10,
        "% of a core",
    )
    session_ms = sheet.cost_at("session_loss_us_per_host", HOSTS)
    session_ms = (session_ms + sheet.cost_at("session_open_us_per_host", HOSTS)) / 1e3
    sheet.add_row(role, "a host lost and back", "both at 390", session_ms, "ms")
    losses_per_s = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / DAY_S
    sheet.add_row(
        role,
        "265 of them, over a day",
        "",
        losses_per_s * session_ms / 10,
        "% of a core",
    )
    log_rows(sheet, rolls_per_s)


def log_rows(sheet: CapacitySheet, rolls_per_s: float) -> None:
    """Add the costs of followers and of the ledger."""
    role = "follower"
    logged_bytes_per_s = (
        sheet.cost_at("propose_bytes_per_runner", BACKEND_SERVERS) * rolls_per_s
    )
    sheet.add_row(
        role,
        "one proposal in the log",
        "whole bundle",
        sheet.cost_at("propose_bytes_per_runner", BACKEND_SERVERS) / 1e3,
        "kB",
    )
    sheet.add_limited(
        role,
        "log of 4,600 proposals a day",
        "mean rate to each follower",
        logged_bytes_per_s,
        "B/s",
        MAX_BYTES_PER_S,
    )
    sheet.add_limited(
        role,
        "follower at idle",
        "`follower_idle_core` at the largest size measured",
        sheet.cost_at_largest_size("follower_idle_core"),
        "% of a core",
        MAX_CORE_PERCENT,
    )
    role = "ledger"
    calls_per_s = REQUESTS_PER_S * LEDGER_SHARE
    max_commits_per_s = max(
        rate for _, rate in sheet.slopes["ledger_commits_per_s"].points
    )
    sheet.add_row(
        role, "commits of one group", "most measured", max_commits_per_s, "1/s"
    )
    sheet.add_limited(
        role,
        "commits if 5% of requests must not be repeated",
        "2 for each of 140 calls/s",
        2 * calls_per_s,
        "1/s",
        max_commits_per_s,
    )
    call_bytes = sheet.cost_per_unit("control_state_bytes_per_ledger_call")
    sheet.add_limited(
        role,
        "memory of 24 h of them",
        "`control_state_bytes_per_ledger_call`",
        calls_per_s * DAY_S * call_bytes / 1e6,
        "MB",
        MAX_MEMORY_MB,
    )
    sheet.add_row(
        role,
        "calls that fit in 32 MB for 24 h",
        "32 MB over a call's bytes, over a day",
        32e6 / call_bytes / DAY_S,
        "1/s",
    )


ROW_BUILDERS = (
    front_rows,
    owner_rows,
    leader_rows,
    loss_rows,
    kv_transfer_rows,
    exhaustion_rows,
)


def capacity_rows(slopes: Mapping[str, Slope]) -> list[Row]:
    """Return all rows of the tables in docs/CAPACITY.md."""
    sheet = CapacitySheet(slopes)
    for add_row in ROW_BUILDERS:
        add_row(sheet)
    sheet.add_limited(
        "follower",
        "hosts reserved for control",
        "one group of 5",
        CONTROL_HOSTS,
        "hosts",
        MAX_CONTROL_HOSTS,
    )
    return sheet.rows
