"""An event of the catalogue that no module logs, so that operators wait in vain."""

from pathlib import Path

import damaskridge
from damaskridge.model.events import EventNumber

SOURCE = Path(damaskridge.__file__).parent
# They define, count or correlate events, and log none.
READERS = {"model/events.py", "core/timeline.py", "event_metrics.py"}


def test_every_event_is_logged_somewhere():
    texts = [
        path.read_text()
        for path in SOURCE.rglob("*.py")
        if not any(path.as_posix().endswith(name) for name in READERS)
    ]
    text = "\n".join(texts)
    missing = [event.name for event in EventNumber if f".{event.name}" not in text]
    assert missing == []
