"""Guards against events that docs/events.md omits, and entries without an event."""

import re
from pathlib import Path

from damaskridge.model.events import EventNumber

PAGE = Path(__file__).parents[2] / "docs" / "events.md"
ROW = re.compile(r"^\| (\d{4}) \| ([A-Z_]+) \| [^|]+ \| [a-z_, ]+ \|$", re.MULTILINE)


def test_catalogue_lists_exactly_the_events_in_order():
    rows = [(int(number), name) for number, name in ROW.findall(PAGE.read_text())]
    assert rows == [(int(event), event.name) for event in EventNumber]
