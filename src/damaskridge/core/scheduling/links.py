"""Reserves the links that carry KV transfers."""

from damaskridge.core.scheduling.servers import ServerState

__all__ = ["HOLD_S", "reserve_transfer", "transfer_start_s", "transfer_time_s"]

# A prefill result is evicted in less than a second; the transfer starts before.
HOLD_S = 0.5


def transfer_time_s(source: ServerState, target: ServerState, size_bytes: int) -> float:
    """Return how long a transfer takes on the slower of both links."""
    if source is target:
        return 0.0
    rate = min(source.spec.link_bytes_per_s, target.spec.link_bytes_per_s)
    return size_bytes / rate


def transfer_start_s(source: ServerState, target: ServerState, ready_s: float) -> float:
    """Return when both links are free for a result that is ready at `ready_s`."""
    if source is target:
        return ready_s
    return max(ready_s, source.link_until_s, target.link_until_s)


def reserve_transfer(
    source: ServerState, target: ServerState, start_s: float, duration_s: float
) -> None:
    """Occupy both links."""
    if source is not target:
        source.link_until_s = max(source.link_until_s, start_s + duration_s)
        target.link_until_s = max(target.link_until_s, start_s + duration_s)
