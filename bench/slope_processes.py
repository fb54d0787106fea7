"""Runs a fleet of real processes on loopback and measures CPU time and traffic."""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from examples.demo_settings import free_ports

from damaskridge.adapters.rpc.leader_client import LeaderClient
from damaskridge.model.bundle import Bundle, Operator
from damaskridge.model.control import ProposeBundle, RollBundle, SignOffBundle

__all__ = ["ProcessFleet", "CountingRelay", "UsageWindow", "cpu_s", "rss_bytes"]

ROOT = Path(__file__).resolve().parent.parent
CONTROL_HOSTS = ("control-1", "control-2", "control-3")
OPERATOR_KEY = "operator-key-of-the-slopes"
CALLER_KEY = "caller-key-of-the-slopes"
STOP_TIMEOUT_S = 12.0
MAX_CLASSIFIED_BYTES = 4_096
READY_TIMEOUT_S = 45.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def operators() -> tuple[Operator, ...]:
    return tuple(Operator(name, digest(OPERATOR_KEY)) for name in ("alice", "bob"))


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process, with the resolution of a clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class ConnectionTraffic:
    """Bytes and reads of one connection, without TCP and IP headers.

    The connection is either between two members of the control group or from a
    client, such as an entry host.
    """

    def __init__(self) -> None:
        self.is_between_members = False
        self.in_bytes = self.out_bytes = self.in_reads = self.out_reads = 0

    def count(self, data: bytes, *, inward: bool) -> None:
        # Only messages between members of the control group have this field.
        if (
            inward
            and not self.is_between_members
            and self.in_bytes < MAX_CLASSIFIED_BYTES
        ):
            self.is_between_members = b"recipient" in data
        if inward:
            self.in_bytes += len(data)
            self.in_reads += 1
        else:
            self.out_bytes += len(data)
            self.out_reads += 1


class CountingRelay:
    """
    Forwards connections to one control host and counts their bytes.

    Attributes
    ----------
    connections : list of Traffic
        All connections accepted so far.
    """

    def __init__(self, port: int, target: str) -> None:
        self.address = f"127.0.0.1:{port}"
        self.connections: list[ConnectionTraffic] = []
        self._port = port
        self._target = target
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        traffic = ConnectionTraffic()
        self.connections.append(traffic)
        await asyncio.gather(
            _forward(reader, target_writer, traffic, inward=True),
            _forward(target_reader, writer, traffic, inward=False),
        )


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    traffic: ConnectionTraffic,
    *,
    inward: bool,
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            traffic.count(data, inward=inward)
            writer.write(data)
            await writer.drain()
    writer.close()


class UsageWindow:
    """CPU time and traffic of the fleet from its creation to `end`."""

    def __init__(self, fleet: "ProcessFleet") -> None:
        self._fleet = fleet
        self._start_s = time.monotonic()
        self._cpu_s = {name: cpu_s(pid) for name, pid in fleet.pids().items()}
        self._initial_traffic = self._total_traffic()
        self.took_s = 0.0
        self.cpu_s: dict[str, float] = {}
        self.traffic: dict[tuple[str, str], int] = {}

    def _total_traffic(self) -> dict[tuple[str, str], int]:
        totals: dict[tuple[str, str], int] = {}
        for relay in self._fleet.relays:
            for item in relay.connections:
                kind = "member" if item.is_between_members else "host"
                for name in ("in_bytes", "out_bytes", "in_reads", "out_reads"):
                    key = (kind, name)
                    totals[key] = totals.get(key, 0) + getattr(item, name)
        return totals

    def end(self) -> "UsageWindow":
        """Record the differences since the creation."""
        self.took_s = time.monotonic() - self._start_s
        now_s = {name: cpu_s(pid) for name, pid in self._fleet.pids().items()}
        self.cpu_s = {name: now_s[name] - was for name, was in self._cpu_s.items()}
        totals = self._total_traffic()
        self.traffic = {
            key: value - self._initial_traffic.get(key, 0)
            for key, value in totals.items()
        }
        return self

    def cpu_share(self, name: str) -> float:
        """Return the mean share of a core that a process used."""
        return self.cpu_s[name] / self.took_s

    def mean_entry_cpu_share(self) -> float:
        """Return the mean share of a core over all entry hosts."""
        shares = [s for name, s in self.cpu_s.items() if name.startswith("entry")]
        return sum(shares) / len(shares) / self.took_s


