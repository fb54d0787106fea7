"""Guards against deploying unlocked packages or packages for development only."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
NOT_DEPLOYED = {"matplotlib", "numpy", "pytest", "mypy", "ruff", "hypothesis"}


def test_deployed_packages_are_locked_and_needed():
    deployed = (ROOT / "requirements.txt").read_text().split()
    locked = (ROOT / "requirements.lock").read_text().split()
    assert set(deployed) <= set(locked)
    assert not NOT_DEPLOYED & {line.partition("==")[0] for line in deployed}
