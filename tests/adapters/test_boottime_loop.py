"""Guards against permissions that outlive a suspension of the machine."""

import asyncio

import anyio
from tests.adapters.gateway.standin import StandIn, gateway, response
from tests.adapters.gateway.test_streams import decode_script, engines, run_prefill

from damaskridge.adapters.boottime_loop import BoottimeEventLoop
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.core.leases import SESSION_DURATION_S, HolderLease

SUSPENDED_S = 5.0


class SuspendedClock:
    """Counts like the loop's usual clock, and what `suspend` adds."""

    def __init__(self):
        self._added_s = 0.0
        self._usual = asyncio.SelectorEventLoop()

    def __call__(self):
        return self._usual.time() + self._added_s

    def suspend(self, duration_s=SUSPENDED_S):
        self._added_s += duration_s

    def close(self):
        self._usual.close()


def play(main):
    """Run `main(clock)` on a loop whose clock it may move on."""
    clock = SuspendedClock()
    options = {"loop_factory": lambda: BoottimeEventLoop(clock)}
    try:
        anyio.run(main, clock, backend_options=options)
    finally:
        clock.close()


def test_a_session_lease_ends_during_a_suspension():
    async def main(clock):
        lease = HolderLease()
        lease.renew(anyio.current_time(), SESSION_DURATION_S)
        assert lease.is_valid(anyio.current_time())
        clock.suspend()
        assert not lease.is_valid(anyio.current_time())

    play(main)


def test_a_list_of_backend_servers_grows_old_during_a_suspension():
    async def main(clock):
        copy = InstanceListReplica()
        copy.replace((), anyio.current_time())
        clock.suspend()
        assert anyio.current_time() - copy.confirmed_s >= SUSPENDED_S

    play(main)


def test_a_reservation_and_a_handle_are_not_used_after_a_suspension():
    """Both have lapsed at the engines, which may have given them to others."""

    async def main(clock):
        async def read_and_suspend(received, writer):
            clock.suspend(2.5)
            await run_prefill(received, writer)

        found = engines(decode_script(), prefill=read_and_suspend)
        async with gateway(*found) as app:
            status, _, _ = await app.generate("/res/x")
        (decode,) = found[1].received
        assert status == 200
        assert "x-kv-hold" not in decode.headers
        assert "x-kv-source" not in decode.headers

    play(main)


def test_an_idle_connection_is_not_used_after_a_suspension():
    """The server has closed it or has lost track of it."""

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

    play(main)


def test_timers_that_passed_during_a_suspension_are_due_at_once():
    async def main(clock):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        woken = asyncio.Event()
        loop.call_later(SUSPENDED_S, woken.set)
        clock.suspend()
        async with asyncio.timeout(2 * SUSPENDED_S):
            await woken.wait()
        assert loop.time() - started_s < SUSPENDED_S + 1.0

    play(main)
