"""
Member ids, quorums and single-server membership changes.

A member id is ``<host name>#<disk id>``. The disk id is random and stored on the disk.
A host that loses its disk therefore gets another id, and none of its earlier votes and
acknowledgements count for it. An observer is a host without a disk. It has a new disk
id for each process, replicates the log as a learner and never votes.

>>> host_name("control-1#9f")
'control-1'
>>> quorum_size(3)
2
"""

from collections.abc import Callable

from damaskridge.model.consensus import Membership

__all__ = [
    "OBSERVER_PREFIX",
    "host_name",
    "is_observer",
    "is_vote_needed",
    "next_promotion",
    "quorum_size",
    "with_learner",
    "with_voter_as_learner",
    "without_lost_learner",
]

OBSERVER_PREFIX = "observer-"
# The smallest number of voters that tolerates the loss of one disk.
MIN_FAULT_TOLERANT_VOTERS = 3


def host_name(member: str) -> str:
    """Return the host name of a member id."""
    return member.partition("#")[0]


def is_observer(member: str) -> bool:
    """
    Return whether a member is an observer, which has no disk.

    >>> is_observer("control-1#observer-9f")
    True
    """
    return member.partition("#")[2].startswith(OBSERVER_PREFIX)


def quorum_size(voters: int) -> int:
    """Return the size of a majority of `voters`."""
    return voters // 2 + 1


def is_single_voter_change(old: Membership, new: Membership) -> bool:
    """Return whether at most one voter is added or removed."""
    return bool(new.voters) and len(set(old.voters) ^ set(new.voters)) <= 1


def with_learner(membership: Membership, member: str) -> Membership:
    """Return the membership with a learner; it replaces one of the same host."""
    name = host_name(member)
    others = tuple(x for x in membership.learners if host_name(x) != name)
    return Membership(membership.voters, (*others, member))


def next_promotion(
    membership: Membership, leader: str, has_caught_up: Callable[[str], bool]
) -> Membership | None:
    """
    Return the next single-server change that makes a caught-up learner a voter.

    If an earlier id of the learner's host is still a voter, removing it is the first
    change. Its disk is lost, so as a voter it would only enlarge the quorum.
    """
    voters, learners = membership.voters, membership.learners
    for learner in filter(has_caught_up, learners):
        if is_observer(learner):
            continue
        name = host_name(learner)
        earlier_ids = [v for v in voters if host_name(v) == name and v != leader]
        if earlier_ids and len(voters) > 1:
            return Membership(tuple(v for v in voters if v != earlier_ids[0]), learners)
        rest = tuple(x for x in learners if x != learner)
        return Membership((*voters, learner), rest)
    return None


def is_vote_needed(membership: Membership, tolerated_losses: int | None = None) -> bool:
    """
    Return whether the group has too few votes to do without one.

    A group of even size tolerates no more lost disks than a group with one voter fewer,
    which needs a smaller quorum. A larger group than the tolerated losses require only
    enlarges the quorum, too.

    Parameters
    ----------
    membership : Membership
        The members of the group.
    tolerated_losses : int or None
        Number of hosts that may be lost at a time; None if it is unknown.

    Examples
    --------
    >>> is_vote_needed(Membership(("a#1", "b#1", "c#1")))
    True
    >>> is_vote_needed(Membership(("a#1", "b#1", "c#1", "d#1")))
    False
    >>> five = Membership(("a#1", "b#1", "c#1", "d#1", "e#1"))
    >>> is_vote_needed(five), is_vote_needed(five, tolerated_losses=1)
    (True, False)
    """
    count = len(membership.voters)
    if count <= MIN_FAULT_TOLERANT_VOTERS:
        return True
    if tolerated_losses is not None and count > 2 * tolerated_losses + 1:
        return False
    return count % 2 == 1


def with_voter_as_learner(
    membership: Membership, is_dispensable: Callable[[str], bool]
) -> Membership | None:
    """
    Return the membership in which a voter that is dispensable is a learner, or None.

    A voter that is about to stop receives the entry that takes its vote as a learner,
    and stops only afterwards. A learner that comes back becomes a voter again.
    """
    voters, learners = membership.voters, membership.learners
    for voter in filter(is_dispensable, voters):
        return Membership(tuple(v for v in voters if v != voter), (*learners, voter))
    return None


def without_lost_learner(
    membership: Membership, is_lost: Callable[[str], bool]
) -> Membership | None:
    """Return the membership without one learner that is lost, or None."""
    voters, learners = membership.voters, membership.learners
    for learner in filter(is_lost, learners):
        return Membership(voters, tuple(x for x in learners if x != learner))
    return None
