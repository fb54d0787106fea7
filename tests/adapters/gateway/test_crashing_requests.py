"""Test that a request which crashes each server that runs it is quarantined.

Without that, its retries would take down one server after the other.
"""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway, response


def run_async(main):
    asyncio.run(main())


def crashing_server(crash_body):
    """Return a server that responds, but crashes on a request with this body."""

    async def script(request, writer):
        if request.body == crash_body:
            server.crash()
            return True
        writer.write(response(request))
        return False

    server = StandIn("", script)
    return server


def test_a_request_that_crashed_three_servers_is_refused_without_being_sent():
    async def main():
        servers = [crashing_server(b"bad") for _ in range(6)]
        for number, server in enumerate(servers):
            server.name = f"s{number}"
        async with gateway(*servers) as app:
            for number in range(8):
                await app.send_request("/once/x", body=b"bad", attempt=f"bad{number}")
                # Further requests detect that the server can't be reached.
                for other in range(8):
                    await app.send_request(
                        "/safe/x", body=b"good", attempt=f"g{number}{other}"
                    )
            ran = sum(request.body == b"bad" for s in servers for request in s.received)
            status, headers, _ = await app.send_request(
                "/once/x", body=b"bad", attempt="last"
            )
            good, _, _ = await app.send_request("/once/x", body=b"good", attempt="good")
        assert ran == 3
        assert status == 503
        assert float(headers["retry-after"]) >= 60
        assert good == 200

    run_async(main)
