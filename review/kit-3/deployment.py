"""A small deployment on loopback addresses: machines, their programs and the platform.

Only the standard library is used. The programs are started with the commands of
`deploy/system.toml`, with settings files of the platform's format.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Ports below the ephemeral range, so that no outgoing connection takes one.
FIRST_PORT, LAST_PORT, BLOCK = 20_000, 31_900, 50
# Bounds of both small site files.
CONTACT_S, RECOVERY_S, CONFIG_S, LEASE_S = 3.0, 12.0, 2.0, 3.0
GRACE_S = 8.0
# Delay after which the platform restarts a process that has ended.
RESTART_DELAY_S = 0.5


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


@dataclass
class Machine:
    """A machine: its address, zone, disk, and the roles that it runs."""

    name: str
    ip: str
    zone: str
    has_disk: bool
    roles: tuple[str, ...]


@dataclass
class Process:
    """A program on a machine; `process` is its latest run."""

    machine: Machine
    role: str
    process: subprocess.Popen | None = None
    starts: int = 0
    ends_by_platform: list = field(default_factory=list)


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def small_deployment(machines_per_zone=2, zones=("zone-a", "zone-b", "zone-c")):
    """Return the machines of a small deployment: a disk on the first of each zone."""
    machines = []
    for zone_number, zone in enumerate(zones, 1):
        for number in range(1, machines_per_zone + 1):
            roles = ("control", "entry") if number <= 2 else ("entry",)
            ip = f"127.{zone_number}.0.{number}"
            name = f"front-{zone}-{number}"
            machines.append(Machine(name, ip, zone, number == 1, roles))
    return machines


class Deployment:
    """
    Starts and stops the programs, and serves the platform's list of runners.

    `seeds` are the machines whose control addresses all settings files name.
    `runners` returns the entries of the list.
    """

    def __init__(self, record, machines, seeds, *, memory_mb=150, runners=list):
        self.record = record
        self.machines = machines
        self.seeds = seeds
        self.memory_mb = memory_mb
        self._runners = runners
        self.folder = Path(tempfile.mkdtemp(prefix="damaskridge-review-"))
        self.processes = {}
        for machine in machines:
            for role in machine.roles:
                self.processes[machine.name, role] = Process(machine, role)
        self._choose_ports()
        self._list_server = None

    def _choose_ports(self):
        ips = {machine.ip for machine in self.machines} | {"127.0.0.1"}
        blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK, BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            if all(_is_free(ip, first + n) for ip in ips for n in range(22)):
                break
        else:
            raise CannotRun("no block of ports is free")
        self.first_port = first
        self.front_port, self.ready_port = first + 16, first + 17
        self.control_port, self.directory_port = first + 18, first + 19
        self.list_port = first + 20

    async def __aenter__(self):
        self._list_server = await asyncio.start_server(
            self._serve_list, "127.0.0.1", self.list_port
        )
        return self

    async def __aexit__(self, *error):
        for item in self.processes.values():
            self.kill(item.machine, item.role, note=False)
        if self._list_server is not None:
            self._list_server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def data_folder(self, machine):
        return self.folder / f"data-{machine.name}"

    def _settings(self, machine, role, bootstrap):
        ip = machine.ip
        zones = dict.fromkeys(item.zone for item in self.machines)
        lines = [
            f"Node={machine.name}",
            f"Role={role}",
            "MachineClass=front",
            f"Ip={ip}",
            f"Zone={machine.zone}",
            "Region=region",
            *(f"Zones.{zone}=region" for zone in zones),
            f"PortRange={self.first_port},{self.first_port + 15}",
            "Seeds=" + ",".join(f"{s.ip}:{self.control_port}" for s in self.seeds),
            f"Bootstrap={'true' if bootstrap else 'false'}",
            f"LossCounts={'true' if machine.has_disk else 'false'}",
            "Limits.CpuShare=0.968",
            "Limits.Cores=2",
            f"Limits.MemoryMb={self.memory_mb}",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            "Limits.DiskMb=64",
            "Discovery=cloud",
            "Entry=directory",
            "HeartbeatMs=1200",
            "Contracts=base,drain,config,cost,retry,recover,split,stream,engine,"
            "tenants,quota",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=0",
            "FaultTolerance.Regions=0",
            "Bounds.SeedLagS=3",
            "Bounds.ReuseAfterS=2",
            "Bounds.ContactMs=3000",
            "Bounds.AckMs=4000",
            "Bounds.CatchUpS=4",
            "Bounds.DrainMs=3000",
            "Bounds.GraceS=8",
            "Bounds.LossSlackMs=200",
            "Bounds.ConfigMs=2000",
            "Bounds.DowngradeMs=250",
            "Bounds.SkewMaxMs=5000",
            "Bounds.RetryRatio=0.2",
            "Bounds.RetryWindowS=10",
            "Bounds.RetrySlack=62",
            "Bounds.QuotaWindowS=8",
            "Bounds.QuotaOvershoot=0.1",
            "Bounds.QuotaSlack=190000",
            "Bounds.RecoveryS=12",
            "Bounds.Fencing=true",
            "Bounds.LeaseMs=3000",
            "Bounds.ThawMs=300",
            "Bounds.ttl_max_s=5",
            "ConfigMode=highest",
            f"Cloud.Address=127.0.0.1:{self.list_port}",
            "Cloud.RatePerS=44.0",
            "Cloud.Duties=",
            "Cloud.LagMs=800",
        ]
        if role == "entry":
            lines += [
                "Serves=front,directory",
                f"Listen.Front={ip}:{self.front_port}",
                f"Listen.Ready={ip}:{self.ready_port}",
                f"Listen.Directory={ip}:{self.directory_port}",
                "DataDir=",
            ]
        else:
            data = self.data_folder(machine) if machine.has_disk else ""
            lines += [
                "Serves=control",
                f"Listen.Control={ip}:{self.control_port}",
                f"DataDir={data}",
            ]
        return "\n".join(lines) + "\n"

    def start(self, machine, role, *, bootstrap=False):
        """Start a program with the command of the deploy file."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: build the deploy file first")
        item = self.processes[machine.name, role]
        path = self.folder / f"{machine.name}-{role}.conf"
        path.write_text(self._settings(machine, role, bootstrap))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["DAMASKRIDGE_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{machine.name}-{role}.log").open("ab")
        with log:
            item.process = subprocess.Popen(
                ["python3", "deploy/run.py", role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        item.starts += 1
        self.record.write(
            f"platform starts {role} on {machine.name} ({machine.ip}), "
            f"Bootstrap={'true' if bootstrap else 'false'}"
        )

    def kill(self, machine, role, *, note=True):
        """End a program with SIGKILL."""
        item = self.processes[machine.name, role]
        if item.process is None:
            return
        if item.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                item.process.send_signal(signal.SIGKILL)
            if note:
                self.record.write(f"platform kills {role} on {machine.name}")
        item.process.wait()

    def rss_mb(self, machine, role):
        """Return the resident memory of a program, in MB."""
        process = self.processes[machine.name, role].process
        if process is None or process.poll() is not None:
            return 0.0
        with contextlib.suppress(OSError, StopIteration, ValueError):
            status = Path(f"/proc/{process.pid}/status").read_text()
            line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
            return int(line.split()[1]) / 1000
        return 0.0

    async def wait_ready(self, machines, timeout_s):
        """Wait until `GET /api/ready` returns 200 on all these machines."""
        ends_s = time.monotonic() + timeout_s
        for machine in machines:
            while True:
                status, _, _ = await call(
                    machine.ip, self.ready_port, "GET", "/api/ready", timeout_s=1.0
                )
                if status == 200:
                    break
                if time.monotonic() > ends_s:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    async def _serve_list(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            body = json.dumps({"Instances": self._runners(), "Next": None}).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\nConnection: close\r\n\r\n%s" % (len(body), body)
            )
            await writer.drain()
        writer.close()


def _is_free(ip, port):
    try:
        socket.create_server((ip, port)).close()
    except OSError:
        return False
    return True


async def call(ip, port, method, path, headers=(), body=b"", timeout_s=1.0):
    """Make one call on a new connection; status 0 if there is no clear response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {ip}:{port}", *headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            values = _header_values(head)
            length = int(values.get("content-length", "0"))
            return status, values, await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def _header_values(head):
    values = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        values[name.strip().lower()] = value.strip()
    return values


class Operator:
    """Sends and reads configurations at nodes drawn at random, as the pages say."""

    MAX_REDIRECTS = 2

    def __init__(self, deployment):
        self._deployment = deployment
        self._nodes = [m for m in deployment.machines if "control" in m.roles]
        self._rng = random.Random()

    async def put(self, document, timeout_s):
        """Send a configuration until it is acknowledged; return status and machine."""
        body = json.dumps(document).encode()
        return await self._until_clear("PUT", body, timeout_s)

    async def read(self, timeout_s):
        """Read the configuration; return it, or None if no node gives one."""
        status, _, body = await self._until_clear("GET", b"", timeout_s)
        return json.loads(body) if status == 200 else None

    async def _until_clear(self, method, body, timeout_s):
        ends_s, pause_s = time.monotonic() + timeout_s, 0.05
        await self._wait_for_listener(ends_s)
        while time.monotonic() < ends_s:
            node = self._rng.choice(self._nodes)
            status, machine, answer = await self._call(node, method, body)
            if status in (200, 400, 409, 412, 413, 422):
                return status, machine, answer
            await asyncio.sleep(pause_s)
            pause_s = min(0.1, 1.3 * pause_s)
        return 0, None, b""

    async def _wait_for_listener(self, ends_s):
        """Wait until a node listens, so that the backoff does not begin before."""
        while time.monotonic() < ends_s:
            for node in self._nodes:
                with contextlib.suppress(OSError):
                    address = node.ip, self._deployment.control_port
                    _, writer = await asyncio.open_connection(*address)
                    writer.close()
                    return
            await asyncio.sleep(0.02)

    async def _call(self, machine, method, body):
        deployment = self._deployment
        for _ in range(self.MAX_REDIRECTS + 1):
            status, values, answer = await call(
                machine.ip, deployment.control_port, method, "/api/config", body=body
            )
            version = json.loads(body)["Version"] if body else ""
            deployment.record.write(
                f"operator {method} {version} at {machine.name}: {status or 'nothing'}"
            )
            if status != 307:
                return status, machine, answer
            ip = values.get("location", "").split("//")[-1].split(":")[0]
            found = [item for item in self._nodes if item.ip == ip]
            if not found:
                return 0, machine, b""
            machine = found[0]
        return 0, machine, b""


def run_case(main, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if neither."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    code = 2
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        is_broken = asyncio.run(main(record, has_trouble))
        code = 1 if is_broken else 0
        record.write("RESULT: the rule was " + ("broken" if is_broken else "kept"))
    except (CannotRun, KeyboardInterrupt) as error:
        record.write(f"RESULT: the case could not be run: {error!r}")
    finally:
        record.close()
    return code


def _interrupt(*_):
    """End the case so that the programs that it has started are ended, too."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt
