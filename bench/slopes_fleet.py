"""Cost slopes of real processes: follow streams, rolls, requests, polling, ledger."""

import asyncio
import http.client
import statistics
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from examples.demo_caller import generate

from bench.slope_fit import Slope, fit_line
from bench.slope_processes import (
    CALLER_KEY,
    ProcessFleet,
    UsageWindow,
    digest,
    operators,
    rss_bytes,
)
from damaskridge.adapters.rpc.control_client import ControlClient
from damaskridge.model.bundle import (
    BackendServer,
    BackendServerRole,
    Bundle,
    KeyRecord,
    Model,
    Workspace,
)
from damaskridge.model.control import RecordIntent, Session
from damaskridge.model.events import EventNumber

__all__ = ["measure_fleet"]

ENTRY_HOST_COUNTS = (3, 20, 54)
SETTLE_S = 2.5
MEASUREMENT_S = 6.0
ROLL_COUNT = 16
ROLL_PERIOD_S = 0.5
REQUEST_COUNT = 80
CALLER_COUNT = 8
OUTPUT_TOKEN_COUNTS = (4, 64, 192)
POLLED_ENGINE_COUNTS = (2, 24, 64)
LISTED_HOST_COUNTS = (0, 500, 2_000)
CONCURRENT_CALLS = (1, 8, 16, 32)
LEDGER_DURATION_S = 4.0
WORKSPACE_COUNT = 20


def build_bundle(number: int, engines: tuple[BackendServer, ...] = ()) -> Bundle:
    """Return a bundle whose content depends on `number`."""
    return Bundle(
        workspaces=tuple(
            Workspace(f"workspace-{n:03}", 1e9, 1e9 + number * (n == 0))
            for n in range(WORKSPACE_COUNT)
        ),
        keys=(KeyRecord(digest(CALLER_KEY), "workspace-000"),),
        operators=operators(),
        models=(Model("notes", 32_768),),
        backend_servers=engines,
    )


def engines_at(address: str, count: int) -> tuple[BackendServer, ...]:
    """Return backend servers that all have the same address."""
    return tuple(
        BackendServer(
            f"engine-{n:03}",
            "notes-cell",
            BackendServerRole.MIXED,
            "notes",
            "dc-0",
            address,
            64,
            100_000,
        )
        for n in range(count)
    )


async def measure_hosts(folder: Path) -> list[Slope]:
    """Measure control and entry hosts, idle and during rolls, by entry host count."""
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def add(name: str, unit: str, per: str, size: float, value: float) -> None:
        points.setdefault((name, unit, per), []).append((size, value))

    async with ProcessFleet(folder) as fleet:
        await fleet.roll(build_bundle(0))
        for count in ENTRY_HOST_COUNTS:
            fleet.start_entries(count)
            await fleet.wait_ready()
            await asyncio.sleep(SETTLE_S)
            leader = await fleet.leader()
            follower = next(n for n in fleet.pids() if "control" in n and n != leader)
            idle = UsageWindow(fleet)
            await asyncio.sleep(MEASUREMENT_S)
            idle.end()
            before = fleet.version
            rolling = UsageWindow(fleet)
            for n in range(ROLL_COUNT):
                await asyncio.gather(
                    fleet.roll(build_bundle(n + 1)), asyncio.sleep(ROLL_PERIOD_S)
                )
            rolling.end()
            await asyncio.sleep(1.0)
            idle_s, rolled_s, per = idle.took_s, rolling.took_s, "entry host"
            add("leader_idle_core", "%", per, count, idle.cpu_share(leader) * 100)
            add("follower_idle_core", "%", per, count, idle.cpu_share(follower) * 100)
            add("entry_idle_core", "%", per, count, idle.mean_entry_cpu_share() * 100)
            for (kind, name), value in idle.traffic.items():
                unit = "B/s" if "bytes" in name else "1/s"
                add(f"{kind}_idle_{name}", unit, per, count, value / idle_s)
            for name, host in (("leader", leader), ("follower", follower)):
                extra_s = rolling.cpu_s[host] - idle.cpu_share(host) * rolled_s
                add(f"{name}_ms_per_roll", "ms", per, count, extra_s / ROLL_COUNT * 1e3)
            extra_s = (
                rolling.mean_entry_cpu_share() - idle.mean_entry_cpu_share()
            ) * rolled_s
            add("entry_ms_per_roll", "ms", per, count, extra_s / ROLL_COUNT * 1e3)
            for kind in ("host", "member"):
                key = (kind, "out_bytes" if kind == "host" else "in_bytes")
                extra = rolling.traffic[key] - idle.traffic[key] / idle_s * rolled_s
                add(f"{kind}_bytes_per_roll", "B", per, count, extra / ROLL_COUNT)
            add("in_force_ms", "ms", per, count, in_force_ms(fleet, before))
            pids = fleet.pids()
            add("leader_rss", "MB", per, count, rss_bytes(pids[leader]) / 1e6)
            shares = [rss_bytes(p) / 1e6 for n, p in pids.items() if "entry" in n]
            add("entry_rss", "MB", per, count, statistics.mean(shares))
    return [fit_line(*key, values) for key, values in points.items()]


