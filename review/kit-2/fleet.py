"""Starts the programs of the deploy file as processes on loopback addresses."""

import asyncio
import os
import shutil
import socket
import subprocess
import time
from pathlib import Path

from http11 import call

ROOT = Path(__file__).resolve().parents[2]
PORTS_PER_BLOCK = 40
# From the example of DEPLOY.md and the sheet of kdrc-reloft.
BOUNDS = """\
PortRange={first},{last}
LossCounts=true
Limits.CpuShare=0.968
Limits.Cores=2
Limits.MemoryMb=150
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=64
Discovery=cloud
Entry=directory
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota
FaultTolerance.Machines=1
FaultTolerance.Zones=0
FaultTolerance.Regions=0
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
ConfigMode=highest
Cloud.RatePerS=44.0
Cloud.Duties=
Cloud.LagMs=800
"""
ZONES = ("fukuoka", "kumamoto", "kagoshima")


class CannotRun(Exception):
    """The case could not be played."""


def _is_free(ip, port):
    try:
        socket.create_server((ip, port)).close()
    except OSError:
        return False
    return True


class Fleet:
    """Machines with a control and an entry process each, the first ones with a disk."""

    def __init__(self, folder, machines=3):
        self.folder = Path(folder)
        self.ips = [f"127.0.0.{number + 1}" for number in range(machines)]
        self.processes = {}
        self._reserved, self.first_port = self._reserve_ports()
        self.list_address = f"{self.ips[0]}:{self.first_port + 5}"

    def _reserve_ports(self):
        for first in range(21_000, 31_000, PORTS_PER_BLOCK):
            try:
                reserved = socket.create_server((self.ips[0], first))
            except OSError:
                continue
            ports = range(first + 1, first + PORTS_PER_BLOCK)
            if all(_is_free(ip, port) for ip in self.ips for port in ports):
                return reserved, first
            reserved.close()
        raise CannotRun("no block of ports is free")

    def front(self, number):
        return f"{self.ips[number]}:{self.first_port + 1}"

    def ready(self, number):
        return f"{self.ips[number]}:{self.first_port + 2}"

    def control(self, number):
        return f"{self.ips[number]}:{self.first_port + 3}"

    def directory(self, number):
        return f"{self.ips[number]}:{self.first_port + 4}"

    def start_all(self, machines=None):
        for number in range(machines or len(self.ips)):
            self.start("control", number, first_start=True)
            self.start("entry", number, first_start=True)

    def start(self, role, number, *, first_start=False):
        settings = self.folder / f"{role}-{number}.conf"
        settings.write_text(self._settings(role, number, first_start))
        log = (self.folder / f"{role}-{number}.log").open("ab")
        self.processes[role, number] = subprocess.Popen(
            ["python3", "deploy/run.py", role],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "DAMASKRIDGE_CONFIG": str(settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        log.close()

    def _settings(self, role, number, first_start):
        ip, first = self.ips[number], self.first_port
        lines = [
            f"Node=front-{ZONES[number % 3]}-{number // 3 + 1}",
            f"Role={role}",
            "MachineClass=front",
            f"Ip={ip}",
            f"Zone={ZONES[number % 3]}",
            "Region=kyushu",
            *(f"Zones.{zone}=kyushu" for zone in ZONES),
            "Seeds=" + ",".join(map(self.control, range(3))),
            f"Bootstrap={'true' if first_start else 'false'}",
            f"Cloud.Address={self.list_address}",
        ]
        if role == "entry":
            lines += [
                "Serves=front,directory",
                f"Listen.Front={self.front(number)}",
                f"Listen.Ready={self.ready(number)}",
                f"Listen.Directory={self.directory(number)}",
                "DataDir=",
            ]
        else:
            data = self.folder / f"data-{number}"
            data.mkdir(exist_ok=True)
            lines += [
                "Serves=control",
                f"Listen.Control={self.control(number)}",
                f"DataDir={data}",
            ]
        text = BOUNDS.format(first=first + 10, last=first + 25)
        return "\n".join(lines) + "\n" + text

    def stop(self):
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._reserved.close()

    async def put_config(self, document, timeout_s=20.0):
        """Send a configuration until it is acknowledged, as the operator does."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for number in range(len(self.ips)):
                status, _ = await self.put_once(number, document)
                if status == 200:
                    return number
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"a valid configuration was refused: {status}")
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def kill(self, number):
        """End the processes of a machine at once."""
        ended = [process for key, process in self.processes.items() if key[1] == number]
        for process in ended:
            process.kill()
        for process in ended:
            process.wait()

    def lose_disk(self, number):
        """Empty the data folder of a machine whose processes have ended."""
        shutil.rmtree(self.folder / f"data-{number}")

    async def leader(self):
        """Return the machine that operators are sent to; None if there is none."""
        for number in range(len(self.ips)):
            status, got, _ = await call(self.control(number), "GET", "/api/config")
            if status == 200:
                return number
            if status == 307:
                found = got["location"].removeprefix("http://").partition(":")[0]
                return self.ips.index(found) if found in self.ips else None
        return None

    async def put_once(self, number, body):
        """Send one change to a machine; follow two redirections."""
        return await self._follow(self.control(number), "PUT", body)

    async def read_config(self, number):
        """Read the configuration at a machine; return status and body."""
        return await self._follow(self.control(number), "GET", b"")

    async def _follow(self, address, method, body):
        headers = ["Content-Type: application/json"]
        for _ in range(3):
            status, got, data = await call(
                address, method, "/api/config", headers, body
            )
            if status != 307:
                break
            address = got["location"].removeprefix("http://").partition("/")[0]
        return status, data

    async def wait_ready(self, numbers=None, timeout_s=20.0):
        """Wait until the entry processes say that they are ready."""
        until_s = time.monotonic() + timeout_s
        waiting = set(range(len(self.ips)) if numbers is None else numbers)
        while waiting:
            if time.monotonic() > until_s:
                raise CannotRun(f"not ready: {sorted(waiting)}")
            for number in sorted(waiting):
                status, _, _ = await call(self.ready(number), "GET", "/api/ready")
                if status == 200:
                    waiting.discard(number)
            await asyncio.sleep(0.1)
