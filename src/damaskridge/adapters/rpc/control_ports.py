"""The typed interface between the replicated log and the control services."""

from collections.abc import AsyncIterator
from typing import Protocol

from damaskridge.core.state.applied import AppliedCommand
from damaskridge.model.control import Command, CommandResult, FleetDelta, FleetSnapshot

__all__ = ["AppliedCommand", "ControlNodePort", "ControlStatePort"]


class ControlStatePort(Protocol):
    """The state machine that the replicated log feeds."""

    def apply(self, index: int, command: Command) -> AppliedCommand:
        """Apply a committed command; deterministic, never raises."""
        ...

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return what entry hosts know of the state."""
        ...

    def encode(self) -> bytes:
        """Return the whole state for a snapshot of the log."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an encoded one."""
        ...


class ControlNodePort(Protocol):
    """One member of the control group, as the control services use it."""

    @property
    def name(self) -> str:
        """The member's name."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it leads."""
        ...

    @property
    def term(self) -> int:
        """The current term."""
        ...

    @property
    def leader_address(self) -> str:
        """RPC address of the leader, empty if unknown."""
        ...

    async def propose(self, command: Command) -> CommandResult:
        """Return the result after commit and apply, or a `NOT_LEADER` failure."""
        ...

    async def confirm_leadership(self) -> bool:
        """Tell whether a quorum acknowledged a round that began after the call."""
        ...

    def applied_deltas(self) -> AsyncIterator[FleetDelta]:
        """Yield the delta of every command applied from now on."""
        ...
