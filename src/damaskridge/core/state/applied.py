"""What applying one command of the replicated log yields."""

from dataclasses import dataclass

from damaskridge.model.control import CommandResult, FleetDelta

__all__ = ["AppliedCommand"]


@dataclass(frozen=True, slots=True)
class AppliedCommand:
    """The result of a command and the delta that followers need."""

    result: CommandResult
    delta: FleetDelta
