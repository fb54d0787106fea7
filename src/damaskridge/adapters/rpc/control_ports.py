"""Protocols between the replicated log and the control service."""

from collections.abc import AsyncIterator
from typing import Protocol

from damaskridge.core.state.applied import AppliedCommand
from damaskridge.model.control import Command, CommandResult
from damaskridge.model.follow import FleetDelta, FleetSnapshot

__all__ = ["AppliedCommand", "ControlNodePort", "ControlStatePort"]


class ControlStatePort(Protocol):
    """The state machine to which the replicated log applies commands."""

    def apply(self, index: int, command: Command) -> AppliedCommand:
        """Apply a committed command; must be deterministic and must not raise."""
        ...

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return the part of the state that is sent to entry hosts."""
        ...

    def encode(self) -> bytes:
        """Serialize the whole state for a snapshot of the log."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state with the result of an earlier `encode`."""
        ...


class ControlNodePort(Protocol):
    """A member of the control group, as the control service uses it."""

    @property
    def name(self) -> str:
        """The member's name."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it is the leader; may be stale."""
        ...

    @property
    def term(self) -> int:
        """The current Raft term."""
        ...

    @property
    def leader_address(self) -> str:
        """The RPC address of the leader; empty if unknown."""
        ...

    async def propose(self, command: Command) -> CommandResult:
        """Commit and apply a command; fail with `NOT_LEADER` on other members."""
        ...

    async def confirm_leadership(self) -> bool:
        """Return whether a quorum acknowledges a round that starts after the call."""
        ...

    async def wait_for_leader_change(self, timeout_s: float) -> None:
        """Wait until this member begins or ends to lead, or learns who does."""
        ...

    def applied_deltas(self) -> AsyncIterator[FleetDelta]:
        """Yield the delta of each command applied from now on; end if one is missed."""
        ...
