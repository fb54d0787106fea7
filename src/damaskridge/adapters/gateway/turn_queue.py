"""Shares the event loop among connections that have much buffered data."""

import asyncio
from collections import deque
from collections.abc import Callable
from weakref import WeakKeyDictionary

__all__ = ["MAX_PARTS_PER_TURN", "TurnQueue"]

# Parts of a body that are handled before other tasks and timers run. A full buffer may
# hold thousands of them.
MAX_PARTS_PER_TURN = 16


class TurnQueue:
    """
    Grants one turn in each iteration of the event loop.

    Tasks that merely yield all run again in the next iteration, so that many of them
    delay every other task by the sum of their turns.
    """

    _queues: "WeakKeyDictionary[asyncio.AbstractEventLoop, TurnQueue]" = (
        WeakKeyDictionary()
    )

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    @classmethod
    def of_running_loop(cls) -> "TurnQueue":
        """Return the queue that all tasks of the running event loop share."""
        loop = asyncio.get_running_loop()
        queue = cls._queues.get(loop)
        if queue is None:
            queue = cls._queues[loop] = cls()
        return queue

    def call(self, callback: Callable[[], None]) -> None:
        """Call a function in a turn of its own, in order of the requests."""
        self._waiting.append(callback)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._grant)

    async def wait(self) -> None:
        """Wait for a turn of the calling task."""
        turn = asyncio.get_running_loop().create_future()
        self.call(lambda: None if turn.done() else turn.set_result(None))
        await turn

    def _grant(self) -> None:
        callback = self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._grant)
        callback()
