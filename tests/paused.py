"""Runs coroutines on a loop whose clock jumps over every wait."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["run_paused"]

T = TypeVar("T")


def run_paused(main: Coroutine[Any, Any, T], end_s: float = 3600.0) -> T:
    """Return the result of `main`; waits take no real time."""

    def new_loop() -> asyncio.AbstractEventLoop:
        return looptime.new_event_loop(start=0.0, end=end_s)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main)
