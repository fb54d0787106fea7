"""Guards against streams with missing, repeated or joined pieces."""

import asyncio

from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    events,
    gateway,
    not_executed,
    response,
)

from damaskridge.model.gateway import EngineStage


async def run_prefill(request, writer):
    body = b'{"HandleId":"h-%s","Tokens":100,"Version":1}' % request.attempt.encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\ncontent-length: %d\r\n\r\n%s"
        % (request.attempt.encode(), len(body), body)
    )


def decode_script(total=9, *, cut_after=None, torn=b"", stall=False):
    """Stream events from `last-event-id` on, and perhaps break off."""

    async def script(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(chunked_head(request))
        last = total if cut_after is None else cut_after
        for number in range(first, last + 1):
            writer.write(chunk(events(number, number)))
            await asyncio.sleep(0.005)
        if cut_after is None:
            writer.write(b"0\r\n\r\n")
            return False
        if torn:
            writer.write(chunk(torn))
        await writer.drain()
        if stall:
            await asyncio.sleep(6)
        return True

    return script


async def refuse(request, writer):
    writer.write(not_executed(request))


def engines(*decoders, prefill=run_prefill):
    reader = StandIn("p", prefill, EngineStage.PREFILL, "llm")
    return [
        reader,
        *(
            StandIn(f"d{number}", script, EngineStage.DECODE, "llm")
            for number, script in enumerate(decoders)
        ),
    ]


def play(main):
    asyncio.run(main())


def test_a_stream_takes_the_prefilled_cache():
    async def main():
        found = engines(decode_script())
        async with gateway(*found) as app:
            status, headers, body = await app.generate("/gen/x")
        assert (status, body) == (200, events(1, 9))
        assert headers["x-response-signature"] == "sig"
        prefill, decode = found[0].received[0], found[1].received[0]
        assert prefill.headers["x-stage"] == "prefill"
        assert decode.headers["x-kv-source"] == f"{found[0].address}/h-a1"
        assert decode.headers["x-kv-hold"] == "h1"
        assert prefill.body == decode.body == b"prompt"

    play(main)


def test_a_second_reading_of_a_prompt_is_taken_from_the_retry_budget():
    """The operator counts each one after the first, also after an answer of failure."""

    async def main():
        async def refuse(request, writer):
            writer.write(response(request, 500, b"", signed=False))

        found = engines(decode_script())
        broken = StandIn("p1", refuse, EngineStage.PREFILL, "llm")
        found[0].script = refuse
        async with gateway(broken, *found) as app:
            status, _, _ = await app.generate("/gen/x")
            assert status == 200
            assert len(broken.received) + len(found[0].received) == 2
            assert len(app.resends) == 1

    play(main)


def test_a_broken_stream_goes_on_without_gap_or_repeat():
    async def main():
        found = engines(
            decode_script(cut_after=4, torn=b"id: 5\ndata: to"),
            decode_script(cut_after=4, torn=b"id: 5\ndata: to"),
        )
        async with gateway(*found) as app:
            # Whichever engine is chosen first breaks; the other goes on from there.
            status, _, body = await app.generate("/res/x")
        sent = [request for engine in found[1:] for request in engine.received]
        assert len(sent) == 2
        assert sorted(request.headers.get("last-event-id", "") for request in sent) == [
            "",
            "4",
        ]
        assert status == 200
        # The second engine broke off too, so that the answer must look cut.
        assert body is None

    play(main)


def test_a_resumed_stream_is_whole():
    async def main():
        def second_time():
            runs = []

            async def script(request, writer):
                runs.append(request)
                if "last-event-id" in request.headers:
                    return await decode_script()(request, writer)
                return await decode_script(cut_after=3, torn=b"id: 4\nda")(
                    request, writer
                )

            return script

        found = engines(second_time(), second_time())
        async with gateway(*found) as app:
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))

    play(main)


