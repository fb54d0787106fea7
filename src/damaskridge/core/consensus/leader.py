"""The leader: replication, commit, reads, membership changes and transfer."""

from collections.abc import Callable

from damaskridge.core.consensus.election import (
    ELECTION_TIMEOUT_RANGE_S,
    HEARTBEAT_INTERVAL_S,
)
from damaskridge.core.consensus.member_state import MemberState
from damaskridge.core.consensus.membership import (
    host_name,
    is_single_voter_change,
    with_learner,
)
from damaskridge.core.consensus.membership_changes import (
    VOTER_DEMOTION_TIMEOUT_S,
    CommitRule,
    MembershipChanges,
)
from damaskridge.core.consensus.messages import (
    Guards,
    ProposalAppended,
    ProposalRefused,
    ReadFailed,
    ReadReady,
)
from damaskridge.core.consensus.read_index import ReadIndexQueue
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

__all__ = ["MAX_ENTRIES_PER_MESSAGE", "Leader"]

# Both limits are needed, because a command may contain a whole bundle. A single
# command that exceeds the second is sent alone.
MAX_ENTRIES_PER_MESSAGE = 64
MAX_COMMAND_BYTES_PER_MESSAGE = 1_000_000
SNAPSHOT_RETRY_INTERVAL_S = 1.0
TRANSFER_TIMEOUT_S = ELECTION_TIMEOUT_RANGE_S[1]


