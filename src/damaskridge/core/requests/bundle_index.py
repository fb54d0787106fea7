"""Look-ups in the bundle in force that do not grow with the fleet.

A front reads keys, models, routes and cells for each request. The index is built
anew only when another bundle is in force.
"""

from result import Err, Ok, Result

from damaskridge.core.state.fleet_queries import cells_serving, find_route
from damaskridge.core.state.view import FleetView
from damaskridge.model.bundle import Bundle, Model, Route
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["BundleIndex"]


class BundleIndex:
    """Answers the questions that every request asks."""

    def __init__(self) -> None:
        self._bundle: Bundle | None = None
        self._workspaces: dict[str, str] = {}
        self._models: dict[str, Model] = {}
        self._services: frozenset[str] = frozenset()
        self._cells: dict[tuple[str, str], list[str]] = {}

    def workspace_of_key(self, view: FleetView, digest: str) -> Result[str, Failure]:
        """Return the workspace of a key, or why the key does not work."""
        self._refresh(view)
        if digest in view.withdrawn_keys:
            return Err(Failure(ErrorKind.KEY_WITHDRAWN))
        workspace = self._workspaces.get(digest)
        return Ok(workspace) if workspace else Err(Failure(ErrorKind.INVALID_KEY))

    def model(self, view: FleetView, name: str) -> Model | None:
        """Return a model of the bundle in force."""
        self._refresh(view)
        return self._models.get(name)

    def route(self, view: FleetView, service: str, path: str) -> Route | None:
        """Return the route of a path below a service."""
        self._refresh(view)
        return find_route(view, service, path) if service in self._services else None

    def cells(self, view: FleetView, serves: str, data_centre: str) -> list[str]:
        """Return the cells that serve a model or service, `data_centre` first."""
        self._refresh(view)
        key = (serves, data_centre)
        if key not in self._cells:
            self._cells[key] = cells_serving(view, serves, data_centre)
        return self._cells[key]

    def _refresh(self, view: FleetView) -> None:
        bundle = view.bundle
        if bundle is self._bundle:
            return
        self._bundle = bundle
        self._workspaces = {record.digest: record.workspace for record in bundle.keys}
        self._models = {model.name: model for model in bundle.models}
        self._services = frozenset(route.service for route in bundle.routes)
        self._cells = {}
