"""Limits the memory of all response bodies that a host buffers at one time.

>>> budget = BufferBudget(limit_bytes=100)
>>> small, large = budget.begin(), budget.begin()
>>> budget.add(small, 30)
>>> budget.add(large, 60)
>>> budget.add(small, 20)
>>> budget.is_abandoned(large), budget.is_abandoned(small)
(True, False)
"""

from collections.abc import Callable

__all__ = ["BufferBudget"]


class BufferBudget:
    """
    Counts the bytes of buffered bodies, and abandons the largest ones over a limit.

    A limit for each body alone would allow many servers that send without end to
    exhaust the memory together. The largest body is the least likely to be a sound one.

    Parameters
    ----------
    limit_bytes : int
        Limit of all bodies together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._total_bytes = 0
        self._sizes_bytes: dict[int, int] = {}
        self._on_abandoned: dict[int, Callable[[], None]] = {}
        self._last_body = 0

    def begin(self, on_abandoned: Callable[[], None] = lambda: None) -> int:
        """Begin to count a body; return its number, for the other methods."""
        self._last_body += 1
        self._sizes_bytes[self._last_body] = 0
        self._on_abandoned[self._last_body] = on_abandoned
        return self._last_body

    def add(self, body: int, size_bytes: int) -> None:
        """Count bytes of a body that is not abandoned."""
        self._sizes_bytes[body] += size_bytes
        self._total_bytes += size_bytes
        while self._total_bytes > self._limit_bytes:
            largest = max(self._sizes_bytes, key=self._sizes_bytes.__getitem__)
            on_abandoned = self._on_abandoned[largest]
            self.end(largest)
            on_abandoned()

    def is_abandoned(self, body: int) -> bool:
        """Return whether a body must not be read any further, or has ended."""
        return body not in self._sizes_bytes

    def end(self, body: int) -> None:
        """Stop counting a body, which may be abandoned."""
        self._total_bytes -= self._sizes_bytes.pop(body, 0)
        self._on_abandoned.pop(body, None)
