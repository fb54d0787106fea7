"""Test that a late duplicate of a response is not taken for the next response.

A server may send a response twice, the second time when its connection is already in
use for another request. The next caller would then get a response to another request,
or a refusal although its request ran.
"""

import asyncio

import pytest
from tests.adapters.gateway.standin import (
    StandIn,
    events,
    gateway,
    not_executed,
    response,
)
from tests.adapters.gateway.test_streams import decode_script, engines, run_prefill

DELAY_S = 0.03


def run_async(main):
    asyncio.run(main())


def late_duplicates(make_response):
    """Respond, and send the response again when the next request arrives."""
    previous = []

    async def script(request, writer):
        if previous:
            writer.write(previous.pop())
            await asyncio.sleep(DELAY_S)
        data = make_response(request)
        previous.append(data)
        writer.write(data)

    return script


def test_a_duplicate_response_is_not_forwarded_to_the_next_caller():
    async def main():
        server = StandIn(
            "a",
            late_duplicates(
                lambda request: response(request, body=request.body or b"-")
            ),
        )
        async with gateway(server) as app:
            for number in range(4):
                body_sent = b"%d" % number
                for path in ("/once/x", "/safe/x", "/safe/y"):
                    attempt = f"{path[1:5]}{path[-1]}{number}"
                    status, _, body = await app.send_request(
                        path, body=body_sent, attempt=attempt
                    )
                    assert status != 200 or body == body_sent

    run_async(main)


def test_a_duplicate_refusal_is_not_taken_for_the_next_response():
    """A refusal carries no request id; only its connection relates it to a request."""

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

    run_async(main)


def test_an_at_most_once_generation_uses_a_new_connection():
    async def main():
        servers = engines(decode_script(), prefill=run_prefill)
        async with gateway(*servers) as app:
            for _ in range(3):
                status, _, body = await app.generate("/gen/x")
                assert (status, body) == (200, events(1, 9))
        readers = [request.reader for request in servers[1].received]
        assert len(set(map(id, readers))) == len(readers) == 3

    run_async(main)


def test_a_duplicate_reservation_is_not_used_by_another_generation():
    """Two generations would use one reservation, which is valid for only one."""

    async def main():
        servers = engines(decode_script(), decode_script())
        first = servers[1]
        api_response = first._api_response

        def repeat_reservation(request):
            if request.target == "/api/hold-take" and first.reservation_count:
                first.reservation_count -= 1
            return api_response(request)

        first._api_response = repeat_reservation
        async with gateway(*servers) as app:
            for _ in range(6):
                status, _, _ = await app.generate("/res/x")
                assert status == 200
        holds = [request.headers.get("x-kv-hold") for request in first.received]
        assert holds.count("h1") <= 1

    run_async(main)


def test_the_response_to_a_request_is_not_taken_for_a_reservation():
    async def main():
        servers = engines(decode_script())
        engine = servers[1]

        def respond_to_other_request(request):
            body = b'{"Hold":"h9"}'
            return response(request, body=body).replace(
                b"x-attempt-id: ", b"x-attempt-id: b"
            )

        engine._api_response = respond_to_other_request
        async with gateway(*servers) as app:
            status, _, _ = await app.generate("/res/x")
        assert status == 200
        assert "x-kv-hold" not in engine.received[0].headers

    run_async(main)


def refusal_without_id():
    return (
        b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\nretry-after: 0\r\n"
        b"content-length: 0\r\n\r\n"
    )


@pytest.mark.parametrize("copied", ["without id", "of another request"])
def test_a_refusal_on_a_kept_connection_is_not_taken_for_the_response(copied):
    """The caller would be told that a request did not run although it did."""

    async def main():
        async def script(request, writer):
            if request.attempt == "a1":
                writer.write(response(request, body=b"first"))
                return
            is_kept = request.reader is server.received[0].reader
            if is_kept:
                copy = refusal_without_id()
                if copied == "of another request":
                    copy = not_executed(server.received[0])
                writer.write(copy)
                await asyncio.sleep(DELAY_S)
            runs.append(request)
            writer.write(response(request, body=b"second"))

        runs = []
        server = StandIn("a", script)
        async with gateway(server, budget=0) as app:
            await app.send_request("/safe/x", attempt="a1")
            status, _, _ = await app.send_request("/safe/x", attempt="a2")
        assert runs
        assert status == 502

    run_async(main)


def test_a_copy_of_a_refusal_is_not_taken_for_the_response_to_its_repeat():
    """The repeat has the same request id, so that only the connection tells."""

    async def main():
        async def script(request, writer):
            if request.attempt != "a9":
                # Two at a time, so that two connections are kept.
                await asyncio.sleep(DELAY_S)
                writer.write(response(request))
                return
            sends.append(request)
            is_kept = any(request.reader is item.reader for item in before)
            if len(sends) == 1 or is_kept:
                writer.write(not_executed(request))
            if len(sends) > 1:
                await asyncio.sleep(DELAY_S)
                runs.append(request)
                writer.write(response(request, body=b"ran"))

        sends, runs = [], []
        server = StandIn("a", script)
        async with gateway(server) as app:
            await asyncio.gather(
                *(app.send_request("/safe/x", attempt=f"a{n}") for n in range(3))
            )
            before = list(server.received)
            status, _, body = await app.send_request("/safe/x", attempt="a9")
        assert (status, body) == (200, b"ran")
        assert len(runs) == 1

    run_async(main)


def test_a_copy_of_a_refused_reservation_is_not_taken_for_a_refused_run():
    async def main():
        servers = engines(decode_script())
        engine = servers[1]
        engine._api_response = lambda request: refusal_without_id()
        decode = engine.script

        async def script(request, writer):
            if request.headers.get("x-stage") != "prefill":
                runs.append(request)
                if any(request.reader is reader for reader in api_readers):
                    writer.write(refusal_without_id())
                    await asyncio.sleep(DELAY_S)
            return await decode(request, writer)

        runs, api_readers = [], []
        read_request = engine._read_request

        async def record_reader(reader):
            request = await read_request(reader)
            if request.target.startswith("/api/"):
                api_readers.append(reader)
            return request

        engine._read_request, engine.script = record_reader, script
        async with gateway(*servers, budget=0) as app:
            for number in range(3):
                status, _, _ = await app.generate("/res/x", attempt=f"a{number}")
                assert not (status == 503 and runs)
                engine._api_response = StandIn._api_response.__get__(engine)
        assert api_readers

    run_async(main)
