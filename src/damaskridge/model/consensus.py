"""Records and messages of the replicated log."""

import msgspec

__all__ = [
    "AnyMessage",
    "AppendEntries",
    "AppendReply",
    "HardState",
    "InstallSnapshot",
    "JoinRequest",
    "LogEntry",
    "Membership",
    "Message",
    "Snapshot",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


class Membership(msgspec.Struct, frozen=True):
    """Members of the control group; `learners` replicate without a vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class LogEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    One record of the log.

    Parameters
    ----------
    index : int
        Position, from 1.
    term : int
        Term of the leader that created the entry.
    command : bytes
        An encoded command of `model.control`; empty for a leader's first entry.
    membership : Membership or None
        A membership change; in force from when it is appended.
    """

    index: int
    term: int
    command: bytes = b""
    membership: Membership | None = None


class HardState(msgspec.Struct, frozen=True):
    """What must be synced before a member answers a vote or a leader."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """The whole state after `index`, with what the log needs to go on."""

    index: int
    term: int
    membership: Membership
    state: bytes


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A message between members of the control group."""

    sender: str
    term: int


class VoteRequest(Message, frozen=True, kw_only=True, tag=True):
    """Asks for a vote; `pre_vote` asks whether a vote would be given."""

    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteReply(Message, frozen=True, kw_only=True, tag=True):
    """Answers a `VoteRequest`."""

    granted: bool
    pre_vote: bool = False


class AppendEntries(Message, frozen=True, kw_only=True, tag=True):
    """
    Replicates entries, or none as a heartbeat.

    Parameters
    ----------
    round : int
        Numbers the rounds that confirm reads.
    acknowledged_index : int
        Index up to which the recipient has acknowledged the sender's log.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()
    acknowledged_index: int = 0


class AppendReply(Message, frozen=True, kw_only=True, tag=True):
    """Answers `AppendEntries`; on a refusal `match_index` is where to retry from."""

    accepted: bool
    match_index: int
    round: int


class InstallSnapshot(Message, frozen=True, kw_only=True, tag=True):
    """Brings a member that is too far behind up to date."""

    snapshot: Snapshot
    round: int


class SnapshotReply(Message, frozen=True, kw_only=True, tag=True):
    """Confirms that a snapshot up to `match_index` is synced."""

    match_index: int
    round: int


class TimeoutNow(Message, frozen=True, kw_only=True, tag=True):
    """Tells a caught-up member to start an election at once."""


class JoinRequest(Message, frozen=True, kw_only=True, tag=True):
    """
    Sent by a member with an empty disk until it hears from a leader.

    `seen` are the members with empty disks that the sender has heard from.
    """

    seen: tuple[str, ...] = ()


AnyMessage = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
    | JoinRequest
)
