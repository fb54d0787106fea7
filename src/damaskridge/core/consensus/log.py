"""The log of one member: a snapshot and the entries after it."""

from damaskridge.model.consensus import LogEntry, Membership, Snapshot

__all__ = ["RaftLog"]

NO_MEMBERSHIP = Membership(())


class RaftLog:
    """
    Entries after a snapshot, with the membership in force.

    Parameters
    ----------
    snapshot : Snapshot or None
        What compaction has replaced.
    entries : list of LogEntry
        What follows the snapshot, without gaps.
    """

    def __init__(
        self, snapshot: Snapshot | None = None, entries: list[LogEntry] | None = None
    ) -> None:
        self.snapshot = snapshot or Snapshot(0, 0, NO_MEMBERSHIP, b"")
        self._entries: list[LogEntry] = []
        # Kept apart because the membership is read several times a message.
        self._memberships: list[tuple[int, Membership]] = []
        self.append(tuple(entries or ()))
        self.synced_index = self.last_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        return len(self._entries)

    def term(self, index: int) -> int | None:
        """Return the term of an entry; None if it is compacted or missing."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        base = self.snapshot.index + 1
        assert first >= base
        return tuple(self._entries[first - base : last - base + 1])

    def batch(self, first: int, count: int, size_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from `first` on within both bounds, at least one if any."""
        entries = self.slice(first, min(self.last_index, first + count - 1))
        total_bytes = 0
        for position, entry in enumerate(entries):
            total_bytes += len(entry.command)
            if position and total_bytes > size_bytes:
                return entries[:position]
        return entries

    def membership(self, up_to: int | None = None) -> Membership:
        """Return the membership in force at an index, by default the last."""
        return self._membership_entry(up_to)[1]

    def membership_index(self) -> int:
        """Return the index of the entry with the membership in force."""
        return self._membership_entry(None)[0]

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that follow the last one."""
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

    def new_entries(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Return the entries from the first one that the log does not have."""
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def conflict_hint(self, index: int) -> int:
        """Return where a leader whose entry at `index` conflicts should retry."""
        if index > self.last_index:
            return self.last_index
        term = self.term(index)
        while index > self.snapshot.index and self.term(index) == term:
            index -= 1
        return index

    def compact(self, index: int, state: bytes) -> Snapshot:
        """Replace the entries up to `index` by a snapshot and return it."""
        term = self.term(index)
        assert term is not None
        snapshot = Snapshot(index, term, self.membership(index), state)
        self._replace(snapshot, self.slice(index + 1, self.last_index))
        return snapshot

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log by a leader's snapshot; keep a suffix that fits."""
        suffix: tuple[LogEntry, ...] = ()
        if self.term(snapshot.index) == snapshot.term:
            suffix = self.slice(snapshot.index + 1, self.last_index)
        self._replace(snapshot, suffix)
        self.synced_index = min(self.synced_index, self.last_index)

    def _replace(self, snapshot: Snapshot, suffix: tuple[LogEntry, ...]) -> None:
        self.snapshot = snapshot
        self._entries = list(suffix)
        kept = range(snapshot.index + 1, self.last_index + 1)
        self._memberships = [m for m in self._memberships if m[0] in kept]

    def _membership_entry(self, up_to: int | None) -> tuple[int, Membership]:
        for index, membership in reversed(self._memberships):
            if up_to is None or index <= up_to:
                return index, membership
        return self.snapshot.index, self.snapshot.membership
