"""A cancellation by grpclib must not reach the task that made the call.

If grpclib cancels a task just after its call has returned, the task would end without
an error.
"""

import asyncio

import pytest
from tests.paused import run_paused

from damaskridge.adapters.rpc.isolated_tasks import run_isolated


def test_inner_cancellation_raises_connection_reset_error_and_is_contained():
    async def cancel_itself():
        asyncio.current_task().cancel()
        await asyncio.sleep(1)

    async def main():
        for step, timeout_s, error in (
            (cancel_itself(), None, ConnectionResetError),
            (asyncio.sleep(9), 0.5, TimeoutError),
        ):
            with pytest.raises(error):
                await run_isolated(step, timeout_s)
        assert asyncio.current_task().cancelling() == 0
        assert await run_isolated(asyncio.sleep(1, "done")) == "done"

    run_paused(main())
