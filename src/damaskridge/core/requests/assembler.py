"""Reorders the chunks of a response stream.

>>> stream = Assembler(max_pending_chunks=8)
>>> stream.add(DecodeChunk(1, "b"))
()
>>> [chunk.text for chunk in stream.add(DecodeChunk(0, "a"))]
['a', 'b']
>>> stream.add(DecodeChunk(0, "a"))
()
"""

from damaskridge.model.engine import DecodeChunk

__all__ = ["Assembler", "InvalidChunk"]


class InvalidChunk(ValueError):
    """The offset of a chunk is negative or too far ahead."""


class Assembler:
    """
    Delivers each token exactly once and in order of its offset.

    Parameters
    ----------
    max_pending_chunks : int
        Limit of how far ahead of the next offset a chunk may be. An engine that sends
        chunks beyond it is at fault, and must not fill the memory.
    next_offset : int
        Offset of the first token to deliver.
    """

    def __init__(self, max_pending_chunks: int, next_offset: int = 0) -> None:
        self._max_pending_chunks = max_pending_chunks
        self._pending_chunks: dict[int, DecodeChunk] = {}
        self.next_offset = next_offset
        self.finished = False

    def add(self, chunk: DecodeChunk) -> tuple[DecodeChunk, ...]:
        """Add a chunk and return those that can be delivered; raises `InvalidChunk`."""
        if self.finished or 0 <= chunk.offset < self.next_offset:
            return ()
        if (
            chunk.offset < 0
            or chunk.offset >= self.next_offset + self._max_pending_chunks
        ):
            raise InvalidChunk(f"offset {chunk.offset} at {self.next_offset}")
        self._pending_chunks.setdefault(chunk.offset, chunk)
        ready: list[DecodeChunk] = []
        while not self.finished and self.next_offset in self._pending_chunks:
            ready.append(self._pop_next())
        return tuple(ready)

    def discard_pending(self) -> None:
        """Discard pending chunks, since a new attempt may generate other tokens."""
        self._pending_chunks.clear()

    def _pop_next(self) -> DecodeChunk:
        chunk = self._pending_chunks.pop(self.next_offset)
        assert chunk.offset == self.next_offset, "tokens are delivered in order"
        if chunk.finish_reason is None:
            self.next_offset += 1
        else:
            self.finished = True
            self._pending_chunks.clear()
        return chunk
