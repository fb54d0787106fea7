"""Roles, timeouts, and the count of votes."""

import random
from enum import Enum

from damaskridge.core.consensus.membership import quorum

__all__ = ["ELECTION_TIMEOUT_S", "HEARTBEAT_S", "Role", "Tally", "election_timeout_s"]

HEARTBEAT_S = 0.1
# A leader must be elected within 1 s: one timeout and one round of votes.
ELECTION_TIMEOUT_S = (0.35, 0.6)
# After a split vote. With the full timeout 4 of 400 simulated elections took 1 s or
# more.
CAMPAIGN_TIMEOUT_S = (0.1, 0.3)


class Role(Enum):
    """What a member does at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Tally:
    """Votes of one election; a repeated vote counts once."""

    def __init__(self) -> None:
        self._granted: set[str] = set()

    def grant(self, voter: str) -> None:
        """Count a vote."""
        self._granted.add(voter)

    def is_won(self, voters: tuple[str, ...]) -> bool:
        """Tell whether a majority of the voters granted their vote."""
        return len(self._granted & set(voters)) >= quorum(len(voters))


def election_timeout_s(rng: random.Random, campaigning: bool) -> float:
    """Return a random timeout in seconds."""
    return rng.uniform(*(CAMPAIGN_TIMEOUT_S if campaigning else ELECTION_TIMEOUT_S))
