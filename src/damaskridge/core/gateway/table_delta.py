"""Differences between routing tables, so that only what changed is sent."""

from collections.abc import Iterable
from typing import Any

import msgspec

from damaskridge.model.gateway import RoutingTable

__all__ = ["apply_table_delta", "table_difference"]

FIELDS = ("routes", "services", "workspaces")


def table_difference(
    old: RoutingTable, new: RoutingTable
) -> tuple[RoutingTable, tuple[str, ...]]:
    """
    Return the items of `new` that are new or changed, and the names to remove.

    Routes are identified by host name and path prefix, services and workspaces by name.
    The names to remove have the form ``<field>/<identity>``. Version and limits of the
    returned table are those of `new`.
    """
    changed: dict[str, Any] = {}
    removed: list[str] = []
    for field in FIELDS:
        before = _by_identity(old, field)
        after = _by_identity(new, field)
        changed[field] = tuple(
            item for name, item in after.items() if before.get(name) != item
        )
        removed += [f"{field}/{name}" for name in before if name not in after]
    return msgspec.structs.replace(new, **changed), tuple(removed)


def apply_table_delta(
    table: RoutingTable, changed: RoutingTable, removed: Iterable[str]
) -> RoutingTable:
    """Return `table` with items replaced, added and removed."""
    removed_names = set(removed)
    fields: dict[str, Any] = {}
    for field in FIELDS:
        items = {**_by_identity(table, field), **_by_identity(changed, field)}
        fields[field] = tuple(
            item
            for name, item in items.items()
            if f"{field}/{name}" not in removed_names
        )
    return msgspec.structs.replace(changed, **fields)


def _by_identity(table: RoutingTable, field: str) -> dict[str, Any]:
    items = getattr(table, field)
    if field == "routes":
        return {route.host_name + route.path_prefix: route for route in items}
    return {item.name: item for item in items}
