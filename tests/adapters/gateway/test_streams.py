"""Test that streams have no missing, duplicate or merged events."""

import asyncio

import pytest
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    events,
    gateway,
    not_executed,
    response,
)

from damaskridge.adapters.gateway.connections import open_connection
from damaskridge.model.gateway import EngineStage


async def run_prefill(request, writer):
    body = b'{"HandleId":"h-%s","Tokens":100,"Version":1}' % request.attempt.encode()
    writer.write(response(request, body=body, signed=False))


def decode_script(
    event_count=9, *, disconnect_after=None, partial_event=b"", stall=False
):
    """
    Return a script that streams events after `last-event-id`.

    With `disconnect_after`, it stops after the event of this number, sends
    `partial_event` and closes the connection; with `stall`, only after 6 seconds.
    """

    async def script(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(chunked_head(request))
        last = event_count if disconnect_after is None else disconnect_after
        for number in range(first, last + 1):
            writer.write(chunk(events(number, number)))
            await asyncio.sleep(0.005)
        if disconnect_after is None:
            writer.write(b"0\r\n\r\n")
            return False
        if partial_event:
            writer.write(chunk(partial_event))
        await writer.drain()
        if stall:
            await asyncio.sleep(6)
        return True

    return script


async def refuse(request, writer):
    writer.write(not_executed(request))


def engines(*decoders, prefill=run_prefill):
    prefill_engine = StandIn("p", prefill, EngineStage.PREFILL, "llm")
    return [
        prefill_engine,
        *(
            StandIn(f"d{number}", script, EngineStage.DECODE, "llm")
            for number, script in enumerate(decoders)
        ),
    ]


def run_async(main):
    asyncio.run(main())


def test_the_decode_engine_imports_the_prefilled_cache():
    async def main():
        servers = engines(decode_script())
        async with gateway(*servers) as app:
            status, headers, body = await app.generate("/gen/x")
        assert (status, body) == (200, events(1, 9))
        assert headers["x-response-signature"] == "sig"
        prefill, decode = servers[0].received[0], servers[1].received[0]
        assert prefill.headers["x-stage"] == "prefill"
        assert decode.headers["x-kv-source"] == f"{servers[0].address}/h-a1"
        assert decode.headers["x-kv-hold"] == "h1"
        assert prefill.body == decode.body == b"prompt"

    run_async(main)


def test_a_second_prefill_is_charged_to_the_retry_budget():
    """The operator counts every prefill after the first, even if the first failed."""

    async def main():
        async def refuse(request, writer):
            writer.write(response(request, 500, b"", signed=False))

        servers = engines(decode_script())
        failing = StandIn("p1", refuse, EngineStage.PREFILL, "llm")
        servers[0].script = refuse
        async with gateway(failing, *servers) as app:
            status, _, _ = await app.generate("/gen/x")
            assert status == 200
            assert len(failing.received) + len(servers[0].received) == 2
            assert len(app.spend_requests) == 1

    run_async(main)


def test_a_broken_stream_resumes_after_the_last_event():
    async def main():
        servers = engines(
            decode_script(disconnect_after=4, partial_event=b"id: 5\ndata: to"),
            decode_script(disconnect_after=4, partial_event=b"id: 5\ndata: to"),
        )
        async with gateway(*servers) as app:
            # The stream breaks on the first engine and resumes on the other one.
            status, _, body = await app.generate("/res/x")
        sent = [request for engine in servers[1:] for request in engine.received]
        assert len(sent) == 2
        assert sorted(request.headers.get("last-event-id", "") for request in sent) == [
            "",
            "4",
        ]
        assert status == 200
        # It breaks on the second engine too, so the caller sees a truncated body.
        assert body is None

    run_async(main)


def test_a_resumed_stream_is_complete():
    async def main():
        def disconnect_once():
            runs = []

            async def script(request, writer):
                runs.append(request)
                if "last-event-id" in request.headers:
                    return await decode_script()(request, writer)
                return await decode_script(
                    disconnect_after=3, partial_event=b"id: 4\nda"
                )(request, writer)

            return script

        servers = engines(disconnect_once(), disconnect_once())
        async with gateway(*servers) as app:
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))

    run_async(main)


def test_a_stalled_stream_resumes_on_another_engine():
    async def main():
        async def script(request, writer):
            if "last-event-id" in request.headers:
                return await decode_script()(request, writer)
            return await decode_script(disconnect_after=3, stall=True)(request, writer)

        servers = engines(script, script)
        async with gateway(*servers) as app:
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))

    run_async(main)


def silent_script(silence_s):
    """Return a script that falls silent after its third event, and then goes on."""

    async def script(request, writer):
        writer.write(chunked_head(request) + chunk(events(1, 3)))
        await writer.drain()
        await asyncio.sleep(silence_s)
        writer.write(chunk(events(4, 9)) + b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("others", ["none", "full", "no retry budget"])
def test_silent_stream_is_not_cut_while_no_other_engine_can_take_it(others):
    async def main():
        servers = engines(silent_script(1.5), decode_script())
        if others == "none":
            servers.pop()
        if others == "full":
            servers[2].room = 0
        budget = 0 if others == "no retry budget" else 9
        async with gateway(*servers, budget=budget) as app:
            app.registry.record_unreachable("d1", asyncio.get_running_loop().time())
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))
        assert len(servers[1].received) == 1
        assert all(not server.received for server in servers[2:])

    run_async(main)


