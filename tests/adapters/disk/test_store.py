"""Guards against the loss of synced records and the use of damaged ones."""

import copy
import random

import pytest
from tests.memory_folder import MemoryFolder, PowerLost

from damaskridge.adapters.disk.folder import DiskFolder
from damaskridge.adapters.disk.records import encode_record
from damaskridge.adapters.disk.store import LogStore, UnreadableRecord
from damaskridge.core.consensus.log import RaftLog
from damaskridge.model.consensus import HardState, LogEntry, Membership, Snapshot

ENTRIES = tuple(LogEntry(i, 2, b"command %d" % i) for i in range(1, 5))


def write_store(folder) -> LogStore:
    store = LogStore(folder, "a1")
    store.open()
    store.save_hard_state(HardState(2, "c1#a1"))
    store.save_entries(ENTRIES)
    store.sync()
    return store


def test_synced_records_persist_and_later_entries_replace_them(tmp_path):
    folder = DiskFolder(tmp_path)
    store = write_store(folder)
    with pytest.raises(BlockingIOError):
        DiskFolder(tmp_path)
    store.save_entries((LogEntry(3, 5, b"new"),))
    store.sync()
    folder.close()
    (tmp_path / "snapshot.tmp").write_bytes(b"unfinished")
    stored = LogStore(DiskFolder(tmp_path), "b2").open()
    assert (stored.disk_id, stored.hard_state) == ("a1", HardState(2, "c1#a1"))
    assert stored.log.slice(1, 3) == (*ENTRIES[:2], LogEntry(3, 5, b"new"))
    assert stored.log.last_index == 3 and not stored.damage


def test_unfinished_write_of_any_length_is_truncated(tmp_path):
    folder = DiskFolder(tmp_path)
    store = write_store(folder)
    path = next(tmp_path.glob("log-*"))
    synced = path.stat().st_size
    store.save_entries((LogEntry(5, 2, b"unsynced"),))
    data = path.read_bytes()
    folder.close()
    for size in range(synced, len(data)):
        path.write_bytes(data[:size] + bytes(size % 3 * 8 if size == synced else 0))
        folder = DiskFolder(tmp_path)
        stored = LogStore(folder, "b2").open()
        folder.close()
        assert (stored.disk_id, stored.log.last_index) == ("a1", 4)
        assert path.stat().st_size == synced


def test_every_flipped_bit_is_reported_and_resets_the_folder():
    intact = MemoryFolder()
    log = RaftLog(Snapshot(1, 2, Membership(("c1#a1",)), b"state"), [ENTRIES[1]])
    write_store(intact).save_snapshot(log, HardState(2, "c1#a1"))
    for name in intact.names():
        for position in range(intact.synced_bytes(name)):
            folder = copy.deepcopy(intact)
            folder.files[name][position] ^= 1 << position % 8
            stored = LogStore(folder, "b2").open()
            assert (stored.disk_id, stored.damage) == ("b2", name)
            assert (stored.log.last_index, stored.hard_state) == (0, HardState())


def test_power_loss_before_a_sync_leaves_the_synced_records():
    """Guards against writes that are missing or torn, taken for a damaged disk."""
    for seed in range(400):
        rng, count = random.Random(seed), 1 + seed % 4
        folder = MemoryFolder()
        store = write_store(folder)
        sizes = [rng.choice((5, 90, 700, 3000)) for _ in range(count)]
        store.save_entries(
            tuple(LogEntry(5 + i, 2, rng.randbytes(s)) for i, s in enumerate(sizes))
        )
        folder.lose_power(rng)
        stored = LogStore(folder, "b2").open()
        assert (stored.disk_id, stored.damage) == ("a1", "")
        assert stored.log.slice(1, 4) == ENTRIES


def test_records_of_a_killed_process_are_synced_before_they_count():
    """Guards against entries that are acknowledged after a kill and then lost."""
    for seed in range(20):
        folder = MemoryFolder()
        write_store(folder).save_entries((LogEntry(5, 2, b"not synced"),))
        assert LogStore(folder, "b2").open().log.synced_index == 5
        folder.lose_power(random.Random(seed))
        assert LogStore(folder, "b2").open().log.last_index == 5


