"""Runs one seed: consecutive and overlapping faults, then checks without faults."""

import asyncio
import contextlib
import random
import signal

import msgspec

from tests.fault_soak.backends import make_backends
from tests.fault_soak.callers import KINDS, Caller
from tests.fault_soak.proxy import FaultProxy, LinkFault
from tests.fault_soak.record import (
    COLD_PER_S,
    COLD_S,
    FAULT_AFTERMATH_S,
    MAX_CHANGE_DELAY_S,
    MAX_DRAIN_DELAY_S,
    RETRY_SLACK,
    Record,
)
from tests.processes.platform_fleet import MACHINES, START_TIMEOUT_S, PlatformFleet

__all__ = ["Soak", "run_seed"]

CALLER_COUNT = 8
# Time after the last fault within which the platform has to serve all requests again.
MAX_RECOVERY_S = 12.0
# Moments at which no process is being restarted are short; a seed may have none.
FLEET_KILL_ATTEMPTS = 400
EXIT_TIMEOUT_S = 9.0
# Time to poll the list of backend servers and distribute it, beyond the drain bound.
LIST_UPDATE_MARGIN_S = 0.2
# Enough for each of the three plain servers to receive one.
REQUESTS_AFTER_DRAIN = 6
# Time for which an engine that has crashed refuses connections.
ENGINE_RESTART_S = 1.5
# Path prefixes that no change removes.
FIXED_PATHS = ("/once/", "/stream/", "/follow/", "/feed/")
# Above the duration of the longest stream of a plain server.
STREAM_TIMEOUT_MS = 6_000
# Servers of the data centre that is evacuated.
EAST_SERVERS = ("app-2", "d-1")


class SoakFleet(PlatformFleet):
    """A fleet whose backend servers are reached through fault proxies."""

    bound_settings = (*PlatformFleet.bound_settings, f"Bounds.RetrySlack={RETRY_SLACK}")

    def __init__(self, folder, backends, guard):
        super().__init__(folder)
        self.backends = backends
        self._guard = guard
        self.app, self.prefill, self.decode = backends[0], backends[3], backends[4]
        self.zones = dict.fromkeys(EAST_SERVERS, "east")
        # Returns for how much longer a server is cold, in seconds.
        self.cold_left_s = lambda name: 0.0
        self.proxies = []
        self._backend_listeners = []

    async def __aenter__(self):
        for backend in self.backends:
            server = await asyncio.start_server(backend.serve, MACHINES[0], 0)
            self._backend_listeners.append(server)
            target = server.sockets[0].getsockname()[:2]
            proxy = FaultProxy(lambda target=target: target)
            await proxy.start()
            backend.address = proxy.address
            self.proxies.append(proxy)
        await self.start_list_and_programs()
        return self

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for proxy in self.proxies:
            await proxy.stop()
        for server in self._backend_listeners:
            server.close()

    def listed_backends(self):
        return self.backends

    def cold_left_ms(self, backend):
        return round(1000 * self.cold_left_s(backend.name))

    def program_arguments(self, number):
        if self._guard:
            return ["-m", "tests.fault_soak.unguarded", self._guard]
        return super().program_arguments(number)


