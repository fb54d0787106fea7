"""A new version adds a route for streams to a service without engines."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from clients import Client  # noqa: E402
from deployment import (  # noqa: E402
    CONFIG_S,
    CannotRun,
    Deployment,
    Operator,
    run_case,
    small_deployment,
)
from runners import Runner, head, signature  # noqa: E402

HOST = "counter.example"
SLO_MS, GAP_MS, DEADLINE_MS = 900, 300, 14_000
# Clients abandon a stream after the longest of these times without an event.
GAP_LIMIT_S = max(2.0, 4 * SLO_MS / 1000, 8 * GAP_MS / 1000)
EVENTS, EVENT_PERIOD_S = 30, 0.2
# The rule asks for 20 requests or more.
REQUESTS = 24
SPACING_S = 0.15


def document(version, *, has_added_route):
    """Return a configuration; the added route is for streams."""
    route = {
        "Name": "r-status",
        "Hostname": HOST,
        "PathPrefix": "/status/",
        "Kind": "idempotent",
        "TimeoutMs": 1500,
        "SloMs": 125,
        "Priority": 1,
        "Service": "counter-app",
        "MaxAttempts": 2,
    }
    added = {
        "Name": "r-report",
        "Hostname": HOST,
        "PathPrefix": "/report/",
        "Kind": "stream",
        "TimeoutMs": DEADLINE_MS,
        "SloMs": SLO_MS,
        "Priority": 1,
        "Service": "report-app",
        "MaxAttempts": 1,
        "ItlSloMs": GAP_MS,
    }
    return {
        "Version": version,
        "Routes": [route, added] if has_added_route else [route],
        "Services": [
            {"Name": "counter-app", "HealthPath": "/healthz", "MaxConns": 130},
            {"Name": "report-app", "HealthPath": "/healthz", "MaxConns": 130},
        ],
        "Tenants": [{"Name": "tenant-1", "ApiKeys": ["key-1"]}],
    }


async def main(record, has_trouble):
    async def answer(request, writer):
        await asyncio.sleep(0.02)
        writer.write(head(request, 200, signature(request), length=2) + b"ok")

    async def stream(request, writer):
        lines = (signature(request), "Content-Type: text/event-stream")
        writer.write(head(request, 200, *lines))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: part %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        writer.write(b"0\r\n\r\n")

    app = Runner(record, "i-app", "counter-app", "zone-a", answer)
    report = Runner(record, "i-report", "report-app", "zone-b", stream)
    machines = small_deployment(machines_per_zone=1)
    for runner in (app, report):
        await runner.start()
    async with Deployment(
        record, machines, machines, runners=lambda: [app.entry(), report.entry()]
    ) as deployment:
        for machine in machines:
            for role in machine.roles:
                deployment.start(machine, role, bootstrap=True)
        operator = Operator(deployment)
        status, _, _ = await operator.put(document(3, has_added_route=False), 12.0)
        if status != 200:
            raise CannotRun("the first configuration was not accepted")
        await deployment.wait_ready(machines, 12.0)
        if has_trouble:
            status, _, _ = await operator.put(document(8, has_added_route=True), 6.0)
            if status != 200:
                record.write("the added route was refused")
                return False
        await asyncio.sleep(CONFIG_S + 1.0)
        first = await send_all(record, deployment, machines, "first", call)
        added = REQUESTS
        if has_trouble:
            added = await send_all(record, deployment, machines, "added", follow)
    for runner in (app, report):
        runner.close()
    record.write(f"served on the first route: {first} of {REQUESTS}")
    record.write(f"served on the added route: {added} of {REQUESTS}")
    return 4 * added < first


async def send_all(record, deployment, machines, label, send):
    """Send requests to all machines in turn; return how many were served."""

    async def send_one(number):
        await asyncio.sleep(SPACING_S * number)
        machine = machines[number % len(machines)]
        client = Client(record, machine, deployment.front_port, HOST, "key-1")
        await client.connect()
        attempt = f"{label}-{number:02d}"
        record.write(f"client sends {attempt} to {machine.name}")
        served, text = await send(client, attempt)
        client.close()
        record.write(f"client: {attempt}: {text}")
        return served

    return sum(await asyncio.gather(*map(send_one, range(REQUESTS))))


async def call(client, attempt):
    outcome = await client.request(attempt, "GET", "/status/1", deadline_ms=1500)
    return outcome == 200, f"gets {outcome}"


async def follow(client, attempt):
    """Read a stream as long as its events arrive in time."""
    started_s, events = time.monotonic(), 0
    try:
        async with asyncio.timeout(GAP_LIMIT_S):
            status, _, reader = await client.send(
                attempt, "POST", "/report/1", body=b"{}", deadline_ms=DEADLINE_MS
            )
        while True:
            async with asyncio.timeout(GAP_LIMIT_S):
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
            if not size:
                served = status == 200 and events == EVENTS
                return served, f"status {status}, {events} events, complete"
            events += data.count(b"id: ")
    except TimeoutError:
        waited_s = time.monotonic() - started_s
        return False, f"abandoned after {waited_s:.1f} s with {events} events"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return False, f"{events} events, then {type(error).__name__}"
    finally:
        with contextlib.suppress(OSError):
            client.close()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
