"""Runs a case and maps its outcome to the exit status of its script."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from fleet import CannotRun
from record import Record

HELD, BROKEN, NOT_PLAYED = 0, 1, 2
LIMIT_S = 110.0


def run(case_file, play):
    """
    Play a case; `play(folder, record, trouble)` returns whether the rule was broken.

    It has to end the processes that it starts, whatever happens.
    """
    # Connections that are left open as the loop ends; they end with this process.
    sys.unraisablehook = lambda unraisable: None
    record = Record(Path(case_file).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={int(trouble)}")

    async def limited(folder):
        async with asyncio.timeout(LIMIT_S):
            return await play(Path(folder), record, trouble)

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            status = BROKEN if asyncio.run(limited(folder)) else HELD
    except (CannotRun, OSError, TimeoutError) as error:
        record.note(f"the case could not be played: {error!r}")
        status = NOT_PLAYED
    outcome = ("the rule held", "the rule was broken", "not played")[status]
    record.note(f"exit {status}: {outcome}")
    record.close()
    print(outcome)
    sys.exit(status)
