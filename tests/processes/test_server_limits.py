"""Guards against a server that gets more requests than the limit that it has named.

Every host sends only a few requests to the server; together they exceed the limit.
"""

import asyncio
import signal
import statistics
import time

from tests.adapters.gateway.standin import StandIn, response
from tests.processes.platform_fleet import MACHINES, PlatformFleet

LIMIT_PER_S = 2.0
DURATION_S = 9.0
# Time for which servers take all requests before they name their limits.
BEFORE_LIMIT_S = 1.5
# Share of the limit that is used under demand; the requests of the seconds before the
# limit count against it.
MIN_USE = 0.5
# A refusal waits for one decision of the leader at most. On a busy machine, processes
# of the fleet and this one are delayed themselves, so that only the median is bound
# closely; a request that waits for a permit takes as long as its route allows, 4 s.
MAX_MEDIAN_REFUSAL_S = 0.1
MAX_REFUSAL_S = 2.0


class Callers:
    """Callers that send requests to every host at a constant rate."""

    def __init__(self, fleet, path, headers=()):
        self._fleet = fleet
        self._path = path
        self._headers = headers
        # Status and duration of each response, in the order of arrival.
        self.responses = []

    async def run(self, duration_s, per_s_and_host):
        async with asyncio.TaskGroup() as tasks:
            ends_s = time.monotonic() + duration_s
            while time.monotonic() < ends_s:
                for number in range(len(MACHINES)):
                    tasks.create_task(self._send(number))
                await asyncio.sleep(1 / per_s_and_host)

    async def run_into_limit(self, *servers, per_s_and_host):
        """Send requests to servers that name their limits after a while."""
        await self.run(BEFORE_LIMIT_S, per_s_and_host)
        assert {status for status, _ in self.responses} == {200}
        self.responses.clear()
        for server in servers:
            server.limit_per_s = LIMIT_PER_S
        await self.run(DURATION_S, per_s_and_host)

    def count(self, status):
        return sum(seen == status for seen, _ in self.responses)

    async def _send(self, number):
        started_s = time.monotonic()
        status, _ = await self._fleet.send_call(number, self._path, self._headers)
        self.responses.append((status, time.monotonic() - started_s))


def run_scenario(tmp_path, scenario, *more_apps):
    async def main():
        fleet = PlatformFleet(tmp_path)
        fleet.more_apps = more_apps
        async with fleet:
            await fleet.publish()
            for number in range(len(MACHINES)):
                await fleet.wait_until(lambda number=number: fleet.is_ready(number))
            await scenario(fleet)

    asyncio.run(main())


def check_refusals(callers):
    """Check that every response is a success or a prompt refusal."""
    statuses = {status for status, _ in callers.responses}
    assert statuses <= {200, 503}, statuses
    refusals_s = [s for status, s in callers.responses if status == 503]
    assert statistics.median(refusals_s) < MAX_MEDIAN_REFUSAL_S
    assert max(refusals_s) < MAX_REFUSAL_S


def test_calls_of_all_hosts_together_keep_to_the_limit_of_a_server(tmp_path):
    async def scenario(fleet):
        callers = Callers(fleet, "/a/x")
        await callers.run_into_limit(fleet.app, per_s_and_host=3)
        fleet.app.arrivals.check()
        check_refusals(callers)
        assert callers.count(200) >= MIN_USE * LIMIT_PER_S * DURATION_S

    run_scenario(tmp_path, scenario)


def test_generations_of_all_hosts_together_keep_to_the_limits_of_engines(tmp_path):
    async def scenario(fleet):
        callers = Callers(fleet, "/gen/x", ["x-token-count: 100,50"])
        await callers.run_into_limit(fleet.prefill, fleet.decode, per_s_and_host=3)
        fleet.prefill.arrivals.check()
        fleet.decode.arrivals.check()
        check_refusals(callers)
        assert callers.count(200) >= MIN_USE * LIMIT_PER_S * DURATION_S

    run_scenario(tmp_path, scenario)


def test_hosts_keep_to_the_limit_when_the_leader_is_killed(tmp_path):
    async def kill_leaders(fleet):
        for number in range(2):
            await asyncio.sleep(3.0)
            fleet.stop("control", number, signal.SIGKILL)
            await asyncio.to_thread(fleet.processes["control", number].wait)
            fleet.start("control", number)

    async def scenario(fleet):
        callers = Callers(fleet, "/a/x")
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(kill_leaders(fleet))
            await callers.run_into_limit(fleet.app, per_s_and_host=3)
        fleet.app.arrivals.check()
        check_refusals(callers)
        late = callers.responses[len(callers.responses) // 2 :]
        assert any(status == 200 for status, _ in late)

    run_scenario(tmp_path, scenario)


def test_no_call_is_refused_while_another_server_has_no_limit(tmp_path):
    async def scenario(fleet):
        callers = Callers(fleet, "/a/x")
        await callers.run_into_limit(fleet.app, per_s_and_host=3)
        fleet.app.arrivals.check()
        assert callers.count(200) == len(callers.responses)

    async def serve(request, writer):
        writer.write(response(request))

    run_scenario(tmp_path, scenario, StandIn("app-2", serve))
