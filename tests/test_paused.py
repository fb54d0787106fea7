"""Guards against waits in real time, which make tests slow and their timing vary."""

import time

import anyio

from tests.paused import run_paused


async def sleep_in_simulated_time() -> float:
    started_s = anyio.current_time()
    await anyio.sleep(3000)
    return anyio.current_time() - started_s


def test_waits_take_no_real_time():
    started_s = time.monotonic()
    assert run_paused(sleep_in_simulated_time()) == 3000
    assert time.monotonic() - started_s < 60
