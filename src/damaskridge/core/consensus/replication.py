"""Replication progress of the other members, as a leader tracks it."""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskridge.core.consensus.election import ELECTION_TIMEOUT_RANGE_S
from damaskridge.core.consensus.membership import quorum_size

__all__ = ["Progress", "quorum_value"]


@dataclass(slots=True)
class Progress:
    """
    Replication progress of one member.

    A leader knows nothing of a member that has not responded in its term: not whether
    it runs, nor what is in its log, nor where it is. Such a member is not in contact,
    but has not been silent for longer than the leader has tracked it either.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    tracked_since_s : float
        Time at which the leader was elected or the member was added.
    last_contact_s : float or None
        Time of its last response; None if it has not responded in this term.
    match_index : int
        Index up to which its log is known to match and to be synced.
    round : int
        The last heartbeat round that it acknowledged.
    last_refused_index : int
        `next_index` after the last refusal; 0 after an acknowledgement.
    snapshot_sent_s : float
        Time at which a snapshot was sent that it has not acknowledged.
    is_leaving : bool
        Whether its process is about to stop.
    is_stopped : bool
        Whether its host has refused a connection since its last response.
    data_centre : str
        Data centre of its host; empty if it is unknown.
    """

    next_index: int
    tracked_since_s: float
    last_contact_s: float | None = None
    match_index: int = 0
    round: int = 0
    last_refused_index: int = 0
    snapshot_sent_s: float = float("-inf")
    is_leaving: bool = False
    is_stopped: bool = False
    data_centre: str = ""

    @property
    def has_responded(self) -> bool:
        """Whether it has responded in this term."""
        return self.last_contact_s is not None

    @property
    def silent_since_s(self) -> float:
        """Time since which nothing has been received from it."""
        if self.last_contact_s is None:
            return self.tracked_since_s
        return self.last_contact_s

    def is_in_contact(self, now_s: float) -> bool:
        """Return whether it has responded within the shortest election timeout."""
        oldest_s = now_s - ELECTION_TIMEOUT_RANGE_S[0]
        return self.last_contact_s is not None and self.last_contact_s >= oldest_s

    def is_present(self, now_s: float) -> bool:
        """Return whether it is in contact and, as far as is known, will stay so."""
        is_ending = self.is_leaving or self.is_stopped
        return self.is_in_contact(now_s) and not is_ending

    def record_contact(self, now_s: float) -> None:
        """Record a response of the member."""
        self.last_contact_s = now_s
        self.is_stopped = False

    def record_acknowledgement(self, match_index: int, round_number: int) -> None:
        """Record an acknowledgement; delayed and duplicate ones change nothing."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.round = max(self.round, round_number)
        self.last_refused_index = 0

    def record_refusal(self, hint: int) -> bool:
        """
        Record a refusal by moving `next_index` back to the entry after `hint`.

        It always stays above `match_index`.

        Returns
        -------
        bool
            Whether to retry at once. After two refusals at the same index it is False,
            so that a member that refuses permanently causes one message per heartbeat.
        """
        self.next_index = max(self.match_index, min(self.next_index - 1, hint)) + 1
        is_repeated = self.next_index == self.last_refused_index
        self.last_refused_index = self.next_index
        return not is_repeated


def quorum_value(values: Iterable[float]) -> float:
    """
    Return the largest value that a majority has reached or exceeded.

    >>> quorum_value([5, 3, 9])
    5
    """
    ordered = sorted(values, reverse=True)
    return ordered[quorum_size(len(ordered)) - 1]
