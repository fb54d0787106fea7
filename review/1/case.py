"""The group of control processes is lost by one disk while a member is replaced."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit.configs import config
from kit.fleet import CannotRun, Fleet, main
from kit.runner import Runner

SUCCESSOR = 3
# How long a new machine counts as lost, and until when service has to be back.
CATCH_UP_S, RECOVERY_S, CONTACT_S = 4.0, 12.0, 3.0
# The largest dose of `after_ack_wipe` in the site file.
DISK_LOST_S = 3.0
READ_GAP_S = 0.25
# Time from the end of the old member to the loss of the disk.
AFTER_STOP_S = 0.5


async def case(record, has_trouble):
    """Play with the lost disk, or without it (TROUBLE=0)."""
    runners = [
        Runner(record.add, "i-p1", "llm", "fukuoka", "prefill"),
        Runner(record.add, "i-d1", "llm", "fukuoka", "decode"),
        Runner(record.add, "i-a1", "app", "fukuoka"),
    ]
    async with Fleet(record, runners, spares=1) as fleet:
        if await fleet.put_config(config(3)) != 200:
            raise CannotRun("the first configuration was not acknowledged")
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        leader = await fleet.leader()
        leaver = next(machine for machine in fleet.core if machine != leader)
        # The successor first. It counts as lost until it has had CatchUpS.
        fleet.core.append(SUCCESSOR)
        for role in fleet.roles_of(SUCCESSOR):
            fleet.start(role, SUCCESSOR)
        await asyncio.sleep(2 * CATCH_UP_S)
        if await fleet.put_config(config(4)) != 200:
            raise CannotRun("no change was acknowledged beside the successor")
        # Then the machine that is replaced is stopped for good.
        stop = asyncio.ensure_future(fleet.terminate(leaver))
        await asyncio.sleep(0)
        fleet.core.remove(leaver)
        await asyncio.to_thread(fleet.processes["control", leaver].wait)
        record.add("control-ended", machine=leaver)
        await asyncio.sleep(AFTER_STOP_S)
        if await fleet.put_config(config(5)) != 200:
            raise CannotRun("no change was acknowledged after the stop")
        if has_trouble:
            await lose_disk_of_leader(fleet)
        await asyncio.sleep(RECOVERY_S)
        broken = await read_back(record, fleet, acknowledged=5)
        await stop
        return broken


async def lose_disk_of_leader(fleet):
    machine = await fleet.leader()
    if machine is None:
        raise CannotRun("no leader")
    fleet.lose_disk(machine)
    await asyncio.sleep(DISK_LOST_S)
    for role in fleet.roles_of(machine):
        fleet.start(role, machine)


async def read_back(record, fleet, acknowledged):
    """Read from each machine in turn like the operator at the end of a day."""
    end_s = record.now_s + 2 * CONTACT_S
    found = []
    while record.now_s < end_s:
        for machine in fleet.core:
            version = await fleet.read_version(machine)
            record.add("read", machine=machine, version=version)
            if version is not None:
                found.append(version)
        await asyncio.sleep(READ_GAP_S)
    if not found:
        return [
            f"CONFIG: version {acknowledged} was acknowledged; read back from "
            f"{len(fleet.core)} machines, {RECOVERY_S:g} s after the last start, "
            "no configuration comes"
        ]
    if max(found) < acknowledged:
        return [f"CONFIG: version {acknowledged} was acknowledged, {found} are read"]
    return []


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
