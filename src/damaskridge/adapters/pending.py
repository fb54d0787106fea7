"""Calls that wait for a reply of a state machine."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["PendingResponses"]

T = TypeVar("T")


class PendingResponses(Generic[T]):
    """
    Futures by front and request id.

    Parameters
    ----------
    refusal : callable
        Returns the reply for a request whose call is given up.
    """

    def __init__(self, refusal: Callable[[str], T]) -> None:
        self._refusal = refusal
        self._futures: dict[tuple[str, str], asyncio.Future[T]] = {}
        self._resources: dict[tuple[str, str], str] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def open(self, resource: str, front: str, request_id: str) -> asyncio.Future[T]:
        """Return the future of a call; it replaces an earlier call of the request."""
        self.resolve(front, request_id, self._refusal(request_id))
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._futures[front, request_id] = future
        self._resources[front, request_id] = resource
        return future

    def close(self, front: str, request_id: str, future: asyncio.Future[T]) -> None:
        """Forget a call that has ended, unless a newer one took its place."""
        if self._futures.get((front, request_id)) is future:
            del self._futures[front, request_id]
            del self._resources[front, request_id]

    def resolve(self, front: str, request_id: str, reply: T) -> bool:
        """Answer a call; `False` if nobody waits."""
        future = self._futures.get((front, request_id))
        if future is None or future.done():
            return False
        future.set_result(reply)
        return True

    def refuse_all(self, resource: str) -> None:
        """Give up every call that waits on a resource."""
        for (front, request_id), name in list(self._resources.items()):
            if name == resource:
                self.resolve(front, request_id, self._refusal(request_id))
