"""Guards against failures of the request path that occur only between processes."""

import asyncio
import json
import signal

from tests.processes.platform_fleet import MACHINES, WITHOUT_DISK, PlatformFleet

ALL_MACHINES = range(len(MACHINES))


def run_scenario(tmp_path, scenario):
    async def main():
        async with PlatformFleet(tmp_path) as fleet:
            await fleet.publish()
            for number in ALL_MACHINES:
                await fleet.wait_until(lambda number=number: fleet.is_ready(number))
            await scenario(fleet)

    asyncio.run(main())


async def is_serving(fleet, number, path="/a/x"):
    return (await fleet.send_call(number, path))[0] == 200


def test_calls_and_generations_are_served_and_logged(tmp_path):
    async def scenario(fleet):
        for number in ALL_MACHINES:
            await fleet.wait_until(lambda number=number: is_serving(fleet, number))
        token_header = ["x-token-count: 100,50"]
        status, body = await fleet.send_call(1, "/gen/x", token_header)
        assert status == 200
        assert b"id: 3\ndata: e3" in body
        assert (await fleet.send_call(1, key="wrong"))[0] == 401
        assert (await fleet.send_call(1, "/other/x"))[0] == 404
        status, body = await fleet.http(
            MACHINES[0], fleet.directory_port, "GET", "/api/resolve?Zone=west"
        )
        assert status == 200
        addresses = json.loads(body)["Addresses"]
        assert sorted(addresses) == [f"{ip}:{fleet.front_port}" for ip in MACHINES]

    run_scenario(tmp_path, scenario)
    log = [json.loads(line) for line in (tmp_path / "entry-1.log").open()]
    names = {line["name"] for line in log}
    assert {"PROCESS_READY", "ROUTING_IN_FORCE", "REQUEST_RECEIVED"} <= names
    assert {"REQUEST_SENT", "REQUEST_ANSWERED", "REQUEST_FAILED"} <= names


def test_a_change_is_in_force_on_all_hosts_after_the_leader_was_killed(tmp_path):
    async def scenario(fleet):
        fleet.stop("control", 0, signal.SIGKILL)
        await fleet.publish(path="/b/", timeout_s=6.0)
        for number in ALL_MACHINES:
            await fleet.wait_until(
                lambda number=number: is_serving(fleet, number, "/b/x"), 2.0
            )
            assert (await fleet.send_call(number, "/a/x"))[0] == 404

    run_scenario(tmp_path, scenario)


def test_acknowledged_changes_survive_a_restart_of_all_control_processes(tmp_path):
    async def scenario(fleet):
        await fleet.publish(path="/b/")
        for number in ALL_MACHINES:
            fleet.stop("control", number, signal.SIGKILL)
            fleet.processes["control", number].wait()
        assert await is_serving(fleet, 2, "/b/x")
        for number in ALL_MACHINES:
            fleet.start("control", number)

        async def has_acknowledged_version():
            for ip in MACHINES:
                response = await fleet.http(
                    ip, fleet.control_port, "GET", "/api/config"
                )
                if response[0] == 200:
                    assert json.loads(response[1])["Version"] == fleet.version
                    return True
            return False

        await fleet.wait_until(has_acknowledged_version, 6.0)

    run_scenario(tmp_path, scenario)


def test_a_control_host_without_a_disk_names_the_leader_and_never_votes(tmp_path):
    """Small deployments have no disk on the second machine of a data centre."""

    async def scenario(fleet):
        fleet.start("control", 3, bootstrap=True, has_disk=False)
        await fleet.publish()

        async def names_leader():
            response = await fleet.http(
                WITHOUT_DISK, fleet.control_port, "GET", "/api/config"
            )
            return response[0] in (307, 308)

        await fleet.wait_until(names_leader)
        # The seeds may name hosts without a disk only when all have lost their logs.
        fleet.stop("control", 3, signal.SIGKILL)
        await asyncio.to_thread(fleet.processes["control", 3].wait, 5)
        fleet.start("control", 3, has_disk=False, seeds=[WITHOUT_DISK])
        await fleet.wait_until(names_leader, 5.0)
        fleet.stop("control", 3)
        assert await asyncio.to_thread(fleet.processes["control", 3].wait, 5) == 0
        log = (tmp_path / "control-3.log").read_text()
        assert "LEADER_ELECTED" not in log
        assert "ELECTION_STARTED" not in log

    run_scenario(tmp_path, scenario)


def test_a_leaving_server_receives_no_request_after_the_list_shows_it(tmp_path):
    async def scenario(fleet):
        await fleet.wait_until(lambda: is_serving(fleet, 1))
        fleet.leaving.add("app-1")
        # The platform allows three seconds for the change of the list.
        await asyncio.sleep(2.5)
        received = len(fleet.app.received)
        for number in ALL_MACHINES:
            assert (await fleet.send_call(number))[0] == 503
        assert len(fleet.app.received) == received

    run_scenario(tmp_path, scenario)


def test_removed_keys_and_leaving_servers_are_not_used_after_a_restart(tmp_path):
    """A restarted process has no memory of removed keys and leaving servers."""

    async def scenario(fleet):
        await fleet.wait_until(lambda: is_serving(fleet, 1))
        await fleet.publish(keys=("k2",))
        fleet.leaving.add("app-1")
        await asyncio.sleep(2.5)
        received = len(fleet.app.received)
        for program in ("entry", "control"):
            fleet.stop(program, 1, signal.SIGKILL)
            await asyncio.to_thread(fleet.processes[program, 1].wait)
            fleet.start(program, 1)

        old_key_statuses = set()

        async def has_current_routes():
            old_key_status, _ = await fleet.send_call(1, key="k")
            new_key_status, _ = await fleet.send_call(1, key="k2")
            old_key_statuses.add(old_key_status)
            return (old_key_status, new_key_status) == (401, 503)

        await fleet.wait_until(has_current_routes, 5.0)
        # At first no connection, then a refusal without routes, then an unknown key.
        assert old_key_statuses <= {0, 503, 401}
        assert len(fleet.app.received) == received

    run_scenario(tmp_path, scenario)


def test_a_stopping_host_serves_until_callers_no_longer_resolve_it(tmp_path):
    async def scenario(fleet):
        await fleet.wait_until(lambda: is_serving(fleet, 2))
        fleet.stop("entry", 2)
        await fleet.wait_until(lambda: fleet.is_ready(2, 503), 2.0)
        assert await is_serving(fleet, 2)

        async def is_unresolved():
            _, body = await fleet.http(
                MACHINES[0], fleet.directory_port, "GET", "/api/resolve?Zone=west"
            )
            return f"{MACHINES[2]}:{fleet.front_port}".encode() not in body

        await fleet.wait_until(is_unresolved, 2.0)
        process = fleet.processes["entry", 2]
        await asyncio.wait_for(asyncio.to_thread(process.wait), 6.0)
        assert process.returncode == 0

    run_scenario(tmp_path, scenario)


def test_invalid_settings_are_reported_by_name(tmp_path):
    import os
    import subprocess
    import sys

    from tests.processes.platform_fleet import ROOT

    settings = tmp_path / "boot.conf"
    settings.write_text("Node=a\nIp=127.0.0.1\nZone=z\n")
    completed = subprocess.run(
        [sys.executable, str(ROOT / "deploy" / "run.py"), "entry"],
        env={**os.environ, "DAMASKRIDGE_CONFIG": str(settings)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert completed.returncode == 2
    assert "PortRange: Field required" in completed.stderr
