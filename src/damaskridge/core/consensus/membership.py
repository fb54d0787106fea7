"""Member ids, quorums, and the next step of a membership change.

A member id is ``<name>#<disk id>``. The disk id is random and stored on the disk,
so a host that lost its disk has another id and none of its old votes.

>>> host_name("control-1#9f")
'control-1'
>>> quorum(3)
2
"""

from collections.abc import Callable

from damaskridge.model.consensus import Membership

__all__ = ["host_name", "next_membership", "quorum", "with_learner"]


def host_name(member: str) -> str:
    """Return the name without the disk id."""
    return member.partition("#")[0]


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
        name = host_name(learner)
        old = [v for v in voters if host_name(v) == name and v != leader]
        if old and len(voters) > 1:
            return Membership(tuple(v for v in voters if v != old[0]), learners)
        rest = tuple(x for x in learners if x != learner)
        return Membership((*voters, learner), rest)
    return None
