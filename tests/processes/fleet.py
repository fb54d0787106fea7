"""A small fleet of control and entry processes that tests start, pause and kill."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from hashlib import sha256
from pathlib import Path

import anyio
import msgspec

from damaskridge.adapters.rpc.leader_client import LeaderClient
from damaskridge.model.bundle import (
    BackendServer,
    BackendServerRole,
    Bundle,
    KeyRecord,
    Operator,
    Route,
    Workspace,
)
from damaskridge.model.control import (
    ProposeBundle,
    RollBackBundle,
    RollBundle,
    SignOffBundle,
)

__all__ = ["Fleet", "VersionWatch", "digest", "make_bundle", "wait_until"]

ROOT = Path(__file__).resolve().parents[2]
CONTROL_HOSTS = ("c1", "c2", "c3")
ENTRY_HOSTS = ("e1", "e2", "e3")
# Time within which an accepted bundle has to be in force on every entry host.
MAX_IN_FORCE_DELAY_S = 4.0
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 8.0
# Below the ephemeral port range: an outgoing connection could otherwise take the port
# of a process that is down.
FIRST_PORT, PORT_COUNT, PORTS_PER_PROCESS = 12_000, 20_000, 40


def digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """Return free ports, searched from a block that depends on the process id."""
    ports: list[int] = []
    start = os.getpid() * PORTS_PER_PROCESS
    for offset in range(PORT_COUNT):
        port = FIRST_PORT + (start + offset) % PORT_COUNT
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


def wait_until(condition, description: str = "", timeout_s: float = TIMEOUT_S):
    """Return the first true value of the condition; fail after `timeout_s`."""
    end_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < end_s, f"timed out after {timeout_s} s: {description}"
        time.sleep(POLL_INTERVAL_S)


def make_bundle(number: int = 0, service_address: str = "127.0.0.1:9") -> Bundle:
    """Return a valid bundle; `number` is added to the rate of the workspace."""
    server = BackendServer(
        "desk-1",
        "desk",
        BackendServerRole.SERVICE,
        "desk",
        "west",
        service_address,
        slots=8,
    )
    return Bundle(
        workspaces=(Workspace("w1", 10_000.0 + number, 50_000.0),),
        keys=(KeyRecord(digest("key-w1"), "w1"),),
        operators=tuple(Operator(name, digest(name)) for name in ("ada", "bob")),
        routes=(Route("desk", "book", repeatable=False),),
        backend_servers=(server,),
    )


class Fleet:
    """
    Three control hosts and some entry hosts as processes, with their files in a folder.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, logs and data.
    entry_hosts : tuple of str
        Names of the entry hosts.
    """

    def __init__(
        self, folder: Path, entry_hosts: tuple[str, ...] = ENTRY_HOSTS
    ) -> None:
        self.folder = folder
        self.entry_hosts = entry_hosts
        names = [
            f"{name}/{use}" for name in CONTROL_HOSTS for use in ("rpc", "operators")
        ]
        names += [
            f"{name}/{use}"
            for name in entry_hosts
            for use in ("caller", "peer", "operators")
        ]
        names += ["hosts", "service"]
        ports = free_ports(len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.command_count = 0

    def __enter__(self) -> "Fleet":
        try:
            self.start("hosts")
            for name in (*CONTROL_HOSTS, *self.entry_hosts):
                self.start(name)
            wait_until(self.leader, "a leader")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        for name in list(self.processes):
            self.kill(name)

    # Processes

    def start(self, name: str, *options: str) -> None:
        if name in ("hosts", "service"):
            arguments = [f"examples.standins.{name}", "--port", str(self.ports[name])]
        else:
            program = "control" if name in CONTROL_HOSTS else "entry"
            path = self._write_settings(name, program)
            arguments = [f"damaskridge.binaries.{program}", "--settings", str(path)]
        paths = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments, *options],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": paths},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Otherwise the stopped processes receive a signal when the shell that
                # started the tests exits, as members of its process group.
                start_new_session=True,
            )

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def data_folder(self, name: str) -> Path:
        return self.folder / f"{name}-data"

    def read_log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    # State that the processes report

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name]}"

    def metric(self, host: str, name: str, timeout_s: float = 1.0) -> float | None:
        """Return a metric of a process, or None if it does not respond."""
        url = f"http://{self.address(f'{host}/operators')}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=timeout_s) as response:
                lines = response.read().decode().splitlines()
        except (OSError, ValueError):
            return None
        prefix = f"damaskridge_{name} "
        return next((float(x.split()[1]) for x in lines if x.startswith(prefix)), None)

    def leader(self) -> str:
        """Return the leader of the highest term, or an empty text without a leader."""
        found = [
            (self.metric(name, "term", 0.3) or 0.0, name)
            for name in CONTROL_HOSTS
            if self.metric(name, "is_leader", 0.3)
        ]
        return max(found)[1] if found else ""

    def bundle_versions(self) -> list[float | None]:
        return [self.metric(name, "bundle_version") for name in self.entry_hosts]

    def assert_in_force(self, version: int, since_s: float) -> None:
        """Check that every entry host has the version within `MAX_IN_FORCE_DELAY_S`."""
        end_s = since_s + MAX_IN_FORCE_DELAY_S
        while True:
            versions = self.bundle_versions()
            elapsed_s = time.monotonic() - since_s
            if all(item is not None and item >= version for item in versions):
                assert elapsed_s <= MAX_IN_FORCE_DELAY_S, (
                    f"in force only after {elapsed_s:.2f} s"
                )
                return
            assert time.monotonic() < end_s, (
                f"versions {versions} after {elapsed_s:.2f} s"
            )
            time.sleep(POLL_INTERVAL_S)

    def wait_for_entries(self, version: int) -> None:
        """Wait until every entry host has the version and a lease."""
        wait_until(
            lambda: all(
                self.metric(name, "bundle_version") == version
                and (self.metric(name, "lease_remaining_seconds") or 0) > 0
                for name in self.entry_hosts
            ),
            f"version {version} on all entry hosts",
        )

    # Operators

    def run_with_client(self, operation, key: str = "ada"):
        """Return the result of a coroutine function called with a control client."""

        async def main():
            addresses = [self.address(f"{name}/rpc") for name in CONTROL_HOSTS]
            client = LeaderClient(addresses, operator_key=key)
            try:
                return await operation(client)
            finally:
                client.close()

        return anyio.run(main)

    def commit(
        self, command_type, operator: str = "ada", command_id: str = "", **fields
    ):
        """Propose a command as an operator and return its result."""
        self.command_count += 1
        command_id = command_id or f"test/{self.command_count}"
        command = command_type(command_id=command_id, operator=operator, **fields)
        return self.run_with_client(
            lambda client: client.propose(command, CALL_TIMEOUT_S), operator
        )

    def propose_and_sign_off(self, content: Bundle) -> str:
        """Propose and sign off a bundle; return the id of the proposal."""
        result = self.commit(ProposeBundle, bundle=content)
        assert result.failure is None, result
        signed = self.commit(SignOffBundle, "bob", proposal=result.value)
        assert signed.failure is None, signed
        return result.value

    def roll(self, content: Bundle, expected: int) -> int:
        """Put a bundle in force; return its version."""
        proposal = self.propose_and_sign_off(content)
        result = self.commit(RollBundle, proposal=proposal, expected_version=expected)
        assert result.failure is None, result
        return int(result.value)

    def propose_many(self, contents: list[Bundle]) -> None:
        async def propose_all(client: LeaderClient) -> None:
            for number, content in enumerate(contents):
                command = ProposeBundle(
                    command_id=f"many/{number}", operator="ada", bundle=content
                )
                assert (await client.propose(command, CALL_TIMEOUT_S)).failure is None

        self.run_with_client(propose_all)

    def roll_back_many(self, count: int, version: int) -> int:
        """Alternate two contents by `count` rollbacks; return the last version."""

        async def roll_back_all(client: LeaderClient) -> int:
            for number in range(version, version + count):
                command = RollBackBundle(
                    command_id=f"rolled/{number}",
                    operator="ada",
                    to_version=number - 1,
                    expected_version=number,
                )
                result = await client.propose(command, CALL_TIMEOUT_S)
                assert result.failure is None, result
            return version + count

        return self.run_with_client(roll_back_all)

    def status(self):
        """Return the fleet status, confirmed by a quorum."""
        status = self.run_with_client(
            lambda client: client.status(CALL_TIMEOUT_S, with_bundle=True)
        )
        assert status.failure is None, status.failure
        return status

    # Callers

    def send_call(self, host: str, body: str, key: str) -> tuple[int, bytes]:
        """Send a non-repeatable call; the status is 0 if no response arrived."""
        request = urllib.request.Request(
            f"http://{self.address(f'{host}/caller')}/services/desk/book",
            data=body.encode(),
            headers={"Authorization": "Bearer key-w1", "Idempotency-Key": key},
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()
        except OSError:
            return 0, b""

    def service_calls(self) -> list[str]:
        """Return the bodies of all calls that the service received."""
        url = f"http://{self.address('service')}/__calls"
        with urllib.request.urlopen(url, timeout=5) as response:
            return [item["body"] for item in msgspec.json.decode(response.read())]

    def _write_settings(self, name: str, program: str) -> Path:
        content: dict[str, object] = {
            "host": name,
            "data_centre": "west",
            "operators_address": self.address(f"{name}/operators"),
        }
        control_addresses = {
            item: self.address(f"{item}/rpc") for item in CONTROL_HOSTS
        }
        if program == "control":
            content["rpc_address"] = control_addresses[name]
            content["members"] = control_addresses
            content["data_folder"] = str(self.data_folder(name))
        else:
            content["caller_address"] = self.address(f"{name}/caller")
            content["peer_address"] = self.address(f"{name}/peer")
            content["control_addresses"] = list(control_addresses.values())
            content["host_list_address"] = self.address("hosts")
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path


class VersionWatch:
    """Polls the bundle versions of all entry hosts and checks that none decreases."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.regressions: list[str] = []
        self.read_count = 0

    def __enter__(self) -> "VersionWatch":
        self._thread.start()
        return self

    def __exit__(self, exc_type: object, *exc_info: object) -> None:
        self._stopped.set()
        self._thread.join()
        if exc_type is None:
            assert not self.regressions and self.read_count > 0, self.regressions

    def _run(self) -> None:
        highest: dict[str, float] = {}
        while not self._stopped.wait(POLL_INTERVAL_S):
            for name in self._fleet.entry_hosts:
                version = self._fleet.metric(name, "bundle_version")
                if version is None:
                    continue
                self.read_count += 1
                if version < highest.get(name, 0.0) and version > 0:
                    self.regressions.append(f"{name}: {highest[name]} to {version}")
                highest[name] = max(version, highest.get(name, 0.0))
