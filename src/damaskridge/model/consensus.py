"""Log records and messages of the Raft consensus protocol of the control group."""

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
    """
    Members of the control group.

    Parameters
    ----------
    voters : tuple of str
        The members whose votes and acknowledgements count.
    learners : tuple of str
        Members that replicate the log but cannot vote.
    successors : tuple of str
        Members with a disk that were added to a running group, oldest first, while
        the members that they replace may still be in the group.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()
    successors: tuple[str, ...] = ()


class LogEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    One record of the log.

    Parameters
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that created the entry.
    command : bytes
        An encoded command of `model.control`; empty in the no-op entry that a new
        leader appends first.
    membership : Membership or None
        A membership change; it takes effect when it is appended, before it is
        committed.
    """

    index: int
    term: int
    command: bytes = b""
    membership: Membership | None = None


class HardState(msgspec.Struct, frozen=True):
    """State that a member syncs to disk before it responds to a vote or a leader."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """
    The complete state after the entry at `index`.

    `term` and `membership` are those at `index`, so that the log can continue from
    the snapshot.
    """

    index: int
    term: int
    membership: Membership
    state: bytes


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A message between members of the control group."""

    sender: str
    term: int


class VoteRequest(Message, frozen=True, kw_only=True, tag=True):
    """
    Requests a vote.

    With `pre_vote` it only asks whether the recipient would grant one. With
    `leadership_transfer` a live leader is no reason to refuse.
    """

    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteReply(Message, frozen=True, kw_only=True, tag=True):
    """Responds to a `VoteRequest`."""

    granted: bool
    pre_vote: bool = False


class AppendEntries(Message, frozen=True, kw_only=True, tag=True):
    """
    Replicates log entries; without entries it is a heartbeat.

    Parameters
    ----------
    round : int
        Number of the heartbeat round, which confirms the leadership for reads.
    acknowledged_index : int
        Highest index that the recipient has acknowledged to this leader. A recipient
        whose log is shorter has lost entries.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()
    acknowledged_index: int = 0


class AppendReply(Message, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """
    Responds to `AppendEntries`.

    If `accepted` is false, `match_index` is a hint of the index after which the
    leader retries.

    Parameters
    ----------
    is_leaving : bool
        Whether the process of the member is about to stop.
    data_centre : str
        Data centre of the member's host; empty if it is unknown, or if the member is
        an observer.
    """

    accepted: bool
    match_index: int
    round: int
    is_leaving: bool = False
    data_centre: str = ""


class InstallSnapshot(Message, frozen=True, kw_only=True, tag=True):
    """Replaces the log of a member that needs entries which are compacted away."""

    snapshot: Snapshot
    round: int


class SnapshotReply(Message, frozen=True, kw_only=True, tag=True):
    """Confirms that the snapshot up to `match_index` is synced to disk."""

    match_index: int
    round: int


class TimeoutNow(Message, frozen=True, kw_only=True, tag=True):
    """Orders an up-to-date member to start an election, to transfer leadership."""


class JoinRequest(Message, frozen=True, kw_only=True, tag=True):
    """
    Requests to join, sent by a member with an empty disk until a leader contacts it.

    A follower forwards the request to the leader once.

    Parameters
    ----------
    seen : tuple of str
        The members whose own join requests the sender has received.
    is_forwarded : bool
        Whether a follower has forwarded the request.
    is_added : bool
        Whether the sender was added after the first start of the group.
    """

    seen: tuple[str, ...] = ()
    is_forwarded: bool = False
    is_added: bool = False


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
