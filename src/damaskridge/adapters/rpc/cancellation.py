"""Separates cancellations made by grpclib from those made by anyio.

When a connection is lost, grpclib cancels the task that waits on it and converts the
`CancelledError` to an error of its own, without calling `Task.uncancel`. The task still
counts as being cancelled, so the next anyio scope that is cancelled in it doesn't catch
its own `CancelledError`, which then ends the task and its task group without an error.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

__all__ = ["CONNECTION_ERRORS", "uncancel_on_connection_error"]

CONNECTION_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


@contextlib.contextmanager
def uncancel_on_connection_error() -> Iterator[None]:
    """Undo the task cancellation that grpclib left behind a connection error."""
    task = asyncio.current_task()
    assert task is not None, "must be used inside a task"
    cancelling_before = task.cancelling()
    try:
        yield
    except CONNECTION_ERRORS:
        if task.cancelling() > cancelling_before:
            task.uncancel()
        raise
