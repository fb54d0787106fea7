"""The command line of the programs for the users' platform."""

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
    Run one program with the settings file that the environment names.

    Parameters
    ----------
    arguments : sequence of str
        ``entry``, ``control``, or ``check`` to validate the settings only.
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
    # The imports below take a while. Until the program installs its own handlers,
    # SIGTERM must end it with status 0 and SIGHUP must not end it.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Each program imports only what it needs, to fit machines with little memory.
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
