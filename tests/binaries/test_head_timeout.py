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


REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
END = b"0\r\n\r\n"


@pytest.mark.parametrize("new_idle_timeout_s", [0.3, 30.0])
def test_changed_idle_timeout_holds_for_connections_that_are_open(new_idle_timeout_s):
    async def main():
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        server = HttpServer(app)
        limits = {"max_header_bytes": 2000, "header_timeout_s": 5.0}
        # A host serves requests with its own limits before it has a routing table.
        server.set_limits(**limits, idle_timeout_s=1.0)
        serving = asyncio.ensure_future(server.run_on(listener))
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(REQUEST)
        assert (await reader.readuntil(END)).startswith(b"HTTP/1.1 200")
        server.set_limits(**limits, idle_timeout_s=new_idle_timeout_s)
        if new_idle_timeout_s < 1.0:
            writer.write(REQUEST)
            assert (await reader.readuntil(END)).startswith(b"HTTP/1.1 200")
            started_s = asyncio.get_running_loop().time()
            assert await asyncio.wait_for(reader.read(), 5.0) == b""
            assert asyncio.get_running_loop().time() - started_s < 0.8
        else:
            await asyncio.sleep(1.5)
            writer.write(REQUEST)
            assert (await reader.readuntil(END)).startswith(b"HTTP/1.1 200")
        writer.close()
        server.stop()
        await serving

    asyncio.run(main())
