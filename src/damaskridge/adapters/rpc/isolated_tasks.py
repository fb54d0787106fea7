"""Runs grpclib calls in tasks of their own, isolated from grpclib's cancellations.

grpclib aborts a waiting call by cancelling the task that waits. If the call has just
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
    Run a coroutine in its own task; return its result or raise its exception.

    Parameters
    ----------
    coroutine : coroutine
        Makes calls to grpclib.
    timeout_s : float or None
        Time limit in seconds; None for no limit.

    Raises
    ------
    TimeoutError
        The time limit has passed. The coroutine is cancelled.
    ConnectionResetError
        The coroutine was cancelled by grpclib, not by the caller.
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
        raise ConnectionResetError("connection lost: grpclib cancelled the call")
    return task.result()


def mark_exception_retrieved(task: asyncio.Future[Any]) -> None:
    """
    Retrieve the exception of an abandoned task; use it with `add_done_callback`.

    Otherwise asyncio formats a traceback when the task is garbage-collected. That can
    happen at any point, also inside `ast.parse`, which isn't reentrant in Python 3.11.
    """
    if not task.cancelled():
        task.exception()
