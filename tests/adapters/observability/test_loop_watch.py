"""Guards against a held event loop that nobody is told of."""

import time

import anyio
from tests.paused import run_paused

from damaskridge.adapters.observability.loop_watch import CHECK_INTERVAL_S, LoopWatch
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.model.events import EventNumber

HELD_S = 0.5


def test_held_loop_is_measured_and_logged(caplog):
    watch, metrics = LoopWatch(), Metrics()
    watch.add_to(metrics)

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await anyio.sleep(0.05)
            time.sleep(HELD_S)  # noqa: ASYNC251
            await anyio.sleep(0.2)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert watch.longest_held_s >= HELD_S - CHECK_INTERVAL_S
    (record,) = caplog.records
    assert record.event_number == EventNumber.EVENT_LOOP_HELD
    assert record.event_fields["held_ms"] >= (HELD_S - CHECK_INTERVAL_S) * 1000
    assert b"event_loop_held_max_seconds" in metrics.text()


def test_loop_that_is_not_held_logs_nothing(caplog):
    async def main():
        watch = LoopWatch()
        with anyio.move_on_after(10.0):
            await watch.run()
        return watch.longest_held_s

    assert run_paused(main()) < CHECK_INTERVAL_S
    assert caplog.records == []
