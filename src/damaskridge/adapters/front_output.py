"""The output of one request, for any number of readers."""

import asyncio
from collections.abc import AsyncIterator

from damaskridge.adapters.ports import StreamFailed
from damaskridge.core.requests.lifecycle import RequestStateMachine
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["RequestOutput"]


class RequestOutput:
    """
    Lets readers wait for output.

    Parameters
    ----------
    machine : RequestStateMachine
        Has the tokens. They are bounded by the request's limit of output tokens,
        so a slow reader needs no buffer of its own.
    """

    def __init__(self, machine: RequestStateMachine) -> None:
        self._machine = machine
        self._last: DecodeChunk | None = None
        self._failure: Failure | None = None
        self._answered_elsewhere = False
        self._changed = asyncio.Event()

    def extend(self, newest: DecodeChunk) -> None:
        """Wake the readers after chunks up to `newest` were added."""
        if newest.finish_reason is not None:
            self._last = newest
        self._wake()

    def end(self, failure: Failure | None, answered_elsewhere: bool) -> None:
        """Wake the readers at the end; they stop without a failure if answered."""
        self._failure = failure
        self._answered_elsewhere = answered_elsewhere
        self._wake()

    async def read(self, offset: int) -> AsyncIterator[DecodeChunk]:
        """Yield output from `offset`; raises `StreamFailed`."""
        while not self._answered_elsewhere:
            # Kept before the check: a change while a caller reads is not missed.
            changed = self._changed
            while (chunk := self._chunk_at(offset)) is not None:
                yield chunk
                if chunk.finish_reason is not None:
                    return
                offset += 1
            if self._failure is not None:
                raise StreamFailed(self._failure)
            if changed is self._changed:
                await changed.wait()

    def _chunk_at(self, offset: int) -> DecodeChunk | None:
        texts = self._machine.texts
        index = offset - self._machine.base_offset
        if index < 0 or (index > len(texts) and self._last is not None):
            raise StreamFailed(Failure(ErrorKind.INVALID_OFFSET, str(offset)))
        if index < len(texts):
            return DecodeChunk(offset, texts[index])
        return self._last if index == len(texts) else None

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
