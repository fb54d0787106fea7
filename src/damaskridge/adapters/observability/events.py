"""Numbered events in the standard `logging`, written as one JSON object a line.

>>> import logging
>>> record = event_record("front", EventNumber.REQUEST_ACCEPTED, {"request_id": "r1"})
>>> record.getMessage()
'REQUEST_ACCEPTED'
>>> get_event_fields(record)["request_id"]
'r1'
"""

import logging
import os
import sys
import time
from typing import TextIO

import msgspec

from damaskridge.model.events import EventNumber

__all__ = [
    "BoundedHandler",
    "JsonFormatter",
    "configure_bounded_logging",
    "configure_logging",
    "event_record",
    "get_event_fields",
    "log_event",
]

ROOT_LOGGER = "damaskridge"
# Without these handlers, the warnings of the libraries would be lines without JSON.
LIBRARY_LOGGERS = ("asyncio", "grpclib", "uvicorn.error")


def event_record(
    logger_name: str, number: EventNumber, fields: dict[str, object]
) -> logging.LogRecord:
    """Return a log record that carries an event and its fields."""
    record = logging.LogRecord(
        f"{ROOT_LOGGER}.{logger_name}", logging.INFO, "", 0, number.name, None, None
    )
    record.event_number = number
    record.event_fields = fields
    return record


def get_event_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields of a record's event, an empty dict if it carries none."""
    fields: dict[str, object] = getattr(record, "event_fields", {})
    return fields


def log_event(
    logger: logging.Logger,
    number: EventNumber,
    *,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """
    Log a numbered event.

    Parameters
    ----------
    logger : logging.Logger
        The module's logger.
    number : EventNumber
        Number of the event.
    level : int
        Level of the record.
    **fields : object
        Values of the event, named with their units. Never a key or a prompt.
    """
    if logger.isEnabledFor(level):
        extra = {"event_number": number, "event_fields": fields}
        logger.log(level, number.name, extra=extra)


class JsonFormatter(logging.Formatter):
    """Formats records as JSON with wall clock, monotonic clock and process name."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        number = getattr(record, "event_number", None)
        line: dict[str, object] = {
            "time_s": round(record.created, 6),
            "monotonic_s": round(time.monotonic(), 6),
            "process": self._process,
            "level": record.levelname,
            "logger": record.name,
            "event": int(number) if number is not None else 0,
            "name": record.getMessage(),
        }
        line.update(get_event_fields(record))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logging(
    process: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Write the records of the project and its libraries to `stream` or stderr."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    for name in LIBRARY_LOGGERS:
        logging.getLogger(name).handlers[:] = [handler]


# Most lines of one event in one second: more than a host logs on a busy day.
MAX_LINES_PER_S = 100


class BoundedHandler(logging.Handler):
    """
    Writes records to a file descriptor without blocking, at a limited rate per event.

    Lines over the limit, and lines for which the pipe behind the descriptor has no
    room, are dropped and counted. The counts are written before the first line of the
    next second.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.
    lines_per_s : int
        Most lines of one event per second.
    """

    def __init__(self, descriptor: int, lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._second = 0
        self._line_counts: dict[str, int] = {}
        self._dropped_lines: dict[str, int] = {}
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it."""
        if int(record.created) != self._second:
            self._start_second(record)
        name = record.getMessage()
        line_count = self._line_counts.get(name, 0)
        self._line_counts[name] = line_count + 1
        if line_count >= self._lines_per_s or not self._write(self.format(record)):
            self._dropped_lines[name] = self._dropped_lines.get(name, 0) + 1

    def _start_second(self, record: logging.LogRecord) -> None:
        self._second = int(record.created)
        self._line_counts.clear()
        dropped, self._dropped_lines = self._dropped_lines, {}
        for name, lines in dropped.items():
            fields = {"dropped_event": name, "dropped_lines": lines}
            report = event_record("log", EventNumber.LOG_LINES_DROPPED, fields)
            self._write(self.format(report))

    def _write(self, line: str) -> bool:
        data = self._unwritten + line.encode() + b"\n"
        try:
            written_bytes = os.write(self._descriptor, data)
        except OSError:
            # The reader is too slow or has closed the pipe. The caller counts the
            # line as dropped.
            return False
        # The rest of a partially written line goes before the next line.
        self._unwritten = data[written_bytes:]
        return True


def configure_bounded_logging(process: str, level: str = "INFO") -> None:
    """Write the records of the project and its libraries to stdout, bounded."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(process))
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    for name in LIBRARY_LOGGERS:
        library = logging.getLogger(name)
        library.handlers[:] = [handler]
        library.propagate = False
