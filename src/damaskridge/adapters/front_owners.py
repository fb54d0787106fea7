"""Client of rate and cell owners that retries when an owner changes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from damaskridge.adapters.front_settings import FrontSettings
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import ControlPort
from damaskridge.adapters.rpc.isolated_tasks import mark_exception_retrieved
from damaskridge.core.state.fleet_queries import owner_of
from damaskridge.model.control import Owner
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import Refused, TakeOverResponse

__all__ = ["OwnerClient"]

_logger = logging.getLogger(__name__)
_RETRIED_KINDS = frozenset(
    {
        ErrorKind.OWNER_UNAVAILABLE,
        ErrorKind.EPOCH_CONFLICT,
        ErrorKind.LEASE_EXPIRED,
        ErrorKind.SESSION_ENDED,
        ErrorKind.NOT_LEADER,
        ErrorKind.CONTROL_UNAVAILABLE,
    }
)
_RETRY_AFTER_S = 1.0

T = TypeVar("T")


class OwnerClient:
    """
    Calls the current owner of a resource.

    A request within its rate must not be refused because an owner was lost. The call
    therefore waits for a new owner, and is retried when the epoch changes.
    """

    def __init__(self, control: ControlPort, settings: FrontSettings) -> None:
        self._control = control
        self._settings = settings

    async def call(
        self,
        resource: str,
        send: Callable[[Owner], Coroutine[Any, Any, T]],
        timeout_s: float | None = None,
    ) -> T | Failure:
        """
        Return the owner's response, or a failure if none arrived in time.

        Parameters
        ----------
        resource : str
            The resource whose owner is called.
        send : callable
            Sends the call to an owner. It may be sent several times, so the call must
            be idempotent.
        timeout_s : float or None
            Timeout of one call. Without it, a call ends only when the epoch does.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._settings.owner_timeout_s
        epoch = -1
        while True:
            owner = owner_of(self._control.fleet, resource)
            if owner is not None:
                if epoch not in (-1, owner.epoch):
                    deadline_s = loop.time() + self._settings.owner_timeout_s
                epoch = owner.epoch
                response = await self._call_while_owned(owner, send(owner), timeout_s)
                if response is not None and not _is_retried(response):
                    return response
            if loop.time() >= deadline_s:
                detail = f"no answer from the owner of {resource}"
                return Failure(
                    ErrorKind.OWNER_UNAVAILABLE, detail, retry_after_s=_RETRY_AFTER_S
                )
            await asyncio.sleep(self._settings.retry_pause_s)

    async def send_best_effort(self, message: Awaitable[None]) -> None:
        """Await the sending of a message that may be lost; errors are only logged."""
        try:
            await message
        except Exception as error:
            _log_call_error("", error)

    async def _call_while_owned(
        self, owner: Owner, message: Coroutine[Any, Any, T], timeout_s: float | None
    ) -> T | None:
        """Return the response, or `None` on an error, a timeout or a new epoch."""
        loop = asyncio.get_running_loop()
        call_deadline_s = float("inf") if timeout_s is None else loop.time() + timeout_s
        task = asyncio.ensure_future(message)
        task.add_done_callback(mark_exception_retrieved)
        try:
            while not task.done() and loop.time() < call_deadline_s:
                await asyncio.wait({task}, timeout=self._settings.retry_pause_s)
                current = owner_of(self._control.fleet, owner.resource)
                if current is None or current.epoch != owner.epoch:
                    break
            if not task.done():
                return None
            return task.result()
        except Exception as error:
            _log_call_error(owner.resource, error)
            return None
        finally:
            task.cancel()


def _is_retried(response: object) -> bool:
    """Return whether another owner, or the same one later, may accept the call."""
    if isinstance(response, Refused):
        return response.failure.kind in _RETRIED_KINDS
    if isinstance(response, TakeOverResponse) and response.failure is not None:
        return response.failure.kind in _RETRIED_KINDS
    return False


def _log_call_error(resource: str, error: Exception) -> None:
    log_event(
        _logger,
        EventNumber.PEER_LOST,
        level=logging.WARNING,
        resource=resource,
        error=type(error).__name__,
    )