class Soak:
    """
    One run of the processes, callers and faults that a seed determines.

    Parameters
    ----------
    seed : int
        Determines all faults and requests; the timing of the processes varies.
    folder : Path
        Holds the settings, data and logs of the processes.
    guard : str
        Guard of the programs to disable; see `unguarded`. Empty for none.
    """

    machine_count = len(MACHINES)

    def __init__(self, seed, folder, guard=""):
        self.rng = random.Random(seed)
        self.record = Record()
        backends, factory = make_backends(self.record, self.rng)
        self._refusing_servers = factory.refusing_servers
        factory.on_crash = self._crash_engine
        self._crash_tasks = set()
        self.fleet = SoakFleet(folder, backends, guard)
        # A separate generator, so that earlier seeds keep their other faults.
        self._refusal_rng = random.Random(f"refusals {seed}")
        self._limit_rng = random.Random(f"limits {seed}")
        self._deadly_rng = random.Random(f"deadly {seed}")
        self._evacuation_rng = random.Random(f"evacuations {seed}")
        self._fleet_rng = random.Random(f"fleet {seed}")
        self.fleet.cold_left_s = self.record.cold_left_s
        self.keys = ["k"]
        self.prefix_number = 0
        self.in_force_since_s = {}
        self.acknowledged_version = 0
        self.sent_version = 0
        self._front_proxies = []
        self._reserved_processes = set()

    def path_prefix_of(self, kind):
        """Return the current path prefix for a kind of request."""
        return f"/{kind}{self.prefix_number if kind == 'safe' else ''}/"

    def front_address_of(self, machine):
        """Return the IP address and port at which callers reach a machine."""
        ip, _, port = self._front_proxies[machine].address.rpartition(":")
        return ip, int(port)

    async def run(self, fault_duration_s):
        """Inject faults, then check recovery without faults; return the record."""
        async with self.fleet:
            for ip in MACHINES:
                proxy = FaultProxy(lambda ip=ip: (ip, self.fleet.front_port))
                await proxy.start()
                self._front_proxies.append(proxy)
            await self._change_config()
            for number in range(self.machine_count):
                await self.fleet.wait_until(
                    lambda number=number: self.fleet.is_ready(number), START_TIMEOUT_S
                )
            rngs = [random.Random(self.rng.random()) for _ in range(CALLER_COUNT)]
            callers = [Caller(n, self, rng) for n, rng in enumerate(rngs)]
            tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
            tasks.append(asyncio.ensure_future(self.record.watch_stalls()))
            deadly_caller = Caller("deadly", self, self._deadly_rng)
            tasks.append(asyncio.ensure_future(deadly_caller.run_deadly()))
            server_tasks = [
                asyncio.ensure_future(self._inject_refusals()),
                asyncio.ensure_future(self._inject_limits()),
                asyncio.ensure_future(self._inject_evacuations()),
            ]
            fleet_task = asyncio.ensure_future(self._kill_fleet(fault_duration_s))
            await self._inject_faults(fault_duration_s)
            await fleet_task
            for task in server_tasks:
                task.cancel()
            await asyncio.gather(*server_tasks, return_exceptions=True)
            await self._take_back()
            self._refusing_servers.clear()
            for server in self.fleet.backends:
                server.limit_per_s = None
            final_caller = Caller(CALLER_COUNT, self, random.Random(self.rng.random()))
            await self._check_after_faults(final_caller, tasks)
            for proxy in self._front_proxies:
                await proxy.stop()
        return self.record

    async def _inject_faults(self, fault_duration_s):
        end_s = self.record.now_s + fault_duration_s
        fault_tasks = set()
        faults = (
            (self._kill, 4),
            (self._suspend, 3),
            (self._terminate, 3),
            (self._inject_link_fault, 5),
            (self._reset_connections, 4),
            (self._change_config, 4),
            (self._mark_leaving, 2),
            (self._kill_control_group, 1),
            (self._reload, 1),
        )
        choices, weights = zip(*faults, strict=True)
        while self.record.now_s < end_s:
            (fault,) = self.rng.choices(choices, weights)
            task = asyncio.ensure_future(fault())
            fault_tasks.add(task)
            task.add_done_callback(fault_tasks.discard)
            await asyncio.sleep(self.rng.choice((0.05, 0.3, 0.8, 1.6)))
        await asyncio.gather(*fault_tasks)

    # Faults.

    def _choose_process(self):
        names = [
            name
            for name in self.fleet.processes
            if name not in self._reserved_processes
        ]
        return self.rng.choice(sorted(names)) if names else None

    @contextlib.contextmanager
    def _reserve_process(self, name):
        self._reserved_processes.add(name)
        try:
            yield
        finally:
            self._reserved_processes.discard(name)
            self.record.add_fault("healed")

    async def _kill(self):
        if name := self._choose_process():
            with self._reserve_process(name):
                self.record.add_fault("kill")
                await self._restart(name, signal.SIGKILL, self.rng.uniform(0, 2.0))

    async def _kill_control_group(self):
        names = [("control", number) for number in range(self.machine_count)]
        if not self._reserved_processes & set(names):
            self.record.add_fault("kill control group")
            with contextlib.ExitStack() as stack:
                for name in names:
                    stack.enter_context(self._reserve_process(name))
                await asyncio.gather(
                    *(self._restart(name, signal.SIGKILL, 0.5) for name in names)
                )

    async def _kill_fleet(self, fault_duration_s):
        """Kill all processes at one time; they are back within half a second."""
        rng = self._fleet_rng
        pauses_s = {
            name: rng.uniform(0.1, 0.5) for name in sorted(self.fleet.processes)
        }
        await asyncio.sleep(rng.uniform(0.2, 0.8) * fault_duration_s)
        for _ in range(FLEET_KILL_ATTEMPTS):
            if not self._reserved_processes:
                break
            await asyncio.sleep(0.01)
        else:
            return
        self.record.add_fault("kill fleet")
        with contextlib.ExitStack() as stack:
            for name in pauses_s:
                stack.enter_context(self._reserve_process(name))
            await asyncio.gather(
                *(
                    self._restart(name, signal.SIGKILL, pause_s)
                    for name, pause_s in pauses_s.items()
                )
            )

    async def _terminate(self):
        if name := self._choose_process():
            with self._reserve_process(name):
                self.record.add_fault("terminate")
                await self._restart(name, signal.SIGTERM, 0.1)

    async def _restart(self, name, stop_signal, pause_s):
        process = self.fleet.processes[name]
        if process.poll() is not None:
            self.record.add_violation(
                "exit", f"{name} exited unexpectedly with status {process.returncode}"
            )
        process.send_signal(stop_signal)
        for _ in range(int(EXIT_TIMEOUT_S / 0.05)):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.record.add_violation(
                "exit", f"{name} still runs {EXIT_TIMEOUT_S} s after {stop_signal.name}"
            )
            process.kill()
            process.wait()
        # Until the program installs its handlers, SIGTERM ends the interpreter itself.
        has_started = self.fleet.has_logged(*name)
        if stop_signal is signal.SIGTERM and process.returncode != 0 and has_started:
            self.record.add_violation(
                "exit", f"{name} exited with status {process.returncode}"
            )
        await asyncio.sleep(pause_s)
        self.fleet.start(*name)

    async def _suspend(self):
        if name := self._choose_process():
            with self._reserve_process(name):
                self.record.add_fault("suspend")
                process = self.fleet.processes[name]
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.choice((0.2, 1.0, 4.0)))
                process.send_signal(signal.SIGCONT)

    async def _reload(self):
        name = self._choose_process()
        # SIGHUP ends the interpreter until the program has installed its handler.
        if name and self.fleet.has_logged(*name):
            self.record.add_fault("reload")
            self.fleet.processes[name].send_signal(signal.SIGHUP)

    async def _inject_link_fault(self):
        proxy = self.rng.choice([*self._front_proxies, *self.fleet.proxies])
        fault = self.rng.choice([f for f in LinkFault if f is not LinkFault.NONE])
        self.record.add_fault(fault.value)
        proxy.fault = fault
        await asyncio.sleep(self.rng.choice((0.3, 1.0, 3.0)))
        proxy.fault = LinkFault.NONE
        self.record.add_fault("healed")

    async def _inject_refusals(self):
        """Repeatedly make some servers refuse every request for a while."""
        rng = self._refusal_rng
        names = [server.name for server in self.fleet.backends]
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            chosen_servers = rng.choice(
                (names[:3], names[3:], ["p-0"], rng.sample(names, 2))
            )
            self._refusing_servers.update(chosen_servers)
            self.record.add_fault("refusals")
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            self._refusing_servers.clear()

    async def _inject_limits(self):
        """Repeatedly make some servers name a limit of requests for a while."""
        rng = self._limit_rng
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            servers = rng.sample(self.fleet.backends, rng.choice((1, 2, 4)))
            for server in servers:
                server.limit_per_s = rng.choice((3.0, 6.0, 12.0))
            self.record.add_fault("limits")
            await asyncio.sleep(rng.uniform(2.0, 8.0))
            for server in servers:
                server.limit_per_s = None

    async def _inject_evacuations(self):
        """Repeatedly evacuate a data centre, and take it back with cold servers."""
        rng = self._evacuation_rng
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            await self._order_evacuation("POST")
            self.record.evacuate(EAST_SERVERS)
            await asyncio.sleep(rng.uniform(2.0, 9.0))
            await self._take_back()

    async def _take_back(self):
        self.record.take_back(EAST_SERVERS)
        await self._order_evacuation("DELETE")

    async def _order_evacuation(self, method):
        """Send an order until it is acknowledged."""
        await self.fleet.wait_until(
            lambda: self.fleet.request_any_control(method, "/api/evacuations/east"),
            START_TIMEOUT_S,
        )

    def _crash_engine(self, name):
        self.record.crash_times_s.append(self.record.now_s)
        self.record.fault_counts["crash"] += 1
        number = [item.name for item in self.fleet.backends].index(name)
        self.fleet.proxies[number].crash()
        task = asyncio.ensure_future(self._restart_engine(number))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _restart_engine(self, number):
        await asyncio.sleep(ENGINE_RESTART_S)
        await self.fleet.proxies[number].restart()
        self.fleet.backends[number].started_ms += 1

    async def _reset_connections(self):
        self.record.add_fault("reset")
        self.rng.choice([*self._front_proxies, *self.fleet.proxies]).reset()

    async def _mark_leaving(self):
        name = self.rng.choice(["app-1", "app-2", "d-1"])
        if name not in self.fleet.leaving:
            self.record.fault_counts["leaving"] += 1
            self.fleet.leaving.add(name)
            self.record.leaving_since_s[name] = self.record.now_s
            await asyncio.sleep(self.rng.uniform(2.0, 6.0))
            self.fleet.leaving.discard(name)
            del self.record.leaving_since_s[name]

    async def _change_config(self):
        """Put a configuration with a new path prefix or a new key."""
        version = self.sent_version + 1
        if version == 1 or self.rng.random() < 0.6:
            await self._put_config(version, self.keys)
        else:
            await self._put_config(self.prefix_number, ["k", f"k{version}"])

    async def _put_config(self, prefix_number, keys):
        self.sent_version += 1
        version, old_path, old_keys = (
            self.sent_version,
            self.path_prefix_of("safe"),
            self.keys,
        )
        body = _config_document(version, prefix_number, keys)
        new_path = f"/safe{prefix_number}/"
        removed = {old_path, *old_keys} - {new_path, *keys}
        self.record.maybe_removed_until_s.update(dict.fromkeys(removed, float("inf")))
        with contextlib.suppress(TimeoutError):
            await self.fleet.wait_until(
                lambda: self.fleet.request_any_control("PUT", "/api/config", body),
                START_TIMEOUT_S,
            )
            if version < self.sent_version:
                return
            now_s = self.record.now_s
            self.acknowledged_version = version
            # The highest version is in force: removals by others end within the bound.
            for item, until_s in self.record.maybe_removed_until_s.items():
                expiry_s = min(until_s, now_s + MAX_CHANGE_DELAY_S)
                self.record.maybe_removed_until_s[item] = expiry_s
            self.prefix_number, self.keys = prefix_number, keys
            for item in (new_path, *FIXED_PATHS, *keys):
                self.in_force_since_s.setdefault(item, now_s)
            for item in removed:
                self.record.removed_at_s[item] = now_s
            self.record.fault_counts["change"] += 1

    # Checks after the last fault.

    async def _check_after_faults(self, caller, tasks):
        for proxy in (*self._front_proxies, *self.fleet.proxies):
            proxy.fault = LinkFault.NONE
        self.fleet.leaving.clear()
        self.record.leaving_since_s.clear()
        record, faults_ended_s = self.record, self.record.now_s
        end_s = faults_ended_s + MAX_RECOVERY_S
        await asyncio.gather(
            *(
                self._check_recovery(kind, number, end_s)
                for kind in sorted(set(KINDS))
                for number in range(self.machine_count)
            )
        )
        await self._check_removals(caller)
        await self._kill_control_group()
        try:
            confirmed_version = await self.fleet.read_version()
        except TimeoutError:
            confirmed_version = 0
        if not self.acknowledged_version <= confirmed_version <= self.sent_version:
            text = f"read {confirmed_version}, acknowledged {self.acknowledged_version}"
            record.add_violation("lost version", f"{text}, sent {self.sent_version}")
        record.check_retries()
        for server in self.fleet.backends:
            if server.arrivals.excess > 0:
                text = f"{server.name} got {server.arrivals.worst}"
                record.add_violation("limit", text)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name, process in self.fleet.processes.items():
            if process.poll() is not None:
                record.add_violation(
                    "exit",
                    f"{name} exited unexpectedly with status {process.returncode}",
                )

    async def _check_recovery(self, kind, machine, end_s):
        """Check that a machine serves a kind of request again by a time."""
        caller = Caller(f"{CALLER_COUNT}-{kind}-{machine}", self, self.rng)
        while self.record.now_s < end_s:
            if await caller.send_request(kind, machine) == 200:
                return
            await asyncio.sleep(0.1)
        self.record.add_violation(
            "recovery",
            f"{(kind, machine)} is not served {MAX_RECOVERY_S} s after the faults",
        )

    async def _check_removals(self, caller):
        """Check that a removed key, route and server are not used without faults."""
        await asyncio.sleep(FAULT_AFTERMATH_S)
        await self._put_config(self.prefix_number, ["k", "last"])
        path, leaving = self.path_prefix_of("safe"), self.fleet.backends[2].name
        await asyncio.sleep(MAX_CHANGE_DELAY_S)
        for number in range(self.machine_count):
            status = await caller.send_request("safe", number, key="last")
            if status != 200:
                self.record.add_violation(
                    "change", f"a new key received status {status}"
                )
        await self._put_config(self.sent_version + 1, ["k"])
        self.fleet.leaving.add(leaving)
        self.record.leaving_since_s[leaving] = self.record.now_s
        await asyncio.sleep(
            max(MAX_CHANGE_DELAY_S, MAX_DRAIN_DELAY_S) + LIST_UPDATE_MARGIN_S
        )
        for number in range(self.machine_count):
            for options in ({"key": "last"}, {"path": path}):
                status = await caller.send_request("safe", number, **options)
                if status not in (401, 403, 404):
                    text = f"{options} on {number} received status {status}"
                    self.record.add_violation("change", text)
            for _ in range(REQUESTS_AFTER_DRAIN):
                await caller.send_request("safe", number)


