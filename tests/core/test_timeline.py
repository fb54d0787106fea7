"""Timelines must order causes before effects, tolerate malformed lines and filter."""

import json

from damaskridge.core.timeline import EntryFilter, merge, parse_log
from damaskridge.model.events import EventNumber


def line(time_s, process, event, **fields):
    head = {"time_s": time_s, "process": process, "event": event, "name": event.name}
    return json.dumps(head | fields)


def logs():
    front = [
        line(10.0, "front", EventNumber.REQUEST_ACCEPTED, request_id="r1"),
        line(10.2, "front", EventNumber.REQUEST_PLACED, request_id="r1"),
    ]
    # The clock of the owner is 3 s behind.
    owner = [
        line(7.1, "owner", EventNumber.QUEUE_PLACED, request_id="r1"),
        line(
            7.3,
            "owner",
            EventNumber.ENGINE_REQUEST_CANCELLED,
            engine_request_id="r1.1",
            backend_server="e1",
        ),
        line(7.4, "owner", EventNumber.ORDER_SENT)[:30],
        "null",
    ]
    lone = [line(10.05, "lone", EventNumber.PROCESS_READY)]
    return [parse_log(front), parse_log(owner), parse_log(lone)]


def test_offsets_place_every_effect_after_its_cause():
    merged = merge(logs())
    names = [entry.name for entry in merged.entries]
    assert names.index("REQUEST_ACCEPTED") <= names.index("QUEUE_PLACED")
    assert names.index("QUEUE_PLACED") < names.index("REQUEST_PLACED")
    offsets = {item.process: item for item in merged.offsets}
    assert 2.9 <= offsets["owner"].offset_s <= 3.1
    assert (offsets["lone"].offset_s, offsets["lone"].pairs) == (0.0, 0)


def test_malformed_lines_are_counted_and_skipped():
    assert [log.malformed_lines for log in logs()] == [0, 2, 0]


def test_filter_criteria_combine_and_match_attempts_on_engines():
    selected = merge(logs(), EntryFilter(request_id="r1", backend_server="e1")).entries
    assert [entry.name for entry in selected] == ["ENGINE_REQUEST_CANCELLED"]
    selected = merge(
        logs(), EntryFilter(since_s=10.01, until_s=10.1, event="1001")
    ).entries
    assert [entry.process for entry in selected] == ["lone"]
