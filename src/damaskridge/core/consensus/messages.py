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
    "ProposalAppended",
    "ApplyEntries",
    "ChangeMembership",
    "CompactLog",
    "Event",
    "Guards",
    "LeadershipLost",
    "LeadershipWon",
    "SyncedEntriesLost",
    "Propose",
    "ReadFailed",
    "ReadReady",
    "ReadRequest",
    "MessageReceived",
    "ProposalRefused",
    "RestoreSnapshot",
    "Persist",
    "SendMessage",
    "EntriesSynced",
    "Tick",
    "TransferLeadership",
]


@dataclass(frozen=True, slots=True)
class Guards:
    """Safety rules of the log; tests switch one off to see that they find it."""

    sync_before_ack: bool = True
    pre_vote: bool = True
    current_term_commit: bool = True
    confirm_reads: bool = True
    member_id_per_disk: bool = True
    checksum: bool = True


class Event:
    """Something that happened to a node."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time passed."""


@dataclass(frozen=True, slots=True)
class MessageReceived(Event):
    """A message arrived from another member."""

    message: Message


@dataclass(frozen=True, slots=True)
class Propose(Event):
    """Commands to append as one batch."""

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class EntriesSynced(Event):
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
class CompactLog(Event):
    """Replaces the log up to the applied `index` by `state`."""

    index: int
    state: bytes


class Action:
    """Something that the driver must do, in the order given."""


@dataclass(frozen=True, slots=True)
class Persist(Action):
    """Write these; they must be synced before any later `SendMessage` leaves."""

    hard_state: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class SendMessage(Action):
    """Send a message; it may get lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntries(Action):
    """Apply committed entries."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot(Action):
    """Replace the state by that of a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ProposalAppended(Action):
    """A proposal got the indexes from `first_index` on in `term`."""

    first_index: int
    term: int


@dataclass(frozen=True, slots=True)
class ProposalRefused(Action):
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
class SyncedEntriesLost(Action):
    """The disk lost synced entries: the host must rejoin as an empty member."""
