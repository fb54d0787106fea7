"""Guards against a path that works in parts and not as processes."""

import asyncio
import json
import signal

from tests.processes.platform_fleet import MACHINES, WITHOUT_DISK, PlatformFleet

ALL = range(len(MACHINES))


def play(tmp_path, scenario):
    async def main():
        async with PlatformFleet(tmp_path) as fleet:
            await fleet.publish()
            for number in ALL:
                await fleet.until(lambda number=number: fleet.is_ready(number))
            await scenario(fleet)

    asyncio.run(main())


async def serves(fleet, number, path="/a/x"):
    return (await fleet.ask(number, path))[0] == 200


def test_calls_and_generations_are_served_and_logged(tmp_path):
    async def scenario(fleet):
        for number in ALL:
            await fleet.until(lambda number=number: serves(fleet, number))
        size = ["x-token-count: 100,50"]
        status, body = await fleet.ask(1, "/gen/x", size)
        assert status == 200
        assert b"id: 3\ndata: e3" in body
        assert (await fleet.ask(1, key="wrong"))[0] == 401
        assert (await fleet.ask(1, "/other/x"))[0] == 404
        status, body = await fleet.http(
            MACHINES[0], fleet.directory, "GET", "/api/resolve?Zone=west"
        )
        assert status == 200
        addresses = json.loads(body)["Addresses"]
        assert sorted(addresses) == [f"{ip}:{fleet.front}" for ip in MACHINES]

    play(tmp_path, scenario)
    log = [json.loads(line) for line in (tmp_path / "entry-1.log").open()]
    names = {line["name"] for line in log}
    assert {"PROCESS_READY", "ROUTING_IN_FORCE", "REQUEST_RECEIVED"} <= names
    assert {"REQUEST_SENT", "REQUEST_ANSWERED", "REQUEST_FAILED"} <= names


def test_a_change_is_in_force_everywhere_after_the_leader_was_killed(tmp_path):
    async def scenario(fleet):
        fleet.stop("control", 0, signal.SIGKILL)
        await fleet.publish(path="/b/", timeout_s=6.0)
        for number in ALL:
            await fleet.until(lambda number=number: serves(fleet, number, "/b/x"), 2.0)
            assert (await fleet.ask(number, "/a/x"))[0] == 404

    play(tmp_path, scenario)


def test_all_control_processes_come_back_with_what_was_acknowledged(tmp_path):
    async def scenario(fleet):
        await fleet.publish(path="/b/")
        for number in ALL:
            fleet.stop("control", number, signal.SIGKILL)
            fleet.processes["control", number].wait()
        assert await serves(fleet, 2, "/b/x")
        for number in ALL:
            fleet.start("control", number)

        async def read_back():
            for ip in MACHINES:
                answer = await fleet.http(ip, fleet.control, "GET", "/api/config")
                if answer[0] == 200:
                    assert json.loads(answer[1])["Version"] == fleet.version
                    return True
            return False

        await fleet.until(read_back, 6.0)

    play(tmp_path, scenario)


def test_a_control_host_without_a_disk_names_the_leader_and_never_votes(tmp_path):
    """Small deployments have no disk on the second machine of a data centre."""

    async def scenario(fleet):
        fleet.start("control", 3, first=True, has_disk=False)
        await fleet.publish()

        async def leader_named():
            reply = await fleet.http(WITHOUT_DISK, fleet.control, "GET", "/api/config")
            return reply[0] in (307, 308)

        await fleet.until(leader_named)
        # The seeds may name hosts without a disk only when all have lost their logs.
        fleet.stop("control", 3, signal.SIGKILL)
        await asyncio.to_thread(fleet.processes["control", 3].wait, 5)
        fleet.start("control", 3, has_disk=False, seeds=[WITHOUT_DISK])
        await fleet.until(leader_named, 5.0)
        fleet.stop("control", 3)
        assert await asyncio.to_thread(fleet.processes["control", 3].wait, 5) == 0
        log = (tmp_path / "control-3.log").read_text()
        assert "LEADER_ELECTED" not in log
        assert "ELECTION_STARTED" not in log

    play(tmp_path, scenario)


def test_a_leaving_server_gets_no_request_after_the_list_shows_it(tmp_path):
    async def scenario(fleet):
        await fleet.until(lambda: serves(fleet, 1))
        fleet.leaving.add("app-1")
        # The platform allows three seconds.
        await asyncio.sleep(2.5)
        received = len(fleet.app.received)
        for number in ALL:
            assert (await fleet.ask(number))[0] == 503
        assert len(fleet.app.received) == received

    play(tmp_path, scenario)


def test_what_was_withdrawn_or_has_left_is_not_used_after_a_restart(tmp_path):
    """A process that starts knows nothing of what was before."""

    async def scenario(fleet):
        await fleet.until(lambda: serves(fleet, 1))
        await fleet.publish(keys=("k2",))
        fleet.leaving.add("app-1")
        await asyncio.sleep(2.5)
        received = len(fleet.app.received)
        for program in ("entry", "control"):
            fleet.stop(program, 1, signal.SIGKILL)
            await asyncio.to_thread(fleet.processes[program, 1].wait)
            fleet.start(program, 1)

        answers = set()

        async def knows_its_routes():
            old, _ = await fleet.ask(1, key="k")
            new, _ = await fleet.ask(1, key="k2")
            answers.add(old)
            return (old, new) == (401, 503)

        await fleet.until(knows_its_routes, 5.0)
        # No connection at first, then refused without routes, then an unknown key.
        assert answers <= {0, 503, 401}
        assert len(fleet.app.received) == received

    play(tmp_path, scenario)


def test_a_host_that_stops_serves_on_until_callers_have_left_it(tmp_path):
    async def scenario(fleet):
        await fleet.until(lambda: serves(fleet, 2))
        fleet.stop("entry", 2)
        await fleet.until(lambda: fleet.is_ready(2, 503), 2.0)
        assert await serves(fleet, 2)

        async def has_left():
            _, body = await fleet.http(
                MACHINES[0], fleet.directory, "GET", "/api/resolve?Zone=west"
            )
            return f"{MACHINES[2]}:{fleet.front}".encode() not in body

        await fleet.until(has_left, 2.0)
        process = fleet.processes["entry", 2]
        await asyncio.wait_for(asyncio.to_thread(process.wait), 6.0)
        assert process.returncode == 0

    play(tmp_path, scenario)


def test_settings_at_fault_are_named(tmp_path):
    import os
    import subprocess
    import sys

    from tests.processes.platform_fleet import ROOT

    settings = tmp_path / "boot.conf"
    settings.write_text("Node=a\nIp=127.0.0.1\nZone=z\n")
    run = subprocess.run(
        [sys.executable, str(ROOT / "deploy" / "run.py"), "entry"],
        env={**os.environ, "DAMASKRIDGE_CONFIG": str(settings)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert run.returncode == 2
    assert "PortRange: Field required" in run.stderr
