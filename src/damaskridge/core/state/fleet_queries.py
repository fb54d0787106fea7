"""Read-only queries of the fleet view."""

from collections.abc import Iterable

from result import Err, Ok, Result

from damaskridge.core.state.view import FleetView
from damaskridge.model.bundle import BackendServer, Route, Workspace
from damaskridge.model.control import Owner, Session
from damaskridge.model.errors import ErrorKind, Failure

__all__ = [
    "caller_addresses",
    "caller_addresses_for",
    "cell_resource",
    "cells_serving",
    "draining_servers",
    "find_route",
    "find_workspace",
    "live_sessions",
    "owner_of",
    "servers_of_cell",
    "workspace_of_key",
    "workspace_resource",
]


def workspace_resource(workspace: str) -> str:
    """Return the resource whose owner enforces the rate of a workspace."""
    return f"workspace/{workspace}"


def cell_resource(cell: str) -> str:
    """Return the resource whose owner schedules the requests of a cell."""
    return f"cell/{cell}"


def workspace_of_key(view: FleetView, digest: str) -> Result[str, Failure]:
    """Return the workspace of a key, or why the key is refused."""
    if digest in view.withdrawn_keys:
        return Err(Failure(ErrorKind.KEY_WITHDRAWN))
    for record in view.bundle.keys:
        if record.digest == digest:
            return Ok(record.workspace)
    return Err(Failure(ErrorKind.INVALID_KEY))


def find_workspace(view: FleetView, name: str) -> Workspace | None:
    """Return a workspace of the bundle in force, or None."""
    for workspace in view.bundle.workspaces:
        if workspace.name == name:
            return workspace
    return None


def find_route(view: FleetView, service: str, path: str) -> Route | None:
    """Return the route whose path is the longest prefix of `path` by segments."""
    longest: Route | None = None
    for route in view.bundle.routes:
        if route.service != service:
            continue
        prefix = route.path.strip("/")
        if prefix and path != prefix and not path.startswith(prefix + "/"):
            continue
        if longest is None or len(prefix) > len(longest.path.strip("/")):
            longest = route
    return longest


def live_sessions(view: FleetView) -> list[Session]:
    """Return the sessions of hosts that are not draining, sorted by host."""
    return [
        session
        for host, session in sorted(view.sessions.items())
        if not session.draining and host not in view.draining_hosts
    ]


def caller_addresses_for(view: FleetView, data_centre: str) -> list[str]:
    """Return the addresses that callers can use, those in `data_centre` first."""
    return caller_addresses(live_sessions(view), data_centre)


def caller_addresses(sessions: Iterable[Session], data_centre: str) -> list[str]:
    """Return the callers' addresses of sessions, those in `data_centre` first."""
    return [
        session.caller_address
        for session in sorted(
            sessions, key=lambda session: session.data_centre != data_centre
        )
    ]


def owner_of(view: FleetView, resource: str) -> Owner | None:
    """Return the owner of a resource if its session is live, else None."""
    owner = view.owners.get(resource)
    if owner is None or not owner.host:
        return None
    session = view.sessions.get(owner.host)
    if session is None or session.number != owner.session:
        return None
    return owner


def servers_of_cell(view: FleetView, cell: str) -> tuple[BackendServer, ...]:
    """Return the backend servers of a cell."""
    return tuple(item for item in view.bundle.backend_servers if item.cell == cell)


def draining_servers(view: FleetView) -> set[str]:
    """Return the backend servers that operators drain, or whose place is evacuated."""
    evacuated = {
        item.name
        for item in view.bundle.backend_servers
        if item.data_centre in view.evacuated
    }
    return view.draining_backend_servers | evacuated


def cells_serving(view: FleetView, serves: str, data_centre: str) -> list[str]:
    """
    Return the cells that serve a model or service.

    Cells with a backend server in `data_centre` come first.
    """
    has_local_server: dict[str, bool] = {}
    for server in view.bundle.backend_servers:
        if server.serves == serves:
            is_local = server.data_centre == data_centre
            has_local_server[server.cell] = (
                has_local_server.get(server.cell, False) or is_local
            )
    return sorted(has_local_server, key=lambda cell: (not has_local_server[cell], cell))
