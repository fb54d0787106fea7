"""Replicated record of the data centres that operators have evacuated."""

from damaskridge.core.state.data import EvacuationRecord, StateData
from damaskridge.model.evacuations import EvacuationOrder

__all__ = ["evacuated_data_centres", "record", "taken_back_since"]


def record(data: StateData, order: EvacuationOrder) -> None:
    """Record an order; one that changes nothing keeps the time of the change."""
    known = data.evacuations.get(order.data_centre)
    was_evacuated = known is not None and known.is_evacuated
    if order.is_evacuated != was_evacuated:
        data.evacuations[order.data_centre] = EvacuationRecord(
            order.is_evacuated, data.now_ms
        )


def evacuated_data_centres(data: StateData) -> tuple[str, ...]:
    """Return the data centres whose servers get no new requests, sorted."""
    return tuple(
        sorted(name for name, item in data.evacuations.items() if item.is_evacuated)
    )


def taken_back_since(data: StateData, at_ms: int) -> tuple[str, ...]:
    """Return the data centres that were taken back at a time or later, sorted."""
    return tuple(
        sorted(
            name
            for name, item in data.evacuations.items()
            if not item.is_evacuated and item.at_ms >= at_ms
        )
    )
