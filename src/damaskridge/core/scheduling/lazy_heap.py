"""A priority queue of names whose keys can change, with logarithmic updates.

>>> heap = LazyHeap()
>>> heap.update("a", 2.0); heap.update("b", 1.0); heap.update("a", 0.5)
>>> heap.smallest(2)
['a', 'b']
"""

import heapq

__all__ = ["LazyHeap"]


class LazyHeap:
    """Priority queue with lazy deletion: stale entries are dropped when popped."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str]] = []
        self._current_versions: dict[str, int] = {}
        self._version = 0

    def __contains__(self, name: str) -> bool:
        return name in self._current_versions

    def update(self, name: str, key: float) -> None:
        """Insert `name`, or change its key."""
        self._version += 1
        self._current_versions[name] = self._version
        heapq.heappush(self._heap, (key, self._version, name))
        if len(self._heap) > 4 * len(self._current_versions) + 64:
            live = self._current_versions
            self._heap = [item for item in self._heap if live.get(item[2]) == item[1]]
            heapq.heapify(self._heap)

    def discard(self, name: str) -> None:
        """Remove `name` if it is present."""
        self._current_versions.pop(name, None)

    def smallest(self, count: int) -> list[str]:
        """Return up to `count` names in ascending order of their keys."""
        popped: list[tuple[float, int, str]] = []
        while self._heap and len(popped) < count:
            item = heapq.heappop(self._heap)
            if self._current_versions.get(item[2]) == item[1]:
                popped.append(item)
        for item in popped:
            heapq.heappush(self._heap, item)
        return [item[2] for item in popped]
