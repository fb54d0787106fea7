"""Look-up of the route and the workspace of a request in a routing table."""

from bisect import bisect_left
from collections.abc import Mapping
from hashlib import sha256
from itertools import accumulate

from damaskridge.core.gateway.placement.priorities import (
    RequestPriority,
    ServicePriorities,
)
from damaskridge.model.gateway import (
    GatewayRoute,
    GatewayService,
    GatewayWorkspace,
    RouteKind,
    RoutingTable,
)

__all__ = ["RoutingIndex", "key_digest", "stream_priorities"]


NO_STREAMS = ServicePriorities()


def key_digest(key: str) -> str:
    """Return the digest under which a caller's key is stored."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def stream_priorities(table: RoutingTable) -> dict[str, set[int]]:
    """Return the priorities of the routes for streams, by service."""
    by_service: dict[str, set[int]] = {}
    for route in table.routes:
        if route.kind is RouteKind.STREAM:
            for target in route.targets:
                by_service.setdefault(target.service, set()).add(route.priority)
    return by_service


class RoutingIndex:
    """
    An index of a routing table.

    Parameters
    ----------
    table : RoutingTable
        Routing table in force.
    """

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self._routes = {
            (route.host_name.lower(), route.path_prefix): route
            for route in table.routes
        }
        self._workspaces_by_digest = {
            digest: workspace
            for workspace in table.workspaces
            for digest in workspace.key_digests
        }
        self._workspaces = {item.name: item for item in table.workspaces}
        self._services = {service.name: service for service in table.services}
        workspace_priorities: set[int | None] = {
            item.priority for item in table.workspaces
        }
        if any(route.is_public for route in table.routes):
            workspace_priorities.add(None)
        self._priorities = {
            service: ServicePriorities(priorities, workspace_priorities)
            for service, priorities in stream_priorities(table).items()
        }

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not public need a key."""
        return bool(self.table.workspaces)

    def route(self, host_name: str, path: str) -> GatewayRoute | None:
        """Return the route with the longest path prefix of `path`, if any."""
        name = host_name.rpartition(":")[0] or host_name
        name = name.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def workspace(self, digest: str) -> GatewayWorkspace | None:
        """Return the workspace to which the key with this digest belongs."""
        return self._workspaces_by_digest.get(digest)

    def workspace_named(self, name: str) -> GatewayWorkspace | None:
        """Return the workspace with this name."""
        return self._workspaces.get(name)

    @property
    def services(self) -> Mapping[str, GatewayService]:
        """The services by name."""
        return self._services

    def service(self, name: str) -> GatewayService | None:
        """Return the service with this name."""
        return self._services.get(name)

    def priority(
        self, route: GatewayRoute, service: str, workspace: GatewayWorkspace | None
    ) -> RequestPriority:
        """
        Return how urgent a request is.

        Parameters
        ----------
        route : GatewayRoute
            The route that matched.
        service : str
            The service that was chosen among the targets of the route.
        workspace : GatewayWorkspace or None
            Workspace of the caller; None on public routes.
        """
        return self._priorities.get(service, NO_STREAMS).of(
            workspace.priority if workspace is not None else None,
            route.priority,
            is_stream=route.kind is RouteKind.STREAM,
        )

    @staticmethod
    def target(route: GatewayRoute, draw: float) -> str:
        """Return a service of the route by weight; `draw` is random in [0, 1)."""
        sums = list(accumulate(target.weight for target in route.targets))
        position = int(draw * sums[-1])
        return route.targets[bisect_left(sums, position + 1)].service
