"""Guards against leases and reservations that outlive a suspension of the host."""

import asyncio

import anyio
from tests.adapters.gateway.standin import StandIn, gateway, response
from tests.adapters.gateway.test_streams import decode_script, engines, run_prefill

from damaskridge.adapters.boottime_loop import BoottimeEventLoop
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.core.leases import SESSION_DURATION_S, HolderLease

SUSPENDED_S = 5.0


class SuspendedClock:
    """Returns the time of a standard loop plus the suspensions so far."""

    def __init__(self):
        self._added_s = 0.0
        self._standard_loop = asyncio.SelectorEventLoop()

    def __call__(self):
        return self._standard_loop.time() + self._added_s

    def suspend(self, duration_s=SUSPENDED_S):
        self._added_s += duration_s

    def close(self):
        self._standard_loop.close()


def run_with_clock(main):
    """Run `main(clock)` on a loop that uses this clock."""
    clock = SuspendedClock()
    options = {"loop_factory": lambda: BoottimeEventLoop(clock)}
    try:
        anyio.run(main, clock, backend_options=options)
    finally:
        clock.close()


def test_session_lease_expires_during_a_suspension():
    async def main(clock):
        lease = HolderLease()
        lease.renew(anyio.current_time(), SESSION_DURATION_S)
        assert lease.is_valid(anyio.current_time())
        clock.suspend()
        assert not lease.is_valid(anyio.current_time())

    run_with_clock(main)


def test_instance_list_becomes_stale_during_a_suspension():
    async def main(clock):
        copy = InstanceListReplica()
        copy.replace((), anyio.current_time())
        clock.suspend()
        assert anyio.current_time() - copy.confirmed_s >= SUSPENDED_S

    run_with_clock(main)


def test_reservation_and_kv_handle_are_not_used_after_a_suspension():
    """Both have expired at the engines, which may have reassigned the memory."""

    async def main(clock):
        async def prefill_and_suspend(received, writer):
            clock.suspend(2.5)
            await run_prefill(received, writer)

        found = engines(decode_script(), prefill=prefill_and_suspend)
        async with gateway(*found) as app:
            status, _, _ = await app.generate("/res/x")
        (decode,) = found[1].received
        assert status == 200
        assert "x-kv-hold" not in decode.headers
        assert "x-kv-source" not in decode.headers

    run_with_clock(main)


def test_idle_connection_is_not_reused_after_a_suspension():
    """The server may have closed it or dropped its state meanwhile."""

    async def main(clock):
        async def answer(received, writer):
            writer.write(response(received))

        server = StandIn("a", answer)
        async with gateway(server) as app:
            for _ in range(2):
                await app.send_request("/safe/x")
            clock.suspend()
            await app.send_request("/safe/x")
        first, second, third = (received.reader for received in server.received)
        assert first is second
        assert third is not second

    run_with_clock(main)


def test_timers_due_during_a_suspension_run_right_after_it():
    async def main(clock):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        woken = asyncio.Event()
        loop.call_later(SUSPENDED_S, woken.set)
        clock.suspend()
        async with asyncio.timeout(2 * SUSPENDED_S):
            await woken.wait()
        assert loop.time() - started_s < SUSPENDED_S + 1.0

    run_with_clock(main)
