"""The program `damaskridge-entry`, which runs one entry host."""

import inspect
import sys
from pathlib import Path

from result import Err

from damaskridge import __version__
from damaskridge.binaries.entry_settings import EntrySettings
from damaskridge.binaries.settings_file import load_settings

__all__ = ["main"]

EXIT_RUNTIME = 1
EXIT_SETTINGS = 2


def entry(
    *extra: object,
    settings: str = "",
    check_settings: bool = False,
    version: bool = False,
    **unknown: object,
) -> None:
    """
    Run an entry host.

    Parameters
    ----------
    *extra, **unknown : object
        Refused here, because fire would complain only after the program has run.
    settings : str
        Settings file, JSON with comments.
    check_settings : bool
        Only check the settings.
    version : bool
        Only print the version.
    """
    if "help" in unknown:
        print(inspect.cleandoc(entry.__doc__ or ""))
        return
    for name in (*map(str, extra), *(f"--{flag}" for flag in unknown)):
        _exit(EXIT_SETTINGS, f"{name}: unknown argument")
    if version:
        print(f"damaskridge-entry {__version__}")
        return
    if not settings:
        _exit(EXIT_SETTINGS, "--settings: missing")
    loaded = load_settings(Path(str(settings)), EntrySettings)
    if isinstance(loaded, Err):
        _exit(EXIT_SETTINGS, "; ".join(loaded.err_value))
        return
    if check_settings:
        print("settings are valid")
        return
    # Imported late, so that checking settings does not load the servers.
    from damaskridge.binaries.entry_host import run_entry_host

    failure = run_entry_host(loaded.ok_value)
    if failure:
        _exit(EXIT_RUNTIME, failure)


def main() -> None:
    """Run the command line."""
    import fire

    fire.Fire(entry)


def _exit(code: int, message: str) -> None:
    print(f"damaskridge-entry: {message}", file=sys.stderr)
    raise SystemExit(code)


if __name__ == "__main__":
    main()