def test_missing_part_of_the_synced_records_is_damage():
    """Guards against a hole before later batches, taken for an unsynced write."""
    folder = MemoryFolder()
    store = write_store(folder)
    (segment,) = (name for name in folder.names() if name.startswith("log-"))
    size_bytes = folder.synced_bytes(segment)
    store.save_entries((LogEntry(5, 2, b"next batch"),))
    store.sync()
    folder.files[segment][size_bytes - 30 : size_bytes] = bytes(30)
    stored = LogStore(folder, "b2").open()
    assert (stored.disk_id, stored.damage) == ("b2", segment)


@pytest.mark.parametrize("lost", ["member", "log-", "everything"])
def test_folder_with_lost_files_gets_a_new_id(lost):
    folder = MemoryFolder()
    write_store(folder)
    for name in folder.names():
        if lost == "everything" or name.startswith(lost):
            folder.remove(name)
    stored = LogStore(folder, "b2").open()
    assert (stored.disk_id, stored.log.last_index) == ("b2", 0)


@pytest.mark.parametrize("operations", range(4))
def test_power_loss_during_a_snapshot_loses_no_entry(operations):
    folder = MemoryFolder()
    store = write_store(folder)
    log = RaftLog(None, list(ENTRIES))
    log.install_snapshot(Snapshot(3, 2, Membership(("c1#a1",)), b"state"))
    folder.operations_left = operations
    try:
        store.save_snapshot(log, HardState(2, "c1#a1"))
    except PowerLost:
        folder.lose_power(random.Random(0))
    folder.operations_left = None
    stored = LogStore(folder, "b2").open()
    assert (stored.disk_id, stored.log.last_index, stored.damage) == ("a1", 4, "")
    assert stored.log.snapshot.index == (3 if operations else 0)
    assert sum(n.startswith("log-") for n in folder.names()) == 1


@pytest.mark.parametrize("installed", [3, 9])
def test_installed_snapshot_replaces_the_log_after_a_power_loss(installed):
    folder = MemoryFolder()
    store = write_store(folder)
    log = RaftLog(None, list(ENTRIES))
    log.install_snapshot(Snapshot(installed, 9, Membership(("c1#a1",)), b"state"))
    folder.operations_left = 1
    with pytest.raises(PowerLost):
        store.save_snapshot(log, HardState(9, ""))
    folder.operations_left = None
    store = LogStore(folder, "b2")
    stored = store.open()
    assert (stored.log.last_index, stored.log.last_term) == (installed, 9)
    store.save_entries((LogEntry(installed + 1, 9, b"after"),))
    store.sync()
    stored = LogStore(folder, "b2").open()
    assert (stored.disk_id, stored.damage) == ("a1", "")
    assert stored.log.last_index == installed + 1


@pytest.mark.parametrize("name", ["log-000000000002", "snapshot"])
def test_record_of_a_newer_build_leaves_the_folder_as_it_is(name):
    """Guards against a disk that is emptied when a build is taken back."""
    folder = MemoryFolder()
    store = write_store(folder)
    log = RaftLog(Snapshot(1, 2, Membership(("c1#a1",)), b"state"), list(ENTRIES[1:]))
    store.save_snapshot(log, HardState(2, "c1#a1"))
    unknown = encode_record(b"\x82\xa4type\xa1z\xa1x\x01")
    if name == "snapshot":
        folder.replace(name, unknown)
    else:
        folder.append(name, unknown)
        folder.sync(name)
    # An unfinished write, which would be cut.
    folder.append("log-000000000002", b"\x00\x00")
    before = {name: folder.read(name) for name in folder.names()}
    with pytest.raises(UnreadableRecord, match=name):
        LogStore(folder, "b2").open()
    assert {name: folder.read(name) for name in folder.names()} == before
