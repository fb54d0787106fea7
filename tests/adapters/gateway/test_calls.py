"""Test that calls run no more often than allowed and get the right response.

Covers retries, invalid responses, refusals, timeouts, keys and limits.
"""

import asyncio

import pytest
from tests.adapters.gateway.standin import StandIn, gateway, not_executed, response
from tests.core.gateway.tables import workspace


def respond_with(**options):
    async def script(request, writer):
        writer.write(response(request, **options))

    return script


def raw_response(data, close=True):
    async def script(request, writer):
        writer.write(data)
        await writer.drain()
        return close

    return script


async def refuse(request, writer):
    writer.write(not_executed(request))


async def reset_connection(request, writer):
    return True


def run_async(main):
    asyncio.run(main())


def test_a_response_is_forwarded_unchanged():
    async def main():
        body = b"from the server"
        server = StandIn(
            "a", respond_with(status=201, body=body, extra=b"x-more: 1\r\n")
        )
        async with gateway(server) as app:
            status, headers, received_body = await app.send_request(
                "/once/p?q=1", body=b"in"
            )
        assert (status, received_body) == (201, body)
        assert headers["x-response-signature"] == "sig"
        assert headers["x-more"] == "1"
        (request,) = server.received
        assert (request.method, request.target, request.body) == (
            "POST",
            "/once/p?q=1",
            b"in",
        )
        assert request.headers["x-tenant"] == "w"
        assert "authorization" not in request.headers

    run_async(main)


def test_an_at_most_once_call_that_may_have_run_is_not_retried():
    async def main():
        servers = [StandIn(name, reset_connection) for name in "ab"]
        async with gateway(*servers) as app:
            status, _, _ = await app.send_request("/once/p", body=b"x")
        assert status == 502
        assert sum(len(server.received) for server in servers) == 1

    run_async(main)


def test_a_repeatable_call_is_retried_on_another_server():
    async def main():
        servers = [StandIn("a", reset_connection), StandIn("b", respond_with())]
        async with gateway(*servers) as app:
            responses = [await app.send_request("/safe/p") for _ in range(6)]
        assert [status for status, _, _ in responses] == [200] * 6

    run_async(main)


def test_a_refused_at_most_once_call_is_retried_on_another_server():
    async def main():
        servers = [StandIn("a", refuse), StandIn("b", respond_with())]
        async with gateway(*servers) as app:
            responses = [await app.send_request("/once/p") for _ in range(6)]
        assert [status for status, _, _ in responses] == [200] * 6

    run_async(main)


def test_full_servers_cause_a_refusal_with_retry_after():
    async def main():
        servers = [StandIn(name, refuse) for name in "ab"]
        async with gateway(*servers, budget=2) as app:
            status, headers, _ = await app.send_request("/once/p")
        assert status == 503
        assert 0 < float(headers["retry-after"]) < 1

    run_async(main)


def test_unreachable_servers_cost_no_retry_budget():
    async def main():
        good = StandIn("b", respond_with())
        async with gateway(StandIn("a", reset_connection), good, budget=0) as app:
            gone = app.registry.find("a")
            unreachable = type(gone)(
                instance="gone",
                service="app",
                address="127.0.0.1:9",
                data_centre="west",
                slots=64,
            )
            app.registry.replace([unreachable, good.instance()])
            responses = [await app.send_request("/once/p") for _ in range(4)]
            assert app.spend_requests == []
        assert [status for status, _, _ in responses] == [200] * 4

    run_async(main)


