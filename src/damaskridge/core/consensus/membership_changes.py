"""Decides which change of members a leader makes next."""

from collections.abc import Iterable, Mapping
from enum import Enum

from damaskridge.core.consensus.election import ELECTION_TIMEOUT_RANGE_S
from damaskridge.core.consensus.membership import (
    host_name,
    is_complete,
    is_observer,
    is_vote_needed,
    may_count_replaced_voter,
    next_promotion,
    replaced_members,
    with_voter_as_learner,
    without_lost_learner,
)
from damaskridge.core.consensus.replication import Progress
from damaskridge.model.consensus import Membership

__all__ = ["CommitRule", "MembershipChanges"]

# Longer than the usual restart, pause or partition, so that none of these changes the
# membership.
LEARNER_EVICTION_TIMEOUT_S = 15.0
# Until a replaced host loses its vote, the group tolerates one loss fewer. To take the
# vote of a host that was only paused costs a group nothing that doesn't need the vote.
VOTER_DEMOTION_TIMEOUT_S = ELECTION_TIMEOUT_RANGE_S[1]


class CommitRule(Enum):
    """
    Which voters must have an entry before it is committed.

    With `NONE`, nothing is committed until the members change or the leader has heard
    from all of them.
    """

    QUORUM = "quorum"
    ALL_VOTERS = "all voters"
    NONE = "none"


