"""Guards against an answer that follows another one on a connection that is kept."""

import asyncio

import pytest

from damaskridge.adapters.http_client import BackendClient


def answer(body):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_a_second_copy_of_an_answer_is_not_given_to_the_next_request(delay_s):
    async def serve(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            body = head.split(b" ")[1]
            if delay_s:
                writer.write(answer(body))
                await writer.drain()
                await asyncio.sleep(delay_s)
                writer.write(answer(body))
            else:
                writer.write(answer(body) + answer(body))
            await writer.drain()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient()
        bodies = []
        for number in range(4):
            url = f"http://127.0.0.1:{port}/{number}"
            reply = await client.call("GET", url, read_timeout_s=2.0, max_bytes=100)
            bodies.append(reply.body)
            await asyncio.sleep(2 * delay_s)
        await client.close()
        server.close()
        assert bodies == [b"/0", b"/1", b"/2", b"/3"]

    asyncio.run(main())
