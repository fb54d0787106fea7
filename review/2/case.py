"""A planned stop cuts streams that may not be repeated and were accepted late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit.client import Client
from kit.configs import config, request_headers
from kit.fleet import CannotRun, Fleet, main
from kit.runner import Runner

ZONE = "fukuoka"
# Some clients keep the list of addresses for three times its time to live.
TTL_FACTOR = 3.0
CLIENT_COUNT = 40
CLIENT_STEP_S = 0.025
# Streams of the usual length, and longer ones: 72 and 150 tokens, one an event.
SHORT, LONG = (15, 0.03), (150, 0.03)
TOKENS = {SHORT: "5200,72", LONG: "5200,170"}
DEADLINE_MS = 14000
# A request that was sent no later than this after the SIGTERM is excused.
EXCUSED_S = 3.0
GRACE_S = 8.0


async def case(record, has_trouble):
    """Play with the planned stop, or without it (TROUBLE=0)."""

    def pieces(request):
        return LONG if request.headers["x-token-count"] == TOKENS[LONG] else SHORT

    runners = [
        Runner(record.add, "i-p1", "llm", "fukuoka", "prefill"),
        *(
            Runner(record.add, f"i-d{n}", "llm", zone, "decode", pieces=pieces)
            for n, zone in enumerate(("fukuoka", "kumamoto", "kagoshima"))
        ),
        Runner(record.add, "i-a1", "app", "fukuoka"),
    ]
    async with Fleet(record, runners, machines=4) as fleet:
        if await fleet.put_config(config(3)) != 200:
            raise CannotRun("the first configuration was not acknowledged")
        await fleet.wait_ready()
        await asyncio.sleep(4.0)
        machine = await fleet.leader()
        if machine is None:
            raise CannotRun("no leader")
        record.add("machine", number=machine)
        return await play(record, fleet, machine, has_trouble)


async def play(record, fleet, machine, has_trouble):
    address = fleet.address(machine, "Front")
    clients = [Client(record, address) for _ in range(CLIENT_COUNT)]
    # Usual streams, so that each client has an open connection.
    for number, client in enumerate(clients):
        await send(client, f"usual{number:03d}", SHORT, wait_s=0.0)
    await asyncio.sleep(2.0)
    if len(record.of("run-end")) < CLIENT_COUNT:
        raise CannotRun("the usual streams were not served")
    stopped_s = record.now_s
    stop = None
    if has_trouble:
        stop = asyncio.ensure_future(fleet.terminate(machine))
    results = await asyncio.gather(
        *(
            late_client(record, fleet, client, number, machine)
            for number, client in enumerate(clients)
        )
    )
    if stop is not None:
        await stop
    for client in clients:
        client.close()
    used = [result for result in results if result is not None]
    record.add("late-streams", sent=len(used))
    if has_trouble and not any(at_s > stopped_s + EXCUSED_S for at_s, *_ in used):
        raise CannotRun("no client was told to use the machine after the SIGTERM")
    broken = []
    for at_s, attempt, status, complete, ended_s in used:
        runs = record.of("run", attempt=attempt)
        after_s = at_s - stopped_s
        has_time_left = ended_s - at_s < DEADLINE_MS / 1000 - 1.0
        if after_s > EXCUSED_S and runs and not complete and has_time_left:
            broken.append(
                f"LOST: {attempt}, sent {after_s:.2f} s after the SIGTERM and run by "
                f"{runs[0][1]['runner']}, was cut with status {status} "
                f"{ended_s - stopped_s:.2f} s after the SIGTERM"
            )
    return broken


async def late_client(record, fleet, client, number, machine):
    """Resolve around the SIGTERM, and use the answer as long as it may be used."""
    await asyncio.sleep(number * CLIENT_STEP_S)
    ip = fleet.ips[machine]
    asked_s = record.now_s
    others = [item for item in range(len(fleet.ips)) if item != machine]
    addresses, ttl_s = await fleet.resolve(others[number % len(others)], ZONE)
    has_machine = any(item.startswith(f"{ip}:") for item in addresses)
    record.add("resolved", client=number, has_machine=has_machine, ttl_s=ttl_s)
    if not has_machine:
        return None
    await asyncio.sleep(asked_s + TTL_FACTOR * ttl_s - 0.03 - record.now_s)
    return await send(client, f"late{number:04d}", LONG)


async def send(client, attempt, length, wait_s=None):
    tokens = TOKENS[length]
    call = client.request(
        "POST",
        f"/assess/{attempt}",
        request_headers(attempt, DEADLINE_MS, tokens),
        b"x" * 5000,
    )
    if wait_s is not None:
        client.task = asyncio.ensure_future(call)
        await asyncio.sleep(0.05)
        return None
    at_s = client.record.now_s
    status, _, _, complete = await call
    return at_s, attempt, status, complete, client.record.now_s


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
