"""What a member knows in every role, and the actions it has collected."""

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
    Log, term, vote and commit index of one member.

    Parameters
    ----------
    name : str
        The member id.
    log : RaftLog
        The log as found on disk.
    hard_state : HardState
        Term and vote as found on disk.
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
        """The membership in force, committed or not."""
        return self.log.membership()

    def take_actions(self) -> list[Action]:
        """Remove and return the collected actions."""
        actions, self.actions = self.actions, []
        return actions

    def send(self, to: str, message: Message) -> None:
        """Collect a message."""
        self.actions.append(SendMessage(to, message))

    def vote(self, term: int, voted_for: str) -> None:
        """Save a new term or the vote in the current one."""
        assert term >= self.term, "the term never decreases"
        old = self.hard_state
        assert term > old.term or old.voted_for in ("", voted_for), "one vote a term"
        self.hard_state = HardState(term, voted_for)
        self.actions.append(Persist(hard_state=self.hard_state))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append and save entries; those they conflict with are removed."""
        if not entries:
            return
        first = entries[0].index
        assert first > self.commit_index, "a committed entry is never replaced"
        if first <= self.log.last_index:
            self.log.truncate(first)
        self.log.append(entries)
        self.actions.append(Persist(entries=entries))

    def commit(self, index: int) -> None:
        """Commit and apply up to `index`; a smaller one changes nothing."""
        if index <= self.commit_index:
            return
        assert index <= self.log.last_index, "only existing entries are committed"
        self.actions.append(ApplyEntries(self.log.slice(self.commit_index + 1, index)))
        self.commit_index = index

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Tell whether a log that ends there is at least as complete as ours."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)
