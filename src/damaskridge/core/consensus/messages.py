"""Events that a Raft node receives and actions that it asks for."""

from dataclasses import dataclass

from damaskridge.model.consensus import (
    HardState,
    LogEntry,
    Membership,
    Message,
    Snapshot,
)

__all__ = [
    "Action",
    "Appended",
    "Apply",
    "ChangeMembership",
    "Compact",
    "Event",
    "Guards",
    "LeadershipLost",
    "LeadershipWon",
    "LogLost",
    "Propose",
    "ReadFailed",
    "ReadReady",
    "ReadRequest",
    "Received",
    "Refused",
    "Restore",
    "Save",
    "Send",
    "Synced",
    "Tick",
    "TransferLeadership",
]


@dataclass(frozen=True, slots=True)
class Guards:
    """Safety rules of the log; tests switch one off to see that they find it."""

    sync_before_ack: bool = True
    pre_vote: bool = True
    current_term_commit: bool = True
    read_round: bool = True
    blank_vote: bool = True
    checksum: bool = True


class Event:
    """Something that happened to a node."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time passed."""


@dataclass(frozen=True, slots=True)
class Received(Event):
    """A message arrived from another member."""

    message: Message


@dataclass(frozen=True, slots=True)
class Propose(Event):
    """Commands to append as one batch."""

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Synced(Event):
    """Everything saved up to entry `index` of `term` is on disk."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReadRequest(Event):
    """Asks for an index at which a read is current."""

    read_id: int


@dataclass(frozen=True, slots=True)
class TransferLeadership(Event):
    """Asks the leader to hand over to the most advanced voter."""


@dataclass(frozen=True, slots=True)
class ChangeMembership(Event):
    """Asks for a membership that differs in one server from the present one."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class Compact(Event):
    """Replaces the log up to the applied `index` by `state`."""

    index: int
    state: bytes


class Action:
    """Something that the driver must do, in the order given."""


@dataclass(frozen=True, slots=True)
class Save(Action):
    """Write these; they must be synced before any later `Send` leaves."""

    hard_state: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Send(Action):
    """Send a message; it may get lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Apply(Action):
    """Apply committed entries."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Restore(Action):
    """Replace the state by that of a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Appended(Action):
    """A proposal got the indexes from `first_index` on in `term`."""

    first_index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused(Action):
    """A proposal was not appended."""


@dataclass(frozen=True, slots=True)
class ReadReady(Action):
    """A read is current once `index` is applied."""

    read_id: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed(Action):
    """The node is not the leader or could not confirm it."""

    read_id: int


@dataclass(frozen=True, slots=True)
class LeadershipWon(Action):
    """The node leads `term`."""

    term: int


@dataclass(frozen=True, slots=True)
class LeadershipLost(Action):
    """The node no longer leads."""


@dataclass(frozen=True, slots=True)
class LogLost(Action):
    """The disk lost synced entries: the host must rejoin as an empty member."""
