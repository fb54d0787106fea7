"""A task that ends silently because grpclib cancelled it after a call had returned."""

import asyncio

import pytest
from tests.paused import run_paused

from damaskridge.adapters.rpc.isolated_tasks import run_isolated


def test_a_cancellation_from_inside_is_a_lost_connection_and_stays_inside():
    async def cancelled_later():
        asyncio.current_task().cancel()
        await asyncio.sleep(1)

    async def main():
        for step, timeout_s, error in (
            (cancelled_later(), None, ConnectionResetError),
            (asyncio.sleep(9), 0.5, TimeoutError),
        ):
            with pytest.raises(error):
                await run_isolated(step, timeout_s)
        assert asyncio.current_task().cancelling() == 0
        assert await run_isolated(asyncio.sleep(1, "done")) == "done"

    run_paused(main())
