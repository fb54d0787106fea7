"""Roles, election timeouts and the counting of votes."""

import random
from enum import Enum

from damaskridge.core.consensus.membership import quorum_size

__all__ = [
    "ELECTION_TIMEOUT_RANGE_S",
    "HEARTBEAT_INTERVAL_S",
    "Role",
    "VoteCount",
    "election_timeout_s",
]

HEARTBEAT_INTERVAL_S = 0.1
# A new leader has to be elected within 1 s, which is one timeout and one vote round.
ELECTION_TIMEOUT_RANGE_S = (0.35, 0.6)
# Shorter, for the election after a split vote. With the full timeout, 4 of 400
# simulated elections took 1 s or more.
CANDIDATE_TIMEOUT_RANGE_S = (0.1, 0.3)


class Role(Enum):
    """The role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoteCount:
    """Counts the votes of one election; a duplicate vote counts once."""

    def __init__(self) -> None:
        self._granted: set[str] = set()

    def record_vote(self, voter: str) -> None:
        """Record a vote granted by `voter`."""
        self._granted.add(voter)

    def is_won(self, voters: tuple[str, ...]) -> bool:
        """Return whether a majority of `voters` granted their votes."""
        return len(self._granted & set(voters)) >= quorum_size(len(voters))


def election_timeout_s(rng: random.Random, is_candidate: bool) -> float:
    """Return a random timeout, a shorter one for a candidate."""
    return rng.uniform(
        *(CANDIDATE_TIMEOUT_RANGE_S if is_candidate else ELECTION_TIMEOUT_RANGE_S)
    )
