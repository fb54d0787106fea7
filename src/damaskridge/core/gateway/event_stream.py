r"""Splits a server-sent event stream into complete events and parses their ids.

>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 7\ndata: a\n\nid: 8\nda")
[StreamEvent(data=b'id: 7\ndata: a\n\n', event_id=7)]
>>> splitter.rest
b'id: 8\nda'
"""

import re
from dataclasses import dataclass

from damaskridge.core.byte_splitter import ByteSplitter

__all__ = ["EventSplitter", "EventTooLong", "StreamEvent", "is_event_stream"]

# An event holds a few tokens. A response with no end of an event in this many bytes is
# not an event stream.
MAX_EVENT_BYTES = 262_144
# Engines send an event in one piece, and the network splits the largest one into some
# 200. Each piece costs as much processor time as a sound event.
MAX_EVENT_PIECES = 1_024

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_LONGEST_EVENT_END_BYTES = 4
# Python refuses to parse numbers of thousands of digits.
_ID_LINE = re.compile(rb"(?:^|\n)id: ?(\d{1,20})\r?(?:\n|$)")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its terminating blank line; `event_id` is None if it has no id."""

    data: bytes
    event_id: int | None

    @property
    def is_valid(self) -> bool:
        """Whether it has an id, which shows its place, or is a comment."""
        return self.event_id is not None or all(
            line.startswith(b":") for line in self.data.splitlines() if line
        )


class EventTooLong(Exception):
    """No end of an event within the maximum size, or number of pieces, of an event."""


class EventSplitter:
    """
    Buffers bytes until an event is complete.

    Parameters
    ----------
    limit_bytes : int
        Maximum size of an event.
    """

    def __init__(self, limit_bytes: int = MAX_EVENT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._splitter = ByteSplitter(_EVENT_END, _LONGEST_EVENT_END_BYTES)
        self._pieces = 0

    @property
    def rest(self) -> bytes:
        """The bytes received of the event that is not yet complete."""
        return self._splitter.rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes, or raise `EventTooLong`."""
        events = [_parse_event(part) for part in self._splitter.feed(data)]
        self._pieces = 0 if events else self._pieces + 1
        if self._splitter.rest_bytes > self._limit_bytes:
            raise EventTooLong(f"no end of an event in {self._limit_bytes} bytes")
        if self._pieces > MAX_EVENT_PIECES:
            raise EventTooLong(f"no end of an event in {MAX_EVENT_PIECES} pieces")
        return events


def is_event_stream(body: bytes) -> bool:
    r"""
    Return whether a body consists of complete events.

    >>> is_event_stream(b"id: 7\ndata: a\n\n"), is_event_stream(b"id: 7\ndata: a\n")
    (True, False)
    >>> is_event_stream(b"HTTP/1.1 500 Oops\n\n")
    False
    """
    splitter = EventSplitter(limit_bytes=len(body))
    return all(event.is_valid for event in splitter.feed(body)) and not splitter.rest


def _parse_event(data: bytes) -> StreamEvent:
    found = _ID_LINE.search(data)
    return StreamEvent(data, int(found.group(1)) if found else None)
