"""Derives each role's cost at the size of section 1.4 from the measured slopes."""

from collections import Counter
from collections.abc import Mapping

from bench.capacity_losses import end_rows, kv_rows, progress_item_bytes, region_rows
from bench.capacity_sheet import (
    BYTES_LIMIT_PER_S,
    CELLS,
    CHANGES_PER_DAY,
    CONTROL_HOSTS,
    CONTROL_HOSTS_LIMIT,
    CORE_LIMIT_PERCENT,
    DAY_S,
    FAILURES_PER_DAY,
    GRANT_RETENTION_S,
    HOSTS,
    IN_FORCE_LIMIT_MS,
    KEPT_PROPOSALS,
    KEPT_VERSIONS,
    LARGE_WORKSPACE_SHARE,
    LEAST_ELECTION_MS,
    LEDGER_SHARE,
    LIST_READS_PER_S,
    MEMORY_LIMIT_MB,
    NAME_BYTES,
    RENEWALS_PER_S,
    REPLACEMENTS_PER_DAY,
    REQUESTS_PER_S,
    RUNNERS,
    TOKENS_PER_S,
    TOKENS_PER_S_PER_STREAM,
    WORKSPACES,
    Row,
    Sheet,
)
from bench.slope_fit import Slope
from bench.slopes_state import fleet

__all__ = ["capacity_rows"]


def largest_shares() -> tuple[int, int, int]:
    """Return the most workspaces, cells and runners that one of 390 hosts owns."""
    data = fleet(RUNNERS, WORKSPACES, HOSTS).state.data
    sizes = Counter(server.cell for server in data.bundle.backend_servers)
    spaces: Counter[str] = Counter()
    cells: Counter[str] = Counter()
    runners: Counter[str] = Counter()
    for owner in data.owners.values():
        kind, _, name = owner.resource.partition("/")
        (spaces if kind == "workspace" else cells)[owner.host] += 1
        runners[owner.host] += sizes[name] if kind == "cell" else 0
    return max(spaces.values()), max(cells.values()), max(runners.values())


def front_rows(sheet: Sheet) -> None:
    role = "front"
    view_mb = sheet.state_mb("fleet_view_bytes")
    sheet.add(role, "fleet view", "1,700, 270 and 390 times its bytes", view_mb, "MB")
    rss = sheet.largest("entry_rss")
    sheet.hold(
        role,
        "memory at idle with the view",
        "`entry_rss` at the largest size measured, plus the view",
        rss + view_mb,
        "MB",
        MEMORY_LIMIT_MB,
    )
    sent = sheet.per("host_idle_in_bytes")
    sheet.add(role, "renewals out", "`host_idle_in_bytes`", sent, "B/s")
    got = sheet.per("host_idle_out_bytes")
    sheet.add(role, "renewals in", "`host_idle_out_bytes`", got, "B/s")
    rolls = CHANGES_PER_DAY / DAY_S
    deltas = sheet.per("host_bytes_per_roll") * rolls
    sheet.add(
        role, "deltas of 4,600 rolls a day", "per roll, over a day", deltas, "B/s"
    )
    losses = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / DAY_S
    moved = (WORKSPACES + CELLS) / HOSTS
    moves = sheet.at("session_loss_bytes_per_resource", moved) * 3 * losses
    sheet.add(
        role,
        "deltas of 265 lost hosts a day",
        "loss, return and release of 0.9 resources",
        moves,
        "B/s",
    )
    total = sent + got + deltas + moves
    sheet.hold(
        role,
        "traffic with the control group",
        "sum of the four lines above",
        total,
        "B/s",
        BYTES_LIMIT_PER_S,
    )
    listed = LIST_READS_PER_S * (HOSTS + RUNNERS) * NAME_BYTES
    sheet.hold(
        role,
        "platform's host list",
        f"2 reads/s of 2,090 names of {NAME_BYTES} B",
        listed,
        "B/s",
        BYTES_LIMIT_PER_S,
    )
    idle = sheet.largest("entry_idle_core")
    roll_us = sheet.at("view_roll_us_per_runner", RUNNERS) * rolls
    sheet.hold(
        role,
        "control work at idle with an empty host list",
        "`entry_idle_core` at the largest size measured, plus rolls",
        idle + roll_us / 1e4,
        "% of a core",
        CORE_LIMIT_PERCENT,
    )
    sheet.hold(
        role,
        "the same with a host list of 2,090 names",
        "`host_list_core` at 2,090",
        sheet.at("host_list_core", HOSTS + RUNNERS) + roll_us / 1e4,
        "% of a core",
        CORE_LIMIT_PERCENT,
    )
    rate = REQUESTS_PER_S / HOSTS
    sheet.add(role, "requests", "2,800 over 390 hosts", rate, "1/s")
    sheet.add(role, "tokens", "1.3 million over 390", TOKENS_PER_S / HOSTS, "1/s")
    streams = TOKENS_PER_S / TOKENS_PER_S_PER_STREAM / HOSTS
    sheet.add(role, "streams", "at 20 tokens/s each", streams, "streams")
    per_token = sheet.per("front_ms_per_request")
    sheet.add(
        role,
        "requests, all three roles in one process",
        "`front_ms_per_request` at size 0",
        rate * max(0.0, sheet.at("front_ms_per_request", 0)) / 10,
        "% of a core",
    )
    sheet.hold(
        role,
        "token relay at an even spread, one process a host",
        "tokens times `front_ms_per_request` per token",
        TOKENS_PER_S / HOSTS * per_token / 10,
        "% of a core",
        100.0,
    )


