"""Runs coroutines on an event loop with simulated time."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["run_paused"]

T = TypeVar("T")


def run_paused(main: Coroutine[Any, Any, T], end_s: float = 3600.0) -> T:
    """
    Run `main` and return its result.

    The clock of the loop skips every wait, up to `end_s` of simulated time.
    """

    def new_loop() -> asyncio.AbstractEventLoop:
        return looptime.new_event_loop(start=0.0, end=end_s)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main)
