"""Guards against callers and engines that misbehave on real connections."""

import asyncio
import contextlib
import socket

import msgspec
import pytest
from examples.demo_settings import free_ports
from tests.adapters.front_fakes import KEY, OTHER_KEY, holds_no_memory, start_front

from damaskridge.adapters.engines.http_engine import HttpEngine
from damaskridge.adapters.http_client import BackendClient
from damaskridge.binaries.http_server import HttpServer, listen

LIMIT_S = 20.0
HEADERS = 49_152
POST = b"POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer %s\r\n"
START = POST % KEY.encode()
OK_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"


def body(tokens=20):
    content = {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
    return msgspec.json.encode(content)


def request(data=None, headers=b""):
    data = body() if data is None else data
    return START + headers + b"content-length: %d\r\n\r\n" % len(data) + data


@contextlib.asynccontextmanager
async def serving(**settings):
    """Give a front on a real port, with its server and address."""
    found = start_front(**settings)
    port = free_ports(1)[0]
    listener = listen("caller_address", f"127.0.0.1:{port}").unwrap()
    # Small buffers, so that a caller that does not read is noticed early.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    found.server = HttpServer(found.app, HEADERS)
    found.address = ("127.0.0.1", port)
    task = asyncio.ensure_future(found.server.run_on(listener))
    try:
        yield found
    finally:
        found.server.force_exit = True
        found.server.stop()
        await task
        found.run.cancel()


async def exchange(address, *parts, pause_s=0.0):
    """Send parts until the server answers; returns status and body."""
    reader, writer = await asyncio.open_connection(*address)
    answer = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
    with contextlib.suppress(ConnectionError):
        for part in parts:
            if answer.done():
                break
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
    head = await answer
    found = b""
    with contextlib.suppress(ConnectionError):
        while b"content-length: %d\r\n" % len(found) not in head.lower():
            piece = await reader.read(65_536)
            found += piece
            if not piece or b"data: [DONE]" in found:
                break
    writer.close()
    return int(head.split()[1]), found


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def run(main):
    asyncio.run(asyncio.wait_for(main(), LIMIT_S))


MANY = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 4000) for n in range(14))
REFUSED = {
    "slow body": (
        [START + b"content-length: 500\r\n\r\n", *[b"{"] * 400],
        408,
        "body_timeout",
    ),
    "big head": ([request(headers=MANY)], 431, "headers_too_large"),
    "big head in parts": ([START, *MANY.split(b"\n")], 431, "headers_too_large"),
    "no HTTP": ([b"\x00\xff\xfe nothing\r\n\r\n"], 400, "invalid_request"),
    "no UTF-8": ([request(b'{"model": "\xff"}')], 400, "invalid_encoding"),
    "packed": ([request(headers=b"content-encoding: br\r\n")], 400, "invalid_encoding"),
    "two keys": (
        [request(headers=b"authorization: Bearer %s\r\n" % OTHER_KEY.encode())],
        400,
        "multiple_keys",
    ),
}


@pytest.mark.parametrize("name", REFUSED)
def test_bad_input_is_refused_with_our_json(name):
    parts, status, kind = REFUSED[name]
    if name == "big head in parts":
        parts = [parts[0], *(part + b"\n" for part in parts[1:-1])]

    async def main():
        async with serving(body_wait_s=0.5) as found:
            pause_s = 0.05 if name == "slow body" else 0.001
            seen = await exchange(found.address, *parts, pause_s=pause_s)
            error = msgspec.json.decode(seen[1])["error"]
            assert (seen[0], error["kind"], error["run"]) == (status, kind, "not_run")
            # The host goes on to serve others.
            again = await exchange(found.address, request())
            assert again[0] == 200 and b"data: [DONE]" in again[1]

    run(main)


@pytest.mark.parametrize(
    "answer",
    [
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"\x00\xff nothing of HTTP\r\n\r\n",
        OK_HEAD + b'content-length: 30\r\n\r\n{"offset":-3,"text":7,"x":[]}\n',
    ],
    ids=["silent", "no HTTP", "no chunk"],
)
def test_a_request_moves_from_an_engine_that_is_silent_or_sends_garbage(answer):
    async def main():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await reader.read()
            writer.close()

        engine = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = engine.sockets[0].getsockname()[1]
        client = BackendClient()
        async with serving(silence_s=0.3) as found:
            found.engines["d1"] = HttpEngine(client, f"127.0.0.1:{port}")
            status, events = await exchange(found.address, request())
            assert status == 200 and events.count(b"id: ") == 21
            assert found.cells.profiles[-1].attempt == 2
        await client.close()
        engine.close()

    run(main)


def test_a_caller_that_stops_reading_leaves_no_buffer_and_no_request():
    async def main():
        async with serving(write_timeout_s=0.5) as found:
            for item in found.engines.values():
                item.step_s = 0.001
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(found.address)
            caller.sendall(request(body(3000)))
            connections = found.server.server_state.connections
            await until(lambda: found.cells.profiles and connections)
            # The caller neither reads nor closes.
            await until(lambda: not connections and holds_no_memory(found))
            (call,) = found.front._model_calls.values()
            assert call.failure.kind.value == "caller_too_slow"
            caller.close()

    run(main)
