"""A small fleet of real processes: starts them, disturbs them, and ends them all."""

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

__all__ = ["Fleet", "Watch", "bundle", "digest", "until"]

ROOT = Path(__file__).resolve().parents[2]
CONTROLS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2", "e3")
IN_FORCE_S = 4.0
WAIT_S = 20.0
POLL_S = 0.02
CALL_TIMEOUT_S = 8.0
# Below the range of outgoing connections, one of which may take the port of a
# process that is down.
FIRST_PORT, PORTS, BLOCK = 12_000, 20_000, 40


def digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """Return free ports, from a block that depends on the process."""
    ports: list[int] = []
    start = os.getpid() * BLOCK
    for offset in range(PORTS):
        port = FIRST_PORT + (start + offset) % PORTS
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


def until(condition, what: str = "", wait_s: float = WAIT_S):
    """Return the first true value of the condition; fail after `wait_s`."""
    end_s = time.monotonic() + wait_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < end_s, f"not within {wait_s} s: {what}"
        time.sleep(POLL_S)


def bundle(number: int = 0, service: str = "127.0.0.1:9") -> Bundle:
    """Return a valid bundle; different numbers differ in a rate."""
    server = BackendServer(
        "desk-1", "desk", BackendServerRole.SERVICE, "desk", "west", service, slots=8
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
    Three control and some entry processes with their files in one folder.

    Parameters
    ----------
    folder : Path
        An empty folder.
    entries : tuple of str
        Names of the entry hosts.
    """

    def __init__(self, folder: Path, entries: tuple[str, ...] = ENTRIES) -> None:
        self.folder = folder
        self.entries = entries
        names = [f"{name}/{use}" for name in CONTROLS for use in ("rpc", "operators")]
        names += [
            f"{name}/{use}"
            for name in entries
            for use in ("caller", "peer", "operators")
        ]
        names += ["hosts", "service"]
        ports = free_ports(len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.commands = 0

    def __enter__(self) -> "Fleet":
        try:
            self.start("hosts")
            for name in (*CONTROLS, *self.entries):
                self.start(name)
            until(self.leader, "a leader")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        for name in list(self.running):
            self.kill(name)

    # Processes

    def start(self, name: str, *options: str) -> None:
        if name in ("hosts", "service"):
            arguments = [f"examples.standins.{name}", "--port", str(self.ports[name])]
        else:
            kind = "control" if name in CONTROLS else "entry"
            path = self._write_settings(name, kind)
            arguments = [f"damaskridge.binaries.{kind}", "--settings", str(path)]
        paths = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments, *options],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": paths},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # The end of the shell that started the tests would signal stopped
                # processes of its process group.
                start_new_session=True,
            )

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        self.running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.running[name].send_signal(signal.SIGCONT)

    def data(self, name: str) -> Path:
        return self.folder / f"{name}-data"

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    # What the processes show

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name]}"

    def metric(self, host: str, name: str, wait_s: float = 1.0) -> float | None:
        """Return a metric of a process, or None if it does not answer."""
        url = f"http://{self.address(f'{host}/operators')}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=wait_s) as answer:
                lines = answer.read().decode().splitlines()
        except (OSError, ValueError):
            return None
        start = f"damaskridge_{name} "
        return next((float(x.split()[1]) for x in lines if x.startswith(start)), None)

    def leader(self) -> str:
        """Return the leader of the highest term, empty if none answers as one."""
        found = [
            (self.metric(name, "term", 0.3) or 0.0, name)
            for name in CONTROLS
            if self.metric(name, "is_leader", 0.3)
        ]
        return max(found)[1] if found else ""

    def versions(self) -> list[float | None]:
        return [self.metric(name, "bundle_version") for name in self.entries]

    def assert_in_force(self, version: int, since_s: float) -> None:
        """Check that every entry host has the version within the promised time."""
        end_s = since_s + IN_FORCE_S
        while True:
            versions = self.versions()
            took_s = time.monotonic() - since_s
            if all(item is not None and item >= version for item in versions):
                assert took_s <= IN_FORCE_S, f"in force after {took_s:.2f} s"
                return
            assert time.monotonic() < end_s, f"{versions} after {took_s:.2f} s"
            time.sleep(POLL_S)

    def wait_for_entries(self, version: int) -> None:
        """Wait until every entry host has the version and a lease."""
        until(
            lambda: all(
                self.metric(name, "bundle_version") == version
                and (self.metric(name, "lease_remaining_seconds") or 0) > 0
                for name in self.entries
            ),
            f"version {version} on all entry hosts",
        )

    # Operators

    def calls(self, work, key: str = "ada"):
        """Run a coroutine function with a client of the control group."""

        async def main():
            addresses = [self.address(f"{name}/rpc") for name in CONTROLS]
            calls = LeaderClient(addresses, operator_key=key)
            try:
                return await work(calls)
            finally:
                calls.close()

        return anyio.run(main)

    def commit(self, kind, operator: str = "ada", command_id: str = "", **fields):
        """Send a command of an operator until it is answered."""
        self.commands += 1
        command_id = command_id or f"test/{self.commands}"
        command = kind(command_id=command_id, operator=operator, **fields)
        return self.calls(
            lambda calls: calls.propose(command, CALL_TIMEOUT_S), operator
        )

    def signed(self, content: Bundle) -> str:
        """Propose and sign off a bundle; returns the proposal's id."""
        result = self.commit(ProposeBundle, bundle=content)
        assert result.failure is None, result
        signed = self.commit(SignOffBundle, "bob", proposal=result.value)
        assert signed.failure is None, signed
        return result.value

    def roll(self, content: Bundle, expected: int) -> int:
        """Put a bundle in force; returns its version."""
        proposal = self.signed(content)
        result = self.commit(RollBundle, proposal=proposal, expected_version=expected)
        assert result.failure is None, result
        return int(result.value)

    def propose_many(self, contents: list[Bundle]) -> None:
        async def work(calls: LeaderClient) -> None:
            for number, content in enumerate(contents):
                command = ProposeBundle(
                    command_id=f"many/{number}", operator="ada", bundle=content
                )
                assert (await calls.propose(command, CALL_TIMEOUT_S)).failure is None

        self.calls(work)

    def roll_many(self, count: int, version: int) -> int:
        """Alternate between the last two versions' contents; returns the version."""

        async def work(calls: LeaderClient) -> int:
            for number in range(version, version + count):
                command = RollBackBundle(
                    command_id=f"rolled/{number}",
                    operator="ada",
                    to_version=number - 1,
                    expected_version=number,
                )
                result = await calls.propose(command, CALL_TIMEOUT_S)
                assert result.failure is None, result
            return version + count

        return self.calls(work)

    def status(self):
        """Return the status that a quorum confirms."""
        status = self.calls(
            lambda calls: calls.status(CALL_TIMEOUT_S, with_bundle=True)
        )
        assert status.failure is None, status.failure
        return status

    # Callers

    def call(self, host: str, body: str, key: str) -> tuple[int, bytes]:
        """Send a call that must not be repeated; status 0 if no answer came."""
        request = urllib.request.Request(
            f"http://{self.address(f'{host}/caller')}/services/desk/book",
            data=body.encode(),
            headers={"Authorization": "Bearer key-w1", "Idempotency-Key": key},
        )
        try:
            with urllib.request.urlopen(request, timeout=WAIT_S) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()
        except OSError:
            return 0, b""

    def service_calls(self) -> list[str]:
        """Return the bodies of all calls that the service received."""
        url = f"http://{self.address('service')}/__calls"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return [item["body"] for item in msgspec.json.decode(answer.read())]

    def _write_settings(self, name: str, kind: str) -> Path:
        content: dict[str, object] = {
            "host": name,
            "data_centre": "west",
            "operators_address": self.address(f"{name}/operators"),
        }
        controls = {item: self.address(f"{item}/rpc") for item in CONTROLS}
        if kind == "control":
            content["rpc_address"] = controls[name]
            content["members"] = controls
            content["data_folder"] = str(self.data(name))
        else:
            content["caller_address"] = self.address(f"{name}/caller")
            content["peer_address"] = self.address(f"{name}/peer")
            content["control_addresses"] = list(controls.values())
            content["host_list_address"] = self.address("hosts")
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path


class Watch:
    """Reads the versions of all entry hosts all the time; none may go back."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.reverted: list[str] = []
        self.reads = 0

    def __enter__(self) -> "Watch":
        self._thread.start()
        return self

    def __exit__(self, kind: object, *exc_info: object) -> None:
        self._stopped.set()
        self._thread.join()
        if kind is None:
            assert not self.reverted and self.reads > 0, self.reverted

    def _run(self) -> None:
        seen: dict[str, float] = {}
        while not self._stopped.wait(POLL_S):
            for name in self._fleet.entries:
                version = self._fleet.metric(name, "bundle_version")
                if version is None:
                    continue
                self.reads += 1
                if version < seen.get(name, 0.0) and version > 0:
                    self.reverted.append(f"{name}: {seen[name]} to {version}")
                seen[name] = max(version, seen.get(name, 0.0))
