"""Guards against streams of plain servers that are held back, joined or lost."""

import asyncio
import time

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

# Two routes to a service without an engine, and a route to one with an engine, whose
# requests have no size here.
PLAIN, RESUMABLE, UNSIZED = "/events/x", "/events-res/x", "/gen/x"
EVENT = events(1, 1)


def service_of(path):
    return "llm" if path == UNSIZED else "app"


def server(path, script, name="s", **fields):
    return StandIn(name, script, None, service_of(path), **fields)


def stream_script(last=9, *, ends_after=None, tail=b"", silent_s=0.0):
    """
    Return a script that streams events after `last-event-id`.

    With `ends_after`, it sends `tail` after this event, is silent for `silent_s` and
    closes the connection.
    """

    async def script(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(chunked_head(request))
        for number in range(first, (ends_after or last) + 1):
            writer.write(chunk(events(number, number)))
        if ends_after is None:
            writer.write(b"0\r\n\r\n")
            return False
        if tail:
            writer.write(chunk(tail))
        await writer.drain()
        await asyncio.sleep(silent_s)
        return True

    return script


@pytest.mark.parametrize("path", [PLAIN, RESUMABLE, UNSIZED])
def test_event_arrives_before_the_server_sends_the_next_one(path):
    """Guards against a stream that is read in full before any of it is forwarded."""

    async def main():
        may_go_on = asyncio.Event()

        async def script(request, writer):
            writer.write(chunked_head(request) + chunk(EVENT))
            await may_go_on.wait()
            writer.write(chunk(events(2, 2)) + b"0\r\n\r\n")

        async with gateway(server(path, script)) as app, asyncio.timeout(3.0):
            reader, writer = await app.begin_request(path)
            await reader.readuntil(EVENT)
            may_go_on.set()
            assert await reader.read() == (b"\r\n" + chunk(events(2, 2)) + b"0\r\n\r\n")
            writer.close()

    asyncio.run(main())


def test_head_arrives_before_the_first_event():
    async def main():
        async def script(request, writer):
            writer.write(chunked_head(request))
            await request.reader.read()
            return True

        async with gateway(server(PLAIN, script)) as app, asyncio.timeout(3.0):
            reader, writer = await app.begin_request(PLAIN)
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
            writer.close()

    asyncio.run(main())


def test_stream_may_be_longer_than_a_response_that_is_buffered():
    async def main():
        count = 100
        line = b"data: " + b"x" * 60_000

        async def script(request, writer):
            writer.write(chunked_head(request))
            for number in range(1, count + 1):
                writer.write(chunk(b"id: %d\n%s\n\n" % (number, line)))
                await writer.drain()
            writer.write(b"0\r\n\r\n")

        async with gateway(server(PLAIN, script)) as app:
            status, _, body = await app.send_request(PLAIN)
        assert (status, body.count(line)) == (200, count)

    asyncio.run(main())


@pytest.mark.parametrize("tail", [b"", b"id: 5\nda", b"HTTP/1.1 500 Oops\n\n"])
def test_broken_stream_that_may_not_resume_is_truncated(tail):
    async def main():
        broken = stream_script(ends_after=4, tail=tail)
        servers = [server(PLAIN, broken, f"s{n}") for n in range(2)]
        async with gateway(*servers) as app:
            status, _, body = await app.send_request(PLAIN)
            (received,) = app.raw_bodies
        assert (status, body) == (200, None)
        assert sum(len(item.received) for item in servers) == 1
        assert received is None or not tail or tail not in received

    asyncio.run(main())


@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("tail", [b"", b"id: 5\nda", b"HTTP/1.1 500 Oops\n\n"])
def test_broken_stream_resumes_on_a_server_of_the_same_version(tail, version):
    """Guards against events that come twice, are missing, or are of another version."""

    async def main():
        runs = []

        def server_of(version, number):
            async def script(request, writer):
                runs.append((version, number, request.headers.get("last-event-id")))
                if len(runs) > 1:
                    return await stream_script()(request, writer)
                app.registry.replace([item.instance() for item in servers])
                return await stream_script(ends_after=4, tail=tail)(request, writer)

            name = f"{version}-{number}"
            return server(RESUMABLE, script, name, software_version=version)

        servers = [
            server_of(name, number) for name in ("v1", "v2") for number in (0, 1)
        ]
        async with gateway(*servers) as app:
            # The stream begins at this version, and may go on at another one.
            app.registry.replace(
                [
                    item.instance()
                    for item in servers
                    if item.software_version == version
                ]
            )
            status, _, body = await app.send_request(RESUMABLE)
        assert (status, body) == (200, events(1, 9))
        (_, first, _), (resumed_at, second, position) = runs
        assert (resumed_at, {first, second}, position) == (version, {0, 1}, "4")

    asyncio.run(main())


def test_silent_stream_moves_if_it_may_resume():
    async def main():
        silent = stream_script(ends_after=2, silent_s=3.5)
        runs = []

        async def script(request, writer):
            runs.append(request.headers.get("last-event-id"))
            run = silent if len(runs) == 1 else stream_script()
            return await run(request, writer)

        servers = [server(RESUMABLE, script, f"s{n}") for n in range(2)]
        async with gateway(*servers) as app:
            started_s = time.monotonic()
            status, _, body = await app.send_request(RESUMABLE)
        # Callers abandon a stream after 2 seconds without an event at the earliest.
        assert time.monotonic() - started_s < 2.0
        assert (status, body, runs) == (200, events(1, 9), [None, "2"])

    asyncio.run(main())


def test_silent_stream_that_may_not_resume_goes_on():
    async def main():
        async def script(request, writer):
            writer.write(chunked_head(request) + chunk(EVENT))
            await asyncio.sleep(2.8)
            writer.write(chunk(events(2, 2)) + b"0\r\n\r\n")

        servers = [server(PLAIN, script, f"s{n}") for n in range(2)]
        async with gateway(*servers) as app:
            status, _, body = await app.send_request(PLAIN)
        assert (status, body) == (200, events(1, 2))
        assert sum(len(item.received) for item in servers) == 1

    asyncio.run(main())


@pytest.mark.parametrize("path", [PLAIN, RESUMABLE])
def test_refused_stream_runs_on_another_server(path):
    async def main():
        runs = []

        async def script(request, writer):
            runs.append(request)
            if len(runs) == 1:
                writer.write(not_executed(request))
                return False
            return await stream_script()(request, writer)

        async with gateway(*(server(path, script, f"s{n}") for n in range(2))) as app:
            status, _, body = await app.send_request(path)
        assert (status, body, len(runs)) == (200, events(1, 9), 2)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("path", "runs", "status"), [(PLAIN, 1, 500), (RESUMABLE, 2, 200)]
)
def test_failure_status_is_retried_only_if_the_stream_may_resume(path, runs, status):
    async def main():
        received = []

        async def script(request, writer):
            received.append(request)
            if len(received) == 1:
                writer.write(response(request, 500, b"no"))
                return False
            return await stream_script()(request, writer)

        servers = [server(path, script, f"s{n}") for n in range(2)]
        async with gateway(*servers) as app:
            answer = await app.send_request(path)
        assert (answer[0], len(received)) == (status, runs)

    asyncio.run(main())


