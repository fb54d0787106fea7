"""Numbered events through `logging`, one JSON object a line.

>>> import logging
>>> record = event_record("front", EventNumber.REQUEST_ACCEPTED, {"request_id": "r1"})
>>> record.getMessage()
'REQUEST_ACCEPTED'
>>> fields_of(record)["request_id"]
'r1'
"""

import logging
import sys
import time
from typing import TextIO

import msgspec

from damaskridge.model.events import EventNumber

__all__ = ["JsonFormatter", "configure", "event_record", "fields_of", "log_event"]

ROOT_LOGGER = "damaskridge"
# Without a handler their warnings would be lines that are no JSON.
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


def fields_of(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields of an event's record; empty for other records."""
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
        What happened.
    level : int
        Level of the record.
    **fields : object
        Values with a unit in their names. Never a key or a prompt.
    """
    if logger.isEnabledFor(level):
        extra = {"event_number": number, "event_fields": fields}
        logger.log(level, number.name, extra=extra)


class JsonFormatter(logging.Formatter):
    """Formats records as JSON with wall time, monotonic time and process name."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON."""
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
        line.update(fields_of(record))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure(process: str, level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send the records of the project and its libraries to `stream`, or stderr."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    for name in LIBRARY_LOGGERS:
        logging.getLogger(name).handlers[:] = [handler]
