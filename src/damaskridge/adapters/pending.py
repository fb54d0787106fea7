"""Calls that wait for a response of a state machine."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["PendingResponses"]

T = TypeVar("T")


class PendingResponses(Generic[T]):
    """
    Futures of waiting calls, by front and request id.

    Parameters
    ----------
    make_refusal : callable
        Returns the response to a call that is abandoned, given the request's id.
    """

    def __init__(self, make_refusal: Callable[[str], T]) -> None:
        self._make_refusal = make_refusal
        self._futures: dict[tuple[str, str], asyncio.Future[T]] = {}
        self._resource_by_call: dict[tuple[str, str], str] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def open(self, resource: str, front: str, request_id: str) -> asyncio.Future[T]:
        """Return the future of a new call; refuses an earlier one of the request."""
        self.resolve(front, request_id, self._make_refusal(request_id))
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._futures[front, request_id] = future
        self._resource_by_call[front, request_id] = resource
        return future

    def close(self, front: str, request_id: str, future: asyncio.Future[T]) -> None:
        """Remove a call that has ended, unless a newer call has replaced it."""
        if self._futures.get((front, request_id)) is future:
            del self._futures[front, request_id]
            del self._resource_by_call[front, request_id]

    def resolve(self, front: str, request_id: str, response: T) -> bool:
        """Deliver the response to a call; return `False` if no call waits for it."""
        future = self._futures.get((front, request_id))
        if future is None or future.done():
            return False
        future.set_result(response)
        return True

    def refuse_all(self, resource: str) -> None:
        """Refuse every call that waits for the owner of a resource."""
        for (front, request_id), name in list(self._resource_by_call.items()):
            if name == resource:
                self.resolve(front, request_id, self._make_refusal(request_id))
