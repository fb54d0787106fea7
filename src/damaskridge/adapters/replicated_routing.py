"""Access of operators to the routing table, on one member of the control group."""

import secrets

from result import Err, Ok, Result

from damaskridge.adapters.operator_proposals import OperatorProposals, log_refusal
from damaskridge.core.gateway.table_checks import table_faults
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.control import PublishRoutingTable
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import RoutingTable

__all__ = ["ReplicatedRouting"]


class ReplicatedRouting:
    """
    Publishes and reads the routing table through the replicated log.

    Parameters
    ----------
    proposals : OperatorProposals
        Proposes commands to the control group.
    state : ControlState
        The state machine to which the member applies commands.
    """

    def __init__(self, proposals: OperatorProposals, state: ControlState) -> None:
        self._proposals = proposals
        self._state = state

    def leader_ip(self) -> str:
        """Return the IP address of the leader, empty if it is unknown."""
        return self._proposals.leader_ip()

    async def publish(self, table: RoutingTable, source: bytes) -> Result[int, Failure]:
        """Activate a table and return the version that is then active."""
        faults = table_faults(table)
        if faults:
            return self._refuse(table, Failure(ErrorKind.INVALID_BUNDLE, faults[0]))
        command = PublishRoutingTable(
            command_id=f"routing/{secrets.token_hex(8)}", table=table, source=source
        )
        published = await self._proposals.propose(command)
        if isinstance(published, Err):
            return self._refuse(table, published.err_value)
        return Ok(int(published.ok_value.value))

    async def read(self) -> Result[bytes, Failure]:
        """Return the active document, confirmed by a quorum; empty if there is none."""
        confirmed = await self._proposals.confirm_leadership()
        return confirmed.map(lambda _: self._state.data.routing_source)

    @staticmethod
    def _refuse(table: RoutingTable, failure: Failure) -> Result[int, Failure]:
        log_refusal(EventNumber.ROUTING_REFUSED, failure, version=table.version)
        return Err(failure)