@pytest.mark.parametrize(
    "script",
    [
        raw_response(b"\x00garbage\r\n\r\n"),
        raw_response(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        raw_response(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-signature: s\r\n"
            b"content-length: 2\r\n\r\nok"
        ),
        raw_response(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n"
            b"content-length: 9\r\n\r\nok"
        ),
        respond_with(status=503, signed=False),
        respond_with(status=429, signed=False),
        respond_with(status=408, signed=False),
    ],
    ids=["garbage", "unsigned", "other id", "truncated", "503", "429", "408"],
)
def test_an_invalid_or_incomplete_response_is_a_bad_gateway(script):
    async def main():
        server = StandIn("a", script)
        async with gateway(server) as app:
            status, headers, _ = await app.send_request("/once/p")
        assert status == 502
        assert "x-response-signature" not in headers
        assert len(server.received) == 1

    run_async(main)


def test_data_after_a_response_is_not_taken_for_the_next_response():
    async def main():
        async def respond_twice(request, writer):
            writer.write(
                response(request, body=b"one") + response(request, body=b"two")
            )

        server = StandIn("a", respond_twice)
        async with gateway(server) as app:
            responses = [await app.send_request("/safe/p") for _ in range(3)]
        assert [body for _, _, body in responses] == [b"one"] * 3

    run_async(main)


def test_a_response_without_a_length_is_complete_at_a_clean_end():
    async def main():
        async def respond_and_close(request, writer):
            writer.write(response(request, body=b"whole", length=False))
            writer.write_eof()
            await asyncio.sleep(0.2)
            return True

        async with gateway(StandIn("a", respond_and_close)) as app:
            status, _, body = await app.send_request("/once/p")
        assert (status, body) == (200, b"whole")

    run_async(main)


def test_the_server_notices_that_the_caller_has_disconnected():
    async def main():
        request_received, disconnected = asyncio.Event(), asyncio.Event()

        async def wait_for_disconnect(request, writer):
            request_received.set()
            assert await request.reader.read() == b""
            disconnected.set()
            return True

        server = StandIn("a", wait_for_disconnect)
        async with gateway(server) as app:
            _, writer = await asyncio.open_connection("127.0.0.1", app.port)
            writer.write(
                b"GET /safe/p HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a1\r\n"
                b"authorization: Bearer k\r\n\r\n"
            )
            await asyncio.wait_for(request_received.wait(), 2)
            writer.close()
            await asyncio.wait_for(disconnected.wait(), 0.5)

    run_async(main)


def test_the_caller_gets_a_response_at_the_route_timeout():
    async def main():
        async def never_respond(request, writer):
            await asyncio.sleep(5)

        server = StandIn("a", never_respond)
        async with gateway(server) as app:
            started_s = asyncio.get_running_loop().time()
            status, _, _ = await app.send_request("/once/p")
            elapsed_s = asyncio.get_running_loop().time() - started_s
        assert status == 504
        assert 0.9 < elapsed_s < 1.4

    run_async(main)


def test_the_forwarded_deadline_never_increases():
    async def main():
        server = StandIn("a", refuse)
        async with gateway(server, StandIn("b", refuse)) as app:
            await app.send_request("/safe/p", ["x-deadline-ms: 700"])
        deadlines_ms = [
            int(request.headers["x-deadline-ms"]) for request in server.received
        ]
        assert deadlines_ms == sorted(deadlines_ms, reverse=True)
        assert all(0 < ms <= 700 for ms in deadlines_ms)

    run_async(main)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/safe/p", "", 401),
        ("/safe/p", "wrong", 401),
        ("/none/p", "k", 404),
        ("/open/p", "", 200),
    ],
)
def test_status_by_key_and_route(path, key, status):
    async def main():
        server = StandIn("a", respond_with())
        async with gateway(server) as app:
            received_status, _, _ = await app.send_request(path, key=key)
        assert received_status == status
        assert len(server.received) == (status == 200)

    run_async(main)


def test_a_host_without_a_routing_table_refuses_requests():
    async def main():
        async with gateway(StandIn("a", respond_with())) as app:
            app.state.index = type(app.state.index)(type(app.state.index.table)())
            status, headers, _ = await app.send_request("/safe/p")
        assert status == 503
        assert float(headers["retry-after"]) > 0

    run_async(main)


def test_a_workspace_over_its_rate_is_refused_with_retry_after():
    async def main():
        limited = workspace("w", "k", rate_per_s=2.0, burst=1.0)
        server = StandIn("a", respond_with())
        async with gateway(server, workspaces=(limited,)) as app:
            responses = [await app.send_request("/safe/p") for _ in range(2)]
        assert [status for status, _, _ in responses] == [200, 429]
        assert 0 < float(responses[1][1]["retry-after"]) < 1
        assert len(server.received) == 1

    run_async(main)


def test_a_draining_host_asks_callers_to_close_their_connections():
    async def main():
        async with gateway(StandIn("a", respond_with())) as app:
            app.state.is_draining = True
            status, headers, _ = await app.send_request("/safe/p")
        assert (status, headers["connection"]) == (200, "close")

    run_async(main)


def test_headers_over_the_limit_are_refused():
    async def main():
        server = StandIn("a", respond_with())
        async with gateway(server) as app:
            status, _, _ = await app.send_request(
                "/safe/p", ["x-large: " + "y" * 20_000]
            )
        assert status == 431
        assert server.received == []

    run_async(main)
