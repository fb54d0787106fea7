"""What a leader knows of the other members."""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskridge.core.consensus.membership import quorum

__all__ = ["Progress", "quorum_value"]


@dataclass(slots=True)
class Progress:
    """
    Replication to one member.

    `match_index` is known to be synced there; `next_index` is sent next.
    """

    next_index: int
    contact_s: float
    match_index: int = 0
    round: int = 0
    refused_index: int = 0
    snapshot_sent_s: float = float("-inf")

    def acknowledge(self, match_index: int, round_number: int) -> None:
        """Record an acknowledgement; late and repeated ones change nothing."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.round = max(self.round, round_number)
        self.refused_index = 0

    def back_up(self, hint: int) -> bool:
        """
        Record a refusal: retry after `hint`, never below what is known.

        Returns
        -------
        bool
            Whether to retry at once; not after two refusals at the same place, so
            that a member that refuses for good costs one message a heartbeat.
        """
        self.next_index = max(self.match_index, min(self.next_index - 1, hint)) + 1
        repeated = self.next_index == self.refused_index
        self.refused_index = self.next_index
        return not repeated


def quorum_value(values: Iterable[float]) -> float:
    """
    Return the largest value that a majority has reached.

    >>> quorum_value([5, 3, 9])
    5
    """
    ordered = sorted(values, reverse=True)
    return ordered[quorum(len(ordered)) - 1]
