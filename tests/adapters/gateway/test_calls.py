"""Guards against calls that run twice, wrong answers and untrue refusals."""

import asyncio

import pytest
from tests.adapters.gateway.standin import StandIn, gateway, not_executed, response
from tests.core.gateway.tables import workspace


def answering(**options):
    async def script(request, writer):
        writer.write(response(request, **options))

    return script


def raw(data, close=True):
    async def script(request, writer):
        writer.write(data)
        await writer.drain()
        return close

    return script


async def refuse(request, writer):
    writer.write(not_executed(request))


async def reset(request, writer):
    return True


def play(main):
    asyncio.run(main())


def test_an_answer_passes_unchanged():
    async def main():
        body = b"from the server"
        app = StandIn("a", answering(status=201, body=body, extra=b"x-more: 1\r\n"))
        async with gateway(app) as found:
            status, headers, got = await found.send_request("/once/p?q=1", body=b"in")
        assert (status, got) == (201, body)
        assert headers["x-response-signature"] == "sig"
        assert headers["x-more"] == "1"
        (request,) = app.received
        assert (request.method, request.target, request.body) == (
            "POST",
            "/once/p?q=1",
            b"in",
        )
        assert request.headers["x-tenant"] == "w"
        assert "authorization" not in request.headers

    play(main)


def test_a_call_that_may_have_run_is_not_sent_again():
    async def main():
        servers = [StandIn(name, reset) for name in "ab"]
        async with gateway(*servers) as found:
            status, _, _ = await found.send_request("/once/p", body=b"x")
        assert status == 502
        assert sum(len(server.received) for server in servers) == 1

    play(main)


def test_a_repeatable_call_goes_to_another_server():
    async def main():
        servers = [StandIn("a", reset), StandIn("b", answering())]
        async with gateway(*servers) as found:
            answers = [await found.send_request("/safe/p") for _ in range(6)]
        assert [status for status, _, _ in answers] == [200] * 6

    play(main)


def test_a_refused_call_goes_to_another_server_though_it_runs_once():
    async def main():
        servers = [StandIn("a", refuse), StandIn("b", answering())]
        async with gateway(*servers) as found:
            answers = [await found.send_request("/once/p") for _ in range(6)]
        assert [status for status, _, _ in answers] == [200] * 6

    play(main)


def test_full_servers_are_a_true_refusal_with_a_time():
    async def main():
        servers = [StandIn(name, refuse) for name in "ab"]
        async with gateway(*servers, budget=2) as found:
            status, headers, _ = await found.send_request("/once/p")
        assert status == 503
        assert 0 < float(headers["retry-after"]) < 1

    play(main)


def test_servers_that_cannot_be_reached_cost_no_budget():
    async def main():
        good = StandIn("b", answering())
        async with gateway(StandIn("a", reset), good, budget=0) as found:
            gone = found.registry.find("a")
            lost = type(gone)(
                instance="gone",
                service="app",
                address="127.0.0.1:9",
                data_centre="west",
                slots=64,
            )
            found.registry.replace([lost, good.instance()])
            answers = [await found.send_request("/once/p") for _ in range(4)]
            assert found.resends == []
        assert [status for status, _, _ in answers] == [200] * 4

    play(main)


