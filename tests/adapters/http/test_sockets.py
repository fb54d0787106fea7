"""Tests over TCP connections with callers and engines that violate the protocol."""

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

TEST_TIMEOUT_S = 20.0
MAX_HEADER_BYTES = 49_152
HEAD_TEMPLATE = (
    b"POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer %s\r\n"
)
AUTHORIZED_HEAD = HEAD_TEMPLATE % KEY.encode()
OK_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"


def body(tokens=20):
    content = {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
    return msgspec.json.encode(content)


def request(data=None, headers=b""):
    data = body() if data is None else data
    return AUTHORIZED_HEAD + headers + b"content-length: %d\r\n\r\n" % len(data) + data


@contextlib.asynccontextmanager
async def running_server(**settings):
    """Provide a front that listens on a TCP port, with its server and address."""
    env = start_front(**settings)
    port = free_ports(1)[0]
    listener = listen("caller_address", f"127.0.0.1:{port}").unwrap()
    # A small send buffer, so that writes to a stalled caller block early.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    env.server = HttpServer(env.app, MAX_HEADER_BYTES)
    env.address = ("127.0.0.1", port)
    task = asyncio.ensure_future(env.server.run_on(listener))
    try:
        yield env
    finally:
        env.server.force_exit = True
        env.server.stop()
        await task
        env.run.cancel()


async def send_parts(address, *parts, pause_s=0.0):
    """Send parts until the server responds; return status and body."""
    reader, writer = await asyncio.open_connection(*address)
    head_read = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
    with contextlib.suppress(ConnectionError):
        for part in parts:
            if head_read.done():
                break
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
    head = await head_read
    received = b""
    with contextlib.suppress(ConnectionError):
        while b"content-length: %d\r\n" % len(received) not in head.lower():
            piece = await reader.read(65_536)
            received += piece
            if not piece or b"data: [DONE]" in received:
                break
    writer.close()
    return int(head.split()[1]), received


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def run(main):
    asyncio.run(asyncio.wait_for(main(), TEST_TIMEOUT_S))


LARGE_HEADERS = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 4000) for n in range(14))
REFUSED_REQUESTS = {
    "slow body": (
        [AUTHORIZED_HEAD + b"content-length: 500\r\n\r\n", *[b"{"] * 400],
        408,
        "body_timeout",
    ),
    "large headers": ([request(headers=LARGE_HEADERS)], 431, "headers_too_large"),
    "large headers in parts": (
        [AUTHORIZED_HEAD, *LARGE_HEADERS.split(b"\n")],
        431,
        "headers_too_large",
    ),
    "not HTTP": ([b"\x00\xff\xfe nothing\r\n\r\n"], 400, "invalid_request"),
    "not UTF-8": ([request(b'{"model": "\xff"}')], 400, "invalid_encoding"),
    "compressed body": (
        [request(headers=b"content-encoding: br\r\n")],
        400,
        "invalid_encoding",
    ),
    "two keys": (
        [request(headers=b"authorization: Bearer %s\r\n" % OTHER_KEY.encode())],
        400,
        "multiple_keys",
    ),
}


@pytest.mark.parametrize("name", REFUSED_REQUESTS)
def test_invalid_input_is_refused_with_a_json_error(name):
    parts, status, kind = REFUSED_REQUESTS[name]
    if name == "large headers in parts":
        parts = [parts[0], *(part + b"\n" for part in parts[1:-1])]

    async def main():
        async with running_server(body_wait_s=0.5) as env:
            pause_s = 0.05 if name == "slow body" else 0.001
            response = await send_parts(env.address, *parts, pause_s=pause_s)
            error = msgspec.json.decode(response[1])["error"]
            assert (response[0], error["kind"], error["run"]) == (
                status,
                kind,
                "not_run",
            )
            # The server still serves other callers.
            next_response = await send_parts(env.address, request())
            assert next_response[0] == 200 and b"data: [DONE]" in next_response[1]

    run(main)


@pytest.mark.parametrize(
    "engine_response",
    [
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"\x00\xff nothing of HTTP\r\n\r\n",
        OK_HEAD + b'content-length: 30\r\n\r\n{"offset":-3,"text":7,"x":[]}\n',
    ],
    ids=["silent", "not HTTP", "invalid chunk"],
)
def test_request_is_retried_when_its_engine_is_silent_or_sends_invalid_data(
    engine_response,
):
    async def main():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(engine_response)
            await reader.read()
            writer.close()

        engine = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = engine.sockets[0].getsockname()[1]
        client = BackendClient()
        async with running_server(silence_s=0.3) as env:
            env.engines["d1"] = HttpEngine(client, f"127.0.0.1:{port}")
            status, events = await send_parts(env.address, request())
            assert status == 200 and events.count(b"id: ") == 21
            assert env.cells.profiles[-1].attempt == 2
        await client.close()
        engine.close()

    run(main)


def test_connection_and_request_of_a_stalled_caller_are_released():
    async def main():
        async with running_server(write_timeout_s=0.5) as env:
            for item in env.engines.values():
                item.step_s = 0.001
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(env.address)
            caller.sendall(request(body(3000)))
            connections = env.server.server_state.connections
            await wait_until(lambda: env.cells.profiles and connections)
            # The caller neither reads nor closes the connection.
            await wait_until(lambda: not connections and holds_no_memory(env))
            (call,) = env.front._model_calls.values()
            assert call.failure.kind.value == "caller_too_slow"
            caller.close()

    run(main)