def owner_rows(sheet: Sheet) -> None:
    spaces, cells, runners = largest_shares()
    role = "workspace owner"
    rate = REQUESTS_PER_S / WORKSPACES
    large = REQUESTS_PER_S * LARGE_WORKSPACE_SHARE
    grant_us, grant_bytes = (
        sheet.per("rate_owner_us_per_grant"),
        sheet.per("rate_owner_bytes_per_grant"),
    )
    call_ms = sheet.per("leader_ms_per_commit")
    sheet.add(role, "most workspaces on a host", "rendezvous hash", spaces, "1")
    sheet.add(role, "grants of a mean workspace", "2,800 over 270", rate, "1/s")
    sheet.add(role, "grants of a very large one", "30% of 2,800", large, "1/s")
    sheet.add(
        role,
        "its decisions",
        "grants times `rate_owner_us_per_grant`",
        large * grant_us / 1e4,
        "% of a core",
    )
    sheet.hold(
        role,
        "its decisions with an RPC each",
        "plus `leader_ms_per_commit` as the upper bound of an RPC",
        large * (grant_us / 1e3 + call_ms) / 10,
        "% of a core",
        100.0,
    )
    sheet.hold(
        role,
        "memory for grants of the most mean workspaces on a host",
        "1 h of grants times `rate_owner_bytes_per_grant`",
        spaces * rate * GRANT_RETENTION_S * grant_bytes / 1e6,
        "MB",
        MEMORY_LIMIT_MB,
    )
    sheet.hold(
        role,
        "memory for grants of the very large workspace",
        "the same",
        large * GRANT_RETENTION_S * grant_bytes / 1e6,
        "MB",
        MEMORY_LIMIT_MB,
    )
    cell_rows(sheet, cells, runners)


def cell_rows(sheet: Sheet, cells: int, runners: int) -> None:
    role = "backend server owner"
    sheet.add(role, "most cells on a host", "rendezvous hash of 84", cells, "1")
    sheet.add(role, "most backend servers on a host", "of 1,700", runners, "1")
    sheet.hold(
        role,
        "polling of its engines",
        "servers times `poll_core`",
        runners * sheet.per("poll_core"),
        "% of a core",
        CORE_LIMIT_PERCENT,
    )
    rate = REQUESTS_PER_S / CELLS * cells
    decide_us = sheet.at("cell_us_per_request_by_runner", runners)
    sheet.add(role, "placements", "2,800 over 84 cells", rate, "1/s")
    sheet.add(
        role,
        "decisions",
        "placements times `cell_us_per_request_by_runner`",
        rate * decide_us / 1e4,
        "% of a core",
    )
    items = TOKENS_PER_S / TOKENS_PER_S_PER_STREAM / CELLS * cells
    sheet.add(
        role,
        "progress of its streams, once a second",
        "streams times `cell_us_per_progress_item`",
        items * sheet.per("cell_us_per_progress_item") / 1e4,
        "% of a core",
    )
    sheet.hold(
        role,
        "progress in",
        f"streams times {progress_item_bytes()} B",
        items * progress_item_bytes(),
        "B/s",
        BYTES_LIMIT_PER_S,
    )
    held = runners * sheet.per("cell_bytes_per_runner")
    held += items * sheet.per("cell_bytes_per_request")
    sheet.hold(role, "memory", "servers and streams", held / 1e6, "MB", MEMORY_LIMIT_MB)