def in_force_ms(fleet: ProcessFleet, after_version: int) -> float:
    """Return the median time from a roll until the last host has its version."""
    activated: dict[int, float] = {}
    for event in fleet.log_events(EventNumber.BUNDLE_ACTIVATED):
        version, when_s = event["version"], event["monotonic_s"]
        activated[version] = min(when_s, activated.get(version, when_s))
    reached: dict[int, float] = {}
    for event in fleet.log_events(EventNumber.BUNDLE_IN_FORCE):
        version = event["version"]
        reached[version] = max(event["monotonic_s"], reached.get(version, 0.0))
    spans = [
        (reached[version] - activated[version]) * 1e3
        for version in activated
        if version > after_version and version in reached
    ]
    return statistics.median(spans)


async def measure_requests(folder: Path) -> list[Slope]:
    """Measure requests, tokens and polling of one entry host, both front and owner."""
    poll_points, request_points, host_list_points = [], [], []
    async with ProcessFleet(folder) as fleet:
        port = fleet.platform_port
        engine_port = await free_port()
        fleet.start(
            "engine",
            "examples.standins.engine",
            *("--port", str(engine_port), "--models", "notes", "--slots", "256"),
            *("--kv-pieces", "1000000", "--decode-step-ms", "5"),
        )
        fleet.start_entries(1)
        address = f"127.0.0.1:{engine_port}"
        base_share = await idle_cpu_share(fleet, build_bundle(0))
        host_list_points.append((0, base_share * 100))
        for names in LISTED_HOST_COUNTS[1:]:
            await asyncio.to_thread(
                add_listed_hosts, port, host_list_points[-1][0], names
            )
            host_list_points.append((names, await idle_cpu_share(fleet, None) * 100))
        base_share = host_list_points[-1][1] / 100
        for count in POLLED_ENGINE_COUNTS:
            bundle = build_bundle(count, engines_at(address, count))
            poll_points.append(
                (count, (await idle_cpu_share(fleet, bundle) - base_share) * 100)
            )
        await fleet.roll(build_bundle(1, engines_at(address, 2)))
        await asyncio.sleep(SETTLE_S)
        for tokens in OUTPUT_TOKEN_COUNTS:
            request_points.append((tokens, await cpu_ms_per_request(fleet, tokens)))
    return [
        fit_line("poll_core", "%", "polled engine", poll_points),
        fit_line("host_list_core", "%", "listed name", host_list_points),
        fit_line("front_ms_per_request", "ms", "output token", request_points),
    ]


async def free_port() -> int:
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = int(server.sockets[0].getsockname()[1])
    server.close()
    return port


async def idle_cpu_share(fleet: ProcessFleet, bundle: Bundle | None) -> float:
    """Return the CPU share of an entry host that serves no requests."""
    if bundle is not None:
        await fleet.roll(bundle)
    await fleet.wait_ready()
    await asyncio.sleep(SETTLE_S)
    usage = UsageWindow(fleet)
    await asyncio.sleep(MEASUREMENT_S / 2)
    return usage.end().mean_entry_cpu_share()


