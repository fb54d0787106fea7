r"""Splits an event stream into whole events and reads their ids.

>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 7\ndata: a\n\nid: 8\nda")
[StreamEvent(data=b'id: 7\ndata: a\n\n', event_id=7)]
>>> splitter.rest
b'id: 8\nda'
"""

import re
from dataclasses import dataclass

__all__ = ["EventSplitter", "EventTooLong", "StreamEvent"]

# An event holds a few tokens. Bytes without the end of an event are no stream.
MAX_EVENT_BYTES = 262_144

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?(?:\n|$)")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its blank line; `event_id` is None if it has none."""

    data: bytes
    event_id: int | None


class EventTooLong(Exception):
    """The end of an event is missing after as many bytes as an event may have."""


class EventSplitter:
    """
    Collects bytes until an event is whole.

    Parameters
    ----------
    limit_bytes : int
        Longest event.
    """

    def __init__(self, limit_bytes: int = MAX_EVENT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The beginning of an event whose end has not arrived."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes; raises `EventTooLong`."""
        buffer = self._rest + data
        events = []
        start = 0
        for end in _END.finditer(buffer):
            events.append(_event(buffer[start : end.end()]))
            start = end.end()
        self._rest = buffer[start:]
        if len(self._rest) > self._limit_bytes:
            raise EventTooLong(f"no end of an event in {self._limit_bytes} bytes")
        return events


def _event(data: bytes) -> StreamEvent:
    found = _ID.search(data)
    return StreamEvent(data, int(found.group(1)) if found else None)
