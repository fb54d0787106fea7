"""The program `damaskridge-timeline`, which merges the logs of all processes."""

import inspect
import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from damaskridge.core.timeline import EntryFilter, LogEntry, ParsedLog, merge, parse_log

__all__ = ["main"]

HIDDEN_FIELDS = frozenset({"time_s", "monotonic_s", "process", "event", "name"})


def timeline(
    *logs: str,
    request_id: str = "",
    host: str = "",
    backend_server: str = "",
    since: str = "",
    until: str = "",
    event: str = "",
    **unknown: object,
) -> None:
    """
    Print the merged events of log files.

    Parameters
    ----------
    *logs : str
        Files of JSON lines.
    request_id, host, backend_server, event : str
        Show only these; `event` is a name or number.
    since, until : str
        ISO 8601 time or seconds of the epoch.
    **unknown : object
        Refused here, because fire would complain only after the output.
    """
    if "help" in unknown:
        print(inspect.cleandoc(timeline.__doc__ or ""))
        return
    for name in unknown:
        _fail(f"--{name}: unknown option")
    if not logs:
        _fail("LOGS: no log file given")
    try:
        entry_filter = EntryFilter(
            request_id=str(request_id),
            host=str(host),
            backend_server=str(backend_server),
            event=str(event),
            since_s=_seconds(since, float("-inf")),
            until_s=_seconds(until, float("inf")),
        )
    except ValueError as error:
        _fail(f"--since or --until: {error}")
    parsed = [_read_log(str(name)) for name in logs]
    merged = merge(parsed, entry_filter)
    for offset in merged.offsets:
        offset_source = (
            f"from {offset.pairs} pairs" if offset.pairs else "assumed, no pairs"
        )
        print(
            f"# clock of {offset.process}: {offset.offset_s:+.6f} s ({offset_source})"
        )
    malformed_lines = sum(log.malformed_lines for log in parsed)
    if malformed_lines:
        print(f"# {malformed_lines} lines were torn or are no events")
    for line in _format_entries(merged.entries):
        print(line)


def main() -> None:
    """Run the command line."""
    import fire

    try:
        fire.Fire(timeline)
    except BrokenPipeError:
        # The reader, for example a pager, closed the pipe early.
        sys.stderr.close()


def _format_entries(entries: tuple[LogEntry, ...]) -> Iterator[str]:
    for entry in entries:
        when = datetime.fromtimestamp(entry.time_s, UTC).strftime("%H:%M:%S.%f")
        fields = " ".join(
            f"{name}={value}"
            for name, value in entry.fields.items()
            if name not in HIDDEN_FIELDS and name not in ("level", "logger")
        )
        yield f"{when} {entry.process} {entry.event} {entry.name} {fields}".rstrip()


def _read_log(name: str) -> ParsedLog:
    try:
        with Path(name).open(encoding="utf-8", errors="replace") as lines:
            return parse_log(lines)
    except OSError as error:
        _fail(f"{name}: {error.strerror}")
        raise


def _seconds(text: str, default: float) -> float:
    if not str(text):
        return default
    try:
        return float(text)
    except ValueError:
        return datetime.fromisoformat(text).astimezone(UTC).timestamp()


def _fail(message: str) -> None:
    print(f"damaskridge-timeline: {message}", file=sys.stderr)
    raise SystemExit(2)


if __name__ == "__main__":
    main()
