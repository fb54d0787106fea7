"""Reserves the network links of engines for KV transfers."""

from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.urgency import Level

__all__ = [
    "BULK_GAP_RATIO",
    "MAX_TRANSFER_DELAY_S",
    "reserve_transfer",
    "transfer_start_s",
    "transfer_time_s",
]

# Longest wait from the end of prefill to the start of the transfer. Prefill engines
# evict a result in less than a second. Delay-tolerant requests get the shortest wait
# and stay in the queue instead, so that the links are not reserved far ahead.
MAX_TRANSFER_DELAY_S = {Level.URGENT: 0.5, Level.LATE: 0.3, Level.BULK: 0.1}
# Idle time before each delay-tolerant transfer, as a ratio of its duration. Without
# it such transfers run back to back, and urgent ones find no gap within their target.
BULK_GAP_RATIO = 1.0


def transfer_time_s(source: ServerState, target: ServerState, size_bytes: int) -> float:
    """Return the duration of a transfer, which the slower of both links decides."""
    if source is target:
        return 0.0
    rate = min(source.spec.link_bytes_per_s, target.spec.link_bytes_per_s)
    return size_bytes / rate


def transfer_start_s(
    source: ServerState, target: ServerState, ready_s: float, duration_s: float
) -> float:
    """
    Return the earliest start from `ready_s` on with both links free for `duration_s`.

    A transfer may use a gap before a reservation that was made earlier. Otherwise the
    reservation for a long prefill would block the links for short requests until then.
    """
    if source is target:
        return ready_s
    start_s = ready_s
    for busy_s, free_s in sorted(
        [*source.reserved_transfers_s, *target.reserved_transfers_s]
    ):
        if busy_s < start_s + duration_s and free_s > start_s:
            start_s = free_s
    return start_s


def reserve_transfer(
    source: ServerState,
    target: ServerState,
    start_s: float,
    duration_s: float,
    now_s: float,
) -> None:
    """Reserve both links, and discard reservations that have passed."""
    if source is target:
        return
    for server in (source, target):
        kept = [item for item in server.reserved_transfers_s if item[1] > now_s]
        server.reserved_transfers_s = [*kept, (start_s, start_s + duration_s)]
