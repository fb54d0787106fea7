"""Guards against a part of a response, or no response at all, passed on as whole."""

import asyncio
import socket
import struct

import pytest
from tests.adapters.gateway.standin import StandIn, events, gateway, response
from tests.adapters.gateway.test_streams import engines
from tests.adapters.gateway.test_unframed_responses import run_async, unframed_head

UPLOAD = bytes(900_000)
# Far below the size of the upload, so that it's on its way when the response comes.
RECEIVE_BUFFER_BYTES = 4096


class EarlyStandIn(StandIn):
    """A backend server that responds before it has read the body of a request."""

    async def _read_request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        attempt = head.lower().split("x-attempt-id: ")[1].split()[0]
        # The same head without a length, so that no body is waited for.
        bodiless = asyncio.StreamReader()
        bodiless.feed_data(
            b"POST /x HTTP/1.1\r\nx-attempt-id: %s\r\n\r\n" % attempt.encode()
        )
        request = await super()._read_request(bodiless)
        request.reader = reader
        return request


def early(end, *, stream=False, part=b"a part"):
    """Respond at once without a length, and end the connection in some way."""

    async def script(request, writer):
        if stream:
            writer.write(unframed_head(request) + part)
        else:
            writer.write(response(request, body=part, length=False))
        await writer.drain()
        await end(request, writer)
        return True

    return script


async def reset(request, writer):
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def reset_later(request, writer):
    await asyncio.sleep(0.05)
    await reset(request, writer)


async def half_close_and_reset(request, writer):
    writer.write_eof()
    await reset_later(request, writer)


async def half_close_and_read_on(request, writer):
    writer.write_eof()
    await request.reader.read()


def early_engines(script):
    prefill, decode = engines(script)
    return prefill, EarlyStandIn(**vars(decode))


@pytest.fixture
def small_buffers(monkeypatch):
    """Let the listeners of stand-ins receive little at a time."""
    start_server = asyncio.start_server

    async def start(serve, host, port):
        listener = socket.create_server((host, port))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return await start_server(serve, sock=listener, limit=2**10)

    monkeypatch.setattr(asyncio, "start_server", start)


@pytest.mark.parametrize("end", [reset, reset_later, half_close_and_reset])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_part_of_a_response_to_an_unread_upload_is_a_failure(small_buffers, path, end):
    async def main():
        async with gateway(EarlyStandIn("a", early(end))) as app:
            status, _, body = await app.send_request(path, body=UPLOAD)
        assert status == 502, body

    run_async(main)


@pytest.mark.parametrize("end", [reset, reset_later, half_close_and_reset])
@pytest.mark.parametrize("path", ["/gen/x", "/res/x"])
def test_part_of_a_stream_to_an_unread_upload_is_truncated(small_buffers, path, end):
    async def main():
        script = early(end, stream=True, part=events(1, 3))
        async with gateway(*early_engines(script)) as app:
            status, _, body = await app.send_request(
                path, ["x-token-count: 9,9"], UPLOAD
            )
        assert status == 502 or (status, body) == (200, None)

    run_async(main)


@pytest.mark.parametrize("status", [0, 42, 99, 600, 999])
@pytest.mark.parametrize("length", [True, False])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/gen/x", "/res/x"])
def test_response_with_an_impossible_status_is_a_failure(path, length, status):
    async def main():
        async def script(request, writer):
            data = response(request, status, events(1, 2), length=length)
            writer.write(data.replace(b"1.1 %d " % status, b"1.1 %03d " % status))
            await writer.drain()
            if not length:
                writer.write_eof()
                await request.reader.read()
            return not length

        async with gateway(StandIn("a", script), *engines(script)) as app:
            status_seen, _, _ = await app.send_request(
                path, ["x-token-count: 9,9"], b"prompt"
            )
        assert status_seen == 502

    run_async(main)
