"""The command line of the programs on the users' platform."""

import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

__all__ = ["main"]

SETTINGS_VARIABLE = "DAMASKRIDGE_CONFIG"
EXIT_USAGE = 2
USAGE = "run.py entry | control | check"


def main(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """
    Run one program; the environment names its settings file.

    Parameters
    ----------
    arguments : sequence of str
        ``entry``, ``control``, or ``check`` to check the settings only.
    environment : mapping of str to str
        ``DAMASKRIDGE_CONFIG`` holds the path of the settings file.

    Returns
    -------
    int
        The exit status.
    """
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path or len(arguments) != 1:
        print(f"usage: {SETTINGS_VARIABLE}=FILE {USAGE}", file=sys.stderr)
        return EXIT_USAGE
    # The load takes a moment, in which signals mean the same as later.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Each program loads only what it needs; both must fit small machines.
    if arguments[0] == "entry":
        from damaskridge.binaries.platform_entry import run_platform_entry

        return run_platform_entry(Path(path))
    if arguments[0] == "control":
        from damaskridge.binaries.platform_control import run_platform_control

        return run_platform_control(Path(path))
    if arguments[0] == "check":
        return _check(Path(path))
    print(f"unknown program {arguments[0]!r}; usage: {USAGE}", file=sys.stderr)
    return EXIT_USAGE


def _check(path: Path) -> int:
    from damaskridge.platform.settings import load_platform_settings

    loaded = load_platform_settings(path)
    for fault in loaded.err() or []:
        print(f"damaskridge-platform: {fault}", file=sys.stderr)
    return EXIT_USAGE if loaded.is_err() else 0