@pytest.mark.parametrize(
    "script",
    [
        raw(b"\x00garbage\r\n\r\n"),
        raw(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        raw(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-signature: s\r\n"
            b"content-length: 2\r\n\r\nok"
        ),
        raw(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n"
            b"content-length: 9\r\n\r\nok"
        ),
        answering(status=503, signed=False),
        answering(status=429, signed=False),
        answering(status=408, signed=False),
    ],
    ids=["garbage", "unsigned", "other id", "cut", "503", "429", "408"],
)
def test_what_is_no_whole_answer_of_the_server_is_a_bad_gateway(script):
    async def main():
        app = StandIn("a", script)
        async with gateway(app) as found:
            status, headers, _ = await found.send_request("/once/p")
        assert status == 502
        assert "x-response-signature" not in headers
        assert len(app.received) == 1

    play(main)


def test_bytes_after_an_answer_belong_to_no_other_request():
    async def main():
        async def twice(request, writer):
            writer.write(
                response(request, body=b"one") + response(request, body=b"two")
            )

        app = StandIn("a", twice)
        async with gateway(app) as found:
            answers = [await found.send_request("/safe/p") for _ in range(3)]
        assert [body for _, _, body in answers] == [b"one"] * 3

    play(main)


def test_an_answer_without_a_length_is_whole_on_a_clean_end_only():
    async def main():
        async def clean(request, writer):
            writer.write(response(request, body=b"whole", length=False))
            writer.write_eof()
            await asyncio.sleep(0.2)
            return True

        async with gateway(StandIn("a", clean)) as found:
            status, _, body = await found.send_request("/once/p")
        assert (status, body) == (200, b"whole")

    play(main)


def test_the_caller_who_leaves_is_noticed_by_the_server():
    async def main():
        asked, left = asyncio.Event(), asyncio.Event()

        async def wait(request, writer):
            asked.set()
            assert await request.reader.read() == b""
            left.set()
            return True

        app = StandIn("a", wait)
        async with gateway(app) as found:
            _, writer = await asyncio.open_connection("127.0.0.1", found.port)
            writer.write(
                b"GET /safe/p HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a1\r\n"
                b"authorization: Bearer k\r\n\r\n"
            )
            await asyncio.wait_for(asked.wait(), 2)
            writer.close()
            await asyncio.wait_for(left.wait(), 0.5)

    play(main)


def test_the_answer_comes_at_the_time_out_of_the_route():
    async def main():
        async def silent(request, writer):
            await asyncio.sleep(5)

        app = StandIn("a", silent)
        async with gateway(app) as found:
            started_s = asyncio.get_running_loop().time()
            status, _, _ = await found.send_request("/once/p")
            elapsed_s = asyncio.get_running_loop().time() - started_s
        assert status == 504
        assert 0.9 < elapsed_s < 1.4

    play(main)


def test_the_deadline_never_grows():
    async def main():
        app = StandIn("a", refuse)
        async with gateway(app, StandIn("b", refuse)) as found:
            await found.send_request("/safe/p", ["x-deadline-ms: 700"])
        left_ms = [int(request.headers["x-deadline-ms"]) for request in app.received]
        assert left_ms == sorted(left_ms, reverse=True)
        assert all(0 < ms <= 700 for ms in left_ms)

    play(main)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/safe/p", "", 401),
        ("/safe/p", "wrong", 401),
        ("/none/p", "k", 404),
        ("/open/p", "", 200),
    ],
)
def test_keys_and_routes(path, key, status):
    async def main():
        app = StandIn("a", answering())
        async with gateway(app) as found:
            got, _, _ = await found.send_request(path, key=key)
        assert got == status
        assert len(app.received) == (status == 200)

    play(main)


def test_a_host_without_routes_says_that_it_is_not_ready():
    async def main():
        async with gateway(StandIn("a", answering())) as found:
            found.state.index = type(found.state.index)(type(found.state.index.table)())
            status, headers, _ = await found.send_request("/safe/p")
        assert status == 503
        assert float(headers["retry-after"]) > 0

    play(main)


def test_a_workspace_over_its_rate_is_told_when_to_return():
    async def main():
        limited = workspace("w", "k", rate_per_s=2.0, burst=1.0)
        app = StandIn("a", answering())
        async with gateway(app, workspaces=(limited,)) as found:
            answers = [await found.send_request("/safe/p") for _ in range(2)]
        assert [status for status, _, _ in answers] == [200, 429]
        assert 0 < float(answers[1][1]["retry-after"]) < 1
        assert len(app.received) == 1

    play(main)


def test_a_draining_host_asks_callers_to_connect_elsewhere():
    async def main():
        async with gateway(StandIn("a", answering())) as found:
            found.state.is_draining = True
            status, headers, _ = await found.send_request("/safe/p")
        assert (status, headers["connection"]) == (200, "close")

    play(main)


def test_headers_over_the_limit_are_refused():
    async def main():
        app = StandIn("a", answering())
        async with gateway(app) as found:
            status, _, _ = await found.send_request(
                "/safe/p", ["x-large: " + "y" * 20_000]
            )
        assert status == 431
        assert app.received == []

    play(main)
