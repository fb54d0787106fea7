"""Guards against requests that a stopping host takes late and then cuts off."""

import asyncio

from tests.adapters.gateway.standin import response
from tests.processes.platform_fleet import PlatformFleet

SERVER_DELAY_S = 3.0
# The host still accepts connections, and is killed after 6 seconds.
LATE_S = 2.8


class SlowFleet(PlatformFleet):
    """A fleet with a slow service for calls that may not be repeated."""

    def __init__(self, folder):
        super().__init__(folder)
        self.app.script = self.serve_slowly

    async def serve_slowly(self, request, writer):
        if request.target.startswith("/once/"):
            await asyncio.sleep(SERVER_DELAY_S)
        writer.write(response(request, body=b"served"))


def test_late_request_is_answered_and_not_run_if_it_is_refused(tmp_path):
    async def main():
        async with SlowFleet(tmp_path) as fleet:
            await fleet.publish()
            await fleet.wait_until(lambda: fleet.is_ready(2))
            await fleet.wait_until(lambda: served(fleet, "/a/x"))
            assert (await fleet.send_call(2, "/once/x", attempt="early"))[0] == 200
            fleet.stop("entry", 2)
            await asyncio.sleep(LATE_S)
            calls = [
                fleet.send_call(2, "/once/x", attempt=f"late-{number}")
                for number in range(5)
            ]
            statuses = {status for status, _ in await asyncio.gather(*calls)}
            assert statuses == {503}
            attempts = {request.attempt for request in fleet.app.received}
            assert not any(attempt.startswith("late") for attempt in attempts)

    async def served(fleet, path):
        return (await fleet.send_call(2, path))[0] == 200

    asyncio.run(main())
