"""An event loop whose clock also counts the time while the host is suspended.

The clock of asyncio's loops stops during a suspension, so a lease, a reservation or a
key that expired meanwhile would still count as valid afterwards. This package checks
all expiry times against the loop's clock; therefore its programs run on this loop.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

__all__ = ["BoottimeEventLoop", "run_program"]

T = TypeVar("T")


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """
    A selector event loop whose clock includes suspensions of the host.

    Parameters
    ----------
    clock : callable
        Returns the seconds since a fixed point in time, suspensions included.
    """

    def __init__(self, clock: Callable[[], float] = _boottime_s) -> None:
        self._clock = clock
        super().__init__()

    def time(self) -> float:
        """Return the clock's time; timers due in a suspension run right after it."""
        return self._clock()


def run_program(main: Callable[..., Awaitable[T]], *args: Any) -> T:
    """Run `main` on a `BoottimeEventLoop` and return its result."""
    options = {"loop_factory": BoottimeEventLoop}
    return anyio.run(main, *args, backend_options=options)