class MembershipChanges:
    """
    Chooses single-server changes by what a leader knows of the members.

    Parameters
    ----------
    leader : str
        Member id of the leader.
    progress : mapping of str to Progress
        Replication progress of the other members, which the leader updates.
    data_centre : str
        Data centre of the leader's host; empty if it is unknown.
    tolerated_losses : int or None
        Number of hosts that may be lost at a time; None if it is unknown.
    now_s : float
        Time at which the leader was elected.
    """

    def __init__(
        self,
        leader: str,
        progress: Mapping[str, Progress],
        data_centre: str = "",
        tolerated_losses: int | None = None,
        now_s: float = 0.0,
    ) -> None:
        self._elected_s = now_s
        self._leader = leader
        self._progress = progress
        self._data_centre = data_centre
        self._tolerated_losses = tolerated_losses

    def next_change(
        self, membership: Membership, required_index: int, late_index: int, now_s: float
    ) -> Membership | None:
        """
        Return the next membership, or None if no change is due.

        Parameters
        ----------
        membership : Membership
            The present members.
        required_index : int
            Index that a learner must have reached to become a voter.
        late_index : int
            Index that every voter should have reached by now.
        now_s : float
            Current time.
        """

        def is_dispensable(voter: str) -> bool:
            return self._is_dispensable(voter, late_index, now_s)

        def is_promotable(learner: str) -> bool:
            if learner != spare and (
                learner in replaced or self._may_be_replaced(membership, learner)
            ):
                return False
            return self._has_caught_up(learner, required_index, now_s)

        def is_lost(learner: str) -> bool:
            return self._silence_s(learner, now_s) > LEARNER_EVICTION_TIMEOUT_S

        replaced = self._replaced_members(membership, now_s)
        spare = self._next_spare(membership, required_index, now_s)
        change = None
        # A lost voter comes first: promotions beside it could make a group of odd size
        # that needs every vote.
        if not is_vote_needed(membership, self._tolerated_losses):
            change = with_voter_as_learner(membership, is_dispensable)
        elif self._spares(membership, required_index, now_s):
            change = self._with_spare_instead(membership, late_index, now_s)
        if change is None:
            extra = self._extra_voter(membership, now_s)
            if extra != self._leader:
                change = with_voter_as_learner(membership, lambda x: x == extra)
        return (
            change
            or next_promotion(membership, self._leader, is_promotable)
            or without_lost_learner(membership, is_lost)
        )

    def is_leader_replaced(self, membership: Membership, now_s: float) -> bool:
        """Return whether the leader is the voter that gives up its vote next."""
        return self._extra_voter(membership, now_s) == self._leader

    def commit_rule(
        self, membership: Membership, required_index: int, now_s: float
    ) -> CommitRule:
        """
        Return which voters must have an entry before it is committed.

        While a replaced host may be gone, a quorum that counts it would let the group
        stop for good if another voter lost its disk after an acknowledgement.
        """
        if not membership.successors:
            return CommitRule.QUORUM
        if self._is_unsettled(membership, now_s):
            return CommitRule.NONE
        if self._spares(membership, required_index, now_s):
            if is_complete(membership, self._tolerated_losses):
                return CommitRule.ALL_VOTERS
            return CommitRule.NONE
        if self._has_extra_voter(membership):
            return CommitRule.ALL_VOTERS
        return CommitRule.QUORUM

    def _spares(
        self, membership: Membership, required_index: int, now_s: float
    ) -> list[str]:
        """Return the replaced learners that could take the vote of another member."""
        return [
            member
            for member in self._replaced_members(membership, now_s)
            if member in membership.learners
            and self._has_caught_up(member, required_index, now_s)
        ]

    def _with_spare_instead(
        self, membership: Membership, late_index: int, now_s: float
    ) -> Membership | None:
        """
        Return the membership without a lost voter, whose vote a spare then takes.

        All others have to be in contact, since the smaller group needs their votes.
        """
        lost = [
            voter
            for voter in membership.voters
            if self._is_dispensable(voter, late_index, now_s)
        ]
        others = set(membership.voters) - set(lost)
        if len(lost) != 1 or not self._are_in_contact(others, now_s):
            return None
        return with_voter_as_learner(membership, lambda voter: voter in lost)

    def _next_spare(
        self, membership: Membership, required_index: int, now_s: float
    ) -> str:
        """
        Return the spare that is to vote again, or an empty string.

        It votes if the group needs one voter more, or in place of a voter that a newer
        successor replaces, since that voter is the one that may go next.
        """
        spares = self._spares(membership, required_index, now_s)
        if not spares:
            return ""
        if not is_complete(membership, self._tolerated_losses):
            return spares[0]
        replaced = self._replaced_members(membership, now_s)
        newer = replaced[replaced.index(spares[0]) :]
        are_sound = self._are_in_contact(membership.voters, now_s)
        return spares[0] if are_sound and set(newer) & set(membership.voters) else ""

    def _extra_voter(self, membership: Membership, now_s: float) -> str:
        """
        Return the voter that gives up its vote to a successor, or an empty string.

        The newest successor counts, since its predecessor is the one that may go next.
        """
        if not self._has_extra_voter(membership):
            return ""
        replaced = self._replaced_members(membership, now_s)
        votes = [member for member in replaced if member in membership.voters]
        are_sound = self._are_in_contact(membership.voters, now_s)
        return votes[-1] if votes and are_sound else ""

    def _has_extra_voter(self, membership: Membership) -> bool:
        return may_count_replaced_voter(membership, self._tolerated_losses)

    def _is_unsettled(self, membership: Membership, now_s: float) -> bool:
        """Return whether members that may be in contact have not responded yet."""
        return now_s <= self._elected_s + VOTER_DEMOTION_TIMEOUT_S and any(
            member != self._leader
            and not is_observer(member)
            and not self._progress[member].has_responded
            for member in membership.voters + membership.learners
        )

    def _replaced_members(self, membership: Membership, now_s: float) -> list[str]:
        if not membership.successors:
            return []
        return replaced_members(
            membership,
            self._data_centre_of,
            lambda learner: self._progress[learner].is_present(now_s),
        )

    def _may_be_replaced(self, membership: Membership, learner: str) -> bool:
        """
        Return whether a successor that is not heard of may have a learner's vote.

        The host of such a learner may go at any time. As a further voter of a complete
        group it would only enlarge the quorum. A learner whose host has a vote replaces
        that one.
        """
        if not is_complete(membership, self._tolerated_losses) or is_observer(learner):
            return False
        successors = membership.successors
        if learner in successors:
            successors = successors[successors.index(learner) + 1 :]
        voting_hosts = {host_name(voter) for voter in membership.voters}
        return host_name(learner) not in voting_hosts and any(
            host_name(successor) in voting_hosts and not self._is_known(successor)
            for successor in successors
        )

    def _is_known(self, member: str) -> bool:
        """Return whether any member of the host has responded in this term."""
        return member == self._leader or any(
            progress.has_responded
            for other, progress in self._progress.items()
            if host_name(other) == host_name(member)
        )

    def _data_centre_of(self, member: str) -> str:
        """Return the data centre of a member's host; empty if it is unknown."""
        host = host_name(member)
        if host == host_name(self._leader):
            return self._data_centre
        known = (
            progress.data_centre
            for other, progress in self._progress.items()
            if host_name(other) == host
        )
        return next(filter(None, known), "")

    def _silence_s(self, member: str, now_s: float) -> float:
        return now_s - self._progress[member].silent_since_s

    def _are_in_contact(self, members: Iterable[str], now_s: float) -> bool:
        """Return whether members are in contact, as the leader itself always is."""
        return all(
            self._progress[member].is_in_contact(now_s)
            for member in members
            if member != self._leader
        )

    def _has_caught_up(self, learner: str, required_index: int, now_s: float) -> bool:
        progress = self._progress[learner]
        return progress.is_present(now_s) and progress.match_index >= required_index

    def _is_dispensable(self, voter: str, late_index: int, now_s: float) -> bool:
        progress = self._progress.get(voter)
        return progress is not None and (
            progress.is_leaving
            or progress.is_stopped
            or self._silence_s(voter, now_s) > VOTER_DEMOTION_TIMEOUT_S
            or progress.match_index < late_index
        )
