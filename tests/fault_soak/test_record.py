"""The record must not blame the programs for a stall of the soak's own process."""

import asyncio
import time

from tests.fault_soak.record import STALL_S, Record


def test_stall_of_the_soak_is_recorded_as_a_fault():
    async def main():
        record = Record()
        watch = asyncio.ensure_future(record.watch_stalls())
        await asyncio.sleep(0.2)
        assert record.fault_counts["stall"] == 0
        time.sleep(1.5 * STALL_S)  # noqa: ASYNC251
        await asyncio.sleep(0.1)
        watch.cancel()
        assert record.fault_counts["stall"] == 1
        assert not record.is_fault_free_since(record.now_s)

    asyncio.run(main())
