"""Guards against callers whose bodies hold up all other requests of a host."""

import asyncio
import random

import pytest
from examples.demo_settings import free_ports
from tests.adapters.gateway.standin import chunk

from damaskridge.adapters.gateway.turn_queue import MAX_PARTS_PER_TURN
from damaskridge.binaries.http_server import HttpServer, listen

HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
PARTS_PER_BODY = 2000


async def body_size_app(scope, receive, send):
    """Respond with the size of the request body."""
    size_bytes, is_complete = 0, False
    while not is_complete:
        message = await receive()
        size_bytes += len(message["body"])
        is_complete = not message.get("more_body", False)
    body = b"%d" % size_bytes
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def send_body(port, data):
    """Send a request, and return the body of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(int(head.split(b"content-length: ")[1].split()[0]))
    writer.close()
    return int(body)


async def with_server(main):
    server = HttpServer(body_size_app)
    listener = listen("front", f"127.0.0.1:{free_ports(1)[0]}").unwrap()
    serving = asyncio.ensure_future(server.run_on(listener))
    try:
        await main(listener.getsockname()[1])
    finally:
        server.stop()
        await serving


@pytest.mark.parametrize("seed", range(4))
def test_many_bodies_of_tiny_chunks_delay_other_tasks_by_one_turn_each(seed):
    """Guards against one read of a caller that is parsed without a pause."""
    rng = random.Random(seed)
    sizes = [rng.choice((1, 2, 16)) for _ in range(rng.randint(1, 12))]
    iterations = 0

    async def count_iterations():
        nonlocal iterations
        while True:
            iterations += 1
            await asyncio.sleep(0)

    async def main(port):
        counter = asyncio.ensure_future(count_iterations())
        bodies = [chunk(b"x" * size) * PARTS_PER_BODY + chunk(b"") for size in sizes]
        received = await asyncio.gather(*(send_body(port, HEAD + b) for b in bodies))
        counter.cancel()
        assert received == [size * PARTS_PER_BODY for size in sizes]
        parts = PARTS_PER_BODY * len(sizes)
        # The first parts of each read need no turn.
        assert iterations >= parts / MAX_PARTS_PER_TURN - 4 * len(sizes)

    asyncio.run(with_server(main))


def test_pipelined_requests_with_bodies_of_many_parts_are_answered_in_order():
    """Guards against data that is left unread once a response is complete."""

    async def main(port):
        sizes = (3000, 5, 1000)
        requests = b"".join(HEAD + chunk(b"x") * n + chunk(b"") for n in sizes)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(requests)
        for size in sizes:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.split(b"content-length: ")[1].split()[0])
            assert int(await reader.readexactly(length)) == size
        writer.close()

    asyncio.run(with_server(main))


def test_server_goes_on_after_a_caller_leaves_within_its_body():
    async def main(port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEAD + chunk(b"x") * PARTS_PER_BODY)
        await asyncio.sleep(0.01)
        writer.transport.abort()
        assert await send_body(port, HEAD + chunk(b"xyz") + chunk(b"")) == 3

    asyncio.run(with_server(main))
