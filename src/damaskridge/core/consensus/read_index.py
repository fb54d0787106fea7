"""Linearizable reads without log entries, by the ReadIndex method of Raft."""

__all__ = ["ReadIndexQueue"]


class ReadIndexQueue:
    """
    Pending reads with the heartbeat round that has to confirm leadership for them.

    Only a round that began after the read was received can confirm it. Members may
    have acknowledged an earlier round before they elected another leader.
    """

    def __init__(self) -> None:
        self._pending: list[tuple[int, int]] = []

    def add(self, read_id: int, round_number: int) -> None:
        """Queue a read until a quorum has acknowledged a round."""
        self._pending.append((read_id, round_number))

    def take_confirmed(self, round_number: int) -> list[int]:
        """Remove and return the reads that need `round_number` or an earlier round."""
        ready = [read for read, required in self._pending if required <= round_number]
        self._pending = [item for item in self._pending if item[1] > round_number]
        return ready

    def take_all(self) -> list[int]:
        """Remove and return every pending read."""
        return self.take_confirmed(max((n for _, n in self._pending), default=0))
