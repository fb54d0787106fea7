"""Guards against a deployed package that the lock does not name."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
NOT_DEPLOYED = {"matplotlib", "numpy", "pytest", "mypy", "ruff", "hypothesis"}


def test_what_is_deployed_is_locked_and_needed():
    deployed = (ROOT / "requirements.txt").read_text().split()
    locked = (ROOT / "requirements.lock").read_text().split()
    assert set(deployed) <= set(locked)
    assert not NOT_DEPLOYED & {line.partition("==")[0] for line in deployed}
