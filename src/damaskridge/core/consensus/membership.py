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

from msgspec.structs import replace

from damaskridge.model.consensus import Membership

__all__ = [
    "OBSERVER_PREFIX",
    "host_name",
    "is_complete",
    "is_observer",
    "is_vote_needed",
    "may_count_replaced_voter",
    "may_have_spare",
    "next_promotion",
    "quorum_size",
    "replaced_members",
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


def with_learner(
    membership: Membership, member: str, *, is_added: bool = False
) -> Membership:
    """
    Return the membership with a learner; it replaces one of the same host.

    Parameters
    ----------
    membership : Membership
        The members of the group.
    member : str
        The member id of the learner.
    is_added : bool
        Whether its host was added after the first start of the group. If no earlier
        id of the host is a member, it counts as a successor.

    Examples
    --------
    >>> three = Membership(("a#1", "b#1", "c#1"))
    >>> with_learner(three, "d#1", is_added=True).successors
    ('d#1',)
    >>> with_learner(three, "c#2", is_added=True).successors
    ()
    """
    name = host_name(member)
    others = tuple(x for x in membership.learners if host_name(x) != name)
    successors = tuple(
        member if host_name(x) == name else x for x in membership.successors
    )
    is_known = any(
        host_name(x) == name for x in membership.voters + membership.learners
    )
    if is_added and not is_known and not is_observer(member):
        successors = (*successors, member)
    return replace(membership, learners=(*others, member), successors=successors)


def replaced_members(
    membership: Membership,
    data_centre_of: Callable[[str], str],
    is_present: Callable[[str], bool] = lambda member: True,
) -> list[str]:
    """
    Return the members whose votes successors in their data centres have taken.

    A successor replaces the only other host with a disk in its data centre. If there
    are several, the settings don't show which of them it replaces. A successor that has
    lost its disk has not given the vote back: its host votes under its earlier id until
    the new id has caught up. The result is in the order in which the successors were
    added.

    Parameters
    ----------
    membership : Membership
        The members of the group.
    data_centre_of : callable
        Returns the data centre of a member, empty if it is unknown.
    is_present : callable
        Returns whether a learner is in contact. A lost one was replaced earlier.

    Examples
    --------
    >>> four = Membership(("a#1", "b#1", "c#1", "d#1"), successors=("d#1",))
    >>> data_centres = {"a": "x", "b": "y", "c": "z", "d": "z"}
    >>> replaced_members(four, lambda member: data_centres[host_name(member)])
    ['c#1']
    >>> lost = Membership(("a#1", "b#1", "d#1"), ("c#1", "d#2"), successors=("d#2",))
    >>> replaced_members(lost, lambda member: data_centres[host_name(member)])
    ['c#1']
    """
    successors = membership.successors
    members = (*membership.voters, *filter(is_present, membership.learners))
    voting_hosts = {host_name(voter) for voter in membership.voters}
    replaced: list[str] = []
    for position, successor in enumerate(successors):
        data_centre = data_centre_of(successor)
        if host_name(successor) not in voting_hosts or not data_centre:
            continue
        newer_hosts = {host_name(member) for member in successors[position:]}
        neighbours = [
            member
            for member in members
            if host_name(member) not in newer_hosts
            and not is_observer(member)
            and data_centre_of(member) == data_centre
        ]
        if len({host_name(member) for member in neighbours}) == 1:
            replaced += neighbours
    return replaced


def may_have_spare(membership: Membership) -> bool:
    """Return whether a learner may be a replaced member that could vote again."""
    return bool(membership.successors) and any(
        not is_observer(learner) for learner in membership.learners
    )


def is_complete(membership: Membership, tolerated_losses: int | None = None) -> bool:
    """Return whether one voter more would only enlarge the quorum."""
    count = len(membership.voters)
    smallest = MIN_FAULT_TOLERANT_VOTERS
    if tolerated_losses is not None:
        smallest = max(smallest, 2 * tolerated_losses + 1)
    return count % 2 == 1 and count >= smallest


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
            rest = tuple(v for v in voters if v != earlier_ids[0])
            return replace(membership, voters=rest)
        rest = tuple(x for x in learners if x != learner)
        return replace(membership, voters=(*voters, learner), learners=rest)
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


def may_count_replaced_voter(
    membership: Membership, tolerated_losses: int | None = None
) -> bool:
    """
    Return whether the loss of a replaced voter uses up what the group tolerates.

    A successor that makes the size of the group even enlarges its quorum, but not the
    number of losses that it tolerates. If the host that it replaces is gone, that is
    one of them until its vote is taken.

    Parameters
    ----------
    membership : Membership
        The members of the group.
    tolerated_losses : int or None
        Number of hosts that may be lost at a time; None if it is unknown.

    Examples
    --------
    >>> voters = ("a#1", "b#1", "c#1", "d#1")
    >>> may_count_replaced_voter(Membership(voters))
    False
    >>> may_count_replaced_voter(Membership(voters, successors=("d#1",)))
    True
    """
    count = len(membership.voters)
    if count % 2 or count <= MIN_FAULT_TOLERANT_VOTERS:
        return False
    if tolerated_losses is not None and count != 2 * tolerated_losses + 2:
        return False
    return any(voter in membership.successors for voter in membership.voters)


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
        rest = tuple(v for v in voters if v != voter)
        return replace(membership, voters=rest, learners=(*learners, voter))
    return None


def without_lost_learner(
    membership: Membership, is_lost: Callable[[str], bool]
) -> Membership | None:
    """
    Return the membership without one learner that is lost, or None.

    The oldest successor counts as the one that has replaced it, unless the learner was
    a successor itself or an observer, or its host is still a member with another disk.

    Examples
    --------
    >>> def is_c1(member):
    ...     return member == "c#1"
    >>> voters = ("a#1", "b#1", "c#2", "d#1")
    >>> without_lost_learner(Membership(voters, ("c#1",), ("d#1",)), is_c1).successors
    ('d#1',)
    >>> voters = ("a#1", "b#1", "d#1")
    >>> without_lost_learner(Membership(voters, ("c#1",), ("d#1",)), is_c1).successors
    ()
    """
    successors = membership.successors
    for learner in filter(is_lost, membership.learners):
        rest = tuple(x for x in membership.learners if x != learner)
        hosts = {host_name(member) for member in membership.voters + rest}
        if learner in successors:
            successors = tuple(x for x in successors if x != learner)
        elif not is_observer(learner) and host_name(learner) not in hosts:
            successors = successors[1:]
        return replace(membership, learners=rest, successors=successors)
    return None