def test_server_is_told_at_once_when_the_caller_leaves():
    async def main():
        left = asyncio.Event()

        async def script(request, writer):
            writer.write(chunked_head(request) + chunk(EVENT))
            await request.reader.read()
            left.set()
            return True

        async with gateway(server(PLAIN, script)) as app:
            reader, writer = await app.begin_request(PLAIN)
            await reader.readuntil(EVENT)
            assert app.load.load_on("s").requests == 1
            writer.close()
            async with asyncio.timeout(0.5):
                await left.wait()
            await asyncio.sleep(0.05)
            assert app.load.load_on("s").requests == 0

    asyncio.run(main())


def test_caller_that_does_not_read_holds_back_the_server():
    """Guards against a host that buffers a stream for a caller that reads slowly."""

    async def main():
        sent_bytes = 0
        part = b"id: %d\ndata: " + b"x" * 50_000 + b"\n\n"

        async def script(request, writer):
            nonlocal sent_bytes
            writer.write(chunked_head(request))
            for number in range(1, 2000):
                writer.write(chunk(part % number))
                await writer.drain()
                sent_bytes += len(part)
            return True

        async with gateway(server(PLAIN, script)) as app:
            reader, writer = await app.begin_request(PLAIN)
            await reader.readuntil(b"id: 1\n")
            await asyncio.sleep(1.0)
            # Buffers of the kernel for two connections, and those of the host.
            assert sent_bytes < 40_000_000
            writer.transport.abort()

    asyncio.run(main())
