"""Merges the event logs of several processes into one ordered timeline.

>>> lines = ['{"time_s": 2.0, "process": "b", "event": 5000, "name": "N"}', '{"torn']
>>> [item.process for item in parse_log(lines).entries]
['b']
>>> parse_log(lines).malformed_lines
1
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from damaskridge.model.events import EventNumber

__all__ = [
    "ClockOffset",
    "EntryFilter",
    "LogEntry",
    "ParsedLog",
    "Timeline",
    "estimate_offsets",
    "merge",
    "parse_log",
]

# Pairs of events of which the first, on one process, causes the second on another. The
# named field has the same value in both.
CAUSAL_PAIRS: tuple[tuple[EventNumber, EventNumber, str], ...] = (
    (EventNumber.REQUEST_ACCEPTED, EventNumber.QUEUE_PLACED, "request_id"),
    (EventNumber.QUEUE_PLACED, EventNumber.REQUEST_PLACED, "request_id"),
    (EventNumber.BUNDLE_ACTIVATED, EventNumber.BUNDLE_IN_FORCE, "version"),
    (EventNumber.SESSION_OPENED, EventNumber.OWNERSHIP_GAINED, "session"),
)
# Limit of the iterations that propagate offsets along chains of processes; a few
# suffice.
MAX_RELAXATION_ROUNDS = 32


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One line of a log; `time_s` is the wall-clock time of `process`."""

    time_s: float
    process: str
    event: int
    name: str
    fields: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class ParsedLog:
    """The entries of one log and the number of lines that could not be parsed."""

    entries: tuple[LogEntry, ...]
    malformed_lines: int


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """
    Correction that is added to the times of a process.

    `pairs` is the number of pairs of cause and effect that involve another process;
    with 0 the offset is only assumed.
    """

    process: str
    offset_s: float
    pairs: int


@dataclass(frozen=True, slots=True)
class Timeline:
    """Entries with corrected times in chronological order, and the offsets."""

    entries: tuple[LogEntry, ...]
    offsets: tuple[ClockOffset, ...]


@dataclass(frozen=True, slots=True)
class EntryFilter:
    """Criteria for entries; empty fields match every entry."""

    request_id: str = ""
    host: str = ""
    backend_server: str = ""
    event: str = ""
    since_s: float = float("-inf")
    until_s: float = float("inf")

    def matches(self, entry: LogEntry) -> bool:
        """Tell whether an entry matches all criteria."""
        fields = entry.fields
        return (
            self.since_s <= entry.time_s <= self.until_s
            and self._matches_request(fields)
            and (not self.host or self.host in (entry.process, fields.get("host")))
            and (
                not self.backend_server
                or self.backend_server in _backend_servers_in(fields)
            )
            and (not self.event or self.event in (entry.name, str(entry.event)))
        )

    def _matches_request(self, fields: Mapping[str, object]) -> bool:
        if not self.request_id:
            return True
        attempt = str(fields.get("engine_request_id", "")).rpartition(".")[0]
        return self.request_id in (fields.get("request_id"), attempt)


def parse_log(lines: Iterable[str]) -> ParsedLog:
    """Parse a log; count truncated lines and other output as malformed."""
    entries: list[LogEntry] = []
    malformed_lines = 0
    for line in lines:
        if not line.strip():
            continue
        entry = _parse_line(line)
        if entry is None:
            malformed_lines += 1
        else:
            entries.append(entry)
    return ParsedLog(tuple(entries), malformed_lines)


def estimate_offsets(entries: Iterable[LogEntry]) -> tuple[ClockOffset, ...]:
    """
    Estimate the clock offset of each process from causes and effects.

    An effect can't precede its cause. The offset of a process is 0 unless a pair
    violates this; then the process of the effect is shifted by the smallest sufficient
    amount.
    """
    ordered = list(entries)
    required_lead_s: dict[tuple[str, str], float] = {}
    pairs = dict.fromkeys((entry.process for entry in ordered), 0)
    for cause, effect in _causal_pairs(ordered):
        key = (cause.process, effect.process)
        lead_s = cause.time_s - effect.time_s
        required_lead_s[key] = max(lead_s, required_lead_s.get(key, float("-inf")))
        pairs[cause.process] += 1
        pairs[effect.process] += 1
    offsets = dict.fromkeys(pairs, 0.0)
    for _ in range(MAX_RELAXATION_ROUNDS):
        changed = False
        for (earlier, later), lead_s in required_lead_s.items():
            needed_s = offsets[earlier] + lead_s
            if needed_s > offsets[later] + 1e-9:
                offsets[later] = needed_s
                changed = True
        if not changed:
            break
    return tuple(
        ClockOffset(process, round(offsets[process], 6), pairs[process])
        for process in sorted(offsets)
    )


def merge(
    logs: Iterable[ParsedLog], entry_filter: EntryFilter | None = None
) -> Timeline:
    """Return one timeline of all logs, filtered after the times are corrected."""
    entries = [entry for log in logs for entry in log.entries]
    offsets = estimate_offsets(entries)
    offset_by_process = {item.process: item.offset_s for item in offsets}
    shifted = [
        LogEntry(
            entry.time_s + offset_by_process[entry.process],
            entry.process,
            entry.event,
            entry.name,
            entry.fields,
        )
        for entry in entries
    ]
    # The sort is stable, so entries of one process with equal times keep their order.
    shifted.sort(key=lambda entry: entry.time_s)
    selected = tuple(
        entry
        for entry in shifted
        if entry_filter is None or entry_filter.matches(entry)
    )
    return Timeline(selected, offsets)


def _causal_pairs(entries: list[LogEntry]) -> Iterable[tuple[LogEntry, LogEntry]]:
    """Yield each effect with its earliest cause if that is on another process."""
    for cause_number, effect_number, field in CAUSAL_PAIRS:
        causes: dict[object, LogEntry] = {}
        for entry in entries:
            value = entry.fields.get(field)
            if entry.event == cause_number and isinstance(value, str | int):
                first = causes.setdefault(value, entry)
                if entry.time_s < first.time_s:
                    causes[value] = entry
        for entry in entries:
            if entry.event != effect_number:
                continue
            value = entry.fields.get(field)
            cause = causes.get(value) if isinstance(value, str | int) else None
            if cause is not None and cause.process != entry.process:
                yield cause, entry


def _parse_line(line: str) -> LogEntry | None:
    try:
        data = json.loads(line)
        return LogEntry(
            float(data["time_s"]),
            str(data["process"]),
            int(data["event"]),
            str(data["name"]),
            data,
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def _backend_servers_in(fields: Mapping[str, object]) -> tuple[object, ...]:
    names = ("backend_server", "prefill_server", "decode_server")
    return tuple(fields.get(name) for name in names)
