"""A replaced machine is gone without SIGTERM; then another one loses its disk."""

import asyncio
import contextlib
import json

from deployment import APP, LLM, document, encode
from fleet import CannotRun, Fleet
from main import run
from runners import Platform, Runner

SUCCESSOR = 3
CATCH_UP_S, RECOVERY_S, CONTACT_S = 4.0, 12.0, 3.0
# The largest for_s of `after_ack_wipe` in the site file.
DOWN_S = 3.0
# Time from the end of the replaced machine to the change that is acknowledged.
AFTER_END_S = 0.3
READ_PERIOD_S = 0.5


async def put(fleet, version, machines, record):
    """Send a change to the machines in turn until it is acknowledged."""
    body = encode(document(version))
    for _ in range(20):
        for number in machines:
            status, _ = await fleet.put_once(number, body)
            if status == 200:
                record.note(f"version {version} is acknowledged")
                return
        await asyncio.sleep(0.1)
    raise CannotRun(f"version {version} was not acknowledged")


async def read_back(fleet, machines, record):
    """Read at the machines in turn for twice ContactMs; return the versions."""
    versions = []
    for _ in range(round(2 * CONTACT_S / READ_PERIOD_S)):
        for number in machines:
            status, body = await fleet.read_config(number)
            version = json.loads(body)["Version"] if status == 200 else None
            record.note(f"read at {fleet.control(number)}: {status}, {version}")
            if version is not None:
                versions.append(version)
        await asyncio.sleep(READ_PERIOD_S)
    return versions


async def play(folder, record, trouble):
    fleet = Fleet(folder, machines=4)
    runners = [Runner(record, LLM, "prefill"), Runner(record, LLM, "decode")]
    platform = Platform([*runners, Runner(record, APP)])
    try:
        for number, runner in enumerate(platform.runners):
            await runner.start(fleet.ips[0], number + 1)
        await platform.start(fleet.list_address)
        fleet.start_all(machines=3)
        await fleet.put_config(encode(document(7)))
        await fleet.wait_ready(range(3))
        await asyncio.sleep(CONTACT_S)
        leader = await fleet.leader()
        if leader is None:
            raise CannotRun("there is no leader")
        gone = (leader + 1) % 3
        for role in ("control", "entry"):
            fleet.start(role, SUCCESSOR)
        record.note("the successor starts at another address, with an empty disk")
        await asyncio.sleep(2 * CATCH_UP_S)
        left = [number for number in range(4) if number != gone]
        await put(fleet, 8, left, record)
        fleet.kill(gone)
        record.note(f"machine {gone} is gone for good; machine {leader} leads")
        await asyncio.sleep(AFTER_END_S)
        await put(fleet, 9, left, record)
        if trouble:
            fleet.kill(leader)
            fleet.lose_disk(leader)
            record.note(f"machine {leader} is down and has lost its disk")
            await asyncio.sleep(DOWN_S)
            for role in ("control", "entry"):
                fleet.start(role, leader)
            record.note(f"machine {leader} is back with an empty disk")
        await asyncio.sleep(RECOVERY_S)
        versions = await read_back(fleet, left, record)
        record.note(f"versions read back: {sorted(set(versions))}")
        return max(versions, default=0) < 9
    finally:
        fleet.stop()
        with contextlib.suppress(Exception):
            platform.stop()


if __name__ == "__main__":
    run(__file__, play)
