"""A Wing-Gong checker for a compare-and-set register with unique new values."""

from dataclasses import dataclass
from math import inf

__all__ = ["Operation", "is_linearizable"]


@dataclass(slots=True)
class Operation:
    """
    A read (`new` is None) or a compare-and-set.

    `result` is the value read or whether the set took place; None if unknown.
    """

    called_s: float
    expected: int = 0
    new: int | None = None
    returned_s: float = inf
    result: int | None = None


def _apply(operation: Operation, value: int) -> int | None:
    """Return the next value; None if the operation cannot take place here."""
    if operation.new is None:
        return value if operation.result == value else None
    took_place = value == operation.expected
    if operation.result is not None and bool(operation.result) != took_place:
        return None
    return operation.new if took_place else value


def is_linearizable(history: list[Operation]) -> bool:
    """Search for an order of the operations that fits times and results."""
    known = [o for o in history if o.new is not None or o.result is not None]
    operations = sorted(known, key=lambda o: o.called_s)
    finished = sum(1 << i for i, o in enumerate(operations) if o.returned_s < inf)
    stack, seen = [(0, 0)], set()
    while stack:
        done, value = stack.pop()
        if done & finished == finished:
            return True
        if (done, value) in seen:
            continue
        seen.add((done, value))
        first_return = inf
        for i, operation in enumerate(operations):
            if operation.called_s > first_return:
                break
            if done >> i & 1:
                continue
            first_return = min(first_return, operation.returned_s)
        for i, operation in enumerate(operations):
            if operation.called_s > first_return:
                break
            if done >> i & 1:
                continue
            following = _apply(operation, value)
            # An unknown operation that changes nothing may as well be left out.
            useless = operation.returned_s == inf and following == value
            if following is not None and not useless:
                stack.append((done | 1 << i, following))
    return False