def add_listed_hosts(port: int, first: int, end: int) -> None:
    """Add host names to the platform's host list."""
    connection = http.client.HTTPConnection(f"127.0.0.1:{port}")
    for number in range(first, end):
        body = msgspec.json.encode({"name": f"listed-{number:05}", "state": "live"})
        connection.request("POST", "/hosts", body)
        connection.getresponse().read()
    connection.close()


async def cpu_ms_per_request(fleet: ProcessFleet, tokens: int) -> float:
    """Return the CPU time of an entry host per request, without its idle share."""
    address = fleet.callers[0]

    def call(number: int) -> None:
        for n in range(REQUEST_COUNT // CALLER_COUNT):
            prompt = f"caller {number} call {n} " + "word " * 100
            response = generate(address, CALLER_KEY, prompt, tokens)
            assert response.finished, (
                response.status,
                response.error_kind,
                response.body,
            )

    idle = UsageWindow(fleet)
    await asyncio.sleep(2.0)
    share = idle.end().mean_entry_cpu_share()
    usage = UsageWindow(fleet)
    await asyncio.gather(*(asyncio.to_thread(call, n) for n in range(CALLER_COUNT)))
    usage.end()
    return (usage.mean_entry_cpu_share() - share) * usage.took_s / REQUEST_COUNT * 1e3


async def measure_ledger(folder: Path) -> list[Slope]:
    """Measure ledger commits of three control hosts by concurrent calls."""
    commit_rates, median_ms, p99_ms, leader_costs, refusals = [], [], [], [], []
    async with ProcessFleet(folder) as fleet:
        await fleet.roll(build_bundle(0))
        client = ControlClient(
            control_addresses=fleet.addresses,
            host="bench",
            incarnation=1,
            data_centre="dc-0",
            caller_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
        )
        running = asyncio.ensure_future(client.run())
        await wait_for_session(client)
        leader = await fleet.leader()
        for count in CONCURRENT_CALLS:
            usage = UsageWindow(fleet)
            took_s, refused = await commit_intents(client, count)
            usage.end()
            refusals.append((count, refused))
            commit_rates.append((count, len(took_s) / usage.took_s))
            took_s.sort()
            median_ms.append((count, statistics.median(took_s) * 1e3))
            p99_ms.append((count, took_s[int(len(took_s) * 0.99)] * 1e3))
            leader_costs.append((len(took_s), usage.cpu_s[leader] * 1e3))
        await client.close()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    return [
        fit_line("ledger_commits_per_s", "1/s", "call in flight", commit_rates),
        fit_line("ledger_median_ms", "ms", "call in flight", median_ms),
        fit_line("ledger_p99_ms", "ms", "call in flight", p99_ms),
        fit_line("leader_ms_per_commit", "ms", "commit", leader_costs),
        fit_line("ledger_refused", "calls", "call in flight", refusals),
    ]


async def wait_for_session(client: ControlClient) -> Session:
    for _ in range(200):
        if client.session is not None:
            return client.session
        await asyncio.sleep(0.05)
    raise TimeoutError("the control client opened no session")


async def commit_intents(client: ControlClient, count: int) -> tuple[list[float], int]:
    """Record intents for `LEDGER_DURATION_S`; return latencies and refusal count."""
    took_s: list[float] = []
    refused = 0
    end_s = time.monotonic() + LEDGER_DURATION_S

    async def call(number: int) -> None:
        nonlocal refused
        sequence = 0
        while (start_s := time.monotonic()) < end_s:
            sequence += 1
            name = f"{count}/{number}/{sequence}"
            command = RecordIntent(
                command_id=name,
                workspace="workspace-000",
                idempotency_key=name,
                body_digest="0" * 64,
                host="bench",
                session=(await wait_for_session(client)).number,
            )
            result = await client.propose(command)
            refused += result.failure is not None
            if result.failure is None:
                took_s.append(time.monotonic() - start_s)

    await asyncio.gather(*(call(number) for number in range(count)))
    return took_s, refused


def measure_fleet() -> list[Slope]:
    slopes = []
    for measure in (measure_hosts, measure_requests, measure_ledger):
        with TemporaryDirectory(prefix="slopes-", dir=Path.cwd() / "out") as folder:
            slopes += asyncio.run(measure(Path(folder)))
    return slopes
