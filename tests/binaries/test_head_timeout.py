"""Guards against slow or idle callers that keep connections open."""

import asyncio
import socket

import pytest

from damaskridge.binaries.http_server import HttpServer


async def app(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"ok"})


@pytest.mark.parametrize(
    ("sent", "expected_start"),
    [
        (b"", b""),
        (b"GET / HTTP/1.1\r\nhost: h\r\nx-slow: ", b"HTTP/1.1 408"),
        (b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n", b"HTTP/1.1 200"),
        (b"nonsense\r\n\r\n", b"HTTP/1.1 400"),
        (b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 3000, b"HTTP/1.1 431"),
    ],
)
def test_slow_or_idle_connections_are_closed_in_time(sent, expected_start):
    async def main():
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        server = HttpServer(app)
        server.set_limits(
            max_header_bytes=2000, header_timeout_s=0.2, idle_timeout_s=0.3
        )
        serving = asyncio.ensure_future(server.run_on(listener))
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(sent)
        received = await asyncio.wait_for(reader.read(), 2.0)
        assert received.startswith(expected_start)
        assert bool(received) is bool(expected_start)
        writer.close()
        server.stop()
        await serving

    asyncio.run(main())
