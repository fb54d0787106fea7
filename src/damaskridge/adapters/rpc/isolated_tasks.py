"""Runs steps with grpclib in their own task.

grpclib ends a waiting call by cancelling the task that waits. If the call has just
returned, the cancellation hits whatever that task awaits next, and a cancel scope or
task group around it ends without an error.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_isolated", "mark_exception_retrieved"]

T = TypeVar("T")


async def run_isolated(
    coroutine: Coroutine[Any, Any, T], timeout_s: float | None = None
) -> T:
    """
    Return the result of `coroutine`, or raise its exception.

    Parameters
    ----------
    step : coroutine
        Calls grpclib.
    timeout_s : float or None
        Longest time; `TimeoutError` is raised after it.

    Raises
    ------
    ConnectionResetError
        The step was cancelled from inside.
    """
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(mark_exception_retrieved)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
    finally:
        if not task.done():
            task.cancel()
    if not task.done():
        raise TimeoutError
    if task.cancelled():
        raise ConnectionResetError("the call was cancelled with its connection")
    return task.result()


def mark_exception_retrieved(task: asyncio.Future[Any]) -> None:
    """
    Mark the error of an abandoned task as seen; for `add_done_callback`.

    Otherwise asyncio formats a traceback when the task is collected, at any moment,
    also inside `ast.parse`, which is not reentrant in Python 3.11.
    """
    if not task.cancelled():
        task.exception()
