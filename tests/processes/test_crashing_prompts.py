"""Guards against a part of prompts that crashes one engine after the other.

No two requests with the part are alike, and they arrive at all hosts. Each host sees
only some of the crashes.
"""

import asyncio
import signal

from tests.adapters.gateway.crashing_engines import CrashingEngines
from tests.processes.platform_fleet import MACHINES, PlatformFleet

ENGINES = 14
# The rule for the fleet: crashes from which no further request with the part is sent.
MAX_CRASHES = 5
ROUNDS = 8


class CrashingFleet(PlatformFleet):
    """A fleet whose decode engines crash on the part ``dead`` of a prompt."""

    def __init__(self, folder):
        super().__init__(folder)
        self.engines = CrashingEngines(ENGINES, "dead")

    def listed_backends(self):
        return [self.app, *self.engines.servers]


class Callers:
    """Callers of deadly and of sound requests, at all hosts in turn."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._sent = 0
        self.sound_statuses = []
        self.deadly_statuses = []

    async def run(self, rounds):
        for _ in range(rounds):
            for host in range(len(MACHINES)):
                self.deadly_statuses.append(await self._send(host, "first", "dead"))
                self.sound_statuses.append(await self._send(host, "first"))

    async def _send(self, host, *parts):
        self._sent += 1
        prompt = ",".join(f"{part}:40" for part in (*parts, f"own{self._sent}"))
        status, _ = await self._fleet.send_call(
            host, "/gen/x", ["x-token-count: 100,50", f"x-prompt-prefix: {prompt}"]
        )
        return status


def run_scenario(tmp_path, scenario):
    async def main():
        async with CrashingFleet(tmp_path) as fleet:
            await fleet.publish()
            for number in range(len(MACHINES)):
                await fleet.wait_until(lambda number=number: fleet.is_ready(number))
            await scenario(fleet, Callers(fleet))

    asyncio.run(main())


def test_a_part_crashes_no_more_engines_than_all_hosts_need_to_find_it(tmp_path):
    async def scenario(fleet, callers):
        await callers.run(ROUNDS)
        assert fleet.engines.crashes() <= MAX_CRASHES
        assert callers.sound_statuses.count(200) >= 0.8 * len(callers.sound_statuses)
        assert set(callers.deadly_statuses[-3:]) == {503}

    run_scenario(tmp_path, scenario)


def test_a_part_stays_known_when_the_leader_is_killed_and_a_host_restarts(tmp_path):
    async def scenario(fleet, callers):
        await callers.run(ROUNDS)
        crashes = fleet.engines.crashes()
        for number in range(2):
            fleet.stop("control", number, signal.SIGKILL)
            await asyncio.to_thread(fleet.processes["control", number].wait)
            fleet.start("control", number)
            await asyncio.sleep(1.0)
        fleet.stop("entry", 0, signal.SIGKILL)
        await asyncio.to_thread(fleet.processes["entry", 0].wait)
        fleet.start("entry", 0)
        await fleet.wait_until(lambda: fleet.is_ready(0))
        callers.sound_statuses.clear()
        await callers.run(ROUNDS)
        assert fleet.engines.crashes() == crashes
        assert callers.sound_statuses.count(200) >= 0.8 * len(callers.sound_statuses)

    run_scenario(tmp_path, scenario)


def test_a_part_stays_known_when_all_processes_are_killed(tmp_path):
    async def scenario(fleet, callers):
        await callers.run(ROUNDS)
        crashes = fleet.engines.crashes()
        # The leader records a quarantine at once, but not within a kill.
        await asyncio.sleep(1.0)
        for name in fleet.processes:
            fleet.stop(*name, signal.SIGKILL)
        for name, process in list(fleet.processes.items()):
            await asyncio.to_thread(process.wait)
            fleet.start(*name)
        for number in range(len(MACHINES)):
            await fleet.wait_until(lambda number=number: fleet.is_ready(number))
        await callers.run(ROUNDS)
        assert fleet.engines.crashes() == crashes

    run_scenario(tmp_path, scenario)
