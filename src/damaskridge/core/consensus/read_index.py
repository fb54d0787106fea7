"""Reads that wait until a quorum has confirmed the leader."""

__all__ = ["ReadIndex"]


class ReadIndex:
    """
    Pending reads by the heartbeat round that must confirm them.

    A read counts only acknowledgements of a round that began after the read
    arrived: an older one may have been answered before another leader was elected.
    """

    def __init__(self) -> None:
        self._pending: list[tuple[int, int]] = []

    def add(self, read_id: int, round_number: int) -> None:
        """Let a read wait for a round."""
        self._pending.append((read_id, round_number))

    def take_confirmed(self, round_number: int) -> list[int]:
        """Remove and return the reads that a confirmed round releases."""
        ready = [read for read, needed in self._pending if needed <= round_number]
        self._pending = [item for item in self._pending if item[1] > round_number]
        return ready

    def take_all(self) -> list[int]:
        """Remove and return every pending read."""
        return self.take_confirmed(max((n for _, n in self._pending), default=0))
