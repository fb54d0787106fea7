"""
Events that a Raft node handles, and actions that its driver performs.

The messages between members are in `model.consensus`.
"""

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
    "ApplyEntries",
    "BeginLeave",
    "ChangeMembership",
    "CompactLog",
    "EntriesSynced",
    "Event",
    "Guards",
    "HostRefusedConnection",
    "LeadershipLost",
    "LeadershipWon",
    "MessageReceived",
    "Persist",
    "ProposalAppended",
    "ProposalRefused",
    "Propose",
    "ReadFailed",
    "ReadReady",
    "ReadRequest",
    "RestoreSnapshot",
    "SendMessage",
    "SyncedEntriesLost",
    "Tick",
    "TransferLeadership",
]


@dataclass(frozen=True, slots=True)
class Guards:
    """
    Safety rules of the consensus protocol, all enabled outside tests.

    A test disables one of them to show that the randomised runs detect its absence.

    Parameters
    ----------
    sync_before_ack : bool
        Saved data is synced to disk before any message is sent.
    pre_vote : bool
        A candidate asks for preliminary votes before it raises its term, and a member
        in contact with a leader ignores requests for votes.
    current_term_commit : bool
        A leader commits only entries of its own term by counting acknowledgements.
    confirm_reads : bool
        A read waits until the leader has committed an entry of its term and a quorum
        has confirmed its leadership.
    member_id_per_disk : bool
        A host that lost its disk gets another member id, so that none of its earlier
        votes and acknowledgements are counted for it.
    checksum : bool
        The log store verifies the checksums of its records.
    """

    sync_before_ack: bool = True
    pre_vote: bool = True
    current_term_commit: bool = True
    confirm_reads: bool = True
    member_id_per_disk: bool = True
    checksum: bool = True


class Event:
    """An input of a node."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed; timeouts and heartbeats may be due."""


@dataclass(frozen=True, slots=True)
class MessageReceived(Event):
    """A message from another member was received."""

    message: Message


@dataclass(frozen=True, slots=True)
class Propose(Event):
    """Commands were proposed, to be appended as one batch."""

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class EntriesSynced(Event):
    """The log is synced to disk up to the entry `index` of `term`."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReadRequest(Event):
    """A linearizable read was requested; `ReadReady` or `ReadFailed` follows."""

    read_id: int


@dataclass(frozen=True, slots=True)
class TransferLeadership(Event):
    """The leader is to transfer leadership to the most up-to-date voter."""


@dataclass(frozen=True, slots=True)
class BeginLeave(Event):
    """
    The process is about to stop.

    The member hands over leadership, and the leader makes it a learner if the group
    tolerates the loss of another disk only without its vote.
    """


@dataclass(frozen=True, slots=True)
class HostRefusedConnection(Event):
    """A host refused a connection, so that no process of the group runs there."""

    host: str


@dataclass(frozen=True, slots=True)
class ChangeMembership(Event):
    """A membership was proposed that adds or removes at most one voter."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class CompactLog(Event):
    """The log up to the applied `index` is to be replaced by a snapshot, `state`."""

    index: int
    state: bytes


class Action:
    """An output of a node, which its driver performs in the order returned."""


@dataclass(frozen=True, slots=True)
class Persist(Action):
    """Write to disk, and sync before any later `SendMessage` is performed."""

    hard_state: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class SendMessage(Action):
    """Send a message to a member id or host name; delivery is not guaranteed."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntries(Action):
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot(Action):
    """Replace the state of the state machine by that of a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ProposalAppended(Action):
    """A proposal was appended in `term` from `first_index` on; it may never commit."""

    first_index: int
    term: int


@dataclass(frozen=True, slots=True)
class ProposalRefused(Action):
    """A proposal was refused; the node is no leader or cannot accept it now."""


@dataclass(frozen=True, slots=True)
class ReadReady(Action):
    """A read is linearizable once `index` has been applied."""

    read_id: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed(Action):
    """The node is not the leader, or lost leadership before confirming it."""

    read_id: int


@dataclass(frozen=True, slots=True)
class LeadershipWon(Action):
    """The node became the leader of `term`."""

    term: int


@dataclass(frozen=True, slots=True)
class LeadershipLost(Action):
    """The node stepped down as leader."""


@dataclass(frozen=True, slots=True)
class SyncedEntriesLost(Action):
    """The disk lost synced entries; the host must join again with an empty disk."""
