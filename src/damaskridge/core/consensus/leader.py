"""The leader's side: replication, commit, reads, membership, transfer."""

from collections.abc import Callable

from damaskridge.core.consensus.election import ELECTION_TIMEOUT_S, HEARTBEAT_S
from damaskridge.core.consensus.member_state import MemberState
from damaskridge.core.consensus.membership import (
    is_single_change,
    next_membership,
    with_learner,
    without_silent,
)
from damaskridge.core.consensus.messages import (
    Guards,
    ProposalAppended,
    ProposalRefused,
    ReadFailed,
    ReadReady,
)
from damaskridge.core.consensus.read_index import ReadIndex
from damaskridge.core.consensus.replication import Progress, quorum_value
from damaskridge.model.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    LogEntry,
    Membership,
    SnapshotReply,
    TimeoutNow,
)

__all__ = ["MAX_ENTRIES", "Leader"]

# A command may carry a whole bundle, so that both bounds are needed.
MAX_ENTRIES = 64
MAX_BYTES = 1_000_000
SNAPSHOT_RETRY_S = 1.0
TRANSFER_TIMEOUT_S = ELECTION_TIMEOUT_S[1]
# Longer than restarts, freezes and cuts last, so that those change no membership.
EVICT_AFTER_S = 15.0


class Leader:
    """
    State that exists only while a member leads one term.

    Parameters
    ----------
    state : MemberState
        The member's log and commit index.
    guards : Guards
        Safety rules in force.
    max_entries : int
        Bound on the entries of one message.
    now_s : float
        Time of the election.
    """

    def __init__(
        self, state: MemberState, guards: Guards, max_entries: int, now_s: float
    ) -> None:
        self._max_entries = max_entries
        self._state = state
        self._guards = guards
        self._progress: dict[str, Progress] = {}
        self._reads = ReadIndex()
        self._round = 0
        self._heartbeat_due_s = now_s
        self._transfer_to = ""
        self._transfer_ends_s = now_s
        self._append((b"",), None, now_s)

    def tick(self, now_s: float) -> bool:
        """Send what is due; False once a quorum has been silent for too long."""
        if self._quorum(lambda p: p.contact_s, now_s) < now_s - ELECTION_TIMEOUT_S[1]:
            return False
        if self._transfer_to and now_s >= self._transfer_ends_s:
            self._transfer_to = ""
        self._advance_membership(now_s)
        if now_s >= self._heartbeat_due_s:
            self._broadcast(now_s)
        return True

    def propose(self, commands: tuple[bytes, ...], now_s: float) -> None:
        """Append commands, unless leadership is being handed over."""
        if self._transfer_to:
            self._state.actions.append(ProposalRefused())
            return
        first_index = self._state.log.last_index + 1
        self._append(commands, None, now_s)
        self._state.actions.append(ProposalAppended(first_index, self._state.term))

    def synced(self, index: int, term: int) -> None:
        """Count own entries that are on disk."""
        if self._state.log.term(index) == term:
            self._state.log.synced_index = index
        self._advance_commit()

    def read(self, read_id: int, now_s: float) -> None:
        """Begin a round that confirms leadership for a read."""
        self._reads.add(read_id, self._round + 1)
        self._broadcast(now_s)
        self._release_reads()

    def transfer(self, now_s: float) -> None:
        """Hand over to the voter with the most entries."""
        others = [v for v in self._state.membership.voters if v in self._progress]
        if others:
            self._transfer_to = max(others, key=lambda v: self._rank(v))
            self._transfer_ends_s = now_s + TRANSFER_TIMEOUT_S
            self._finish_transfer()

    def change(self, membership: Membership, now_s: float) -> None:
        """Append a membership with one change, if no other one is pending."""
        state = self._state
        allowed = (
            self._can_change()
            and is_single_change(state.membership, membership)
            and state.name in membership.voters
        )
        if not allowed:
            state.actions.append(ProposalRefused())
            return
        index = state.log.last_index + 1
        self._append((b"",), membership, now_s)
        state.actions.append(ProposalAppended(index, state.term))

    def join(self, member: str, now_s: float) -> None:
        """Add a member with an empty disk as a learner."""
        membership = self._state.membership
        known = member in membership.voters + membership.learners
        if not known and self._can_change():
            self._append((b"",), with_learner(membership, member), now_s)

    def append_reply(self, reply: AppendReply, now_s: float) -> None:
        """Record what a member has, and send it what is missing."""
        progress = self._progress.get(reply.sender)
        if progress is None:
            return
        progress.contact_s = now_s
        if reply.accepted:
            assert reply.match_index <= self._state.log.last_index
            progress.acknowledge(reply.match_index, reply.round)
        else:
            progress.round = max(progress.round, reply.round)
            if not progress.back_up(reply.match_index):
                return
        self._after_reply(reply.sender, now_s)

    def snapshot_reply(self, reply: SnapshotReply, now_s: float) -> None:
        """Go on after a snapshot that a member has synced."""
        progress = self._progress.get(reply.sender)
        if progress is None:
            return
        progress.contact_s = now_s
        progress.snapshot_sent_s = float("-inf")
        progress.acknowledge(reply.match_index, reply.round)
        self._after_reply(reply.sender, now_s)

    def give_up(self) -> None:
        """Fail what waits for this leader."""
        for read_id in self._reads.take_all():
            self._state.actions.append(ReadFailed(read_id))

    def _append(
        self, commands: tuple[bytes, ...], change: Membership | None, now_s: float
    ) -> None:
        first, term = self._state.log.last_index + 1, self._state.term
        self._state.append(
            tuple(LogEntry(first + i, term, c, change) for i, c in enumerate(commands))
        )
        self._follow_membership(now_s)
        self._broadcast(now_s)

    def _follow_membership(self, now_s: float) -> None:
        membership = self._state.membership
        members = set(membership.voters + membership.learners) - {self._state.name}
        for gone in set(self._progress) - members:
            del self._progress[gone]
        for new in sorted(members - set(self._progress)):
            self._progress[new] = Progress(self._state.log.last_index, now_s)

    def _broadcast(self, now_s: float) -> None:
        self._round += 1
        self._heartbeat_due_s = now_s + HEARTBEAT_S
        for member in self._progress:
            self._replicate(member, now_s)

    def _replicate(self, member: str, now_s: float) -> None:
        progress, state = self._progress[member], self._state
        previous = progress.next_index - 1
        previous_term = state.log.term(previous)
        if previous_term is None:
            self._send_snapshot(member, now_s)
            return
        entries = state.log.batch(previous + 1, self._max_entries, MAX_BYTES)
        progress.next_index += len(entries)
        self._send_entries(member, previous, previous_term, entries)

    def _send_entries(
        self, member: str, previous: int, term: int, entries: tuple[LogEntry, ...]
    ) -> None:
        state = self._state
        message = AppendEntries(
            sender=state.name,
            term=state.term,
            previous_index=previous,
            previous_term=term,
            commit_index=state.commit_index,
            round=self._round,
            entries=entries,
            acknowledged_index=self._progress[member].match_index,
        )
        state.send(member, message)

    def _send_snapshot(self, member: str, now_s: float) -> None:
        progress, state = self._progress[member], self._state
        if self._awaits_snapshot(progress, now_s):
            # Heartbeats go on, or a slow snapshot would cost the leader its quorum.
            self._send_entries(member, 0, 0, ())
            return
        progress.snapshot_sent_s = now_s
        message = InstallSnapshot(
            sender=state.name,
            term=state.term,
            snapshot=state.log.snapshot,
            round=self._round,
        )
        state.send(member, message)

    def _awaits_snapshot(self, progress: Progress, now_s: float) -> bool:
        needed = self._state.log.term(progress.next_index - 1) is None
        return needed and now_s < progress.snapshot_sent_s + SNAPSHOT_RETRY_S

    def _after_reply(self, member: str, now_s: float) -> None:
        progress = self._progress[member]
        missing = progress.next_index <= self._state.log.last_index
        if missing and not self._awaits_snapshot(progress, now_s):
            self._replicate(member, now_s)
        self._advance_commit()
        self._release_reads()
        self._finish_transfer()

    def _quorum(self, value: Callable[[Progress], float], own: float) -> float:
        voters = self._state.membership.voters
        known = self._progress
        return quorum_value(
            own if v == self._state.name else value(known[v]) for v in voters
        )

    def _advance_commit(self) -> None:
        state = self._state
        index = int(self._quorum(lambda p: p.match_index, state.log.synced_index))
        if index <= state.commit_index:
            return
        # An older term's entry may still be replaced although a quorum has it.
        if state.log.term(index) == state.term or not self._guards.current_term_commit:
            state.commit(index)
            self._release_reads()

    def _has_committed(self) -> bool:
        return self._state.log.term(self._state.commit_index) == self._state.term

    def _release_reads(self) -> None:
        if not self._has_committed() and self._guards.confirm_reads:
            return
        confirmed = int(self._quorum(lambda p: p.round, self._round))
        if not self._guards.confirm_reads:
            confirmed = self._round
        for read_id in self._reads.take_confirmed(confirmed):
            ready = ReadReady(read_id, self._state.commit_index)
            self._state.actions.append(ready)

    def _can_change(self) -> bool:
        log = self._state.log
        return self._has_committed() and (
            log.membership_index() <= self._state.commit_index
        )

    def _advance_membership(self, now_s: float) -> None:
        def caught_up(member: str) -> bool:
            progress = self._progress[member]
            recent = progress.contact_s >= now_s - ELECTION_TIMEOUT_S[0]
            return recent and progress.match_index >= self._state.commit_index

        def is_silent(member: str) -> bool:
            progress = self._progress.get(member)
            return progress is not None and progress.contact_s < now_s - EVICT_AFTER_S

        if not self._can_change():
            return
        state = self._state
        change = next_membership(state.membership, state.name, caught_up)
        if change is None:
            change = without_silent(state.membership, state.name, is_silent)
        if change is not None:
            self._append((b"",), change, now_s)

    def _rank(self, member: str) -> tuple[int, float]:
        progress = self._progress[member]
        return progress.match_index, progress.contact_s

    def _finish_transfer(self) -> None:
        progress = self._progress.get(self._transfer_to)
        if progress and progress.match_index == self._state.log.last_index:
            state = self._state
            message = TimeoutNow(sender=state.name, term=state.term)
            state.send(self._transfer_to, message)
