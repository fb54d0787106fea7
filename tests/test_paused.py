"""The paused clock: a test that really waits would be slow and vary."""

import time

import anyio

from tests.paused import run_paused


async def wait_an_hour() -> float:
    started_s = anyio.current_time()
    await anyio.sleep(3000)
    return anyio.current_time() - started_s


def test_waits_take_no_real_time():
    started_s = time.monotonic()
    assert run_paused(wait_an_hour()) == 3000
    assert time.monotonic() - started_s < 60
