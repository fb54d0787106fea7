"""Guards against faults without a path, accepted unknown names, refused comments."""

import pytest

from damaskridge.binaries.entry import entry
from damaskridge.binaries.entry_settings import EntrySettings
from damaskridge.binaries.settings_file import load_settings

VALID = """{
  // one entry host
  host: "entry-1", data_centre: "fukuoka",
  caller_address: "127.0.0.1:8000", peer_address: "127.0.0.1:8001",
  operators_address: "127.0.0.1:8002", host_list_address: "127.0.0.1:8003",
  control_addresses: ["127.0.0.1:9000"],
}"""


def load_faults(tmp_path, text):
    path = tmp_path / "entry.json"
    path.write_text(text)
    return load_settings(path, EntrySettings).err()


def test_comments_are_allowed(tmp_path):
    assert load_faults(tmp_path, VALID) is None


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("data_centre:", "zone:", "zone: "),
        ('"127.0.0.1:9000"', '"127.0.0.1:9000", "localhost:1"', "control_addresses.1"),
        ("127.0.0.1:8001", "127.0.0.1:0", "peer_address"),
        ("host:", "front: {keep_s: -1}, host:", "front.keep_s"),
        ("// one", "/* one", "entry.json"),
        ('"entry-1"', '"Entry_1"', "host"),
    ],
)
def test_each_fault_is_reported_with_its_path(tmp_path, old, new, path):
    assert any(
        path in line for line in load_faults(tmp_path, VALID.replace(old, new, 1))
    )


def test_missing_file_exits_with_2_and_one_line(tmp_path, capsys):
    with pytest.raises(SystemExit) as stopped:
        entry(settings=str(tmp_path / "none.json"))
    assert stopped.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_unknown_option_is_refused_before_the_program_runs(capsys):
    with pytest.raises(SystemExit) as stopped:
        entry(settings="none.json", bogus=True)
    assert stopped.value.code == 2
    assert "--bogus" in capsys.readouterr().err
