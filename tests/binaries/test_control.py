"""Guards against settings faults that are not reported, and wrong exit codes."""

import socket
import sys
from pathlib import Path

import pytest

from damaskridge.binaries import control
from damaskridge.binaries.control_settings import ControlSettings
from damaskridge.binaries.settings_file import load_settings

VALID = """{
  // comments are allowed
  host: "c1", data_centre: "fukuoka", rpc_address: "127.0.0.1:7101",
  operators_address: "127.0.0.1:7102", data_folder: "data",
  members: {c1: "127.0.0.1:7101", c2: "127.0.0.1:7201"},
}"""


def run(monkeypatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["damaskridge-control", *arguments])
    try:
        control.main()
    except SystemExit as stop:
        return stop.code or 0
    return 0


@pytest.mark.parametrize(
    ("old", "new", "faults"),
    [
        ("", "", []),
        ('host: "c1"', 'host: "c9"', ["members: "]),
        ('"127.0.0.1:7201"', '"c2"', ["members.c2: "]),
        ('data_folder: "data"', "colour: 1", ["data_folder: ", "colour: "]),
        ('host: "c1"', 'host: "c1", host: "c2"', ["FILE: "]),
        ("{", "[", ["FILE: "]),
    ],
)
def test_each_settings_fault_is_reported(
    tmp_path, capsys, monkeypatch, old, new, faults
):
    path = tmp_path / "control.json"
    path.write_text(VALID.replace(old, new, 1))
    code = run(monkeypatch, "--settings", str(path), "--check-settings")
    lines = capsys.readouterr().err.splitlines()
    assert code == (2 if faults else 0)
    assert len(lines) == len(faults)
    for line, fault in zip(lines, faults, strict=True):
        start = fault.replace("FILE", str(path))
        assert line.startswith(f"damaskridge-control: {start}")


def test_missing_file_and_unusable_folder_are_reported(tmp_path, capsys, monkeypatch):
    assert run(monkeypatch, "--settings", str(tmp_path / "none")) == 2
    path, occupied = tmp_path / "control.json", tmp_path / "data"
    occupied.write_text("a file in place of the folder")
    path.write_text(VALID.replace('"data"', f'"{occupied}"'))
    monkeypatch.setattr(control, "configure_logging", lambda process: None)
    assert run(monkeypatch, "--settings", str(path)) == 1
    error = capsys.readouterr().err
    assert f"{tmp_path / 'none'}: " in error and "data_folder: " in error


def test_unknown_argument_does_not_start_the_program(tmp_path, capsys, monkeypatch):
    path = tmp_path / "control.json"
    path.write_text(VALID)
    monkeypatch.setattr(control, "_run", lambda settings: pytest.fail("started"))
    assert run(monkeypatch, "--settings", str(path), "--check-setings") == 2
    assert "--check-setings: unknown argument" in capsys.readouterr().err


def test_address_in_use_is_reported(tmp_path, capsys, monkeypatch):
    path = tmp_path / "control.json"
    monkeypatch.setattr(control, "configure_logging", lambda process: None)
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        text = VALID.replace("127.0.0.1:7101", address)
        path.write_text(text.replace('"data"', f'"{tmp_path / "data"}"'))
        assert run(monkeypatch, "--settings", str(path)) == 1
    assert f"rpc_address: {address}: " in capsys.readouterr().err


@pytest.mark.parametrize("option", ["--version", "--help"])
def test_information_needs_no_settings(capsys, monkeypatch, option):
    assert run(monkeypatch, option) == 0
    assert capsys.readouterr().out.strip()


def test_loader_returns_the_model(tmp_path):
    path = tmp_path / "control.json"
    path.write_text(VALID)
    settings = load_settings(path, ControlSettings).unwrap()
    assert settings.data_folder == Path("data") and not settings.join_as_learner
