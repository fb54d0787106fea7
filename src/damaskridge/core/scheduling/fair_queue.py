"""The queue of a cell: levels of urgency, and weighted fair queueing in each."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from damaskridge.core.scheduling.lazy_heap import LazyHeap
from damaskridge.core.scheduling.urgency import Level

__all__ = ["FairQueue", "QueueItem"]


@dataclass(slots=True)
class QueueItem:
    """A queued request; `cost_s` is the time for which it occupies the whole cell."""

    request_id: str
    workspace: str
    level: Level
    due_s: float
    cost_s: float


class FairQueue:
    """
    Start-time fair queueing by cost, combined with due times.

    The virtual time of a workspace advances by the cost of each placed request,
    divided by the workspace's share. The next request of a level is the one with the
    smallest sum of due time and virtual time. A workspace is thus delayed by as much
    as it is ahead of its share, and many small requests count as much as one large.

    Each workspace has two flows with separate virtual times, for delay-tolerant and
    for other requests. The backlog of delay-tolerant requests is many seconds long, so
    with a common virtual time its leads would decide the order of urgent requests.

    Parameters
    ----------
    is_fair : bool
        Whether workspaces get shares; otherwise only due times decide.
    """

    def __init__(self, is_fair: bool = True) -> None:
        self._is_fair = is_fair
        self._items: dict[str, QueueItem] = {}
        self._heaps: dict[tuple[Level, str], list[tuple[float, int, str]]] = {}
        self._heads = {level: LazyHeap() for level in Level}
        self._virtual_times_s: dict[tuple[bool, str], float] = {}
        self._workspace_counts: dict[str, int] = {}
        self._flow_counts: dict[tuple[bool, str], int] = {}
        self._weights: dict[str, float] = {}
        self._total_weight = 1.0
        self._system_virtual_times_s = {True: 0.0, False: 0.0}
        self._sequence = 0
        self._backlog_s = dict.fromkeys(Level, 0.0)
        self._workspace_backlog_s: dict[str, dict[Level, float]] = {}
        self._active_weight = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items

    def get(self, request_id: str) -> QueueItem:
        """Return a queued request."""
        return self._items[request_id]

    def request_ids(self) -> list[str]:
        """Return the identifiers of the queued requests."""
        return list(self._items)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weights of the workspaces, as of a new bundle."""
        self._weights = {name: max(weight, 1e-6) for name, weight in weights.items()}
        self._total_weight = sum(self._weights.values()) or 1.0
        self._active_weight = sum(
            self._weight(workspace) for workspace in self._workspace_counts
        )

    def push(self, item: QueueItem) -> None:
        """Add a request to the queue."""
        assert item.request_id not in self._items, "a request is queued only once"
        workspace = item.workspace
        flow = _flow_of(item.level, workspace)
        if not self._flow_counts.get(flow):
            system_virtual_time_s = self._system_virtual_times_s[flow[0]]
            self._virtual_times_s[flow] = max(
                self._virtual_times_s.get(flow, 0.0), system_virtual_time_s
            )
        self._flow_counts[flow] = self._flow_counts.get(flow, 0) + 1
        if not self._workspace_counts.get(workspace):
            self._workspace_backlog_s[workspace] = dict.fromkeys(Level, 0.0)
            self._active_weight += self._weight(workspace)
        self._workspace_counts[workspace] = self._workspace_counts.get(workspace, 0) + 1
        self._items[item.request_id] = item
        self._backlog_s[item.level] += item.cost_s
        self._workspace_backlog_s[workspace][item.level] += item.cost_s
        self._sequence += 1
        heap = self._heaps.setdefault((item.level, workspace), [])
        heapq.heappush(heap, (item.due_s, self._sequence, item.request_id))
        self._update_head(item.level, workspace)

    def remove(self, request_id: str) -> QueueItem | None:
        """Remove a request that is not placed, at no charge to its workspace."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        workspace = item.workspace
        self._backlog_s[item.level] -= item.cost_s
        self._workspace_backlog_s[workspace][item.level] -= item.cost_s
        self._workspace_counts[workspace] -= 1
        self._flow_counts[_flow_of(item.level, workspace)] -= 1
        self._update_head(item.level, workspace)
        if not self._workspace_counts[workspace]:
            del self._workspace_counts[workspace], self._workspace_backlog_s[workspace]
            self._active_weight -= self._weight(workspace)
        return item

    def remove_placed(self, request_id: str) -> QueueItem:
        """Remove a request that was placed, and charge its cost to its workspace."""
        item = self._items[request_id]
        workspace = item.workspace
        share = self._weight(workspace) / self._total_weight
        if self._is_fair:
            flow = _flow_of(item.level, workspace)
            start = self._virtual_times_s[flow]
            self._system_virtual_times_s[flow[0]] = max(
                self._system_virtual_times_s[flow[0]], start
            )
            self._virtual_times_s[flow] = start + item.cost_s / share
            for level in Level:
                self._update_head(level, workspace)
        self.remove(request_id)
        return item

    def heads(self, level: Level, count: int) -> Iterator[QueueItem]:
        """Yield the first requests of up to `count` workspaces, in scheduling order."""
        for workspace in self._heads[level].smallest(count):
            yield self._items[self._heaps[level, workspace][0][2]]

    def expected_wait_s(self, workspace: str, level: Level) -> float:
        """
        Return the expected wait of a new request for requests of its level and above.

        A workspace that floods the queue does not delay the others beyond their shares.
        A request therefore waits for the whole backlog, or for that of its workspace
        served at its share, whichever is shorter.
        """
        own_s = self._workspace_backlog_s.get(workspace)
        if own_s is None:
            return 0.0
        levels = [item for item in Level if level is Level.BULK or item < Level.BULK]
        total_s = sum(self._backlog_s[item] for item in levels)
        share = self._weight(workspace) / max(self._active_weight, 1e-6)
        if not self._is_fair:
            return total_s
        return min(total_s, sum(own_s[item] for item in levels) / share)

    def _weight(self, workspace: str) -> float:
        return self._weights.get(workspace, 1.0)

    def _update_head(self, level: Level, workspace: str) -> None:
        heap = self._heaps.get((level, workspace))
        if heap is None:
            return
        while heap and not self._is_live(heap[0][2], level):
            heapq.heappop(heap)
        if heap:
            self._heads[level].update(
                workspace,
                heap[0][0] + self._virtual_times_s[_flow_of(level, workspace)],
            )
        else:
            self._heads[level].discard(workspace)
            del self._heaps[level, workspace]

    def _is_live(self, request_id: str, level: Level) -> bool:
        item = self._items.get(request_id)
        return item is not None and item.level is level


def _flow_of(level: Level, workspace: str) -> tuple[bool, str]:
    return level is Level.BULK, workspace
