"""Lets tasks with much buffered work run one after the other."""

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

__all__ = ["TurnQueue"]


class TurnQueue:
    """
    Grants one turn in each iteration of the event loop.

    Tasks that merely yield all run again in the next iteration, so that many of them
    delay every other task by the sum of their turns.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop on which the tasks run.
    """

    _queues: "WeakKeyDictionary[asyncio.AbstractEventLoop, TurnQueue]" = (
        WeakKeyDictionary()
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[asyncio.Future[None]] = deque()

    @classmethod
    def of_running_loop(cls) -> "TurnQueue":
        """Return the queue that all tasks of the running event loop share."""
        loop = asyncio.get_running_loop()
        queue = cls._queues.get(loop)
        if queue is None:
            queue = cls._queues[loop] = cls(loop)
        return queue

    async def wait(self) -> None:
        """Wait until it is the turn of the calling task, in order of the calls."""
        turn = self._loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            self._loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            self._loop.call_soon(self._grant)
