"""Tests the settings file of the platform.

Guards against settings that are misinterpreted, and against processes that refuse to
start because of names that they do not know.
"""

import pytest

from damaskridge.platform.settings import load_platform_settings

LINES = """Node=front-a-1
Role=entry
Ip=10.1.0.14
Zone=a
Listen.Front=10.1.0.14:8221
Listen.Ready=10.1.0.14:8224
Listen.Directory=10.1.0.14:8220
PortRange=7600,7615
Seeds=10.1.0.14:8229,10.2.0.4:8229
Bootstrap=true
Cloud.Address=10.200.0.35:8225
Cloud.Duties=
Bounds.GraceS=8
Bounds.QuotaSlack=190000
Something.New=1
"""


def load(tmp_path, text):
    path = tmp_path / "boot.conf"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return load_platform_settings(path)


def test_file_is_parsed_and_unknown_names_are_ignored(tmp_path):
    settings = load(tmp_path, LINES).unwrap()
    assert (settings.host, settings.data_centre) == ("front-a-1", "a")
    assert settings.control_addresses == ("10.1.0.14:7600", "10.2.0.4:7600")
    assert settings.first_start
    assert (settings.control, settings.data_folder) == (None, None)
    assert settings.quota_slack == 190_000


@pytest.mark.parametrize(
    ("removed", "added", "named"),
    [
        ("Node=front-a-1", "", "Node"),
        ("PortRange=7600,7615", "PortRange=7600", "PortRange"),
        ("PortRange=7600,7615", "PortRange=a,b", "PortRange"),
        ("Seeds=10.1.0.14:8229,10.2.0.4:8229", "Seeds=", "Seeds"),
        ("Listen.Front=10.1.0.14:8221", "Listen.Front=nowhere", "Listen.Front"),
        ("Bounds.GraceS=8", "Bounds.GraceS=-1", "Bounds.GraceS"),
    ],
)
def test_errors_name_the_setting(tmp_path, removed, added, named):
    errors = load(tmp_path, LINES.replace(removed, added)).unwrap_err()
    assert any(error.startswith(named) for error in errors)


def test_unreadable_file_is_an_error(tmp_path):
    assert load_platform_settings(tmp_path / "none").is_err()
    assert load(tmp_path, b"Node=\xff\xfe").is_err()
