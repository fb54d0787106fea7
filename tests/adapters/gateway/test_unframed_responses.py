"""Test that a response which broke off is never passed on as complete.

A response may have neither a length nor chunks and end with its connection, so that a
clean end of the connection doesn't show by itself that the response is complete.
"""

import asyncio

import pytest
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    events,
    gateway,
    response,
)
from tests.adapters.gateway.test_streams import decode_script, engines


def run_async(main):
    asyncio.run(main())


def unframed_head(request):
    """Return the head of an event stream that ends with its connection."""
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"x-response-signature: sig\r\nx-attempt-id: %s\r\n\r\n"
        % request.attempt.encode()
    )


def unframed_script(last, rest=b""):
    """Stream events up to a number and a part of another one, then close."""

    async def script(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(unframed_head(request) + events(first, last) + rest)
        await writer.drain()
        writer.write_eof()
        await request.reader.read()
        return True

    return script


def test_unframed_stream_that_ends_between_events_is_complete():
    async def main():
        async with gateway(*engines(unframed_script(4))) as app:
            status, _, body = await app.generate("/gen/x")
        assert (status, body) == (200, events(1, 4))

    run_async(main)


def test_unframed_stream_that_ends_inside_an_event_is_truncated():
    async def main():
        async with gateway(*engines(unframed_script(4, b"id: 5\ndata: e"))) as app:
            status, _, body = await app.generate("/gen/x")
        assert (status, body) == (200, None)

    run_async(main)


@pytest.mark.parametrize("rest", [b"", b"id: 1\nda"])
def test_unframed_stream_that_ends_before_its_first_event_is_a_failure(rest):
    async def main():
        async with gateway(*engines(unframed_script(0, rest))) as app:
            status, _, _ = await app.generate("/gen/x")
        assert status == 502

    run_async(main)


def test_unframed_stream_that_ends_inside_an_event_resumes():
    async def main():
        first = unframed_script(4, b"id: 5\ndata: e")
        servers = engines(first, decode_script(9))
        async with gateway(*servers) as app:
            # The other engine may be chosen first.
            for number in range(4):
                status, _, body = await app.generate("/res/x", attempt=f"a{number}")
                assert (status, body) == (200, events(1, 9))
        assert servers[1].received

    run_async(main)


@pytest.mark.parametrize("length", [True, False])
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_text_of_the_next_engine_is_not_joined_to_a_broken_stream(status, length):
    async def main():
        runs = []

        async def script(request, writer):
            runs.append(request)
            if len(runs) == 1:
                writer.write(chunked_head(request) + chunk(events(1, 3)))
                await writer.drain()
                await asyncio.sleep(0.02)
                return True
            body = b"HTTP/1.1 500 Oops\r\n\r\nno event"
            writer.write(response(request, status, body, length=length))
            await writer.drain()
            writer.write_eof()
            await request.reader.read()
            return True

        async with gateway(*engines(script, script)) as app:
            status_seen, _, body = await app.generate("/res/x")
        assert len(runs) == 2
        assert (status_seen, body) == (200, None)

    run_async(main)


@pytest.mark.parametrize("length", [True, False])
@pytest.mark.parametrize("text", [b"HTTP/1.1 500 Oops\r\n\r\n", b"data: no id\n\n"])
def test_text_that_is_no_event_is_neither_passed_on_nor_taken_for_an_end(text, length):
    async def main():
        runs = []

        async def script(request, writer):
            runs.append(request)
            if len(runs) % 2:
                writer.write(chunked_head(request) + chunk(events(1, 3)))
                await writer.drain()
                await asyncio.sleep(0.02)
                return True
            writer.write(response(request, body=text, length=length))
            await writer.drain()
            writer.write_eof()
            await request.reader.read()
            return True

        async with gateway(*engines(script, script)) as app:
            status, _, body = await app.generate("/res/x")
        assert len(runs) == 2
        assert (status, body) == (200, None)
        assert app.raw_bodies == [chunk(events(1, 3))]

    run_async(main)


def test_comments_between_events_are_passed_on():
    async def main():
        async def script(request, writer):
            parts = (events(1, 2), b": keep-alive\n\n", events(3, 4))
            body = b"".join(map(chunk, parts)) + b"0\r\n\r\n"
            writer.write(chunked_head(request) + body)

        async with gateway(*engines(script)) as app:
            status, _, body = await app.generate("/gen/x")
        assert (status, body) == (
            200,
            events(1, 2) + b": keep-alive\n\n" + events(3, 4),
        )

    run_async(main)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/gen/x", "/res/x"])
def test_response_whose_head_broke_off_is_not_passed_on(path):
    """Cut behind every byte of the head; each request meets the next cut."""

    async def main():
        cuts = []
        head_bytes = 0

        async def script(request, writer):
            nonlocal head_bytes
            head = unframed_head(request)
            head_bytes = len(head)
            cuts.append(1 + len(cuts) % (head_bytes - 1))
            writer.write(head[: cuts[-1]])
            await writer.drain()
            writer.write_eof()
            await request.reader.read()
            return True

        servers = [StandIn("a", script), *engines(script)]
        async with gateway(*servers) as app:
            for number in range(160):
                status, _, _ = await app.send_request(
                    path, ["x-token-count: 9,9"], b"b", attempt=f"a{number:03}"
                )
                assert status in (502, 503)
        assert set(cuts) == set(range(1, head_bytes))

    run_async(main)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_unframed_response_to_a_call_is_whole_after_a_clean_end(path):
    async def main():
        async def script(request, writer):
            writer.write(response(request, body=b"whole", length=False))
            await writer.drain()
            writer.write_eof()
            await request.reader.read()
            return True

        async with gateway(StandIn("a", script)) as app:
            status, _, body = await app.send_request(path)
        assert (status, body) == (200, b"whole")

    run_async(main)


def crashing(server, data):
    """Write a response that ends with its connection, as its server crashes."""

    async def script(request, writer):
        writer.write(data(request))
        await writer.drain()
        server.crash()
        return True

    return script


def test_unframed_stream_of_a_server_that_is_gone_is_truncated():
    async def main():
        servers = engines(None)
        servers[1].script = crashing(
            servers[1], lambda request: unframed_head(request) + events(1, 4)
        )
        async with gateway(*servers) as app:
            status, _, body = await app.generate("/gen/x")
        assert (status, body) == (200, None)

    run_async(main)


def test_unframed_stream_of_a_server_that_is_gone_resumes():
    async def main():
        servers = engines(None, decode_script(9))
        servers[1].script = crashing(
            servers[1], lambda request: unframed_head(request) + events(1, 4)
        )
        async with gateway(*servers) as app:
            # The other engine may be chosen first.
            for number in range(8):
                status, _, body = await app.generate("/res/x", attempt=f"a{number}")
                assert (status, body) == (200, events(1, 9))
        assert servers[1].received

    run_async(main)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_unframed_response_of_a_server_that_is_gone_is_a_failure(path):
    async def main():
        server = StandIn("a", None)
        server.script = crashing(
            server,
            lambda request: response(request, body=b"a part", length=False),
        )
        async with gateway(server) as app:
            status, _, _ = await app.send_request(path)
        assert status == 502

    run_async(main)


@pytest.mark.parametrize("length", [True, False])
@pytest.mark.parametrize(
    "rest", [b"id: 5\ndata: e", b"id: 5\ndata: e5\n"], ids=["in_line", "after_line"]
)
def test_stream_without_a_size_that_ends_inside_an_event_is_truncated(rest, length):
    async def main():
        async def script(request, writer):
            body = events(1, 4) + rest
            writer.write(response(request, body=body, length=length))
            await writer.drain()
            writer.write_eof()
            await request.reader.read()
            return True

        async with gateway(StandIn("e", script, None, "llm")) as app:
            status, headers, body = await app.send_request("/gen/x")
            (received,) = app.raw_bodies
        assert (status, body) == (200, None)
        assert "content-length" not in headers
        assert received is None or rest not in received

    run_async(main)


@pytest.mark.parametrize("status", [200, 404, 500])
def test_caller_is_told_no_length_that_the_server_did_not_state(status):
    async def main():
        async def script(request, writer):
            writer.write(response(request, status, b"some", length=False))
            await writer.drain()
            writer.write_eof()
            await request.reader.read()
            return True

        async with gateway(StandIn("a", script)) as app:
            status_seen, headers, body = await app.send_request("/once/x")
        assert (status_seen, body) == (status, b"some")
        assert not headers.keys() & {"content-length", "transfer-encoding"}
        assert headers["connection"] == "close"

    run_async(main)


@pytest.mark.parametrize("status", [200, 204, 304])
def test_response_that_has_no_body_is_not_taken_for_unframed(status):
    async def main():
        async def script(request, writer):
            writer.write(response(request, status, b"", length=False))
            await writer.drain()

        async with gateway(StandIn("a", script)) as app:
            method = "HEAD" if status == 200 else "GET"
            for number in range(2):
                status_seen, _, body = await app.send_request(
                    method=method, attempt=f"a{number}"
                )
                assert (status_seen, body) == (status, b"")

    run_async(main)
