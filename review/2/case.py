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
CLIENT_STEP_S = 0.02
# Machines that are stopped and started in turn, until a rule is broken.
ROUNDS = 4
# ContactMs and CatchUpS are over before the next one.
SETTLE_S = 6.0
# How long before the end of that time they send.
SEND_MARGIN_S = 0.01
# Streams of the usual length, and longer ones: 72 and 150 tokens, one an event.
SHORT, LONG = (15, 0.03), (150, 0.03)
TOKENS = {SHORT: "5200,72", LONG: "5200,170"}
DEADLINE_MS = 14000
# A request that was sent no later than this after the SIGTERM is excused.
EXCUSED_S = 3.0


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
        broken = []
        for number in range(ROUNDS):
            await asyncio.sleep(SETTLE_S)
            machine = await fleet.leader()
            if machine is None:
                raise CannotRun("no leader")
            record.add("round", number=number, machine=machine)
            broken += await play(record, fleet, machine, number, has_trouble)
            if broken:
                break
        return broken


async def play(record, fleet, machine, number, has_trouble):
    """Stop one machine and start it again; return the streams that were lost."""
    address = fleet.address(machine, "Front")
    clients = [Client(record, address) for _ in range(CLIENT_COUNT)]
    # Usual streams, so that each client has an open connection.
    usual = []
    for index, client in enumerate(clients):
        usual.append(
            asyncio.ensure_future(send(client, f"u{number}{index:06d}", SHORT))
        )
        await asyncio.sleep(0.05)
    if not all(complete for *_, complete, _ in await asyncio.gather(*usual)):
        raise CannotRun("the usual streams were not served")
    await asyncio.sleep(1.0)
    stopped_s = record.now_s
    stop = None
    if has_trouble:
        stop = asyncio.ensure_future(fleet.terminate(machine))
    results = await asyncio.gather(
        *(
            late_client(record, fleet, client, f"l{number}{index:06d}", machine)
            for index, client in enumerate(clients)
        )
    )
    if stop is not None:
        await stop
        for role in fleet.roles_of(machine):
            fleet.start(role, machine)
        await fleet.wait_ready()
    for client in clients:
        client.close()
    late = [item for item in results if item and item[0] - stopped_s > EXCUSED_S]
    record.add("late-streams", number=number, sent=len(late))
    broken = []
    for at_s, attempt, status, complete, ended_s in late:
        runs = record.of("run", attempt=attempt)
        has_time_left = ended_s - at_s < DEADLINE_MS / 1000 - 1.0
        if has_trouble and runs and not complete and has_time_left:
            broken.append(
                f"LOST: {attempt}, sent {at_s - stopped_s:.2f} s after the SIGTERM and "
                f"run by {runs[0][1]['runner']}, was cut with status {status} "
                f"{ended_s - stopped_s:.2f} s after the SIGTERM"
            )
    return broken


async def late_client(record, fleet, client, attempt, machine):
    """Resolve around the SIGTERM, and use the answer as long as it may be used."""
    number = int(attempt[2:])
    await asyncio.sleep(number * CLIENT_STEP_S)
    others = [item for item in range(fleet.machines) if item != machine]
    addresses, ttl_s = await fleet.resolve(others[number % len(others)], ZONE)
    ip = fleet.ips[machine]
    has_machine = any(item.startswith(f"{ip}:") for item in addresses)
    resolved_s = record.now_s
    record.add("resolved", attempt=attempt, has_machine=has_machine, ttl_s=ttl_s)
    if not has_machine:
        return None
    until_s = resolved_s + TTL_FACTOR * ttl_s
    await asyncio.sleep(until_s - SEND_MARGIN_S - record.now_s)
    return await send(client, attempt, LONG)


async def send(client, attempt, length):
    """Send a stream; return when, its id, status, whether it is whole, and its end."""
    at_s = client.record.now_s
    headers = request_headers(attempt, DEADLINE_MS, TOKENS[length])
    status, _, _, complete = await client.request(
        "POST", f"/assess/{attempt}", headers, b"x" * 5000
    )
    return at_s, attempt, status, complete, client.record.now_s


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
