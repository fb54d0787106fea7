r"""Splits bytes that arrive in pieces at the matches of a pattern.

>>> splitter = ByteSplitter(re.compile(rb"\r?\n"), longest_match_bytes=2)
>>> splitter.feed(b"a\nb\r"), splitter.feed(b"\nc")
([b'a\n'], [b'b\r\n'])
>>> splitter.rest, splitter.rest_bytes
(b'c', 1)
"""

import re

__all__ = ["ByteSplitter"]


class ByteSplitter:
    """
    Buffers bytes until a match of a pattern is complete.

    The time that all pieces take is linear in their bytes: what was searched for a
    match is not searched again, and a piece is not copied with what came before it.

    Parameters
    ----------
    end : re.Pattern
        Matches the end of a part.
    longest_match_bytes : int
        Largest size of a match.
    """

    def __init__(self, end: re.Pattern[bytes], longest_match_bytes: int) -> None:
        self._end = end
        self._overlap_bytes = longest_match_bytes - 1
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """The bytes of the part that is not yet complete."""
        return bytes(self._buffer)

    @property
    def rest_bytes(self) -> int:
        """Size of the part that is not yet complete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the parts that `data` completes, with their ends."""
        buffer = self._buffer
        search_from = max(0, len(buffer) - self._overlap_bytes)
        buffer += data
        parts = []
        start = 0
        while (end := self._next_end(search_from)) is not None:
            parts.append(bytes(buffer[start:end]))
            start = search_from = end
        if start:
            del buffer[:start]
        return parts

    def _next_end(self, search_from: int) -> int | None:
        # No match is kept: the buffer can't be resized while one refers to it.
        match = self._end.search(self._buffer, search_from)
        return None if match is None else match.end()
