"""The Raft log of one member: a snapshot and the entries after it."""

from damaskridge.model.consensus import LogEntry, Membership, Snapshot

__all__ = ["RaftLog"]

EMPTY_MEMBERSHIP = Membership(())


class RaftLog:
    """
    A snapshot and the entries after it, in memory.

    Parameters
    ----------
    snapshot : Snapshot or None
        The state that replaces the compacted entries.
    entries : list of LogEntry
        The entries after the snapshot, without gaps.

    Attributes
    ----------
    synced_index : int
        Index up to which entries are durable on this member's disk.
    """

    def __init__(
        self, snapshot: Snapshot | None = None, entries: list[LogEntry] | None = None
    ) -> None:
        self.snapshot = snapshot or Snapshot(0, 0, EMPTY_MEMBERSHIP, b"")
        self._entries: list[LogEntry] = []
        # Kept separately because the membership is read several times per message.
        self._memberships: list[tuple[int, Membership]] = []
        self.append(tuple(entries or ()))
        self.synced_index = self.last_index

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        return len(self._entries)

    def term(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is compacted or missing."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, inclusive."""
        base = self.snapshot.index + 1
        assert first >= base
        return tuple(self._entries[first - base : last - base + 1])

    def batch(self, first: int, count: int, size_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from `first` on within both limits, at least one if any."""
        entries = self.slice(first, min(self.last_index, first + count - 1))
        total_bytes = 0
        for position, entry in enumerate(entries):
            total_bytes += len(entry.command)
            if position and total_bytes > size_bytes:
                return entries[:position]
        return entries

    def membership(self, up_to: int | None = None) -> Membership:
        """Return the membership in force at an index, by default the last one."""
        return self._membership_entry(up_to)[1]

    def membership_index(self) -> int:
        """Return the index of the entry that contains the membership in force."""
        return self._membership_entry(None)[0]

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that directly follow the last one."""
        for entry in entries:
            assert entry.index == self.last_index + 1
            assert entry.term >= self.last_term
            self._entries.append(entry)
            if entry.membership is not None:
                self._memberships.append((entry.index, entry.membership))

    def truncate(self, first: int) -> None:
        """Remove the entries from `first` on."""
        assert first > self.snapshot.index
        del self._entries[first - self.snapshot.index - 1 :]
        self._memberships = [m for m in self._memberships if m[0] < first]
        self.synced_index = min(self.synced_index, self.last_index)

    def entries_to_append(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Return the entries from the first one that is missing here or conflicts."""
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def conflict_hint(self, index: int) -> int:
        """
        Return the index from which a leader should retry after a conflict at `index`.

        It is the end of a log that is too short. Otherwise it is before all entries of
        the term at `index`, so that the leader skips a whole term per message.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term(index)
        while index > self.snapshot.index and self.term(index) == term:
            index -= 1
        return index

    def compact(self, index: int, state: bytes) -> Snapshot:
        """Replace the entries up to `index` by a snapshot, and return the snapshot."""
        term = self.term(index)
        assert term is not None
        snapshot = Snapshot(index, term, self.membership(index), state)
        self._replace_by_snapshot(snapshot, self.slice(index + 1, self.last_index))
        return snapshot

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a leader's snapshot; keep the entries after it if the log matches."""
        suffix: tuple[LogEntry, ...] = ()
        if self.term(snapshot.index) == snapshot.term:
            suffix = self.slice(snapshot.index + 1, self.last_index)
        self._replace_by_snapshot(snapshot, suffix)
        self.synced_index = min(self.synced_index, self.last_index)

    def _replace_by_snapshot(
        self, snapshot: Snapshot, suffix: tuple[LogEntry, ...]
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(suffix)
        kept = range(snapshot.index + 1, self.last_index + 1)
        self._memberships = [m for m in self._memberships if m[0] in kept]

    def _membership_entry(self, up_to: int | None) -> tuple[int, Membership]:
        for index, membership in reversed(self._memberships):
            if up_to is None or index <= up_to:
                return index, membership
        return self.snapshot.index, self.snapshot.membership
