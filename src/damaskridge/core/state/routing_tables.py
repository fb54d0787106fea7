"""Publication of routing tables; the highest published version is in force."""

from damaskridge.core.gateway.table_checks import table_faults
from damaskridge.core.gateway.table_delta import table_difference
from damaskridge.core.state.data import Changes, StateData, refusal
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
    """
    Put a table in force if its version is higher than the current one.

    A lower version, or the same table again, changes nothing and is not refused. The
    result's `value` is the version in force.
    """
    table, current = command.table, data.routing
    # A build before decoded fewer fields of the same document.
    is_same = table == current or command.source == data.routing_source
    faults = table_faults(table)
    if faults:
        return refusal(ErrorKind.INVALID_BUNDLE, faults[0])
    if table.version == current.version and not is_same:
        detail = f"version {current.version} is in force with other content"
        return refusal(ErrorKind.VERSION_CONFLICT, detail)
    if table.version > current.version:
        changed, removed = table_difference(current, table)
        data.routing, data.routing_source = table, command.source
        changes.append(RoutingTableActivated(changed=changed, removed=removed))
    return CommandResult(value=str(data.routing.version))
