"""
Guards against a late second copy of an answer on a connection that is in use again.

The next caller would get an answer that is not its own, or be told that its request
did not run.
"""

import asyncio

from tests.adapters.gateway.standin import (
    StandIn,
    events,
    gateway,
    not_executed,
    response,
)
from tests.adapters.gateway.test_streams import decode_script, engines, run_prefill

DELAY_S = 0.03


def play(main):
    asyncio.run(main())


def late_copies(answer):
    """Answer, and send the answer once more when the next request has arrived."""
    last = []

    async def script(request, writer):
        if last:
            writer.write(last.pop())
            await asyncio.sleep(DELAY_S)
        data = answer(request)
        last.append(data)
        writer.write(data)

    return script


def test_a_copy_of_an_answer_is_not_given_to_the_next_caller():
    async def main():
        server = StandIn(
            "a",
            late_copies(lambda request: response(request, body=request.body or b"-")),
        )
        async with gateway(server) as app:
            for number in range(4):
                mine = b"%d" % number
                for path in ("/once/x", "/safe/x", "/safe/y"):
                    attempt = f"{path[1:5]}{path[-1]}{number}"
                    status, _, body = await app.send_request(
                        path, body=mine, attempt=attempt
                    )
                    assert status != 200 or body == mine

    play(main)


def test_a_copy_of_a_refusal_does_not_say_that_the_next_request_has_not_run():
    """A refusal names no request; only its connection tells whose it is."""

    async def main():
        async def refuse_then_run(request, writer):
            ran.append(request)
            if len(ran) == 1:
                writer.write(not_executed(request))
                return
            writer.write(
                b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                if request.reader is ran[0].reader
                else response(request)
            )

        ran = []
        async with gateway(StandIn("a", refuse_then_run)) as app:
            await app.send_request("/once/x")
            status, _, _ = await app.send_request("/once/x")
            assert status == 200
            assert ran[0].reader is not ran[-1].reader

    play(main)


def test_a_generation_that_runs_once_uses_no_connection_that_was_used_before():
    async def main():
        found = engines(decode_script(), prefill=run_prefill)
        async with gateway(*found) as app:
            for _ in range(3):
                status, _, body = await app.generate("/gen/x")
                assert (status, body) == (200, events(1, 9))
        readers = [request.reader for request in found[1].received]
        assert len(set(map(id, readers))) == len(readers) == 3

    play(main)


def test_a_copy_of_a_reservation_is_not_used_by_the_next_generation():
    """Both would name one reservation, of which only one can make use."""

    async def main():
        found = engines(decode_script(), decode_script())
        first = found[1]
        own_api = first._api

        def copies(request):
            if request.target == "/api/hold-take" and first.reserved:
                first.reserved -= 1
            return own_api(request)

        first._api = copies
        async with gateway(*found) as app:
            for _ in range(6):
                status, _, _ = await app.generate("/res/x")
                assert status == 200
        holds = [request.headers.get("x-kv-hold") for request in first.received]
        assert holds.count("h1") <= 1

    play(main)


def test_the_answer_to_a_request_is_no_answer_to_a_reservation():
    async def main():
        found = engines(decode_script())
        engine = found[1]

        def answer_of_another(request):
            body = b'{"Hold":"h9"}'
            return response(request, body=body).replace(
                b"x-attempt-id: ", b"x-attempt-id: b"
            )

        engine._api = answer_of_another
        async with gateway(*found) as app:
            status, _, _ = await app.generate("/res/x")
        assert status == 200
        assert "x-kv-hold" not in engine.received[0].headers

    play(main)
