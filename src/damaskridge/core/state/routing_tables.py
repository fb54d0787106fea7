"""The routing table of the control state: the highest version is in force."""

from damaskridge.core.gateway.table_checks import table_faults
from damaskridge.core.gateway.table_delta import table_difference
from damaskridge.core.state.data import Changes, StateData, refused
from damaskridge.model.control import (
    CommandResult,
    PublishRoutingTable,
    RoutingTableActivated,
)
from damaskridge.model.errors import ErrorKind

__all__ = ["publish_table"]


def publish_table(
    data: StateData, command: PublishRoutingTable, changes: Changes
) -> CommandResult:
    """Put a table in force; the result's value is the version in force."""
    table, held = command.table, data.routing
    faults = table_faults(table)
    if faults:
        return refused(ErrorKind.INVALID_BUNDLE, faults[0])
    if table.version == held.version and table != held:
        detail = f"version {held.version} is in force with other content"
        return refused(ErrorKind.VERSION_CONFLICT, detail)
    if table.version > held.version:
        changed, removed = table_difference(held, table)
        data.routing, data.routing_source = table, command.source
        changes.append(RoutingTableActivated(changed=changed, removed=removed))
    return CommandResult(value=str(data.routing.version))
