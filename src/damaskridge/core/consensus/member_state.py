"""The state that a member has in every role, and its pending actions."""

from damaskridge.core.consensus.log import RaftLog
from damaskridge.core.consensus.messages import (
    Action,
    ApplyEntries,
    Persist,
    SendMessage,
)
from damaskridge.model.consensus import HardState, LogEntry, Membership, Message

__all__ = ["MemberState"]


class MemberState:
    """
    Log, term, vote, commit index and pending actions of one member.

    Parameters
    ----------
    name : str
        The member id.
    log : RaftLog
        The log loaded from disk.
    hard_state : HardState
        Term and vote loaded from disk.
    """

    def __init__(self, name: str, log: RaftLog, hard_state: HardState) -> None:
        self.name = name
        self.log = log
        self.hard_state = hard_state
        self.commit_index = log.snapshot.index
        self.actions: list[Action] = []

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The last membership of the log, whether or not it is committed."""
        return self.log.membership()

    def take_actions(self) -> list[Action]:
        """Remove and return the pending actions."""
        actions, self.actions = self.actions, []
        return actions

    def send(self, to: str, message: Message) -> None:
        """Add an action that sends a message to a member id or host name."""
        self.actions.append(SendMessage(to, message))

    def set_term_and_vote(self, term: int, voted_for: str) -> None:
        """Persist a new term, or the vote in the current term."""
        assert term >= self.term, "term must never decrease"
        previous = self.hard_state
        assert term > previous.term or previous.voted_for in ("", voted_for), (
            "a member must not vote twice in one term"
        )
        self.hard_state = HardState(term, voted_for)
        self.actions.append(Persist(hard_state=self.hard_state))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append and persist entries; remove the ones with which they conflict."""
        if not entries:
            return
        first = entries[0].index
        assert first > self.commit_index, "a committed entry must not be replaced"
        if first <= self.log.last_index:
            self.log.truncate(first)
        self.log.append(entries)
        self.actions.append(Persist(entries=entries))

    def commit(self, index: int) -> None:
        """Advance the commit index and apply the entries; never moves it back."""
        if index <= self.commit_index:
            return
        assert index <= self.log.last_index, (
            "commit index exceeds the last index of the log"
        )
        self.actions.append(ApplyEntries(self.log.slice(self.commit_index + 1, index)))
        self.commit_index = index

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Return whether a log with this last entry is at least as up to date."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)
