"""Member ids, quorums, and the next step of a membership change.

A member id is ``<name>#<disk id>``. The disk id is random and stored on the disk,
so a host that lost its disk has another id and none of its old votes. An observer,
a host without a disk, has a disk id of its own for each process; it follows the log
and never votes.

>>> host_name("control-1#9f")
'control-1'
>>> quorum(3)
2
"""

from collections.abc import Callable

from damaskridge.model.consensus import Membership

__all__ = [
    "OBSERVER_PREFIX",
    "host_name",
    "is_observer",
    "next_membership",
    "quorum",
    "with_learner",
    "without_silent",
]

OBSERVER_PREFIX = "observer-"
# The smallest group that survives the loss of one disk.
SMALLEST_GROUP = 3


def host_name(member: str) -> str:
    """Return the name without the disk id."""
    return member.partition("#")[0]


def is_observer(member: str) -> bool:
    """
    Tell whether a member keeps nothing on a disk.

    >>> is_observer("control-1#observer-9f")
    True
    """
    return member.partition("#")[2].startswith(OBSERVER_PREFIX)


def quorum(voters: int) -> int:
    """Return the size of a majority."""
    return voters // 2 + 1


def is_single_change(old: Membership, new: Membership) -> bool:
    """Tell whether at most one voter differs."""
    return bool(new.voters) and len(set(old.voters) ^ set(new.voters)) <= 1


def with_learner(membership: Membership, member: str) -> Membership:
    """Return the membership with a learner that replaces one of the same host."""
    name = host_name(member)
    others = tuple(x for x in membership.learners if host_name(x) != name)
    return Membership(membership.voters, (*others, member))


def next_membership(
    membership: Membership, leader: str, caught_up: Callable[[str], bool]
) -> Membership | None:
    """
    Return the next one-server change that gives a caught-up learner its vote.

    The old id of the learner's host is removed first: its disk is lost, and as a
    voter it would only enlarge the quorum.
    """
    voters, learners = membership.voters, membership.learners
    for learner in filter(caught_up, learners):
        if is_observer(learner):
            continue
        name = host_name(learner)
        old = [v for v in voters if host_name(v) == name and v != leader]
        if old and len(voters) > 1:
            return Membership(tuple(v for v in voters if v != old[0]), learners)
        rest = tuple(x for x in learners if x != learner)
        return Membership((*voters, learner), rest)
    return None


def without_silent(
    membership: Membership, leader: str, is_silent: Callable[[str], bool]
) -> Membership | None:
    """
    Return the membership without one member that has been silent for long.

    A group of an even size survives as many lost disks as one with a voter fewer,
    which needs a smaller quorum. So the loss of a host for good, or its replacement
    by one with another name, costs no tolerance after that. A removed member that
    was only cut off joins again.
    """
    voters, learners = membership.voters, membership.learners
    for learner in filter(is_silent, learners):
        return Membership(voters, tuple(x for x in learners if x != learner))
    if len(voters) > SMALLEST_GROUP and len(voters) % 2 == 0:
        for voter in voters:
            if voter != leader and is_silent(voter):
                return Membership(tuple(v for v in voters if v != voter), learners)
    return None
