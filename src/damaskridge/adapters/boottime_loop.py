"""An event loop whose clock goes on while the machine is suspended.

The loop's usual clock stands still during a suspension, so that a lease, a reservation
or a key that ran out meanwhile would pass for valid on waking. Every permission in this
package is checked against the loop's clock; programs therefore run on this loop.
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
    A selector loop that counts suspended time.

    Parameters
    ----------
    clock : callable
        Seconds since a fixed moment, suspensions included.
    """

    def __init__(self, clock: Callable[[], float] = _boottime_s) -> None:
        self._clock = clock
        super().__init__()

    def time(self) -> float:
        """Return the clock's seconds; timers that passed meanwhile are due at once."""
        return self._clock()


def run_program(main: Callable[..., Awaitable[T]], *args: Any) -> T:
    """Run `main` on a `BoottimeEventLoop` and return its result."""
    options = {"loop_factory": BoottimeEventLoop}
    return anyio.run(main, *args, backend_options=options)
