"""Guards against repeats of a request that crashes each server that runs it."""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway, reply


def play(main):
    asyncio.run(main())


def crashing(poison):
    """Answer, but crash at a request with this body."""

    async def script(seen, writer):
        if seen.body == poison:
            server.crash()
            return True
        writer.write(reply(seen))
        return False

    server = StandIn("", script)
    return server


def test_a_request_that_crashed_three_servers_is_refused_at_once():
    async def main():
        servers = [crashing(b"bad") for _ in range(6)]
        for number, server in enumerate(servers):
            server.name = f"s{number}"
        async with gateway(*servers) as app:
            for number in range(8):
                await app.ask("/once/x", body=b"bad", attempt=f"bad{number}")
                # Requests after it find out that the server is gone.
                for again in range(8):
                    await app.ask("/safe/x", body=b"good", attempt=f"g{number}{again}")
            ran = sum(seen.body == b"bad" for s in servers for seen in s.seen)
            status, headers, _ = await app.ask("/once/x", body=b"bad", attempt="last")
            good, _, _ = await app.ask("/once/x", body=b"good", attempt="good")
        assert ran == 3
        assert status == 503
        assert float(headers["retry-after"]) >= 60
        assert good == 200

    play(main)
