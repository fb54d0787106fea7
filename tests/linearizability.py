"""A Wing-Gong checker for a compare-and-set register with unique new values."""

from dataclasses import dataclass
from math import inf

__all__ = ["Operation", "is_linearizable"]


@dataclass(slots=True)
class Operation:
    """
    A read (`new` is None) or a compare-and-set.

    `result` is the value read, or whether the value was set; None if no response came.
    """

    called_s: float
    expected: int = 0
    new: int | None = None
    returned_s: float = inf
    result: int | None = None


def _apply(operation: Operation, value: int) -> int | None:
    """Return the next value, or None if the result contradicts `value`."""
    if operation.new is None:
        return value if operation.result == value else None
    took_place = value == operation.expected
    if operation.result is not None and bool(operation.result) != took_place:
        return None
    return operation.new if took_place else value


def is_linearizable(history: list[Operation]) -> bool:
    """
    Search for an order of the operations that fits their times and results.

    Operations without a response may have taken effect at any time, or never.
    """
    recorded = [o for o in history if o.new is not None or o.result is not None]
    operations = sorted(recorded, key=lambda o: o.called_s)
    returned_mask = sum(1 << i for i, o in enumerate(operations) if o.returned_s < inf)
    stack, visited = [(0, 0)], set()
    while stack:
        applied_mask, value = stack.pop()
        if applied_mask & returned_mask == returned_mask:
            return True
        if (applied_mask, value) in visited:
            continue
        visited.add((applied_mask, value))
        earliest_return_s = inf
        for i, operation in enumerate(operations):
            if operation.called_s > earliest_return_s:
                break
            if applied_mask >> i & 1:
                continue
            earliest_return_s = min(earliest_return_s, operation.returned_s)
        for i, operation in enumerate(operations):
            if operation.called_s > earliest_return_s:
                break
            if applied_mask >> i & 1:
                continue
            next_value = _apply(operation, value)
            # Leaving out an operation without a response gives the same state.
            is_skippable = operation.returned_s == inf and next_value == value
            if next_value is not None and not is_skippable:
                stack.append((applied_mask | 1 << i, next_value))
    return False
