"""Tests that invalid responses of engines, services and the host list are failures."""

import asyncio

import pytest

from damaskridge.adapters.engines.http_engine import HttpEngine
from damaskridge.adapters.host_list.http_host_list import HttpHostList
from damaskridge.adapters.http_client import BackendClient
from damaskridge.adapters.ports import ServiceCall, StreamFailed
from damaskridge.adapters.services.http_service import HttpService
from damaskridge.model.engine import DecodeChunk, DecodeRequest, PrefillRequest
from damaskridge.model.errors import ErrorKind, RunState

OK_HEADER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
CHUNK_LINE = b'{"offset":0,"text":"a"}\n'
DECODE_REQUEST = DecodeRequest("req-h-1-1.1", "m", "1.2.3.4:5", 0, 4)


async def serve(response):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def response_with(*parts):
    body = b"".join(parts)
    return OK_HEADER + b"content-length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    ("response", "tokens"),
    [
        (b"", 0),
        (b"\x00\xff nothing of HTTP\r\n\r\n", 0),
        (response_with(b"{}\n"), 0),
        (response_with(b"\xff\xfe\n"), 0),
        (response_with(b"[" * 50_000 + b"\n"), 0),
        (response_with(b"x" * 100_000), 0),
        (response_with(CHUNK_LINE, b'{"offset":"1"}\n'), 1),
        (OK_HEADER + b"content-length: 99\r\n\r\n" + CHUNK_LINE, 1),
        (b"HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\n??", 0),
    ],
)
def test_invalid_response_is_a_server_failure_with_unknown_run_state(response, tokens):
    async def main():
        server, address = await serve(response)
        client = BackendClient()
        engine = HttpEngine(client, address)
        chunks = []
        with pytest.raises(StreamFailed) as failed:
            async for chunk in engine.decode(DECODE_REQUEST):
                chunks.append(chunk)
        assert chunks == [DecodeChunk(0, "a")] * tokens
        failures = [failed.value.failure]
        prefill = PrefillRequest("req-h-1-1.1", "m", "p")
        failures.append((await engine.prefill(prefill)).err_value)
        failures.append((await HttpHostList(client, address).leaving()).err_value)
        for failure in failures:
            assert failure.kind is ErrorKind.BACKEND_SERVER_FAILED
            assert failure.final_run_state is RunState.UNKNOWN
        await client.close()
        server.close()

    asyncio.run(main())


def test_run_state_of_a_service_call_is_not_run_only_if_connecting_failed():
    async def main():
        server, address = await serve(response_with(b"x" * 5_000_000))
        client = BackendClient()
        service = HttpService(client)
        call = ServiceCall("POST", "/")
        large = (await service.call(address, call)).err_value
        assert (large.kind, large.final_run_state) == (
            ErrorKind.BACKEND_SERVER_FAILED,
            RunState.UNKNOWN,
        )
        server.close()
        await server.wait_closed()
        refused = (await service.call(address, call)).err_value
        assert refused.final_run_state is RunState.NOT_RUN
        await client.close()

    asyncio.run(main())
