"""Guards against servers that send bytes without end, and against stalled streams."""

import asyncio

import pytest
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    events,
    gateway,
    reply,
)
from tests.adapters.gateway.test_streams import decoding, engines

from damaskridge.adapters.gateway.connections import READ_AHEAD_BYTES, BackendConnection
from damaskridge.core.gateway.event_stream import MAX_EVENT_BYTES
from damaskridge.platform.instance_list import PlatformInstanceList

PIECE = b"x" * 8192
# What a connection may hold and what the operating systems of both ends buffer.
MOST_BUFFERED_BYTES = 16 * 1024 * 1024


class Endless:
    """A script that sends until the other side closes, and counts what it sent."""

    def __init__(self, start, piece=PIECE, pause_s=0.0):
        self.start, self.piece, self.pause_s = start, piece, pause_s
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()

    async def __call__(self, seen, writer):
        writer.write(self.start(seen))
        try:
            while True:
                writer.write(self.piece)
                await writer.drain()
                self.sent_bytes += len(self.piece)
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            self.is_closed.set()
        return True


def head_without_end(seen):
    return b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-long: " % seen.attempt.encode()


def body_without_end(seen):
    return (
        b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-response-signature: s\r\n\r\n"
        % seen.attempt.encode()
    )


def no_http(seen):
    return b"\x00\xff"


def informational(seen):
    return b"HTTP/1.1 103 Early Hints\r\n\r\n"


def chunked(seen):
    return chunked_head(seen)


def play(main):
    asyncio.run(main())


STARTS = {
    "head": (head_without_end, PIECE),
    "body": (body_without_end, PIECE),
    "no_http": (no_http, PIECE),
    "informational": (informational, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64),
    "blank_lines": (lambda seen: b"", b"\r\n" * 4096),
    "chunks": (chunked, chunk(PIECE)),
}


@pytest.mark.parametrize("name", STARTS)
def test_a_call_ends_and_the_connection_is_closed(name):
    async def main():
        start, piece = STARTS[name]
        script = Endless(start, piece)
        async with gateway(StandIn("a", script)) as app:
            status, _, _ = await app.ask("/once/x")
            # It may have run, so that nothing may say that it has not.
            assert status in (502, 504)
            async with asyncio.timeout(2):
                await script.is_closed.wait()
            assert script.sent_bytes < MOST_BUFFERED_BYTES
            assert app.registry._health_of("a").recent_results == [False]

    play(main)


@pytest.mark.parametrize("name", STARTS)
def test_a_repeatable_call_goes_to_another_server(name):
    async def main():
        async def answer(seen, writer):
            writer.write(reply(seen))

        start, piece = STARTS[name]
        good = StandIn("b", answer)
        bad = StandIn("a", Endless(start, piece))
        async with gateway(bad, good) as app:
            statuses = {(await app.ask("/safe/x"))[0] for _ in range(3)}
        assert statuses == {200}

    play(main)


@pytest.mark.parametrize("name", STARTS)
def test_a_generation_goes_on_at_another_engine(name):
    async def main():
        start, piece = STARTS[name]
        script = Endless(start, piece)
        found = engines(script, decoding())
        async with gateway(*found) as app:
            app.registry.record_unreachable("d1", asyncio.get_running_loop().time())
            status, _, body = await app.generate("/res/x")
            assert (status, body) == (200, events(1, 9))
            async with asyncio.timeout(2):
                await script.is_closed.wait()
        assert found[1].seen
        assert script.sent_bytes < MOST_BUFFERED_BYTES

    play(main)


@pytest.mark.parametrize("name", STARTS)
def test_a_reader_of_prompts_is_left_and_the_decode_engine_reads(name):
    async def main():
        start, piece = STARTS[name]
        script = Endless(start, piece)
        found = engines(decoding(), prefill=script)
        async with gateway(*found) as app:
            status, _, body = await app.generate("/gen/x")
            assert (status, body) == (200, events(1, 9))
            async with asyncio.timeout(2):
                await script.is_closed.wait()

    play(main)


@pytest.mark.parametrize("name", STARTS)
def test_a_reservation_without_end_is_given_up(name):
    async def main():
        start, piece = STARTS[name]
        script = Endless(start, piece)
        found = engines(decoding())
        async with gateway(*found) as app:

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                await script(Anonymous, writer)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            item = found[1].instance()
            app.registry.replace(
                [type(item)(**{**fields_of(item), "address": f"127.0.0.1:{port}"})]
            )
            status, _, _ = await app.generate("/gen/x")
            assert status in (502, 504)
            async with asyncio.timeout(2):
                await script.is_closed.wait()
            server.close()

    play(main)


class Anonymous:
    attempt = "a1"


def fields_of(item):
    return {name: getattr(item, name) for name in item.__struct_fields__}


@pytest.mark.parametrize("name", STARTS)
def test_a_list_of_backend_servers_without_end_is_given_up(name):
    async def main():
        start, piece = STARTS[name]
        script = Endless(start, piece)

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await script(Anonymous, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        read = await PlatformInstanceList(f"127.0.0.1:{port}").read()
        assert read.is_err()
        async with asyncio.timeout(2):
            await script.is_closed.wait()
        server.close()

    play(main)


def test_a_stream_that_stalls_but_sends_a_byte_now_and_then_goes_on_elsewhere():
    """Bytes that complete no event are no progress."""

    async def main():
        def begin(seen):
            return chunked_head(seen) + chunk(events(1, 2))

        script = Endless(begin, chunk(b":"), pause_s=0.1)
        found = engines(script, decoding())
        async with gateway(*found) as app:
            app.registry.record_unreachable("d1", asyncio.get_running_loop().time())
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 9))

    play(main)


def test_a_slow_but_sound_stream_is_not_cut():
    """Each event comes within the silence that is allowed, the whole takes longer."""

    async def main():
        async def slow(seen, writer):
            writer.write(chunked_head(seen))
            for number in range(1, 5):
                await asyncio.sleep(0.7)
                writer.write(chunk(events(number, number)))
            writer.write(b"0\r\n\r\n")

        found = engines(slow)
        async with gateway(*found) as app:
            status, _, body = await app.generate("/res/x")
        assert (status, body) == (200, events(1, 4))
        assert len(found[1].seen) == 1

    play(main)


def test_bytes_without_the_end_of_an_event_are_bounded():
    assert READ_AHEAD_BYTES <= MAX_EVENT_BYTES < MOST_BUFFERED_BYTES
    assert BackendConnection._new_parser()._max_incomplete_event_size <= 65_536
