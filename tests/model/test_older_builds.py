"""Guards against changes after which bytes of an older build can't be read.

The fixtures hold messages and a data folder that a build has written; their folder is
named for its commit.
"""

import shutil
from pathlib import Path

import msgspec
import pytest

from damaskridge.adapters.control_node import _decode_command, _decode_snapshot_content
from damaskridge.adapters.disk.folder import DiskFolder, VolatileFolder
from damaskridge.adapters.disk.records import encode_record, scan_records
from damaskridge.adapters.disk.store import LogStore
from damaskridge.adapters.rpc.control_group import MemberFrame
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.consensus import HardState, LogEntry
from damaskridge.model.control import AdvanceTime, PublishRoutingTable
from damaskridge.model.follow import AnyFollowResponse, ReportLoad

FIXTURES = Path(__file__).resolve().parents[1] / "fixtures"
BUILDS = sorted(path.name for path in FIXTURES.iterdir())
DECODERS = {
    "member_frame": MemberFrame,
    "follow_response": AnyFollowResponse,
    "report_load": ReportLoad,
}


class EntryRecordOf9bf5599(msgspec.Struct, frozen=True, tag="e"):
    """The record of an entry as the build before wrote and read it."""

    entry: LogEntry


class HardRecordOf9bf5599(msgspec.Struct, frozen=True, tag="h"):
    """The record of term and vote as the build before wrote and read it."""

    hard_state: HardState


@pytest.mark.parametrize("build", BUILDS)
@pytest.mark.parametrize("kind", DECODERS)
def test_messages_of_an_older_build_are_read(build, kind):
    paths = sorted((FIXTURES / build).glob(f"{kind}-*.msgpack"))
    assert paths
    for path in paths:
        assert msgspec.msgpack.decode(path.read_bytes(), type=DECODERS[kind])


@pytest.mark.parametrize("build", BUILDS)
def test_data_folder_of_an_older_build_is_read(tmp_path, build):
    shutil.copytree(FIXTURES / build / "data", tmp_path / "data")
    folder = DiskFolder(tmp_path / "data")
    stored = LogStore(folder, "new").open()
    folder.close()
    assert (stored.disk_id, stored.damage) == ("9f", "")
    assert stored.hard_state == HardState(3, "a:1#9f")
    commands = [entry.command for entry in stored.log.slice(2, 4)]
    assert isinstance(_decode_command(commands[0]), AdvanceTime)
    assert commands[1] == b""
    assert stored.log.membership().learners == ("d:1#6c",)
    publish = _decode_command(commands[2])
    assert isinstance(publish, PublishRoutingTable)
    state = ControlState()
    state.restore(_decode_snapshot_content(stored.log.snapshot.state).state)
    assert state.data.routing == publish.table


def test_log_records_are_read_by_the_build_before():
    """Guards against a build that can't be taken back."""
    folder = VolatileFolder()
    store = LogStore(folder, "9f")
    store.open()
    store.save_hard_state(HardState(2, "a:1#9f"))
    store.save_entries((LogEntry(1, 2, b"command"),))
    store.sync()
    (segment,) = (name for name in folder.names() if name.startswith("log-"))
    record_type = EntryRecordOf9bf5599 | HardRecordOf9bf5599
    assert [
        msgspec.msgpack.decode(payload, type=record_type)
        for payload in scan_records(folder.read(segment)).payloads
    ] == [
        HardRecordOf9bf5599(HardState()),
        HardRecordOf9bf5599(HardState(2, "a:1#9f")),
        EntryRecordOf9bf5599(LogEntry(1, 2, b"command")),
    ]


def test_log_records_of_the_build_before_are_read():
    folder = VolatileFolder()
    store = LogStore(folder, "9f")
    store.open()
    (segment,) = (name for name in folder.names() if name.startswith("log-"))
    records = (
        HardRecordOf9bf5599(HardState(2, "a:1#9f")),
        EntryRecordOf9bf5599(LogEntry(1, 2, b"command")),
    )
    for record in records:
        folder.append(segment, encode_record(msgspec.msgpack.encode(record)))
    stored = LogStore(folder, "new").open()
    assert (stored.disk_id, stored.hard_state) == ("9f", HardState(2, "a:1#9f"))
    assert stored.log.slice(1, 1) == (LogEntry(1, 2, b"command"),)