def test_silent_stream_moves_once_another_engine_has_room():
    async def main():
        servers = engines(silent_script(4.0), decode_script())
        servers[2].room = 0
        async with gateway(*servers) as app:
            app.registry.record_unreachable("d1", asyncio.get_running_loop().time())
            stream = asyncio.ensure_future(app.generate("/res/x"))
            await asyncio.sleep(1.4)
            assert not servers[2].received
            servers[2].room = 1
            async with asyncio.timeout(1.0):
                status, _, body = await stream
        assert (status, body) == (200, events(1, 9))
        assert len(servers[2].received) == 1

    run_async(main)


def test_silent_stream_moves_to_a_full_engine_before_its_caller_leaves():
    async def main():
        servers = engines(silent_script(4.0), decode_script())
        servers[2].room = 0
        async with gateway(*servers) as app:
            app.registry.record_unreachable("d1", asyncio.get_running_loop().time())
            async with asyncio.timeout(2.5):
                status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))

    run_async(main)


def test_stream_that_goes_on_during_the_search_for_an_engine_stays_where_it_is():
    async def main():
        servers = engines(silent_script(1.3), decode_script())
        servers[2].api_delay_s = 0.2
        async with gateway(*servers) as app:
            app.registry.record_unreachable("d1", asyncio.get_running_loop().time())
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))
        assert not servers[2].received
        assert app.load.load_on("d1").requests == 0

    run_async(main)


def test_a_broken_stream_that_cannot_resume_is_truncated():
    async def main():
        servers = engines(decode_script(disconnect_after=4), decode_script())
        servers[2].service = "other"
        async with gateway(*servers) as app:
            status, _, body = await app.generate("/gen/x")
        assert status == 200
        assert body is None
        assert len(servers[1].received) == 1

    run_async(main)


def test_the_decode_engine_prefills_if_the_prefill_engine_refuses():
    async def main():
        servers = engines(decode_script(), prefill=refuse)
        async with gateway(*servers) as app:
            status, _, body = await app.generate("/gen/x")
        assert (status, body) == (200, events(1, 9))
        assert "x-kv-source" not in servers[1].received[0].headers

    run_async(main)


def test_a_cache_is_offered_to_another_engine_after_a_refusal():
    async def main():
        servers = engines(refuse, decode_script())
        async with gateway(*servers) as app:
            responses = [await app.generate("/gen/x") for _ in range(4)]
        assert [body for _, _, body in responses] == [events(1, 9)] * 4
        assert len(servers[0].received) == 4

    run_async(main)


def test_a_resuming_caller_gets_only_the_missing_events():
    async def main():
        servers = engines(decode_script())
        async with gateway(*servers) as app:
            status, _, body = await app.send_request(
                "/res/x", ["x-token-count: 100,50", "last-event-id: 6"], b"prompt"
            )
        assert (status, body) == (200, events(7, 9))

    run_async(main)


def test_full_engines_cause_a_refusal_without_a_prefill():
    async def main():
        servers = engines(decode_script())
        servers[1]._api_response = lambda request: (
            b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"
        )
        async with gateway(*servers) as app:
            status, headers, _ = await app.generate("/gen/x")
        assert status == 503
        assert "retry-after" in headers
        # There is no prefill for a full engine.
        assert servers[0].received == servers[1].received == []

    run_async(main)


def test_a_caller_that_disconnects_during_the_reservation_leaves_no_load():
    """Load that is never removed would keep further requests from the engine."""

    async def main():
        servers = engines(decode_script())
        async with gateway(*servers) as app:
            call_received = asyncio.Event()

            async def never_respond(reader, writer):
                call_received.set()
                await reader.read()

            server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            servers[1].address = f"{host}:{port}"
            app.registry.replace([engine.instance() for engine in servers])
            _, writer = await asyncio.open_connection("127.0.0.1", app.port)
            writer.write(
                b"POST /gen/x HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a1\r\n"
                b"authorization: Bearer k\r\nx-token-count: 100,50\r\n"
                b"content-length: 0\r\n\r\n"
            )
            await asyncio.wait_for(call_received.wait(), 2)
            assert app.load.load_on("d0").requests == 1
            writer.close()
            await asyncio.sleep(0.2)
            assert app.load.load_on("d0").requests == 0
            server.close()

    run_async(main)


def test_a_resumed_stream_is_prefilled_again():
    """A decode engine that prefills a long prompt delays all its other streams."""

    async def main():
        def disconnect_once():
            async def script(request, writer):
                if "last-event-id" in request.headers:
                    return await decode_script()(request, writer)
                return await decode_script(disconnect_after=3)(request, writer)

            return script

        servers = engines(disconnect_once(), disconnect_once())
        async with gateway(*servers) as app:
            status, _, body = await app.generate("/res/x")
            assert (status, body) == (200, events(1, 9))
            # One for the second decode and one for the second prefill.
            assert len(app.spend_requests) == 2
        sent = [request for engine in servers[1:] for request in engine.received]
        assert len(servers[0].received) == len(sent) == 2
        resumed = next(
            request for request in sent if "last-event-id" in request.headers
        )
        assert "x-kv-source" in resumed.headers
        assert "x-kv-hold" in resumed.headers

    run_async(main)


def test_host_gives_way_to_timers_within_one_buffer_of_tiny_parts():
    """Guards against a server that holds up all other requests of its host."""

    async def main():
        body = b"".join(chunk(b":\n\n") for _ in range(8000)) + b"0\r\n\r\n"

        async def script(request, writer):
            writer.write(chunked_head(request) + body)

        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        server = StandIn("e", script, None, "llm")
        async with gateway(server):
            connection = await open_connection(server.address, 1.0)
            await connection.send("POST", b"/gen/x", [(b"host", b"h")], b"")
            await connection.head()
            await asyncio.sleep(0.2)
            counter = asyncio.ensure_future(count_turns())
            parts = [part async for part in connection.body()]
            counter.cancel()
            connection.close()
        assert len(parts) == 8000
        assert turns >= 100

    run_async(main)
