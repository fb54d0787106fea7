"""Guards against sends to servers that leave or that asked for a pause."""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway, reply
from tests.adapters.gateway.test_streams import decoding, engines, read_prompt

LEAVING = b"server-leaving: 1\r\n"
PAUSE = b"x-not-executed: 1\r\nretry-after: 1.5\r\n"


def play(main):
    asyncio.run(main())


def answering(extra=b"", status=200):
    async def script(seen, writer):
        writer.write(reply(seen, status, signed=status == 200, extra=extra))

    return script


def test_a_server_that_says_it_leaves_gets_no_further_request():
    async def main():
        leaving, other = StandIn("a", answering(LEAVING)), StandIn("b", answering())
        async with gateway(leaving, other) as app:
            for _ in range(8):
                status, _, _ = await app.ask("/safe/x")
                assert status == 200
            assert len(leaving.seen) == 1
            assert leaving.closed == 1
            assert app.registry.notices.leaving()[0].instance == "a"

    play(main)


def test_a_reader_of_prompts_that_leaves_is_not_asked_again():
    async def main():
        async def read_and_leave(seen, writer):
            body = b'{"HandleId":"h","Tokens":1,"Version":1}'
            writer.write(reply(seen, body=body, extra=LEAVING))

        found = engines(decoding(), prefill=read_and_leave)
        async with gateway(*found) as app:
            for _ in range(3):
                status, _, _ = await app.generate("/gen/x")
                assert status == 200
        assert len(found[0].seen) == 1
        assert len(found[1].seen) == 3

    play(main)


def test_a_server_that_asks_for_a_pause_is_left_alone_for_so_long():
    async def main():
        busy, other = StandIn("a", answering(PAUSE, 503)), StandIn("b", answering())
        async with gateway(busy, other) as app:
            for _ in range(8):
                status, _, _ = await app.ask("/once/x")
                assert status == 200
            assert len(busy.seen) == 1

    play(main)


def test_callers_are_told_the_shortest_pause_at_once_if_every_server_asks_for_one():
    async def main():
        servers = [StandIn(name, answering(PAUSE, 503)) for name in "ab"]
        async with gateway(*servers) as app:
            await app.ask("/safe/x")
            before = sum(len(server.seen) for server in servers)
            status, headers, _ = await app.ask("/safe/x")
            assert status == 503
            assert 1.0 < float(headers["retry-after"]) <= 1.5 * 1.5
            assert sum(len(server.seen) for server in servers) == before == 2

    play(main)


def test_a_generation_is_refused_unread_if_every_decode_engine_asks_for_a_pause():
    async def main():
        found = engines(answering(PAUSE, 503), answering(PAUSE, 503))
        async with gateway(*found) as app:
            for engine in found[1:]:
                app.registry.notices.record_pause(
                    engine.name, asyncio.get_running_loop().time() + 1.5
                )
            status, headers, _ = await app.generate("/gen/x")
        assert status == 503
        assert float(headers["retry-after"]) > 1.0
        assert not [seen for engine in found for seen in engine.seen]

    play(main)


def test_a_reservation_on_an_engine_that_then_asks_for_a_pause_is_not_used():
    async def main():
        found = engines(decoding(), decoding(), prefill=read_prompt)
        async with gateway(*found) as app:

            async def read_and_pause(seen, writer):
                for engine in found[1:]:
                    if app.load.total(engine.name).requests:
                        until_s = asyncio.get_running_loop().time() + 1.5
                        app.registry.notices.record_pause(engine.name, until_s)
                        paused.append(engine)
                await read_prompt(seen, writer)

            paused = []
            found[0].script = read_and_pause
            status, _, _ = await app.generate("/res/x")
        assert status == 200
        assert len(paused) == 1
        assert not paused[0].seen

    play(main)
