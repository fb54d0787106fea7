"""Guards against connections that are used again though something follows an answer."""

import asyncio

import pytest

from damaskridge.adapters.gateway.connections import (
    ConnectionBroken,
    NotSent,
    open_connection,
)
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.model.gateway import BackendInstance

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def play(main):
    asyncio.run(asyncio.wait_for(main(), 10))


async def serve(answer, *, after=None):
    async def handle(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answer)
                if after is not None:
                    await after(writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def send_request(connection):
    await connection.send("GET", b"/", [(b"host", b"h")], b"")
    head = await connection.head()
    return head.status, b"".join([part async for part in connection.body()])


def test_a_connection_serves_one_request_after_another():
    async def main():
        server, address = await serve(OK)
        connection = await open_connection(address, 1.0)
        for _ in range(3):
            assert await send_request(connection) == (200, b"ok")
            assert connection.is_reusable
        connection.close()
        server.close()

    play(main)


@pytest.mark.parametrize("late", [False, True])
def test_bytes_after_an_answer_end_the_use_of_its_connection(late):
    async def main():
        async def more(writer):
            await asyncio.sleep(0.05 if late else 0)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        server, address = await serve(OK, after=more)
        connection = await open_connection(address, 1.0)
        assert await send_request(connection) == (200, b"ok")
        await asyncio.sleep(0.1)
        assert not connection.is_reusable
        connection.close()
        server.close()

    play(main)


def test_a_reset_body_without_a_length_is_not_whole():
    async def main():
        async def reset(writer):
            await asyncio.sleep(0.05)
            import socket
            import struct

            linger = struct.pack("ii", 1, 0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        server, address = await serve(b"HTTP/1.1 200 OK\r\n\r\npart", after=reset)
        connection = await open_connection(address, 1.0)
        with pytest.raises(ConnectionBroken):
            await send_request(connection)
        connection.close()
        server.close()

    play(main)


def test_a_refused_connection_means_that_nothing_was_sent():
    async def main():
        server, address = await serve(OK)
        server.close()
        await server.wait_closed()
        with pytest.raises(NotSent):
            await open_connection(address, 1.0)

    play(main)


def test_a_request_that_is_no_http_is_not_sent():
    async def main():
        server, address = await serve(OK)
        connection = await open_connection(address, 1.0)
        with pytest.raises(NotSent):
            await connection.send("GET", b"/a b", [(b"host", b"h")], b"")
        connection.close()
        server.close()

    play(main)


def test_the_pool_keeps_instances_apart_and_drops_closed_connections():
    async def main():
        async def close(writer):
            await asyncio.sleep(0.05)
            writer.close()

        server, address = await serve(OK, after=close)
        pool = ConnectionPool()
        first = BackendInstance(
            instance="a", service="s", address=address, data_centre="w", slots=1
        )
        second = BackendInstance(
            instance="b", service="s", address=address, data_centre="w", slots=1
        )
        connection = await pool.acquire(first, 1.0)
        await send_request(connection)
        pool.release(first, connection)
        assert await pool.acquire(second, 1.0) is not connection
        await asyncio.sleep(0.1)
        assert await pool.acquire(first, 1.0) is not connection
        pool.close()
        server.close()

    play(main)


def test_a_connection_is_given_up_before_the_server_would_close_it():
    async def main():
        server, address = await serve(OK)
        pool = ConnectionPool()
        instance = BackendInstance(
            instance="a", service="s", address=address, data_centre="w", slots=1
        )
        connection = await pool.acquire(instance, 1.0)
        await send_request(connection)
        connection.keep_alive_s = 0.5
        pool.release(instance, connection)
        assert await pool.acquire(instance, 1.0) is not connection
        pool.close()
        server.close()

    play(main)
