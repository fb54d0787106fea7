"""Puts the chunks of one answer in order.

>>> stream = Assembler(window=8)
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
    """A chunk cannot belong to the answer."""


class Assembler:
    """
    Delivers each token once and in order of offset.

    Parameters
    ----------
    window : int
        Most chunks that wait for a missing one; more are an engine's fault.
    next_offset : int
        Offset of the first token that is delivered.
    """

    def __init__(self, window: int, next_offset: int = 0) -> None:
        self._window = window
        self._waiting: dict[int, DecodeChunk] = {}
        self.next_offset = next_offset
        self.finished = False

    def add(self, chunk: DecodeChunk) -> tuple[DecodeChunk, ...]:
        """Return the chunks that are now deliverable; `InvalidChunk` if absurd."""
        if self.finished or 0 <= chunk.offset < self.next_offset:
            return ()
        if chunk.offset < 0 or chunk.offset >= self.next_offset + self._window:
            raise InvalidChunk(f"offset {chunk.offset} at {self.next_offset}")
        self._waiting.setdefault(chunk.offset, chunk)
        ready: list[DecodeChunk] = []
        while not self.finished and self.next_offset in self._waiting:
            ready.append(self._take())
        return tuple(ready)

    def restart(self) -> None:
        """Drop waiting chunks: another attempt may generate other tokens."""
        self._waiting.clear()

    def _take(self) -> DecodeChunk:
        chunk = self._waiting.pop(self.next_offset)
        assert chunk.offset == self.next_offset, "a token left out of order"
        if chunk.finish_reason is None:
            self.next_offset += 1
        else:
            self.finished = True
            self._waiting.clear()
        return chunk
