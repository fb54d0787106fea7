"""Test that servers which shut down or ask for a pause get no further requests."""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway, response
from tests.adapters.gateway.test_streams import decode_script, engines, run_prefill

LEAVING = b"server-leaving: 1\r\n"
PAUSE = b"x-not-executed: 1\r\nretry-after: 1.5\r\n"


def run_async(main):
    asyncio.run(main())


def respond_with(extra=b"", status=200):
    async def script(request, writer):
        writer.write(response(request, status, signed=status == 200, extra=extra))

    return script


def test_a_server_that_shuts_down_gets_no_further_request():
    async def main():
        leaving, other = (
            StandIn("a", respond_with(LEAVING)),
            StandIn("b", respond_with()),
        )
        async with gateway(leaving, other) as app:
            for _ in range(8):
                status, _, _ = await app.send_request("/safe/x")
                assert status == 200
            assert len(leaving.received) == 1
            assert leaving.closed_connections == 1
            assert app.registry.notices.leaving()[0].instance == "a"

    run_async(main)


def test_a_prefill_engine_that_shuts_down_gets_no_further_prefill():
    async def main():
        async def prefill_and_leave(request, writer):
            body = b'{"HandleId":"h","Tokens":1,"Version":1}'
            writer.write(response(request, body=body, extra=LEAVING))

        servers = engines(decode_script(), prefill=prefill_and_leave)
        async with gateway(*servers) as app:
            for _ in range(3):
                status, _, _ = await app.generate("/gen/x")
                assert status == 200
        assert len(servers[0].received) == 1
        assert len(servers[1].received) == 3

    run_async(main)


def test_a_server_that_asks_for_a_pause_gets_no_request_meanwhile():
    async def main():
        busy, other = (
            StandIn("a", respond_with(PAUSE, 503)),
            StandIn("b", respond_with()),
        )
        async with gateway(busy, other) as app:
            for _ in range(8):
                status, _, _ = await app.send_request("/once/x")
                assert status == 200
            assert len(busy.received) == 1

    run_async(main)


def test_callers_are_refused_until_the_pause_ends_if_every_server_asks_for_one():
    async def main():
        servers = [StandIn(name, respond_with(PAUSE, 503)) for name in "ab"]
        async with gateway(*servers) as app:
            await app.send_request("/safe/x")
            before = sum(len(server.received) for server in servers)
            status, headers, _ = await app.send_request("/safe/x")
            assert status == 503
            assert 1.0 < float(headers["retry-after"]) <= 1.5 * 1.5
            assert sum(len(server.received) for server in servers) == before == 2

    run_async(main)


def test_no_prefill_is_sent_if_every_decode_engine_asks_for_a_pause():
    async def main():
        servers = engines(respond_with(PAUSE, 503), respond_with(PAUSE, 503))
        async with gateway(*servers) as app:
            for engine in servers[1:]:
                app.registry.notices.record_pause(
                    engine.name, asyncio.get_running_loop().time() + 1.5
                )
            status, headers, _ = await app.generate("/gen/x")
        assert status == 503
        assert float(headers["retry-after"]) > 1.0
        assert not [request for engine in servers for request in engine.received]

    run_async(main)


def test_a_reservation_on_an_engine_that_then_asks_for_a_pause_is_not_used():
    async def main():
        servers = engines(decode_script(), decode_script(), prefill=run_prefill)
        async with gateway(*servers) as app:

            async def prefill_and_pause(request, writer):
                for engine in servers[1:]:
                    if app.load.load_on(engine.name).requests:
                        until_s = asyncio.get_running_loop().time() + 1.5
                        app.registry.notices.record_pause(engine.name, until_s)
                        paused.append(engine)
                await run_prefill(request, writer)

            paused = []
            servers[0].script = prefill_and_pause
            status, _, _ = await app.generate("/res/x")
        assert status == 200
        assert len(paused) == 1
        assert not paused[0].received

    run_async(main)
