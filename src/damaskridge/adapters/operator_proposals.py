"""Proposals of operators to the control group, on one of its members."""

import logging
from typing import Any

import anyio
from result import Err, Ok, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.model.control import Command, CommandResult
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber

__all__ = ["RESPONSE_TIMEOUT_S", "OperatorProposals", "log_refusal"]

# Operators try another host after a second, so a later response is lost.
RESPONSE_TIMEOUT_S = 0.9

_logger = logging.getLogger("damaskridge.control")


class OperatorProposals:
    """
    Proposes commands of operators in time for their response.

    Parameters
    ----------
    node : ControlNodePort
        This member of the control group.
    """

    def __init__(self, node: ControlNodePort) -> None:
        self._node = node

    def leader_ip(self) -> str:
        """Return the IP address of the leader, empty if it is unknown."""
        return self._node.leader_address.rpartition(":")[0]

    def not_leader(self) -> Failure:
        """Return the failure of a command on a member that doesn't lead."""
        leader = "" if self._node.is_leader else self._node.leader_address
        return Failure(ErrorKind.NOT_LEADER, leader=leader)

    async def propose(self, command: Command) -> Result[CommandResult, Failure]:
        """Commit a command, or return why it was refused or isn't known to be."""
        if not self._node.is_leader:
            return Err(self.not_leader())
        with anyio.move_on_after(RESPONSE_TIMEOUT_S):
            result = await self._node.propose(command)
            if result.failure is not None:
                return Err(result.failure)
            return Ok(result)
        return Err(no_quorum())

    async def confirm_leadership(self) -> Result[None, Failure]:
        """Confirm with a quorum that this member leads."""
        if not self._node.is_leader:
            return Err(self.not_leader())
        with anyio.move_on_after(RESPONSE_TIMEOUT_S):
            if await self._node.confirm_leadership():
                return Ok(None)
            return Err(self.not_leader())
        return Err(no_quorum())


def no_quorum() -> Failure:
    """Return the failure of a command that no quorum has confirmed in time."""
    return Failure(ErrorKind.CONTROL_UNAVAILABLE, "no quorum in time")


def log_refusal(event: EventNumber, failure: Failure, **fields: Any) -> None:
    """
    Log that a proposal was refused.

    Parameters
    ----------
    event : EventNumber
        The event of refusals of this kind.
    failure : Failure
        Why it was refused. A redirection to the leader is no refusal.
    **fields
        What was proposed.
    """
    if failure.kind is not ErrorKind.NOT_LEADER:
        log_event(
            _logger,
            event,
            **fields,
            error_kind=failure.kind.value,
            detail=failure.detail,
        )
