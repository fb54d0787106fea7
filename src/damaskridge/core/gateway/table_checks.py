"""Validation of a complete routing table.

>>> table_faults(RoutingTable(version=0))
['version: must be above 0, not 0']
"""

from collections.abc import Iterator

from damaskridge.model.gateway import GatewayRoute, RoutingTable

__all__ = ["table_faults"]


def table_faults(table: RoutingTable) -> list[str]:
    """Return every fault as ``path: description``; an empty list if none."""
    return [*_version(table), *_routes(table), *_names(table), *_keys(table)]


def _version(table: RoutingTable) -> Iterator[str]:
    if table.version < 1:
        yield f"version: must be above 0, not {table.version}"


def _routes(table: RoutingTable) -> Iterator[str]:
    services = {service.name for service in table.services}
    first_by_prefix: dict[tuple[str, str], int] = {}
    for number, route in enumerate(table.routes):
        path = f"routes[{number}]"
        yield from (f"{path}.{fault}" for fault in _route_faults(route, services))
        first = first_by_prefix.setdefault((route.host_name, route.path_prefix), number)
        if first != number:
            yield f"{path}: same host name and path prefix as routes[{first}]"


def _route_faults(route: GatewayRoute, services: set[str]) -> Iterator[str]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"path_prefix: must begin and end with a slash, not {prefix!r}"
    if route.timeout_ms <= 0:
        yield f"timeout_ms: must be above 0, not {route.timeout_ms}"
    if any(target.weight < 0 for target in route.targets):
        yield "targets: a weight is negative"
    if sum(target.weight for target in route.targets) <= 0:
        yield "targets: the weights add up to 0"
    for target in route.targets:
        if target.service not in services:
            yield f"targets: unknown service {target.service!r}"


def _names(table: RoutingTable) -> Iterator[str]:
    for field in ("services", "workspaces"):
        names = [item.name for item in getattr(table, field)]
        for name in sorted({name for name in names if names.count(name) > 1}):
            yield f"{field}: {name!r} appears twice"


def _keys(table: RoutingTable) -> Iterator[str]:
    first_by_digest: dict[str, str] = {}
    for workspace in table.workspaces:
        for digest in workspace.key_digests:
            first = first_by_digest.setdefault(digest, workspace.name)
            if first != workspace.name:
                yield f"workspaces: {first!r} and {workspace.name!r} share a key"
