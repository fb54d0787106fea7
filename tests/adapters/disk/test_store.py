"""Guards against lost acknowledged records and against trusting damaged ones."""

import copy
import random

import pytest
from tests.memory_folder import MemoryFolder, PowerLost

from damaskridge.adapters.disk.folder import DiskFolder
from damaskridge.adapters.disk.store import LogStore
from damaskridge.core.consensus.log import RaftLog
from damaskridge.model.consensus import HardState, LogEntry, Membership, Snapshot

ENTRIES = tuple(LogEntry(i, 2, b"command %d" % i) for i in range(1, 5))


def written(folder) -> LogStore:
    store = LogStore(folder, "a1")
    store.open()
    store.save_hard_state(HardState(2, "c1#a1"))
    store.save_entries(ENTRIES)
    store.sync()
    return store


def test_synced_records_survive_and_later_ones_replace_them(tmp_path):
    folder = DiskFolder(tmp_path)
    store = written(folder)
    with pytest.raises(BlockingIOError):
        DiskFolder(tmp_path)
    store.save_entries((LogEntry(3, 5, b"new"),))
    store.sync()
    folder.close()
    (tmp_path / "snapshot.tmp").write_bytes(b"unfinished")
    found = LogStore(DiskFolder(tmp_path), "b2").open()
    assert (found.member, found.hard_state) == ("a1", HardState(2, "c1#a1"))
    assert found.log.slice(1, 3) == (*ENTRIES[:2], LogEntry(3, 5, b"new"))
    assert found.log.last_index == 3 and not found.damage


def test_torn_tail_is_cut_at_every_length(tmp_path):
    folder = DiskFolder(tmp_path)
    store = written(folder)
    path = next(tmp_path.glob("log-*"))
    synced = path.stat().st_size
    store.save_entries((LogEntry(5, 2, b"unsynced"),))
    data = path.read_bytes()
    folder.close()
    for size in range(synced, len(data)):
        path.write_bytes(data[:size] + bytes(size % 3 * 8 if size == synced else 0))
        folder = DiskFolder(tmp_path)
        found = LogStore(folder, "b2").open()
        folder.close()
        assert (found.member, found.log.last_index) == ("a1", 4)
        assert path.stat().st_size == synced


def test_every_flipped_bit_is_reported_and_empties_the_member():
    whole = MemoryFolder()
    log = RaftLog(Snapshot(1, 2, Membership(("c1#a1",)), b"state"), [ENTRIES[1]])
    written(whole).save_snapshot(log, HardState(2, "c1#a1"))
    for name in whole.names():
        for position in range(whole.synced_bytes[name]):
            folder = copy.deepcopy(whole)
            folder.files[name][position] ^= 1 << position % 8
            found = LogStore(folder, "b2").open()
            assert (found.member, found.damage) == ("b2", name)
            assert (found.log.last_index, found.hard_state) == (0, HardState())


@pytest.mark.parametrize("lost", ["member", "log-", "everything"])
def test_lost_files_give_the_disk_a_new_id(lost):
    folder = MemoryFolder()
    written(folder)
    for name in folder.names():
        if lost == "everything" or name.startswith(lost):
            folder.remove(name)
    found = LogStore(folder, "b2").open()
    assert (found.member, found.log.last_index) == ("b2", 0)


@pytest.mark.parametrize("operations", range(4))
def test_power_loss_while_a_snapshot_is_written_loses_nothing(operations):
    folder = MemoryFolder()
    store = written(folder)
    log = RaftLog(None, list(ENTRIES))
    log.install_snapshot(Snapshot(3, 2, Membership(("c1#a1",)), b"state"))
    folder.operations_left = operations
    try:
        store.save_snapshot(log, HardState(2, "c1#a1"))
    except PowerLost:
        folder.crash(random.Random(0))
    folder.operations_left = None
    found = LogStore(folder, "b2").open()
    assert (found.member, found.log.last_index, found.damage) == ("a1", 4, "")
    assert found.log.snapshot.index == (3 if operations else 0)
    assert sum(n.startswith("log-") for n in folder.names()) == 1


@pytest.mark.parametrize("installed", [3, 9])
def test_installed_snapshot_replaces_the_log_after_power_loss(installed):
    folder = MemoryFolder()
    store = written(folder)
    log = RaftLog(None, list(ENTRIES))
    log.install_snapshot(Snapshot(installed, 9, Membership(("c1#a1",)), b"state"))
    folder.operations_left = 1
    with pytest.raises(PowerLost):
        store.save_snapshot(log, HardState(9, ""))
    folder.operations_left = None
    store = LogStore(folder, "b2")
    found = store.open()
    assert (found.log.last_index, found.log.last_term) == (installed, 9)
    store.save_entries((LogEntry(installed + 1, 9, b"after"),))
    store.sync()
    found = LogStore(folder, "b2").open()
    assert (found.member, found.damage) == ("a1", "")
    assert found.log.last_index == installed + 1