def test_a_silent_engine_is_left_for_another():
    async def main():
        async def script(request, writer):
            if "last-event-id" in request.headers:
                return await decode_script()(request, writer)
            return await decode_script(cut_after=3, stall=True)(request, writer)

        found = engines(script, script)
        async with gateway(*found) as app:
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))

    play(main)


def test_a_stream_that_cannot_be_resumed_looks_cut():
    async def main():
        found = engines(decode_script(cut_after=4), decode_script())
        found[2].service = "other"
        async with gateway(*found) as app:
            status, _, body = await app.generate("/gen/x")
        assert status == 200
        assert body is None
        assert len(found[1].received) == 1

    play(main)


def test_a_decode_engine_reads_the_prompt_without_prefill_engines():
    async def main():
        found = engines(decode_script(), prefill=refuse)
        async with gateway(*found) as app:
            status, _, body = await app.generate("/gen/x")
        assert (status, body) == (200, events(1, 9))
        assert "x-kv-source" not in found[1].received[0].headers

    play(main)


def test_an_engine_that_refuses_is_followed_by_another_with_the_same_cache():
    async def main():
        found = engines(refuse, decode_script())
        async with gateway(*found) as app:
            answers = [await app.generate("/gen/x") for _ in range(4)]
        assert [body for _, _, body in answers] == [events(1, 9)] * 4
        assert len(found[0].received) == 4

    play(main)


def test_a_caller_that_resumes_gets_what_it_lacks():
    async def main():
        found = engines(decode_script())
        async with gateway(*found) as app:
            status, _, body = await app.send_request(
                "/res/x", ["x-token-count: 100,50", "last-event-id: 6"], b"prompt"
            )
        assert (status, body) == (200, events(7, 9))

    play(main)


def test_engines_without_room_are_a_true_refusal():
    async def main():
        found = engines(decode_script())
        found[1]._api = lambda request: (
            b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"
        )
        async with gateway(*found) as app:
            status, headers, _ = await app.generate("/gen/x")
        assert status == 503
        assert "retry-after" in headers
        # No prompt is read for an engine without room.
        assert found[0].received == found[1].received == []

    play(main)


def test_a_caller_who_leaves_while_room_is_sought_leaves_no_load():
    """A counted request that never ended would keep work from its engine for good."""

    async def main():
        found = engines(decode_script())
        async with gateway(*found) as app:
            asked = asyncio.Event()

            async def never(reader, writer):
                asked.set()
                await reader.read()

            silent = await asyncio.start_server(never, "127.0.0.1", 0)
            host, port = silent.sockets[0].getsockname()
            found[1].address = f"{host}:{port}"
            app.registry.replace([engine.instance() for engine in found])
            _, writer = await asyncio.open_connection("127.0.0.1", app.port)
            writer.write(
                b"POST /gen/x HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a1\r\n"
                b"authorization: Bearer k\r\nx-token-count: 100,50\r\n"
                b"content-length: 0\r\n\r\n"
            )
            await asyncio.wait_for(asked.wait(), 2)
            assert app.load.total("d0").requests == 1
            writer.close()
            await asyncio.sleep(0.2)
            assert app.load.total("d0").requests == 0
            silent.close()

    play(main)


def test_a_stream_that_goes_on_elsewhere_is_read_by_a_prefill_engine_again():
    """A decode engine that reads a long prompt holds up all of its other streams."""

    async def main():
        def breaking():
            async def script(request, writer):
                if "last-event-id" in request.headers:
                    return await decode_script()(request, writer)
                return await decode_script(cut_after=3)(request, writer)

            return script

        found = engines(breaking(), breaking())
        async with gateway(*found) as app:
            status, _, body = await app.generate("/res/x")
            assert (status, body) == (200, events(1, 9))
            # One for the run that goes on and one for the second reading.
            assert len(app.resends) == 2
        sent = [request for engine in found[1:] for request in engine.received]
        assert len(found[0].received) == len(sent) == 2
        again = next(request for request in sent if "last-event-id" in request.headers)
        assert "x-kv-source" in again.headers
        assert "x-kv-hold" in again.headers

    play(main)
