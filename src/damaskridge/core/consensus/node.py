"""A Raft node: a deterministic state machine without I/O."""

import random
from functools import singledispatchmethod

from damaskridge.core.consensus.election import (
    ELECTION_TIMEOUT_S,
    Role,
    Tally,
    election_timeout_s,
)
from damaskridge.core.consensus.joining import BOOTSTRAP_TERM, Joining
from damaskridge.core.consensus.leader import MAX_ENTRIES, Leader
from damaskridge.core.consensus.log import RaftLog
from damaskridge.core.consensus.member_state import MemberState
from damaskridge.core.consensus.messages import (
    Action,
    ChangeMembership,
    CompactLog,
    EntriesSynced,
    Event,
    Guards,
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

# Within this spread after a start two members seldom campaign at the same time.
START_TIMEOUT_S = (0.05, 0.25)
# Well above the time of an election, which needs no request to join.
REJOIN_AFTER_S = 3.0


class RaftNode:
    """
    One member of the group.

    Parameters
    ----------
    name : str
        Member id, ``<name>#<disk id>``.
    log : RaftLog
        The log found on disk.
    hard_state : HardState
        Term and vote found on disk.
    rng : random.Random
        Source of the election timeouts.
    now_s : float
        Present time.
    hosts : tuple of str
        Names of all hosts of the group. The first one forms the group once all
        have reported an empty disk.
    may_bootstrap : bool
        Whether this member may form a new group.
    max_entries : int
        Bound on the entries of one message.
    guards : Guards
        Safety rules; all in force outside tests.
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
        max_entries: int = MAX_ENTRIES,
        guards: Guards | None = None,
    ) -> None:
        self._state = MemberState(name, log, hard_state)
        self._rng = rng
        self._guards = guards or Guards()
        self._max_entries = max_entries
        self._leader: Leader | None = None
        self._tally = Tally()
        self._joining = Joining(self._state, hosts, may_bootstrap, now_s)
        self._heard_s = float("-inf")
        self._started_s = now_s
        self.role = Role.FOLLOWER
        self.leader_name = ""
        # If all members start at once, nobody has to wait for a leader. A member that
        # starts alone disturbs no leader: others refuse its preliminary vote.
        self._deadline_s = now_s + rng.uniform(*START_TIMEOUT_S)

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
        """The log; to be read only."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index up to which entries are committed."""
        return self._state.commit_index

    @property
    def hard_state(self) -> HardState:
        """Term and vote."""
        return self._state.hard_state

    def add_join_target(self, host: str) -> None:
        """Remember a host that takes this one for a member of its group."""
        self._joining.add_join_target(host)

    def step(self, event: Event, now_s: float) -> list[Action]:
        """Handle an event and return what must be done."""
        self._on(event, now_s)
        return self._state.take_actions()

    @singledispatchmethod
    def _on(self, event: Event, now_s: float) -> None:
        raise TypeError(type(event))

    @_on.register
    def _(self, event: Tick, now_s: float) -> None:
        if self._leader is not None:
            if not self._leader.tick(now_s):
                self._follow(self.term, "", now_s)
            return
        self._request_join(now_s)
        if now_s >= self._deadline_s:
            self.leader_name = ""
            self._reset_deadline(now_s)
            if self.name in self._state.membership.voters:
                self._campaign(self._guards.pre_vote, False, now_s)

    @_on.register
    def _(self, event: MessageReceived, now_s: float) -> None:
        message = event.message
        if isinstance(message, JoinRequest):
            self._on_join(message, now_s)
        elif message.term > self.term and not self._accept_term(message, now_s):
            return
        elif message.term < self.term:
            self._refuse_old(message)
        else:
            self._receive(message, now_s)

    @_on.register
    def _(self, event: Propose, now_s: float) -> None:
        if self._leader is None:
            self._state.actions.append(ProposalRefused())
        else:
            self._leader.propose(event.commands, now_s)

    @_on.register
    def _(self, event: EntriesSynced, now_s: float) -> None:
        if self._leader is not None:
            self._leader.synced(event.index, event.term)
        elif self.log.term(event.index) == event.term:
            self.log.synced_index = event.index

    @_on.register
    def _(self, event: ReadRequest, now_s: float) -> None:
        if self._leader is None:
            self._state.actions.append(ReadFailed(event.read_id))
        else:
            self._leader.read(event.read_id, now_s)

    @_on.register
    def _(self, event: TransferLeadership, now_s: float) -> None:
        if self._leader is not None:
            self._leader.transfer(now_s)

    @_on.register
    def _(self, event: ChangeMembership, now_s: float) -> None:
        if self._leader is None:
            self._state.actions.append(ProposalRefused())
        else:
            self._leader.change(event.membership, now_s)

    @_on.register
    def _(self, event: CompactLog, now_s: float) -> None:
        assert event.index <= self.commit_index, "only committed entries are compacted"
        if event.index > self.log.snapshot.index:
            snapshot = self.log.compact(event.index, event.state)
            self._state.actions.append(Persist(snapshot=snapshot))

    @singledispatchmethod
    def _receive(self, message: Message, now_s: float) -> None:
        raise TypeError(type(message))

    @_receive.register
    def _(self, message: VoteRequest, now_s: float) -> None:
        voted_for = self.hard_state.voted_for
        granted = self._state.is_up_to_date(message.last_term, message.last_index)
        if message.pre_vote:
            granted = granted and message.term > self.term
        else:
            granted = granted and voted_for in ("", message.sender)
        if granted and not message.pre_vote and not voted_for:
            self._state.vote(self.term, message.sender)
            self._reset_deadline(now_s)
        term = message.term if granted else self.term
        self._reply_vote(message, term, granted)

    @_receive.register
    def _(self, message: VoteReply, now_s: float) -> None:
        expected = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = self.term + 1 if message.pre_vote else self.term
        if self.role is not expected or message.term != term or not message.granted:
            return
        self._tally.grant(message.sender)
        self._check_tally(now_s)

    @_receive.register
    def _(self, message: AppendEntries, now_s: float) -> None:
        self._hear_leader(message, now_s)
        state, log = self._state, self.log
        previous = message.previous_index
        if message.acknowledged_index > log.last_index:
            # The leader counts these entries as held here, so this member must not
            # vote any more under its present id.
            state.actions.append(SyncedEntriesLost())
            return
        if previous < log.snapshot.index:
            self._reply_append(message, True, state.commit_index)
        elif log.term(previous) != message.previous_term:
            self._reply_append(message, False, log.conflict_hint(previous))
        else:
            state.append(log.new_entries(message.entries))
            match = previous + len(message.entries)
            state.commit(min(message.commit_index, match))
            self._reply_append(message, True, match)

    @_receive.register
    def _(self, message: InstallSnapshot, now_s: float) -> None:
        self._hear_leader(message, now_s)
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

    @_receive.register
    def _(self, message: AppendReply, now_s: float) -> None:
        if self._leader is not None:
            self._leader.append_reply(message, now_s)

    @_receive.register
    def _(self, message: SnapshotReply, now_s: float) -> None:
        if self._leader is not None:
            self._leader.snapshot_reply(message, now_s)

    @_receive.register
    def _(self, message: TimeoutNow, now_s: float) -> None:
        if self._leader is None and self.name in self._state.membership.voters:
            self._campaign(False, True, now_s)

    def _accept_term(self, message: Message, now_s: float) -> bool:
        """Handle a message of a higher term; True once nothing is left to do."""
        if isinstance(message, VoteRequest):
            self._on_newer_vote(message, now_s)
        elif isinstance(message, VoteReply) and message.pre_vote and message.granted:
            self._receive(message, now_s)
        else:
            self._follow(message.term, "", now_s)
            self._receive(message, now_s)
        return False

    def _on_newer_vote(self, message: VoteRequest, now_s: float) -> None:
        # A member that hears its leader must not be disrupted by one that does not.
        recent = now_s < self._heard_s + ELECTION_TIMEOUT_S[0]
        has_leader = self._leader is not None or recent
        if has_leader and not message.leadership_transfer and self._guards.pre_vote:
            return
        if not message.pre_vote:
            self._follow(message.term, "", now_s)
        self._receive(message, now_s)

    def _refuse_old(self, message: Message) -> None:
        if isinstance(message, AppendEntries | InstallSnapshot):
            reply = AppendReply(
                sender=self.name, term=self.term, accepted=False, match_index=0, round=0
            )
            self._state.send(message.sender, reply)
        elif isinstance(message, VoteRequest):
            self._reply_vote(message, self.term, False)

    def _on_join(self, message: JoinRequest, now_s: float) -> None:
        if self._leader is not None:
            self._leader.join(message.sender, now_s)
        else:
            self._joining.record(message)

    def _request_join(self, now_s: float) -> None:
        membership = self._state.membership
        members = membership.voters + membership.learners
        if self.name in members:
            # A member that was removed while it was cut off does not learn of it.
            heard_s, limit_s = max(self._heard_s, self._started_s), REJOIN_AFTER_S
            if self.term <= BOOTSTRAP_TERM:
                # Its request would be taken for that of an empty disk.
                return
        else:
            heard_s, limit_s = self._heard_s, ELECTION_TIMEOUT_S[1]
        if now_s >= heard_s + limit_s:
            self._joining.tick(now_s, members)
            if self._joining.try_form():
                self._deadline_s = now_s

    def _campaign(self, pre_vote: bool, transfer: bool, now_s: float) -> None:
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader_name = ""
        self._tally = Tally()
        self._tally.grant(self.name)
        if not pre_vote:
            self._state.vote(self.term + 1, self.name)
        self._reset_deadline(now_s)
        request = VoteRequest(
            sender=self.name,
            term=self.term + 1 if pre_vote else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=transfer,
        )
        for voter in self._state.membership.voters:
            if voter != self.name:
                self._state.send(voter, request)
        self._check_tally(now_s)

    def _check_tally(self, now_s: float) -> None:
        if not self._tally.is_won(self._state.membership.voters):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(False, False, now_s)
            return
        self.role = Role.LEADER
        self.leader_name = self.name
        self._state.actions.append(LeadershipWon(self.term))
        self._leader = Leader(self._state, self._guards, self._max_entries, now_s)

    def _follow(self, term: int, leader: str, now_s: float) -> None:
        if self._leader is not None:
            self._leader.give_up()
            self._leader = None
            self._state.actions.append(LeadershipLost())
        self.role = Role.FOLLOWER
        self.leader_name = leader
        if term > self.term:
            self._state.vote(term, "")
        self._reset_deadline(now_s)

    def _hear_leader(self, message: Message, now_s: float) -> None:
        assert self._leader is None, "two leaders in one term"
        self._heard_s = now_s
        self._follow(message.term, message.sender, now_s)

    def _reset_deadline(self, now_s: float) -> None:
        campaigning = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
        self._deadline_s = now_s + election_timeout_s(self._rng, campaigning)

    def _reply_vote(self, request: VoteRequest, term: int, granted: bool) -> None:
        reply = VoteReply(
            sender=self.name, term=term, granted=granted, pre_vote=request.pre_vote
        )
        self._state.send(request.sender, reply)

    def _reply_append(self, message: AppendEntries, accepted: bool, match: int) -> None:
        reply = AppendReply(
            sender=self.name,
            term=self.term,
            accepted=accepted,
            match_index=match,
            round=message.round,
        )
        self._state.send(message.sender, reply)
