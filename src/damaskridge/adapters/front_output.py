"""The output of one request, for any number of concurrent readers."""

import asyncio
from collections.abc import AsyncIterator

from damaskridge.adapters.ports import StreamFailed
from damaskridge.core.requests.lifecycle import RequestStateMachine
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["RequestOutput"]


class RequestOutput:
    """
    Streams the output of a request to its readers.

    Parameters
    ----------
    machine : RequestStateMachine
        Holds the tokens. Their number is bounded by the request's limit of output
        tokens, so that a slow reader needs no buffer of its own.
    """

    def __init__(self, machine: RequestStateMachine) -> None:
        self._machine = machine
        self._last_chunk: DecodeChunk | None = None
        self._failure: Failure | None = None
        self._is_duplicate = False
        self._changed = asyncio.Event()

    def notify_chunks(self, newest: DecodeChunk) -> None:
        """Wake the readers after the state machine added chunks up to `newest`."""
        if newest.finish_reason is not None:
            self._last_chunk = newest
        self._wake_readers()

    def notify_ended(self, failure: Failure | None, is_duplicate: bool) -> None:
        """
        Wake the readers after the request ended.

        Readers raise `failure`. With `is_duplicate` they stop without an error, since
        another request with the same idempotency key provides the output.
        """
        self._failure = failure
        self._is_duplicate = is_duplicate
        self._wake_readers()

    async def read(self, offset: int) -> AsyncIterator[DecodeChunk]:
        """
        Yield output from `offset` as it arrives.

        Raises
        ------
        StreamFailed
            If the request failed, or never has output at `offset`.
        """
        while not self._is_duplicate:
            # Stored before the check, so that a change that happens while the reader
            # handles a chunk isn't missed.
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
        if index < 0 or (index > len(texts) and self._last_chunk is not None):
            raise StreamFailed(Failure(ErrorKind.INVALID_OFFSET, str(offset)))
        if index < len(texts):
            return DecodeChunk(offset, texts[index])
        return self._last_chunk if index == len(texts) else None

    def _wake_readers(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
