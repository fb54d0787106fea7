"""Asks rate and cell owners, and asks again when an owner changes."""

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
from damaskridge.model.routing import Refused, TakeOverReply

__all__ = ["OwnerClient"]

_logger = logging.getLogger(__name__)
_OWNER_TROUBLE = frozenset(
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
    Calls the owner of a resource, whoever it is.

    A request within its rate is not refused because an owner was lost: the call
    waits, and is repeated when the owner's epoch changes.
    """

    def __init__(self, control: ControlPort, settings: FrontSettings) -> None:
        self._control = control
        self._settings = settings

    async def ask(
        self,
        resource: str,
        send: Callable[[Owner], Coroutine[Any, Any, T]],
        limit_s: float | None = None,
    ) -> T | Failure:
        """
        Return the owner's answer, or why none came in time.

        Parameters
        ----------
        resource : str
            What the owner owns.
        send : callable
            Sends the call, which must be safe to repeat.
        limit_s : float or None
            Longest time for one call; without it a call lasts as long as the epoch.
        """
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + self._settings.owner_wait_s
        epoch = -1
        while True:
            owner = owner_of(self._control.fleet, resource)
            if owner is not None:
                if epoch not in (-1, owner.epoch):
                    give_up_s = loop.time() + self._settings.owner_wait_s
                epoch = owner.epoch
                reply = await self._while_owned(owner, send(owner), limit_s)
                if reply is not None and not _is_trouble(reply):
                    return reply
            if loop.time() >= give_up_s:
                detail = f"no answer from the owner of {resource}"
                return Failure(
                    ErrorKind.OWNER_UNAVAILABLE, detail, retry_after_s=_RETRY_AFTER_S
                )
            await asyncio.sleep(self._settings.ask_again_s)

    async def tell(self, sent: Awaitable[None]) -> None:
        """Send what may be lost; a failure is logged only."""
        try:
            await sent
        except Exception as error:
            _log_unreachable("", error)

    async def _while_owned(
        self, owner: Owner, sent: Coroutine[Any, Any, T], limit_s: float | None
    ) -> T | None:
        loop = asyncio.get_running_loop()
        end_s = float("inf") if limit_s is None else loop.time() + limit_s
        task = asyncio.ensure_future(sent)
        task.add_done_callback(mark_exception_retrieved)
        try:
            while not task.done() and loop.time() < end_s:
                await asyncio.wait({task}, timeout=self._settings.ask_again_s)
                current = owner_of(self._control.fleet, owner.resource)
                if current is None or current.epoch != owner.epoch:
                    break
            if not task.done():
                return None
            return task.result()
        except Exception as error:
            _log_unreachable(owner.resource, error)
            return None
        finally:
            task.cancel()


def _is_trouble(reply: object) -> bool:
    if isinstance(reply, Refused):
        return reply.failure.kind in _OWNER_TROUBLE
    if isinstance(reply, TakeOverReply) and reply.failure is not None:
        return reply.failure.kind in _OWNER_TROUBLE
    return False


def _log_unreachable(resource: str, error: Exception) -> None:
    log_event(
        _logger,
        EventNumber.PEER_LOST,
        level=logging.WARNING,
        resource=resource,
        error=type(error).__name__,
    )
