"""Access of operators to the routing table, on one member of the control group."""

import logging
import secrets

import anyio
from result import Err, Ok, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.core.gateway.table_checks import table_faults
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.control import PublishRoutingTable
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import RoutingTable

__all__ = ["ReplicatedRouting"]

# Operators try another host after a second, so a later response is lost.
RESPONSE_TIMEOUT_S = 0.9

_logger = logging.getLogger("damaskridge.control")


class ReplicatedRouting:
    """
    Publishes and reads the routing table through the replicated log.

    Parameters
    ----------
    node : ControlNodePort
        This member of the control group.
    state : ControlState
        The state machine to which the member applies commands.
    """

    def __init__(self, node: ControlNodePort, state: ControlState) -> None:
        self._node = node
        self._state = state

    def leader_ip(self) -> str:
        """Return the IP address of the leader, empty if it is unknown."""
        return self._node.leader_address.rpartition(":")[0]

    async def publish(self, table: RoutingTable, source: bytes) -> Result[int, Failure]:
        """Activate a table and return the version that is then active."""
        faults = table_faults(table)
        if faults:
            return self._refuse(table, Failure(ErrorKind.INVALID_BUNDLE, faults[0]))
        if not self._node.is_leader:
            return Err(self._not_leader())
        command = PublishRoutingTable(
            command_id=f"routing/{secrets.token_hex(8)}", table=table, source=source
        )
        with anyio.move_on_after(RESPONSE_TIMEOUT_S):
            result = await self._node.propose(command)
            if result.failure is not None:
                return self._refuse(table, result.failure)
            return Ok(int(result.value))
        return self._refuse(
            table, Failure(ErrorKind.CONTROL_UNAVAILABLE, "no quorum in time")
        )

    async def read(self) -> Result[bytes, Failure]:
        """Return the active document, confirmed by a quorum; empty if there is none."""
        if not self._node.is_leader:
            return Err(self._not_leader())
        with anyio.move_on_after(RESPONSE_TIMEOUT_S):
            if await self._node.confirm_leadership():
                return Ok(self._state.data.routing_source)
            return Err(self._not_leader())
        return Err(Failure(ErrorKind.CONTROL_UNAVAILABLE, "no quorum in time"))

    def _not_leader(self) -> Failure:
        leader = "" if self._node.is_leader else self._node.leader_address
        return Failure(ErrorKind.NOT_LEADER, leader=leader)

    @staticmethod
    def _refuse(table: RoutingTable, failure: Failure) -> Result[int, Failure]:
        log_event(
            _logger,
            EventNumber.ROUTING_REFUSED,
            version=table.version,
            error_kind=failure.kind.value,
            detail=failure.detail,
        )
        return Err(failure)
