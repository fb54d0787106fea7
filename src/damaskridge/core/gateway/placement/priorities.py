"""Ranks the requests of a service by the priorities of workspaces and routes.

It answers a lack of room in which the kinds of request of a service compete. A
workspace's priority goes before the route's. Among workspaces of the same one, the
route's decides; it would be ignored if a workspace's priority replaced it.

>>> ranks = ServicePriorities([0, 1, 2], [1])
>>> [ranks.level(1, route_priority) for route_priority in (0, 1, 2)]
[0, 1, 2]
>>> ranks = ServicePriorities([0, 1], [0, 5])
>>> ranks.level(0, 1), ranks.level(5, 0)
(1, 2)
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["RequestPriority", "ServicePriorities"]


@dataclass(frozen=True, slots=True)
class RequestPriority:
    """
    How urgent a request is.

    Parameters
    ----------
    priority : int
        Priority of the workspace, or of the route if the workspace has none; 0 is the
        most urgent.
    level : int
        How many priorities of the service's streams are more urgent.
    on_engine : int
        The priority that engines are told.
    in_workspace : int
        The priority among the requests that share the workspace's rate.
    """

    priority: int
    level: int = 0
    on_engine: int = 0
    in_workspace: int = 0


class ServicePriorities:
    """
    The priorities that the streams of one service may have.

    Parameters
    ----------
    route_priorities : iterable of int
        Priorities of the service's routes for streams.
    workspace_priorities : iterable of int or None
        Priorities of all workspaces; None for one that has none, and for callers
        without a workspace.
    """

    def __init__(
        self,
        route_priorities: Iterable[int] = (),
        workspace_priorities: Iterable[int | None] = (),
    ) -> None:
        self._routes = sorted(set(route_priorities))
        workspaces = set(workspace_priorities) or {None}
        self._ranks = sorted(
            {
                _rank(workspace, route)
                for workspace in workspaces
                for route in self._routes
            }
        )

    @property
    def are_different(self) -> bool:
        """Whether the service's routes for streams have several priorities."""
        return len(self._routes) > 1

    def level(self, workspace_priority: int | None, route_priority: int) -> int:
        """Return how many priorities are more urgent than that of a request."""
        return bisect_left(self._ranks, _rank(workspace_priority, route_priority))

    def of(
        self, workspace_priority: int | None, route_priority: int, *, is_stream: bool
    ) -> RequestPriority:
        """
        Return the priority of a request.

        Where all routes for streams have one priority, engines and rates go by the
        workspace's alone.
        """
        priority = _rank(workspace_priority, route_priority)[0]
        level = self.level(workspace_priority, route_priority)
        if not (is_stream and self.are_different):
            return RequestPriority(priority, level, priority, priority)
        in_service = bisect_left(self._routes, route_priority)
        return RequestPriority(priority, level, level, in_service)


def _rank(workspace_priority: int | None, route_priority: int) -> tuple[int, int]:
    if workspace_priority is None:
        return route_priority, route_priority
    return workspace_priority, route_priority
