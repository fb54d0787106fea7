"""Guards against logs that grow without bound or stop the process."""

import json
import logging
import os

from damaskridge.adapters.observability.events import (
    BoundedHandler,
    JsonFormatter,
    event_record,
)
from damaskridge.model.events import EventNumber


def handler_on(descriptor, lines_per_s=3):
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(JsonFormatter("p"))
    return handler


def record(second, number=EventNumber.REQUEST_SENT):
    made = event_record("gateway", number, {"request_id": "r"})
    made.created = float(second)
    return made


def lines(descriptor):
    data = os.read(descriptor, 1_000_000)
    return [json.loads(line) for line in data.splitlines()]


def test_lines_over_the_budget_are_counted():
    reader, writer = os.pipe()
    handler = handler_on(writer)
    for _ in range(10):
        handler.emit(record(1))
    handler.emit(record(1, EventNumber.REQUEST_FAILED))
    handler.emit(record(2))
    found = lines(reader)
    assert [line["name"] for line in found] == [
        *["REQUEST_SENT"] * 3,
        "REQUEST_FAILED",
        "LOG_LINES_DROPPED",
        "REQUEST_SENT",
    ]
    assert found[4]["dropped_event"] == "REQUEST_SENT"
    assert found[4]["dropped_lines"] == 7


def test_a_reader_that_stops_does_not_stop_the_process():
    reader, writer = os.pipe()
    handler = handler_on(writer, 1_000_000)
    for _ in range(5_000):
        handler.emit(record(1))
    os.set_blocking(reader, False)
    while True:
        try:
            os.read(reader, 1_000_000)
        except BlockingIOError:
            break
    handler.emit(record(2))
    text = os.read(reader, 1_000_000).decode()
    # The first line is the end of one that was cut when the pipe was full.
    whole = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    assert "LOG_LINES_DROPPED" in {line["name"] for line in whole}


def test_a_closed_reader_is_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler_on(writer).emit(record(1))
    logging.getLogger("damaskridge").debug("still alive")
