"""A Raft node: a deterministic state machine that performs no I/O."""

import random
from functools import singledispatchmethod

from msgspec import structs

from damaskridge.core.consensus.election import (
    ELECTION_TIMEOUT_RANGE_S,
    Role,
    VoteCount,
    election_timeout_s,
)
from damaskridge.core.consensus.joining import BOOTSTRAP_TERM, JoinProtocol
from damaskridge.core.consensus.leader import MAX_ENTRIES_PER_MESSAGE, Leader
from damaskridge.core.consensus.log import RaftLog
from damaskridge.core.consensus.member_state import MemberState
from damaskridge.core.consensus.membership import (
    is_observer,
    is_vote_needed,
    may_have_spare,
)
from damaskridge.core.consensus.messages import (
    Action,
    BeginLeave,
    ChangeMembership,
    CompactLog,
    EntriesSynced,
    Event,
    Guards,
    HostRefusedConnection,
    LeadershipLost,
    LeadershipWon,
    MessageReceived,
    Persist,
    ProposalRefused,
    Propose,
    ReadFailed,
    ReadRequest,
    RestoreSnapshot,
    SyncedEntriesLost,
    Tick,
    TransferLeadership,
)
from damaskridge.model.consensus import (
    AppendEntries,
    AppendReply,
    HardState,
    InstallSnapshot,
    JoinRequest,
    Message,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

__all__ = ["RaftNode"]

# Wide enough that members that start together seldom become candidates at the same
# time.
INITIAL_ELECTION_TIMEOUT_RANGE_S = (0.05, 0.25)
# Above the duration of an election, during which no request to join is needed.
REJOIN_TIMEOUT_S = 1.5


class RaftNode:
    """
    One member of the control group.

    Parameters
    ----------
    name : str
        Member id, ``<host name>#<disk id>``.
    log : RaftLog
        The log loaded from disk.
    hard_state : HardState
        Term and vote loaded from disk.
    rng : random.Random
        Source of the election timeouts.
    now_s : float
        Current time.
    hosts : tuple of str
        Names of all hosts of the group. The first one with a disk bootstraps the group
        once all others have reported an empty disk.
    may_bootstrap : bool
        Whether this member may bootstrap a new group.
    max_entries : int
        Maximum number of entries in one message.
    guards : Guards
        The safety rules; all are enabled outside tests.
    tolerated_losses : int or None
        Number of hosts that may be lost at a time; None if it is unknown.
    is_added : bool
        Whether the host was added after the first start of the group.
    data_centre : str
        Data centre of the host; empty if it is unknown.

    Attributes
    ----------
    role : Role
        The current role.
    leader_name : str
        Member id of the current leader; empty if unknown.
    """

    def __init__(
        self,
        name: str,
        log: RaftLog,
        hard_state: HardState,
        rng: random.Random,
        now_s: float,
        hosts: tuple[str, ...] = (),
        may_bootstrap: bool = True,
        max_entries: int = MAX_ENTRIES_PER_MESSAGE,
        guards: Guards | None = None,
        tolerated_losses: int | None = None,
        is_added: bool = False,
        data_centre: str = "",
    ) -> None:
        # Observers have no vote that a successor could take.
        self._data_centre = "" if is_observer(name) else data_centre
        self._tolerated_losses = tolerated_losses
        self._state = MemberState(name, log, hard_state)
        self._rng = rng
        self._guards = guards or Guards()
        self._max_entries = max_entries
        self._leader: Leader | None = None
        self._votes = VoteCount()
        self._join_protocol = JoinProtocol(
            self._state, hosts, may_bootstrap, now_s, is_added
        )
        self._last_leader_contact_s = float("-inf")
        self._started_s = now_s
        self._is_leaving = False
        self.role = Role.FOLLOWER
        self.leader_name = ""
        # Shorter than the election timeout, because there is no leader to wait for if
        # all members start at once. A member that starts alone does not disrupt a
        # leader, because the others do not grant its preliminary vote.
        self._election_deadline_s = now_s + rng.uniform(
            *INITIAL_ELECTION_TIMEOUT_RANGE_S
        )

    @property
    def name(self) -> str:
        """The member id."""
        return self._state.name

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def log(self) -> RaftLog:
        """The log; callers must not change it."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index up to which entries are known to be committed."""
        return self._state.commit_index

    @property
    def hard_state(self) -> HardState:
        """The persistent term and vote."""
        return self._state.hard_state

    @property
    def may_stop(self) -> bool:
        """
        Whether the process may stop, after `BeginLeave`.

        It may not while the member leads, or while the group has a vote that it could
        do without, or a learner that could take it: its quorum would count a member
        that is gone.
        """
        state, membership = self._state, self._state.membership
        if not self._is_leaving:
            return False
        if self._leader is not None and self._leader.has_successor():
            return False
        if self.name in membership.voters:
            # A leader that still is one has no other voter that stays.
            has_spare = self._leader is None and may_have_spare(membership)
            return is_vote_needed(membership, self._tolerated_losses) and not has_spare
        return self.log.membership_index() <= state.commit_index

    def add_join_target(self, host: str) -> None:
        """Also send requests to join to a host that addresses this one as a member."""
        self._join_protocol.add_join_target(host)

    def step(self, event: Event, now_s: float) -> list[Action]:
        """Handle an event and return the actions for the driver."""
        self._handle(event, now_s)
        return self._state.take_actions()

    @singledispatchmethod
    def _handle(self, event: Event, now_s: float) -> None:
        raise TypeError(type(event))

    @_handle.register
    def _(self, event: Tick, now_s: float) -> None:
        if self._leader is not None:
            if not self._leader.tick(now_s):
                self._become_follower(self.term, "", now_s)
            elif self._is_leaving:
                self._leader.transfer_leadership(now_s)
            return
        self._request_join_if_due(now_s)
        if now_s >= self._election_deadline_s:
            self.leader_name = ""
            self._reset_election_deadline(now_s)
            is_voter = self.name in self._state.membership.voters
            if is_voter and not self._is_leaving:
                self._start_election(self._guards.pre_vote, False, now_s)

    @_handle.register
    def _(self, event: MessageReceived, now_s: float) -> None:
        message = event.message
        if isinstance(message, JoinRequest):
            self._handle_join_request(message, now_s)
        elif message.term > self.term and not self._handle_newer_term(message, now_s):
            return
        elif message.term < self.term:
            self._refuse_stale_term(message)
        else:
            self._handle_message(message, now_s)

    @_handle.register
    def _(self, event: Propose, now_s: float) -> None:
        if self._leader is None:
            self._state.actions.append(ProposalRefused())
        else:
            self._leader.propose(event.commands, now_s)

    @_handle.register
    def _(self, event: EntriesSynced, now_s: float) -> None:
        if self._leader is not None:
            self._leader.record_synced(event.index, event.term)
        elif self.log.term(event.index) == event.term:
            self.log.synced_index = event.index

    @_handle.register
    def _(self, event: ReadRequest, now_s: float) -> None:
        if self._leader is None:
            self._state.actions.append(ReadFailed(event.read_id))
        else:
            self._leader.request_read(event.read_id, now_s)

    @_handle.register
    def _(self, event: TransferLeadership, now_s: float) -> None:
        if self._leader is not None:
            self._leader.transfer_leadership(now_s)

    @_handle.register
    def _(self, event: BeginLeave, now_s: float) -> None:
        self._is_leaving = True
        if self._leader is not None:
            self._leader.transfer_leadership(now_s)

    @_handle.register
    def _(self, event: HostRefusedConnection, now_s: float) -> None:
        if self._leader is not None:
            self._leader.record_refused_connection(event.host)

    @_handle.register
    def _(self, event: ChangeMembership, now_s: float) -> None:
        if self._leader is None:
            self._state.actions.append(ProposalRefused())
        else:
            self._leader.change_membership(event.membership, now_s)

    @_handle.register
    def _(self, event: CompactLog, now_s: float) -> None:
        assert event.index <= self.commit_index, (
            "only committed entries can be compacted"
        )
        if event.index > self.log.snapshot.index:
            snapshot = self.log.compact(event.index, event.state)
            self._state.actions.append(Persist(snapshot=snapshot))

    @singledispatchmethod
    def _handle_message(self, message: Message, now_s: float) -> None:
        raise TypeError(type(message))

    @_handle_message.register
    def _(self, message: VoteRequest, now_s: float) -> None:
        voted_for = self.hard_state.voted_for
        granted = self._state.is_up_to_date(message.last_term, message.last_index)
        if message.pre_vote:
            granted = granted and message.term > self.term
        else:
            granted = granted and voted_for in ("", message.sender)
        if granted and not message.pre_vote and not voted_for:
            self._state.set_term_and_vote(self.term, message.sender)
            self._reset_election_deadline(now_s)
        term = message.term if granted else self.term
        self._send_vote_reply(message, term, granted)

    @_handle_message.register
    def _(self, message: VoteReply, now_s: float) -> None:
        expected = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = self.term + 1 if message.pre_vote else self.term
        if self.role is not expected or message.term != term or not message.granted:
            return
        self._votes.record_vote(message.sender)
        self._check_votes(now_s)

    @_handle_message.register
    def _(self, message: AppendEntries, now_s: float) -> None:
        self._record_leader_contact(message, now_s)
        state, log = self._state, self.log
        previous = message.previous_index
        if message.acknowledged_index > log.last_index:
            # The leader has counted acknowledgements of entries that are no longer in
            # this log, so this member must not vote again with its current id.
            state.actions.append(SyncedEntriesLost())
            return
        if previous < log.snapshot.index:
            self._send_append_reply(message, True, state.commit_index)
        elif log.term(previous) != message.previous_term:
            self._send_append_reply(message, False, log.conflict_hint(previous))
        else:
            state.append(log.entries_to_append(message.entries))
            match = previous + len(message.entries)
            state.commit(min(message.commit_index, match))
            self._send_append_reply(message, True, match)

    @_handle_message.register
    def _(self, message: InstallSnapshot, now_s: float) -> None:
        self._record_leader_contact(message, now_s)
        state, snapshot = self._state, message.snapshot
        if snapshot.index > state.commit_index:
            self.log.install_snapshot(snapshot)
            state.commit_index = snapshot.index
            state.actions += [Persist(snapshot=snapshot), RestoreSnapshot(snapshot)]
        reply = SnapshotReply(
            sender=self.name,
            term=self.term,
            match_index=state.commit_index,
            round=message.round,
        )
        state.send(message.sender, reply)

    @_handle_message.register
    def _(self, message: AppendReply, now_s: float) -> None:
        if self._leader is not None:
            self._leader.handle_append_reply(message, now_s)

    @_handle_message.register
    def _(self, message: SnapshotReply, now_s: float) -> None:
        if self._leader is not None:
            self._leader.handle_snapshot_reply(message, now_s)

    @_handle_message.register
    def _(self, message: TimeoutNow, now_s: float) -> None:
        if self._leader is None and self.name in self._state.membership.voters:
            self._start_election(False, True, now_s)

    def _handle_newer_term(self, message: Message, now_s: float) -> bool:
        """Handle a message of a higher term; return False, as nothing is left to do."""
        if isinstance(message, VoteRequest):
            self._handle_newer_vote_request(message, now_s)
        elif isinstance(message, VoteReply) and message.pre_vote and message.granted:
            self._handle_message(message, now_s)
        else:
            self._become_follower(message.term, "", now_s)
            self._handle_message(message, now_s)
        return False

    def _handle_newer_vote_request(self, message: VoteRequest, now_s: float) -> None:
        # A member that is in contact with a leader must not be disrupted by one that is
        # not (Raft dissertation, section 4.2.3).
        heard_recently = (
            now_s < self._last_leader_contact_s + ELECTION_TIMEOUT_RANGE_S[0]
        )
        has_live_leader = self._leader is not None or heard_recently
        if (
            has_live_leader
            and not message.leadership_transfer
            and self._guards.pre_vote
        ):
            return
        if not message.pre_vote:
            self._become_follower(message.term, "", now_s)
        self._handle_message(message, now_s)

    def _refuse_stale_term(self, message: Message) -> None:
        if isinstance(message, AppendEntries | InstallSnapshot):
            reply = AppendReply(
                sender=self.name, term=self.term, accepted=False, match_index=0, round=0
            )
            self._state.send(message.sender, reply)
        elif isinstance(message, VoteRequest):
            self._send_vote_reply(message, self.term, False)

    def _handle_join_request(self, message: JoinRequest, now_s: float) -> None:
        if self._leader is not None:
            self._leader.add_learner(message.sender, message.is_added, now_s)
            return
        self._join_protocol.record_empty_member(message)
        if self.leader_name and not message.is_forwarded:
            # The sender may know only hosts that do not lead.
            forwarded = structs.replace(message, is_forwarded=True)
            self._state.send(self.leader_name, forwarded)

    def _request_join_if_due(self, now_s: float) -> None:
        membership = self._state.membership
        members = membership.voters + membership.learners
        if self.name in members:
            # A member that was removed during a partition does not know of its removal.
            last_contact_s, timeout_s = (
                max(self._last_leader_contact_s, self._started_s),
                REJOIN_TIMEOUT_S,
            )
            if self.term <= BOOTSTRAP_TERM:
                # Others would treat its request as that of a member with an empty disk.
                return
        else:
            last_contact_s, timeout_s = (
                self._last_leader_contact_s,
                ELECTION_TIMEOUT_RANGE_S[1],
            )
        if now_s >= last_contact_s + timeout_s:
            self._join_protocol.tick(now_s, members)
            if self._join_protocol.try_bootstrap():
                self._election_deadline_s = now_s

    def _start_election(
        self, pre_vote: bool, leadership_transfer: bool, now_s: float
    ) -> None:
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader_name = ""
        self._votes = VoteCount()
        self._votes.record_vote(self.name)
        if not pre_vote:
            self._state.set_term_and_vote(self.term + 1, self.name)
        self._reset_election_deadline(now_s)
        request = VoteRequest(
            sender=self.name,
            term=self.term + 1 if pre_vote else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
        )
        for voter in self._state.membership.voters:
            if voter != self.name:
                self._state.send(voter, request)
        self._check_votes(now_s)

    def _check_votes(self, now_s: float) -> None:
        if not self._votes.is_won(self._state.membership.voters):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(False, False, now_s)
            return
        self.role = Role.LEADER
        self.leader_name = self.name
        self._state.actions.append(LeadershipWon(self.term))
        self._leader = Leader(
            self._state,
            self._guards,
            self._max_entries,
            now_s,
            self._tolerated_losses,
            self._data_centre,
        )

    def _become_follower(self, term: int, leader: str, now_s: float) -> None:
        if self._leader is not None:
            self._leader.step_down()
            self._leader = None
            self._state.actions.append(LeadershipLost())
        self.role = Role.FOLLOWER
        self.leader_name = leader
        if term > self.term:
            self._state.set_term_and_vote(term, "")
        self._reset_election_deadline(now_s)

    def _record_leader_contact(self, message: Message, now_s: float) -> None:
        assert self._leader is None, "two leaders in one term"
        self._last_leader_contact_s = now_s
        self._become_follower(message.term, message.sender, now_s)

    def _reset_election_deadline(self, now_s: float) -> None:
        is_candidate = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
        self._election_deadline_s = now_s + election_timeout_s(self._rng, is_candidate)

    def _send_vote_reply(self, request: VoteRequest, term: int, granted: bool) -> None:
        reply = VoteReply(
            sender=self.name, term=term, granted=granted, pre_vote=request.pre_vote
        )
        self._state.send(request.sender, reply)

    def _send_append_reply(
        self, message: AppendEntries, accepted: bool, match: int
    ) -> None:
        reply = AppendReply(
            sender=self.name,
            term=self.term,
            accepted=accepted,
            match_index=match,
            round=message.round,
            is_leaving=self._is_leaving,
            data_centre=self._data_centre,
        )
        self._state.send(message.sender, reply)
