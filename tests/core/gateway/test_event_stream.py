"""Events must not be split, lost or duplicated, wherever the stream is cut."""

import itertools

import pytest
from hypothesis import given, strategies as st

from damaskridge.core.gateway.event_stream import (
    MAX_EVENT_BYTES,
    MAX_EVENT_PIECES,
    EventSplitter,
    EventTooLong,
)

EVENTS = [b"id: %d\ndata: %s\n\n" % (n, b"x" * (n % 7)) for n in range(1, 30)]
STREAM = b"".join(EVENTS)


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_are_complete_wherever_the_stream_is_cut(cuts):
    splitter, events = EventSplitter(), []
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in itertools.pairwise(edges):
        events += splitter.feed(STREAM[start:end])
    assert [event.data for event in events] == EVENTS
    assert [event.event_id for event in events] == list(range(1, 30))
    assert splitter.rest == b""


def test_other_fields_and_crlf_line_endings_are_kept():
    splitter = EventSplitter()
    events = splitter.feed(b"x-weight-versions: 3\r\nid: 9\r\ndata: a\r\n\r\nrest")
    assert [event.event_id for event in events] == [9]
    assert events[0].data.startswith(b"x-weight-versions: 3\r\n")
    assert splitter.rest == b"rest"


@given(st.lists(st.binary(max_size=200), max_size=40))
def test_any_bytes_end_in_events_or_a_named_error(pieces):
    """Guards against bytes of a server that raise anything else in the host."""
    splitter, size_bytes = EventSplitter(limit_bytes=100), 0
    try:
        for piece in pieces:
            size_bytes += sum(len(event.data) for event in splitter.feed(piece))
    except EventTooLong:
        return
    assert size_bytes + len(splitter.rest) == sum(map(len, pieces))


def test_id_of_thousands_of_digits_is_no_id():
    """Guards against the error that Python raises for such a number."""
    (event,) = EventSplitter().feed(b"id: " + b"7" * 5000 + b"\n\n")
    assert event.event_id is None and not event.is_valid


@pytest.mark.parametrize("piece_bytes", [1, 16, 100])
def test_event_without_an_end_costs_a_limited_number_of_pieces(piece_bytes):
    """Guards against a server whose tiny pieces take the processor time of others."""
    splitter = EventSplitter()
    pieces = 0
    with pytest.raises(EventTooLong):
        while True:
            pieces += 1
            splitter.feed(b"x" * piece_bytes)
    assert pieces == MAX_EVENT_PIECES + 1


def test_largest_event_is_whole_in_pieces_of_one_network_packet():
    splitter, packet_bytes = EventSplitter(), 1_400
    event = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES - 100) + b"\n\n"
    events = []
    for start in range(0, len(event), packet_bytes):
        events += splitter.feed(event[start : start + packet_bytes])
    assert [item.data for item in events] == [event]