def _config_document(version, prefix_number, keys):
    common_fields = {"Hostname": "h.example", "TimeoutMs": 4000, "MaxAttempts": 2}
    plain_route = common_fields | {"Service": "app"}
    stream_route = common_fields | {
        "Kind": "stream",
        "Service": "llm",
        "SloMs": 900,
        "Resumable": True,
    }
    engine = {"Slots": 64, "KvCapacity": 60000, "KvHoldS": 0.5, "HoldMs": 2000}
    document = {
        "Version": version,
        "Routes": [
            plain_route
            | {
                "Name": "r1",
                "PathPrefix": f"/safe{prefix_number}/",
                "Kind": "idempotent",
            },
            plain_route
            | {"Name": "r2", "PathPrefix": "/once/", "Kind": "non_idempotent"},
            stream_route | {"Name": "r3", "PathPrefix": "/stream/"},
            stream_route
            | {"Name": "r4", "PathPrefix": "/follow/"}
            | {"Service": "app", "TimeoutMs": STREAM_TIMEOUT_MS},
            stream_route
            | {"Name": "r5", "PathPrefix": "/feed/", "Resumable": False}
            | {"Service": "app", "TimeoutMs": STREAM_TIMEOUT_MS},
        ],
        "Services": [
            {"Name": "app", "ColdStartS": COLD_S, "ColdPerS": COLD_PER_S},
            {
                "Name": "llm",
                "Engine": engine,
                "ColdStartS": COLD_S,
                "ColdPerS": COLD_PER_S,
            },
        ],
        "Tenants": [{"Name": "t", "ApiKeys": keys}],
    }
    return msgspec.json.encode(document)


def run_seed(seed, folder, fault_duration_s, guard=""):
    """Run one seed and return its record."""

    async def main():
        return await Soak(seed, folder, guard).run(fault_duration_s)

    return asyncio.run(main())
