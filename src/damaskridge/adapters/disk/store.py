"""Storage of the log, hard state and snapshot of one member in a data folder.

The file `member` contains the random disk id, `snapshot` the latest snapshot, and
`log-<number>` (a segment) the records since then. Entries and hard states share the
segment, so that one sync makes a batch of both durable.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from damaskridge.adapters.disk.folder import Folder
from damaskridge.adapters.disk.records import ScanResult, encode_record, scan_records
from damaskridge.core.consensus.log import RaftLog
from damaskridge.model.consensus import HardState, LogEntry, Membership, Snapshot

__all__ = ["LogStore", "StoredState", "UnreadableRecord"]

MEMBER_FILE = "member"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"


# `synced_bytes` is the size of the part of the segment that was synced before a record
# was written. `is_complete` is encoded last, so that no record ends with a zero byte.
class _EntryRecord(msgspec.Struct, frozen=True, tag="e"):
    entry: LogEntry
    synced_bytes: int = 0
    is_complete: bool = True


class _HardRecord(msgspec.Struct, frozen=True, tag="h"):
    hard_state: HardState
    synced_bytes: int = 0
    is_complete: bool = True


_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(_EntryRecord | _HardRecord).decode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


@dataclass(frozen=True, slots=True)
class StoredState:
    """
    Content of a folder when it was opened.

    Parameters
    ----------
    disk_id : str
        Random id of the disk, a part of the member id.
    log : RaftLog
        The snapshot and the entries after it.
    hard_state : HardState
        Term and vote.
    cut_bytes : int
        Size of an unsynced tail that was truncated.
    damage : str
        Name of the damaged file or a description of the damage, empty if there is
        none. A damaged folder was emptied and has a new id.
    """

    disk_id: str
    log: RaftLog
    hard_state: HardState
    cut_bytes: int = 0
    damage: str = ""


class _DamagedFileError(Exception):
    """A synced record was altered or is missing; the text is the file name."""


class UnreadableRecord(Exception):
    """
    An intact record that this build can't decode; a newer build has written it.

    Parameters
    ----------
    file : str
        Name of the file that holds it.
    """

    def __init__(self, file: str) -> None:
        super().__init__(f"{file}: a record of an unknown kind, of a newer build")
        self.file = file


class LogStore:
    """
    Stores the log, hard state and snapshot of a Raft node.

    Parameters
    ----------
    folder : Folder
        The data folder.
    new_disk_id : str
        Random id for a folder that has none or is damaged.
    verify : bool
        Whether checksums are verified; off only in tests.
    """

    def __init__(self, folder: Folder, new_disk_id: str, verify: bool = True) -> None:
        self._folder = folder
        self._new_disk_id = new_disk_id
        self._verify = verify
        self._segment = ""
        self._size_bytes = 0
        self._synced_bytes = 0

    def open(self) -> StoredState:
        """
        Read the folder; reset it if it is damaged.

        Raises
        ------
        UnreadableRecord
            An intact record can't be decoded. Nothing has been written.
        """
        try:
            return self._read()
        except (_DamagedFileError, msgspec.MsgspecError) as error:
            return self.reset(str(error))

    def reset(self, damage: str) -> StoredState:
        """Empty the folder and store the new id in it."""
        # The recorded vote may be lost. Under its old id, the member could vote twice
        # in one term.
        for name in [MEMBER_FILE, *self._folder.names()]:
            self._folder.remove(name)
        return self._initialize(damage)

    def save_hard_state(self, hard_state: HardState) -> None:
        """Append term and vote; durable after `sync`."""
        self._append_record(_encode(_HardRecord(hard_state, self._synced_bytes)))

    def save_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries, which replace all entries from the first index on."""
        for entry in entries:
            self._append_record(_encode(_EntryRecord(entry, self._synced_bytes)))

    def save_snapshot(self, log: RaftLog, hard_state: HardState) -> None:
        """Write a snapshot and a new segment with the entries after it, durably."""
        snapshot = encode_record(_encode(log.snapshot))
        self._folder.replace(SNAPSHOT_FILE, snapshot)
        self._start_segment(log, hard_state)

    def sync(self) -> None:
        """Make all appended records durable."""
        if self._size_bytes > self._synced_bytes:
            self._folder.sync(self._segment)
            self._synced_bytes = self._size_bytes

    def _append_record(self, payload: bytes) -> None:
        record = encode_record(payload)
        self._folder.append(self._segment, record)
        self._size_bytes += len(record)

    def _start_segment(self, log: RaftLog, hard_state: HardState) -> None:
        """Write a new segment with hard state and entries; remove the previous ones."""
        previous = self._segments()
        number = int(previous[-1].removeprefix(SEGMENT_PREFIX)) + 1 if previous else 1
        entries = log.slice(log.snapshot.index + 1, log.last_index)
        payloads = [_encode(_HardRecord(hard_state))]
        payloads += [_encode(_EntryRecord(entry)) for entry in entries]
        self._segment = f"{SEGMENT_PREFIX}{number:012d}"
        content = b"".join(map(encode_record, payloads))
        self._folder.replace(self._segment, content)
        self._size_bytes = self._synced_bytes = len(content)
        for name in previous:
            self._folder.remove(name)

    def _segments(self) -> list[str]:
        names = self._folder.names()
        return [name for name in names if name.startswith(SEGMENT_PREFIX)]

    def _initialize(self, damage: str = "") -> StoredState:
        log, hard_state = RaftLog(), HardState()
        self._start_segment(log, hard_state)
        self._folder.replace(MEMBER_FILE, encode_record(self._new_disk_id.encode()))
        return StoredState(self._new_disk_id, log, hard_state, damage=damage)

    def _read(self) -> StoredState:
        names = self._folder.names()
        if MEMBER_FILE not in names:
            # The id is written last. Without it, the member has never acknowledged
            # anything.
            for name in names:
                self._folder.remove(name)
            return self._initialize()
        disk_id = self._read_single_record(MEMBER_FILE).decode()
        snapshot = None
        if SNAPSHOT_FILE in names:
            payload = self._read_single_record(SNAPSHOT_FILE)
            snapshot = self._decode(_decode_snapshot, payload, SNAPSHOT_FILE)
        return self._read_segment(disk_id, snapshot)

    def _read_segment(self, disk_id: str, snapshot: Snapshot | None) -> StoredState:
        """Read the newest segment, truncate its unsynced tail and add the snapshot."""
        segments = self._segments()
        if not segments:
            raise _DamagedFileError("log")
        self._segment = segments[-1]
        data = self._folder.read(self._segment)
        result = self._scan(self._segment, data)
        if any(self._synced_size(p) > result.size_bytes for p in result.later_payloads):
            raise _DamagedFileError(self._segment)
        replayed, hard_state = self._replay(result.payloads, snapshot)
        # A segment is created atomically, so the newest is complete. A crash while
        # it was started may have left older ones.
        for name in segments[:-1]:
            self._folder.remove(name)
        self._size_bytes = self._synced_bytes = result.size_bytes
        cut_bytes = len(data) - result.size_bytes
        if cut_bytes:
            self._folder.truncate(self._segment, result.size_bytes)
        else:
            # A killed process may have left records that it had not synced.
            self._folder.sync(self._segment)
        log = self._merge_snapshot(replayed, snapshot)
        if replayed.snapshot.index != log.snapshot.index:
            # Entries that follow the snapshot would leave a gap in the old segment.
            self._start_segment(log, hard_state)
        return StoredState(disk_id, log, hard_state, cut_bytes)

    def _synced_size(self, payload: bytes) -> int:
        """Return how much of the segment was synced when a record was written."""
        record = self._decode(_decode_record, payload, self._segment)
        return int(record.synced_bytes)

    def _replay(
        self, payloads: list[bytes], snapshot: Snapshot | None
    ) -> tuple[RaftLog, HardState]:
        """Return the log and the hard state that the records of a segment lead to."""
        hard_state = HardState()
        log = RaftLog(snapshot)
        is_first = True
        for payload in payloads:
            record = self._decode(_decode_record, payload, self._segment)
            if isinstance(record, _HardRecord):
                hard_state = record.hard_state
                continue
            entry = record.entry
            if is_first:
                log = RaftLog(_snapshot_before(snapshot, entry.index - 1))
                is_first = False
            if entry.index <= log.last_index:
                log.truncate(entry.index)
            if entry.index != log.last_index + 1:
                raise _DamagedFileError(self._segment)
            log.append((entry,))
        return log, hard_state

    def _merge_snapshot(self, replayed: RaftLog, snapshot: Snapshot | None) -> RaftLog:
        """Combine snapshot and segment; a crash may have come between their writes."""
        base = replayed.snapshot
        log = RaftLog(base, list(replayed.slice(base.index + 1, replayed.last_index)))
        if log.snapshot.index > (snapshot.index if snapshot else 0):
            raise _DamagedFileError(SNAPSHOT_FILE)
        if snapshot is not None:
            log.install_snapshot(snapshot)
        log.synced_index = log.last_index
        return log

    def _read_single_record(self, name: str) -> bytes:
        result = self._scan(name, self._folder.read(name))
        if len(result.payloads) != 1:
            raise _DamagedFileError(name)
        return result.payloads[0]

    def _decode(self, decode: Any, payload: bytes, name: str) -> Any:
        """Decode an intact record; without checksums, it may be damaged."""
        try:
            return decode(payload)
        except msgspec.MsgspecError as error:
            if not self._verify:
                raise
            raise UnreadableRecord(name) from error

    def _scan(self, name: str, data: bytes) -> ScanResult:
        result = scan_records(data, self._verify)
        if result.damaged:
            raise _DamagedFileError(name)
        return result


def _snapshot_before(snapshot: Snapshot | None, index: int) -> Snapshot:
    """Return a snapshot that ends right before the first entry of a segment."""
    if snapshot is not None and snapshot.index == index:
        return snapshot
    return Snapshot(index, 0, Membership(()), b"")
