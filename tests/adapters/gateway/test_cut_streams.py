"""Test every position at which a stream without a length or chunks may break off."""

import asyncio
import socket
import struct

import pytest
from tests.adapters.gateway.standin import chunk, chunked_head, gateway
from tests.adapters.gateway.test_streams import engines
from tests.adapters.gateway.test_unframed_responses import run_async, unframed_head

LINE_ENDS = pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
LAST_EVENT = 5


def stream_of(first, line_end):
    """Return the events from a number to the last one, with the given line ends."""
    return b"".join(
        b"id: %d%sdata: e%d%s%s" % (number, line_end, number, line_end, line_end)
        for number in range(first, LAST_EVENT + 1)
    )


def event_ends(first, line_end):
    """Return the positions behind each event of the stream that begins there."""
    whole = len(stream_of(first, line_end))
    return {
        whole - len(stream_of(number, line_end))
        for number in range(first + 1, LAST_EVENT + 2)
    }


async def send_cut(request, writer, data, *, reset=False):
    """Send a stream without framing and end its connection."""
    writer.write(unframed_head(request) + data)
    await writer.drain()
    if reset:
        # Lets the gateway read the data before the reset discards it.
        await asyncio.sleep(0.005)
        linger = struct.pack("ii", 1, 0)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return True
    writer.write_eof()
    await request.reader.read()
    return True


@LINE_ENDS
def test_stream_that_is_cut_inside_an_event_is_truncated(line_end):
    async def main():
        whole, cut = stream_of(1, line_end), 0

        async def script(request, writer):
            return await send_cut(request, writer, whole[:cut])

        async with gateway(*engines(script)) as app:
            for cut in range(len(whole) + 1):
                status, _, body = await app.generate("/gen/x", attempt=f"a{cut}")
                if cut in event_ends(1, line_end):
                    assert (status, body) == (200, whole[:cut])
                else:
                    assert status == 502 or body is None, cut

    run_async(main)


@LINE_ENDS
@pytest.mark.parametrize("repeated", [0, 2])
def test_resumed_stream_that_is_cut_inside_an_event_is_truncated(line_end, repeated):
    """The second engine repeats events that the caller has, or none."""

    async def main():
        received = stream_of(1, line_end)[: -len(stream_of(3, line_end))]
        rest, cut = stream_of(3 - repeated, line_end), 0
        runs = []

        async def script(request, writer):
            if request.attempt not in runs:
                runs.append(request.attempt)
                writer.write(chunked_head(request) + chunk(received))
                await writer.drain()
                await asyncio.sleep(0.005)
                return True
            return await send_cut(request, writer, rest[:cut])

        async with gateway(*engines(script, script)) as app:
            for cut in range(len(rest) + 1):
                status, _, body = await app.generate(attempt=f"a{cut}")
                assert status == 200
                if cut not in event_ends(3 - repeated, line_end):
                    assert body is None, cut

    run_async(main)


@LINE_ENDS
def test_stream_that_is_reset_is_truncated(line_end):
    async def main():
        whole, cut = stream_of(1, line_end), 0

        async def script(request, writer):
            return await send_cut(request, writer, whole[:cut], reset=True)

        async with gateway(*engines(script)) as app:
            for cut in event_ends(1, line_end):
                _, _, body = await app.generate("/gen/x", attempt=f"a{cut}")
                assert body is None, cut

    run_async(main)
