"""The outcome of applying one command of the replicated log."""

from dataclasses import dataclass

from damaskridge.model.control import CommandResult
from damaskridge.model.follow import FleetDelta

__all__ = ["AppliedCommand"]


@dataclass(frozen=True, slots=True)
class AppliedCommand:
    """
    The outcome of one command.

    Attributes
    ----------
    result : CommandResult
        What the proposer of the command receives.
    delta : FleetDelta
        What entry hosts receive; without changes if the command altered nothing
        that they can see.
    """

    result: CommandResult
    delta: FleetDelta
