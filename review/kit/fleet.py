"""A small deployment on loopback: the project's programs and the users' platform."""

import asyncio
import contextlib
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

__all__ = ["CannotRun", "Fleet", "Record", "http", "main"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("fukuoka", "kumamoto", "kagoshima")
HOST_NAME = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
START_TIMEOUT_S = 25.0
GRACE_S = 8.0
# The bounds of the two small deployments.
BOUNDS = """\
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=3000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigMs=2000
Bounds.DowngradeMs=250
Bounds.SkewMaxMs=5000
Bounds.RevokeStrict=false
Bounds.RevokeMs=5000
Bounds.RetryRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetrySlack=62
Bounds.QuotaWindowS=8
Bounds.QuotaOvershoot=0.1
Bounds.QuotaSlack=190000
Bounds.RecoveryS=12
Bounds.TransitMs=120
Bounds.RetryAfterS=7.2
Bounds.Fencing=true
Bounds.LeaseMs=3000
Bounds.ThawMs=300
Bounds.ttl_max_s=5
"""


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.events = []

    @property
    def now_s(self):
        return time.monotonic() - self._started_s

    def add(self, kind, **fields):
        at_s = self.now_s
        self.events.append((at_s, kind, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {kind} {text}\n")
        self._file.flush()
        return at_s

    def of(self, kind, **fields):
        """Return time and fields of the events of a kind."""
        return [
            (at_s, found)
            for at_s, known, found in self.events
            if known == kind
            and all(found.get(name) == value for name, value in fields.items())
        ]

    def close(self):
        self._file.close()


class Fleet:
    """
    Machines with the programs of the deploy file, runners and the platform's list.

    The first `disks` machines have a disk and run both roles, the others run the entry
    role alone. `spares` further addresses are for machines that start later.

    Attributes
    ----------
    core : list of int
        The machines with a disk.
    """

    def __init__(self, record, runners, machines=3, disks=3, spares=0):
        self.record, self.runners = record, runners
        self.machines, self.disks = machines, disks
        self.ips = [f"127.0.1.{number + 1}" for number in range(machines + spares)]
        self.core = list(range(disks))
        self.processes = {}
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._ports = {}
        self._platform = None
        self._reserved = None
        self._platform_address = ""
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._commands = {name: role["run"] for name, role in roles.items()}
        self.bounds = BOUNDS
        self.list_filter = lambda entries: entries

    async def __aenter__(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("the build of the deploy file has not been run")
        self._reserve_ports()
        for number, runner in enumerate(self.runners):
            await runner.start(f"127.0.2.{number + 1}")
        self._platform = await asyncio.start_server(
            self._serve_platform, "127.0.3.1", 0
        )
        host, port = self._platform.sockets[0].getsockname()[:2]
        self._platform_address = f"{host}:{port}"
        for machine in range(self.machines):
            for role in self.roles_of(machine):
                self.start(role, machine, bootstrap=True)
        return self

    async def __aexit__(self, *error):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await asyncio.to_thread(process.wait)
        for runner in self.runners:
            await runner.stop()
        self._platform.close()
        self._reserved.close()
        if os.environ.get("KEEP_LOGS"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def roles_of(self, machine):
        return ("control", "entry") if machine in self.core else ("entry",)

    def _reserve_ports(self):
        names = ("Front", "Ready", "Control", "Directory")
        for first in range(20_000, 31_000, 40):
            try:
                self._reserved = socket.create_server(("127.0.3.1", first))
            except OSError:
                continue
            if all(
                _is_free(ip, port)
                for ip in self.ips
                for port in range(first + 1, first + 30)
            ):
                self._ports = {name: first + 1 + n for n, name in enumerate(names)}
                self._ports["range"] = first + 10
                return
            self._reserved.close()
        raise CannotRun("no free ports")

    def address(self, machine, name):
        return self.ips[machine], self._ports[name]

    def start(self, role, machine, bootstrap=False):
        """Start one program with the command of the deploy file."""
        ip = self.ips[machine]
        seeds = ",".join(
            f"{seed}:{self._ports['Control']}" for seed in self.ips[: self.disks]
        )
        first = self._ports["range"]
        zone = ZONES[machine % len(ZONES)]
        lines = [
            f"Node=front-{zone}-{machine // len(ZONES) + 1}",
            f"Role={role}",
            "MachineClass=front",
            f"Ip={ip}",
            f"Zone={zone}",
            "Region=kyushu",
            *(f"Zones.{item}=kyushu" for item in ZONES),
            f"PortRange={first},{first + 15}",
            f"Seeds={seeds}",
            f"Bootstrap={str(bootstrap).lower()}",
            f"LossCounts={str(machine in self.core).lower()}",
            "Limits.MaxFds=4100",
            "Discovery=cloud",
            "Entry=directory",
            "ConfigMode=highest",
            "FaultTolerance.Machines=1",
            f"Cloud.Address={self._platform_address}",
            "Cloud.RatePerS=44.0",
            "Cloud.LagMs=800",
            self.bounds,
        ]
        if role == "entry":
            lines.append("Serves=front,directory")
            listened = ("Front", "Ready", "Directory")
        else:
            lines += ["Serves=control", f"DataDir={self._folder}/data-{machine}"]
            listened = ("Control",)
        lines += [f"Listen.{name}={ip}:{self._ports[name]}" for name in listened]
        settings = self._folder / f"{role}-{machine}.conf"
        settings.write_text("\n".join(lines))
        program, *arguments = shlex.split(self._commands[role])
        kept = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        with (self._folder / f"{role}-{machine}.log").open("ab") as log:
            self.processes[role, machine] = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "DAMASKRIDGE_CONFIG": str(settings),
                },
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.add("start", role=role, machine=machine)

    def signal(self, role, machine, number):
        self.record.add("signal", role=role, machine=machine, signal=number.name)
        self.processes[role, machine].send_signal(number)

    async def terminate(self, machine):
        """Stop a machine as the platform does: SIGTERM, and SIGKILL after the grace."""
        for role in self.roles_of(machine):
            self.signal(role, machine, signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        for role in self.roles_of(machine):
            if self.processes[role, machine].poll() is None:
                self.signal(role, machine, signal.SIGKILL)

    def lose_disk(self, machine):
        """Take the power and the disk from a machine."""
        for role in self.roles_of(machine):
            self.signal(role, machine, signal.SIGKILL)
            self.processes[role, machine].wait()
        shutil.rmtree(self._folder / f"data-{machine}")
        self.record.add("disk-lost", machine=machine)

    async def put_config(self, document, timeout_s=START_TIMEOUT_S, first=0):
        """Put a configuration like the operator, until there is a clear answer."""
        body = json.dumps(document).encode()
        version = document["Version"]
        self.record.add("config-sent", version=version)
        end_s = time.monotonic() + timeout_s
        machine = first
        while time.monotonic() < end_s:
            target = self.address(self.core[machine % len(self.core)], "Control")
            for _ in range(3):
                status, headers, _ = await http(*target, "PUT", "/api/config", {}, body)
                if status != 307:
                    break
                location = headers["location"].removeprefix("http://")
                host, _, port = location.partition("/")[0].rpartition(":")
                target = host, int(port)
            if status == 200:
                self.record.add("config-acknowledged", version=version)
                return 200
            if status in (400, 409, 412, 413, 422):
                self.record.add("config-refused", version=version, status=status)
                return status
            machine += 1
            await asyncio.sleep(0.1)
        self.record.add("config-unclear", version=version)
        return 0

    async def leader(self):
        """Return the machine whose control process answers reads itself, or None."""
        for machine in self.core:
            if await self.read_version(machine) is not None:
                return machine
        return None

    async def read_version(self, machine):
        """Return the version that a machine reads back itself, or None."""
        status, _, body = await http(
            *self.address(machine, "Control"), "GET", "/api/config", {}
        )
        return json.loads(body)["Version"] if status == 200 else None

    async def resolve(self, machine, zone):
        """Ask a machine where to connect; return addresses and their time to live."""
        target = f"/api/resolve?Name={HOST_NAME}&Region=kyushu&Zone={zone}"
        status, _, body = await http(
            *self.address(machine, "Directory"), "GET", target, {}
        )
        if status != 200:
            return [], 0.0
        answer = json.loads(body)
        return answer["Addresses"], answer["TtlS"]

    async def is_ready(self, machine):
        status, _, _ = await http(
            *self.address(machine, "Ready"), "GET", "/api/ready", {}
        )
        return status == 200

    async def wait_ready(self):
        end_s = time.monotonic() + START_TIMEOUT_S
        for machine in range(self.machines):
            while not await self.is_ready(machine):
                if time.monotonic() > end_s:
                    raise CannotRun(f"machine {machine} is not ready")
                await asyncio.sleep(0.1)

    async def _serve_platform(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            entries = self.list_filter([runner.entry() for runner in self.runners])
            body = json.dumps({"Instances": entries, "Next": None}).encode()
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


async def read_head(reader):
    """Return status and headers of a response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(first.split()[1]), headers


async def http(ip, port, method, target, headers, body=b"", timeout_s=1.5):
    """Make one call on a new connection; status 0 if there is no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            status, found = await read_head(reader)
            if "content-length" in found:
                return (
                    status,
                    found,
                    await reader.readexactly(int(found["content-length"])),
                )
            return status, found, await reader.read()
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()


def main(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(Path(folder))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=has_trouble)
    try:
        broken = asyncio.run(case(record, has_trouble))
    except Exception as error:
        # An error of the case itself must not look like a broken rule.
        record.add("cannot-run", reason=repr(error))
        traceback.print_exc()
        sys.exit(2)
    for line in broken:
        record.add("broken", what=line)
        print(line)
    record.add("result", broken=len(broken))
    record.close()
    sys.exit(1 if broken else 0)
