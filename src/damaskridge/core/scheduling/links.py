"""Reserves the links that carry KV transfers."""

from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.urgency import Level

__all__ = [
    "BULK_GAP_RATIO",
    "MAX_TRANSFER_DELAY_S",
    "reserve_transfer",
    "transfer_start_s",
    "transfer_time_s",
]

# A prefill result is evicted in less than a second; the transfer starts before.
# Delay-tolerant work waits in the queue instead, so that links stay free.
MAX_TRANSFER_DELAY_S = {Level.URGENT: 0.5, Level.LATE: 0.3, Level.BULK: 0.1}
# Free time before each delay-tolerant transfer, as a share of its length: with
# transfers back to back, urgent ones find no gap for longer than their target.
BULK_GAP_RATIO = 1.0


def transfer_time_s(source: ServerState, target: ServerState, size_bytes: int) -> float:
    """Return how long a transfer takes on the slower of both links."""
    if source is target:
        return 0.0
    rate = min(source.spec.link_bytes_per_s, target.spec.link_bytes_per_s)
    return size_bytes / rate


def transfer_start_s(
    source: ServerState, target: ServerState, ready_s: float, duration_s: float
) -> float:
    """
    Return the first time from `ready_s` on when both links are free for long enough.

    A transfer may use a gap before a later reservation, because the long prefill
    of that one would otherwise keep the links from short requests.
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
    """Occupy both links, and forget transfers that are over."""
    if source is target:
        return
    for server in (source, target):
        kept = [item for item in server.reserved_transfers_s if item[1] > now_s]
        server.reserved_transfers_s = [*kept, (start_s, start_s + duration_s)]