class ProcessFleet:
    """Three control hosts and any number of entry hosts, with files in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        ports = free_ports(len(CONTROL_HOSTS) * 3 + 1)
        self._ports = {
            name: tuple(ports[n * 3 : n * 3 + 3])
            for n, name in enumerate(CONTROL_HOSTS)
        }
        self.platform_port = ports[-1]
        self.relays = [
            CountingRelay(relay, f"127.0.0.1:{rpc}")
            for rpc, relay, _ in self._ports.values()
        ]
        self.addresses = [relay.address for relay in self.relays]
        self.leader_client = LeaderClient(self.addresses, operator_key=OPERATOR_KEY)
        self.version = 0
        self.callers: list[str] = []

    async def __aenter__(self) -> "ProcessFleet":
        for relay in self.relays:
            await relay.start()
        members = dict(zip(CONTROL_HOSTS, self.addresses, strict=True))
        for name, (rpc, _, operators_port) in self._ports.items():
            settings = {
                "host": name,
                "data_centre": "dc-0",
                "rpc_address": f"127.0.0.1:{rpc}",
                "operators_address": f"127.0.0.1:{operators_port}",
                "members": members,
                "data_folder": str(self.folder / name),
            }
            self._start_with_settings(name, "damaskridge.binaries.control", settings)
        self.start(
            "hosts", "examples.standins.hosts", "--port", str(self.platform_port)
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.leader_client.close()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            remaining_s = max(0.01, end_s - time.monotonic())
            try:
                # Wait in a thread: the relays must keep running while processes drain.
                await asyncio.to_thread(process.wait, remaining_s)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start(self, name: str, module: str, *arguments: str) -> None:
        paths = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": paths},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _start_with_settings(self, name: str, module: str, settings: dict) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, module, "--settings", str(path))

    def start_entries(self, count: int) -> None:
        """Start entry hosts until `count` are started."""
        started = len(self.callers)
        ports = iter(free_ports(3 * (count - started)))
        for number in range(started, count):
            caller, peer, operators_port = (
                f"127.0.0.1:{next(ports)}" for _ in range(3)
            )
            settings = {
                "host": f"entry-{number:03}",
                "data_centre": "dc-0",
                "caller_address": caller,
                "peer_address": peer,
                "operators_address": operators_port,
                "control_addresses": self.addresses,
                "host_list_address": f"127.0.0.1:{self.platform_port}",
                "front": {"keep_s": 0.5},
            }
            name = f"entry-{number:03}"
            self._start_with_settings(name, "damaskridge.binaries.entry", settings)
            self.callers.append(caller)

    def pids(self) -> dict[str, int]:
        return {name: process.pid for name, process in self.processes.items()}

    async def leader(self) -> str:
        return (await self.leader_client.status(10.0)).leader

    async def wait_ready(self) -> None:
        """Wait until every entry host has a session and the current bundle version."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            status = await self.leader_client.status(5.0)
            ready = [h for h in status.hosts if h.version >= self.version]
            if status.failure is None and len(ready) >= len(self.callers):
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("the fleet did not become ready")

    async def roll(self, bundle: Bundle) -> None:
        """Propose, sign off and roll a bundle."""
        name = f"slopes/{self.version + 1}"
        proposal = await self._commit(
            ProposeBundle(command_id=f"{name}/p", operator="alice", bundle=bundle)
        )
        await self._commit(
            SignOffBundle(command_id=f"{name}/s", operator="bob", proposal=proposal)
        )
        value = await self._commit(
            RollBundle(
                command_id=f"{name}/r",
                operator="alice",
                proposal=proposal,
                expected_version=self.version,
            )
        )
        self.version = int(value)

    async def _commit(self, command: ProposeBundle | SignOffBundle | RollBundle) -> str:
        result = await self.leader_client.propose(command, 10.0)
        assert result.failure is None, result.failure
        return result.value

    def log_events(self, number: int) -> list[dict]:
        """Return the log records of all processes with this event number."""
        records = []
        for path in self.folder.glob("*.log"):
            for line in path.read_text().splitlines():
                if f'"event":{number},' in line.replace(" ", ""):
                    records.append(json.loads(line))
        return records