class Leader:
    """
    The volatile state of a leader, discarded at the end of its term.

    Parameters
    ----------
    state : MemberState
        The member's log, term and commit index.
    guards : Guards
        The safety rules that are enabled.
    max_entries : int
        Maximum number of entries in one message.
    now_s : float
        Time at which the election was won.
    tolerated_losses : int or None
        Number of hosts that may be lost at a time; None if it is unknown.
    data_centre : str
        Data centre of the leader's host; empty if it is unknown.
    """

    def __init__(
        self,
        state: MemberState,
        guards: Guards,
        max_entries: int,
        now_s: float,
        tolerated_losses: int | None = None,
        data_centre: str = "",
    ) -> None:
        self._max_entries = max_entries
        self._state = state
        self._guards = guards
        self._progress: dict[str, Progress] = {}
        self._changes = MembershipChanges(
            state.name, self._progress, data_centre, tolerated_losses, now_s
        )
        self._commit_rule = CommitRule.QUORUM
        self._pending_reads = ReadIndexQueue()
        self._round = 0
        self._next_heartbeat_s = now_s
        self._transfer_target = ""
        self._transfer_deadline_s = now_s
        self._replicated_index = state.commit_index
        self._awaited_index = state.commit_index
        self._awaited_since_s = now_s
        self._first_index = state.log.last_index + 1
        self._append_and_replicate((b"",), None, now_s)

    def tick(self, now_s: float) -> bool:
        """
        Send heartbeats, advance the membership and expire a transfer, if due.

        Returns
        -------
        bool
            False if no quorum has responded for an election timeout, so that the
            leader must step down.
        """
        if (
            self._quorum_value(lambda p: p.silent_since_s, now_s)
            < now_s - ELECTION_TIMEOUT_RANGE_S[1]
        ):
            return False
        if self._transfer_target and now_s >= self._transfer_deadline_s:
            self._transfer_target = ""
        self._advance_membership(now_s)
        self._update_commit_rule(now_s)
        if now_s >= self._next_heartbeat_s:
            self._replicate_to_all(now_s)
        return True

    def propose(self, commands: tuple[bytes, ...], now_s: float) -> None:
        """Append commands, or refuse them during a leadership transfer."""
        if self._transfer_target:
            self._state.actions.append(ProposalRefused())
            return
        first_index = self._state.log.last_index + 1
        self._append_and_replicate(commands, None, now_s)
        self._state.actions.append(ProposalAppended(first_index, self._state.term))

    def record_synced(self, index: int, term: int) -> None:
        """Record up to where the leader's own log is synced."""
        if self._state.log.term(index) == term:
            self._state.log.synced_index = index
        self._advance_commit()

    def request_read(self, read_id: int, now_s: float) -> None:
        """Queue a read and start the heartbeat round that confirms leadership."""
        self._pending_reads.add(read_id, self._round + 1)
        self._replicate_to_all(now_s)
        self._complete_reads()

    def transfer_leadership(self, now_s: float) -> None:
        """
        Start a transfer to the voter whose log is most up to date, if one is present.

        Until the transfer ends, no command is accepted. A voter that is gone would hold
        the commands back for nothing.
        """
        candidates = [
            voter
            for voter in self._successors()
            if self._progress[voter].is_present(now_s)
        ]
        if candidates and not self._transfer_target:
            self._transfer_target = max(candidates, key=self._transfer_rank)
            self._transfer_deadline_s = now_s + TRANSFER_TIMEOUT_S
            self._complete_transfer()

    def has_successor(self) -> bool:
        """Return whether there is a voter that leadership can be transferred to."""
        return bool(self._successors())

    def change_membership(self, membership: Membership, now_s: float) -> None:
        """Append a single-server change, or refuse it while another is pending."""
        state = self._state
        is_allowed = (
            self._can_change_membership()
            and is_single_voter_change(state.membership, membership)
            and state.name in membership.voters
        )
        if not is_allowed:
            state.actions.append(ProposalRefused())
            return
        index = state.log.last_index + 1
        self._append_and_replicate((b"",), membership, now_s)
        state.actions.append(ProposalAppended(index, state.term))

    def add_learner(self, member: str, is_added: bool, now_s: float) -> None:
        """
        Add a member that requested to join as a learner.

        `is_added` tells that its host was added after the first start of the group.
        """
        membership = self._state.membership
        is_member = member in membership.voters + membership.learners
        if not is_member and self._can_change_membership():
            change = with_learner(membership, member, is_added=is_added)
            self._append_and_replicate((b"",), change, now_s)

    def handle_append_reply(self, reply: AppendReply, now_s: float) -> None:
        """Update the progress of a member and send it the next entries."""
        progress = self._progress.get(reply.sender)
        if progress is None:
            return
        progress.record_contact(now_s)
        progress.is_leaving = reply.is_leaving
        progress.data_centre = reply.data_centre
        if reply.accepted:
            assert reply.match_index <= self._state.log.last_index
            progress.record_acknowledgement(reply.match_index, reply.round)
        else:
            progress.round = max(progress.round, reply.round)
            if not progress.record_refusal(reply.match_index):
                return
        self._continue_replication(reply.sender, now_s)

    def handle_snapshot_reply(self, reply: SnapshotReply, now_s: float) -> None:
        """Continue with the entries after a snapshot that a member has installed."""
        progress = self._progress.get(reply.sender)
        if progress is None:
            return
        progress.record_contact(now_s)
        progress.snapshot_sent_s = float("-inf")
        progress.record_acknowledgement(reply.match_index, reply.round)
        self._continue_replication(reply.sender, now_s)

    def record_refused_connection(self, host: str) -> None:
        """Record that no process of the group runs on a host."""
        for member, progress in self._progress.items():
            if host_name(member) == host:
                progress.is_stopped = True

    def step_down(self) -> None:
        """Fail all pending reads."""
        for read_id in self._pending_reads.take_all():
            self._state.actions.append(ReadFailed(read_id))

    def _append_and_replicate(
        self, commands: tuple[bytes, ...], change: Membership | None, now_s: float
    ) -> None:
        first, term = self._state.log.last_index + 1, self._state.term
        self._state.append(
            tuple(LogEntry(first + i, term, c, change) for i, c in enumerate(commands))
        )
        self._update_progress(now_s)
        self._update_commit_rule(now_s)
        self._replicate_to_all(now_s)

    def _update_progress(self, now_s: float) -> None:
        membership = self._state.membership
        members = set(membership.voters + membership.learners) - {self._state.name}
        for removed in set(self._progress) - members:
            del self._progress[removed]
        for added in sorted(members - set(self._progress)):
            self._progress[added] = Progress(self._state.log.last_index, now_s)

    def _replicate_to_all(self, now_s: float) -> None:
        self._round += 1
        self._next_heartbeat_s = now_s + HEARTBEAT_INTERVAL_S
        for member in self._progress:
            self._replicate(member, now_s)

    def _replicate(self, member: str, now_s: float) -> None:
        progress, state = self._progress[member], self._state
        previous = progress.next_index - 1
        previous_term = state.log.term(previous)
        if previous_term is None:
            self._send_snapshot(member, now_s)
            return
        entries = state.log.batch(
            previous + 1, self._max_entries, MAX_COMMAND_BYTES_PER_MESSAGE
        )
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
        if self._is_snapshot_pending(progress, now_s):
            # Heartbeats continue during a slow transfer of the snapshot. Otherwise the
            # leader would miss this member's responses and lose its quorum.
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

    def _is_snapshot_pending(self, progress: Progress, now_s: float) -> bool:
        needs_snapshot = self._state.log.term(progress.next_index - 1) is None
        return (
            needs_snapshot
            and now_s < progress.snapshot_sent_s + SNAPSHOT_RETRY_INTERVAL_S
        )

    def _continue_replication(self, member: str, now_s: float) -> None:
        progress = self._progress[member]
        is_behind = progress.next_index <= self._state.log.last_index
        if is_behind and not self._is_snapshot_pending(progress, now_s):
            self._replicate(member, now_s)
        self._advance_commit()
        self._complete_reads()
        self._complete_transfer()

    def _quorum_value(self, value: Callable[[Progress], float], own: float) -> float:
        voters = self._state.membership.voters
        progress = self._progress
        return quorum_value(
            own if v == self._state.name else value(progress[v]) for v in voters
        )

    def _update_commit_rule(self, now_s: float) -> None:
        self._commit_rule = self._changes.commit_rule(
            self._state.membership, self._required_index(), now_s
        )

    def _advance_commit(self) -> None:
        """Commit what a quorum has, or all voters while one of them may be gone."""
        state = self._state
        index = int(self._quorum_value(lambda p: p.match_index, state.log.synced_index))
        if not self._can_commit(index):
            return
        self._replicated_index = max(self._replicated_index, index)
        if self._is_commit_delayed():
            return
        if self._commit_rule is CommitRule.ALL_VOTERS:
            index = min(index, self._index_of_all_voters())
        if index > state.commit_index and self._can_commit(index):
            state.commit(index)
            self._complete_reads()

    def _is_commit_delayed(self) -> bool:
        """Return whether the next change of members has to be replicated first."""
        if not self._state.membership.successors:
            return False
        is_pending = self._state.log.membership_index() > self._replicated_index
        return is_pending or self._commit_rule is CommitRule.NONE

    def _can_commit(self, index: int) -> bool:
        # An entry of an earlier term may still be replaced although a quorum has it
        # (Raft, section 5.4.2), so only an entry of this term is committed by counting.
        return (
            self._state.log.term(index) == self._state.term
            or not self._guards.current_term_commit
        )

    def _index_of_all_voters(self) -> int:
        """Return the index up to which all voters have synced the log."""
        log, progress = self._state.log, self._progress
        return min(
            log.synced_index
            if voter == self._state.name
            else progress[voter].match_index
            for voter in self._state.membership.voters
        )

    def _has_committed_in_term(self) -> bool:
        return self._state.log.term(self._state.commit_index) == self._state.term

    def _complete_reads(self) -> None:
        if not self._has_committed_in_term() and self._guards.confirm_reads:
            return
        confirmed_round = int(self._quorum_value(lambda p: p.round, self._round))
        if not self._guards.confirm_reads:
            confirmed_round = self._round
        for read_id in self._pending_reads.take_confirmed(confirmed_round):
            ready = ReadReady(read_id, self._state.commit_index)
            self._state.actions.append(ready)

    def _can_change_membership(self) -> bool:
        # A change that takes the vote of a lost voter must not wait for that voter.
        log, index = self._state.log, self._replicated_index
        return log.term(index) == self._state.term and log.membership_index() <= index

    def _advance_membership(self, now_s: float) -> None:
        """Make the next change of members, if one is due and none is pending."""
        state = self._state
        if self._awaited_index <= state.commit_index:
            self._awaited_index = self._replicated_index
            self._awaited_since_s = now_s
        if not self._can_change_membership():
            return
        if self._changes.is_leader_replaced(state.membership, now_s):
            self.transfer_leadership(now_s)
        is_late = now_s > self._awaited_since_s + VOTER_DEMOTION_TIMEOUT_S
        change = self._changes.next_change(
            state.membership,
            self._required_index(),
            self._awaited_index if is_late else 0,
            now_s,
        )
        if change is not None:
            self._append_and_replicate((b"",), change, now_s)

    def _required_index(self) -> int:
        """
        Return the index that a learner must have reached to become a voter.

        Until a leader has committed an entry of its term, its commit index may be
        lower than that of its predecessor, even 0. All that earlier leaders may have
        committed precedes the first entry of the term.
        """
        return max(self._state.commit_index, self._first_index)

    def _successors(self) -> list[str]:
        """Return the other voters, without those that are about to stop."""
        return [
            voter
            for voter in self._state.membership.voters
            if voter in self._progress and not self._progress[voter].is_leaving
        ]

    def _transfer_rank(self, member: str) -> tuple[int, float]:
        progress = self._progress[member]
        return progress.match_index, progress.silent_since_s

    def _complete_transfer(self) -> None:
        progress = self._progress.get(self._transfer_target)
        if progress and progress.match_index == self._state.log.last_index:
            state = self._state
            message = TimeoutNow(sender=state.name, term=state.term)
            state.send(self._transfer_target, message)
