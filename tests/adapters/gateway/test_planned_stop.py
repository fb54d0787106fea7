"""Test that a planned stop cuts off no request without an answer."""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway, response
from tests.adapters.gateway.test_streams import decode_script, engines, run_async


def slow(delay_s):
    async def script(request, writer):
        await asyncio.sleep(delay_s)
        writer.write(response(request))

    return script


def stop_in(app, seconds):
    app.state.begin_drain(asyncio.get_running_loop().time() + seconds)


def test_call_that_may_not_be_repeated_is_refused_if_it_could_be_cut():
    async def main():
        server = StandIn("a", slow(0))
        async with gateway(server) as app:
            stop_in(app, 60)
            assert (await app.send_request("/once/x"))[0] == 200
            stop_in(app, 0.5)
            status, headers, _ = await app.send_request("/once/x", attempt="a2")
        assert status == 503
        assert "retry-after" in headers
        assert [request.attempt for request in server.received] == ["a1"]

    run_async(main)


def test_stream_is_refused_if_it_could_be_cut():
    async def main():
        servers = engines(decode_script())
        async with gateway(*servers) as app:
            stop_in(app, 60)
            assert (await app.generate("/gen/x"))[0] == 200
            stop_in(app, 0.001)
            assert (await app.generate("/gen/x", attempt="a2"))[0] == 503
        assert len(servers[1].received) == 1

    run_async(main)


def test_request_that_is_still_running_at_the_end_is_answered():
    async def main():
        async with gateway(StandIn("a", slow(5))) as app:
            running = asyncio.ensure_future(app.send_request("/once/x"))
            await asyncio.sleep(0.1)
            stop_in(app, 0.1)
            app.state.end_requests()
            status, _, _ = await running
        # The request may have run.
        assert status == 502

    run_async(main)


def test_request_that_was_not_sent_is_answered_as_not_run():
    async def main():
        async def full(request, writer):
            await asyncio.sleep(5)

        servers = engines(decode_script(), prefill=full)
        async with gateway(*servers) as app:
            running = asyncio.ensure_future(app.generate("/gen/x"))
            await asyncio.sleep(0.1)
            app.state.end_requests()
            status, _, _ = await running
            assert status == 503
            assert not servers[1].received

    run_async(main)


def test_stream_that_is_still_running_at_the_end_is_truncated():
    async def main():
        servers = engines(decode_script(disconnect_after=2, stall=True))
        async with gateway(*servers) as app:
            running = asyncio.ensure_future(app.generate("/gen/x"))
            await asyncio.sleep(0.2)
            app.state.end_requests()
            status, _, body = await running
        assert (status, body) == (200, None)

    run_async(main)
