"""Index of the active bundle, for look-ups that do not slow down with the fleet.

A front looks up keys, models, routes and cells for each request. The index is rebuilt
only when another bundle becomes active.
"""

from result import Err, Ok, Result

from damaskridge.core.state.fleet_queries import cells_serving, find_route
from damaskridge.core.state.view import FleetView
from damaskridge.model.bundle import Bundle, Model, Route
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["BundleIndex"]


class BundleIndex:
    """Look-ups that a front needs for every request."""

    def __init__(self) -> None:
        self._bundle: Bundle | None = None
        self._workspaces: dict[str, str] = {}
        self._models: dict[str, Model] = {}
        self._services: frozenset[str] = frozenset()
        self._cells: dict[tuple[str, str], list[str]] = {}

    def workspace_of_key(self, view: FleetView, digest: str) -> Result[str, Failure]:
        """Return the workspace of a key, or why the key is refused."""
        self._rebuild_if_changed(view)
        if digest in view.withdrawn_keys:
            return Err(Failure(ErrorKind.KEY_WITHDRAWN))
        workspace = self._workspaces.get(digest)
        return Ok(workspace) if workspace else Err(Failure(ErrorKind.INVALID_KEY))

    def model(self, view: FleetView, name: str) -> Model | None:
        """Return a model by name, or `None`."""
        self._rebuild_if_changed(view)
        return self._models.get(name)

    def route(self, view: FleetView, service: str, path: str) -> Route | None:
        """Return the route for a path of a service, or `None`."""
        self._rebuild_if_changed(view)
        return find_route(view, service, path) if service in self._services else None

    def cells(self, view: FleetView, serves: str, data_centre: str) -> list[str]:
        """Return the cells that serve a model or service, `data_centre` first."""
        self._rebuild_if_changed(view)
        key = (serves, data_centre)
        if key not in self._cells:
            self._cells[key] = cells_serving(view, serves, data_centre)
        return self._cells[key]

    def _rebuild_if_changed(self, view: FleetView) -> None:
        bundle = view.bundle
        if bundle is self._bundle:
            return
        self._bundle = bundle
        self._workspaces = {record.digest: record.workspace for record in bundle.keys}
        self._models = {model.name: model for model in bundle.models}
        self._services = frozenset(route.service for route in bundle.routes)
        self._cells = {}