def leader_rows(sheet: Sheet) -> None:
    role = "leader"
    state_mb = sheet.state_mb("control_state_bytes")
    state_mb += KEPT_VERSIONS * sheet.per("control_state_bytes_per_version") / 1e6
    sheet.add(role, "state without proposals and ledger", "as above", state_mb, "MB")
    proposals = (
        KEPT_PROPOSALS * sheet.per("control_state_bytes_per_full_proposal") / 1e6
    )
    sheet.add(role, "20 proposals not in force", "whole bundles", proposals, "MB")
    sheet.hold(
        role,
        "memory with them",
        "`leader_rss` at the largest size, plus both",
        sheet.largest("leader_rss") + state_mb + proposals,
        "MB",
        MEMORY_LIMIT_MB,
    )
    sheet.hold(
        role,
        "sessions of 390 hosts",
        "`leader_idle_core` at 390",
        sheet.at("leader_idle_core", HOSTS),
        "% of a core",
        CORE_LIMIT_PERCENT,
    )
    sheet.add(role, "renewals in", "390 over 0.75 s", HOSTS * RENEWALS_PER_S, "1/s")
    hosts = sum(sheet.at(f"host_idle_{way}_bytes", HOSTS) for way in ("in", "out"))
    members = sum(sheet.at(f"member_idle_{way}_bytes", HOSTS) for way in ("in", "out"))
    sheet.add(role, "bytes to and from hosts", "both at 390", hosts, "B/s")
    sheet.add(role, "bytes between control hosts", "both at 390", members, "B/s")
    sheet.hold(
        role,
        "bytes in and out at idle",
        "both lines above",
        hosts + members,
        "B/s",
        BYTES_LIMIT_PER_S,
    )
    apply_ms = sheet.at("roll_us_per_host", HOSTS) / 1e3
    sheet.hold(
        role,
        "stall while one roll is applied, on all control hosts",
        "`roll_us_per_host` at 390, against the least election timeout",
        apply_ms,
        "ms",
        LEAST_ELECTION_MS / 2,
    )
    fan_ms = sheet.at("leader_ms_per_roll", HOSTS)
    sheet.add(role, "streams of one roll", "`leader_ms_per_roll` at 390", fan_ms, "ms")
    sheet.hold(
        role,
        "a roll in force on 390 hosts",
        "`in_force_ms` at 390, plus the stall and `view_roll_us_per_runner`",
        max(0.0, sheet.at("in_force_ms", HOSTS))
        + apply_ms
        + sheet.at("view_roll_us_per_runner", RUNNERS) / 1e3,
        "ms",
        IN_FORCE_LIMIT_MS,
    )
    rolls = CHANGES_PER_DAY / DAY_S
    sheet.add(
        role,
        "rolls, over a day",
        "stall and streams, 4,600 times",
        rolls * (apply_ms + fan_ms) / 10,
        "% of a core",
    )
    session_ms = sheet.at("session_loss_us_per_host", HOSTS)
    session_ms = (session_ms + sheet.at("session_open_us_per_host", HOSTS)) / 1e3
    sheet.add(role, "a host lost and back", "both at 390", session_ms, "ms")
    losses = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / DAY_S
    sheet.add(
        role, "265 of them, over a day", "", losses * session_ms / 10, "% of a core"
    )
    log_rows(sheet, rolls)


def log_rows(sheet: Sheet, rolls: float) -> None:
    role = "follower"
    logged = sheet.at("propose_bytes_per_runner", RUNNERS) * rolls
    sheet.add(
        role,
        "one proposal in the log",
        "whole bundle",
        sheet.at("propose_bytes_per_runner", RUNNERS) / 1e3,
        "kB",
    )
    sheet.hold(
        role,
        "log of 4,600 proposals a day",
        "mean rate to each follower",
        logged,
        "B/s",
        BYTES_LIMIT_PER_S,
    )
    sheet.hold(
        role,
        "follower at idle",
        "`follower_idle_core` at the largest size measured",
        sheet.largest("follower_idle_core"),
        "% of a core",
        CORE_LIMIT_PERCENT,
    )
    role = "ledger"
    calls = REQUESTS_PER_S * LEDGER_SHARE
    most = max(rate for _, rate in sheet.slopes["ledger_commits_per_s"].points)
    sheet.add(role, "commits of one group", "most measured", most, "1/s")
    sheet.hold(
        role,
        "commits if 5% of requests must not be repeated",
        "2 for each of 140 calls/s",
        2 * calls,
        "1/s",
        most,
    )
    call_bytes = sheet.per("control_state_bytes_per_ledger_call")
    sheet.hold(
        role,
        "memory of 24 h of them",
        "`control_state_bytes_per_ledger_call`",
        calls * DAY_S * call_bytes / 1e6,
        "MB",
        MEMORY_LIMIT_MB,
    )
    sheet.add(
        role,
        "calls that fit in 32 MB for 24 h",
        "32 MB over a call's bytes, over a day",
        32e6 / call_bytes / DAY_S,
        "1/s",
    )


ROLES = (front_rows, owner_rows, leader_rows, region_rows, kv_rows, end_rows)


def capacity_rows(slopes: Mapping[str, Slope]) -> list[Row]:
    """Return every line of the page."""
    sheet = Sheet(slopes)
    for add in ROLES:
        add(sheet)
    sheet.hold(
        "follower",
        "hosts reserved for control",
        "one group of 5",
        CONTROL_HOSTS,
        "hosts",
        CONTROL_HOSTS_LIMIT,
    )
    return sheet.rows
