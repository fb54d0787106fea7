"""Guards against logging that grows without bound or blocks the process."""

import json
import logging
import os

from damaskridge.adapters.observability.events import (
    BoundedHandler,
    JsonFormatter,
    event_record,
)
from damaskridge.model.events import EventNumber


def make_handler(descriptor, lines_per_s=3):
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(JsonFormatter("p"))
    return handler


def make_record(second, number=EventNumber.REQUEST_SENT):
    record = event_record("gateway", number, {"request_id": "r"})
    record.created = float(second)
    return record


def read_lines(descriptor):
    data = os.read(descriptor, 1_000_000)
    return [json.loads(line) for line in data.splitlines()]


def test_lines_over_the_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    handler = make_handler(writer)
    for _ in range(10):
        handler.emit(make_record(1))
    handler.emit(make_record(1, EventNumber.REQUEST_FAILED))
    handler.emit(make_record(2))
    lines = read_lines(reader)
    assert [line["name"] for line in lines] == [
        *["REQUEST_SENT"] * 3,
        "REQUEST_FAILED",
        "LOG_LINES_DROPPED",
        "REQUEST_SENT",
    ]
    assert lines[4]["dropped_event"] == "REQUEST_SENT"
    assert lines[4]["dropped_lines"] == 7


def test_stalled_reader_does_not_block_the_process():
    reader, writer = os.pipe()
    handler = make_handler(writer, 1_000_000)
    for _ in range(5_000):
        handler.emit(make_record(1))
    os.set_blocking(reader, False)
    while True:
        try:
            os.read(reader, 1_000_000)
        except BlockingIOError:
            break
    handler.emit(make_record(2))
    text = os.read(reader, 1_000_000).decode()
    # The first line is the rest of one that didn't fit into the full pipe.
    complete = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    assert "LOG_LINES_DROPPED" in {line["name"] for line in complete}


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    make_handler(writer).emit(make_record(1))
    logging.getLogger("damaskridge").debug("still running")
