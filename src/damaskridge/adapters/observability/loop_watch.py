"""Measures for how long the event loop was held by one task."""

import logging

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.model.events import EventNumber

__all__ = ["LoopWatch"]

CHECK_INTERVAL_S = 0.1
# Requests of other callers then miss a good part of their objective.
LOG_THRESHOLD_S = 0.25

logger = logging.getLogger(__name__)


class LoopWatch:
    """
    Records how late a periodic timer fires.

    Another task may hold the loop, or the host may have been suspended. A task that
    holds the loop is measured up to `CHECK_INTERVAL_S` too short.

    Attributes
    ----------
    longest_held_s : float
        The longest time since the start of the process.
    """

    def __init__(self) -> None:
        self.longest_held_s = 0.0

    def add_to(self, metrics: Metrics) -> None:
        """Add the longest time to the metrics of the process."""
        metrics.add_gauge(
            "event_loop_held_max_seconds",
            "Longest time for which one task held the event loop",
            lambda: self.longest_held_s,
        )

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = anyio.current_time() + CHECK_INTERVAL_S
            await anyio.sleep_until(due_s)
            held_s = anyio.current_time() - due_s
            self.longest_held_s = max(self.longest_held_s, held_s)
            if held_s > LOG_THRESHOLD_S:
                log_event(
                    logger,
                    EventNumber.EVENT_LOOP_HELD,
                    level=logging.WARNING,
                    held_ms=round(held_s * 1000),
                )
