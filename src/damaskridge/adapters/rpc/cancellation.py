"""Keeps the cancellations of grpclib apart from those of anyio.

grpclib ends a wait on a lost connection by cancelling the waiting task, and then
replaces the `CancelledError` by an error of its own. The task still counts as being
cancelled, so the next anyio scope that is cancelled in it lets its `CancelledError`
through, which ends the task and all tasks of its group without an error.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

__all__ = ["CONNECTION_ERRORS", "uncancel_on_connection_error"]

CONNECTION_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


@contextlib.contextmanager
def uncancel_on_connection_error() -> Iterator[None]:
    """Take back the cancellation behind a connection error that passes through."""
    task = asyncio.current_task()
    assert task is not None, "used outside a task"
    cancelling_before = task.cancelling()
    try:
        yield
    except CONNECTION_ERRORS:
        if task.cancelling() > cancelling_before:
            task.uncancel()
        raise
