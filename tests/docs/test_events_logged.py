"""Guards against an event of the catalogue that no module ever logs."""

from pathlib import Path

import damaskridge
from damaskridge.model.events import EventNumber

SOURCE = Path(damaskridge.__file__).parent
# These modules define, count or correlate events but log none.
NON_LOGGING_MODULES = {"model/events.py", "core/timeline.py", "event_metrics.py"}


def test_every_event_is_logged_somewhere():
    texts = [
        path.read_text()
        for path in SOURCE.rglob("*.py")
        if not any(path.as_posix().endswith(name) for name in NON_LOGGING_MODULES)
    ]
    text = "\n".join(texts)
    missing = [event.name for event in EventNumber if f".{event.name}" not in text]
    assert missing == []
