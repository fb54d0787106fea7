"""Measures a fleet of real processes on loopback: ``python -m bench.process``.

Prints one line per figure and writes ``out/process.json``. An optional argument names
a folder that receives the log files of the processes.
"""

import http.client
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable
from pathlib import Path

import anyio
from examples.demo import fetch
from examples.demo_processes import ROOT, Processes
from examples.demo_settings import (
    ALICE_KEY,
    BOB_KEY,
    CONTROLS,
    ENTRIES,
    KEYS,
    Layout,
    digest,
)

from damaskridge.adapters.bundle_file import read_bundle
from damaskridge.adapters.rpc.leader_client import LeaderClient
from damaskridge.model.control import (
    Command,
    ProposeBundle,
    RollBundle,
    SignOffBundle,
    WithdrawKey,
)

CALLER_KEY = KEYS["magicians"]
MAX_MEMORY_MB = 64.0
ROUND_TRIPS = 3
MAX_PROCESSING_MS = 5.0
MAX_TOKEN_GAP_MS = 78.0
MAX_IN_FORCE_S = 4.0
STREAM_COUNT = 300
STREAM_TOKENS = 260
CLIENT_PROCESSES = 2
FIRST_TOKEN_REQUESTS = 50
DECODE_STEP_MS = 50.0
ENGINES = {f"prefill-{n}": "prefill" for n in range(1, 5)} | {
    f"decode-{n}": "decode" for n in range(1, 9)
}
# Enough for all streams, so that neither slots nor memory limit them.
SLOTS_PER_ENGINE = 60
KEYS_TO_WITHDRAW = tuple(f"bench-key-{number}" for number in range(3))
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class FigureReport:
    """Collects figures and prints each one when it is added."""

    def __init__(self) -> None:
        self.figures: list[dict[str, object]] = []

    def add(
        self, name: str, value: float, unit: str, bound: float | None = None
    ) -> None:
        verdict = "none"
        if bound is not None:
            verdict = "pass" if value <= bound else "fail"
        item = {
            "figure": name,
            "value": round(value, 4),
            "unit": unit,
            "bound": bound if bound is None else round(bound, 4),
            "verdict": verdict,
        }
        self.figures.append(item)
        print(*(f"{key}={value}" for key, value in item.items()), flush=True)


def rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ProcessLookupError(pid)


def cpu_time_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def round_trip_ms() -> float:
    """Return the median round-trip time of one byte on loopback."""
    listener = socket.create_server(("127.0.0.1", 0))

    def echo() -> None:
        peer, _ = listener.accept()
        with peer:
            while data := peer.recv(1):
                peer.sendall(data)

    thread = threading.Thread(target=echo)
    thread.start()
    round_trips_ms = []
    with socket.create_connection(listener.getsockname()) as link:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(200):
            started_s = time.perf_counter()
            link.sendall(b"x")
            link.recv(1)
            round_trips_ms.append((time.perf_counter() - started_s) * 1000)
    thread.join()
    listener.close()
    return statistics.median(round_trips_ms)


def first_line_ms(address: str, path: str, body: dict, headers: dict) -> float:
    """Return the time until the first response line with a token."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        started_s = time.perf_counter()
        connection.request("POST", path, json.dumps(body), headers)
        response = connection.getresponse()
        if response.status != 200:
            raise RuntimeError(f"{path}: {response.status} {response.read()[:200]!r}")
        while line := response.readline():
            if b"text" in line:
                return (time.perf_counter() - started_s) * 1000
        raise RuntimeError(f"{path}: response ended without a token")
    finally:
        connection.close()


class ProcessBench:
    """Starts one fleet and measures it."""

    def __init__(self, processes: Processes, report: FigureReport) -> None:
        self.processes = processes
        self.layout = processes.layout
        self.report = report
        self.version = 0
        self.callers = [self.layout.addresses[f"{name}/caller"] for name in ENTRIES]

    def run(self) -> None:
        self.processes.start_all()
        self.roll_bundle()
        self.wait_until("first bundle", lambda: self.active_versions() == {1})
        self.measure_idle_memory()
        self.measure_first_token()
        self.measure_streams()
        # Measured without faults first, so that every engine has reported and every
        # lease is held before a leader fails.
        self.measure_in_force("", None)
        self.measure_in_force("_leader_killed", signal.SIGKILL)
        self.measure_in_force("_leader_stopped", signal.SIGSTOP)

    def wait_until(self, what: str, condition: Callable[[], bool]) -> float:
        """Poll until `condition` is true and return the elapsed seconds."""
        started_s = time.perf_counter()
        while not _is_met(condition):
            if time.perf_counter() - started_s > 20:
                raise TimeoutError(what)
            time.sleep(0.01)
        return time.perf_counter() - started_s

    def commit_command(self, command: Command, key: str = ALICE_KEY) -> str:
        async def send() -> str:
            calls = LeaderClient(self.layout.control_addresses(), operator_key=key)
            result = await calls.propose(command, 10.0)
            calls.close()
            if result.failure is not None:
                raise RuntimeError(str(result.failure))
            return result.value

        return anyio.run(send)

    def find_leader(self) -> str:
        async def ask() -> str:
            calls = LeaderClient(self.layout.control_addresses())
            status = await calls.status(10.0)
            calls.close()
            return status.leader

        return anyio.run(ask)

    def prepare_roll(self) -> RollBundle:
        """Propose and sign off a new bundle and return the command that rolls it."""
        path = self.layout.bundle(f"bundle-{self.version + 1}", 1e6 + self.version)
        content = json.loads(path.read_text())
        for key in KEYS_TO_WITHDRAW:
            content["keys"].append({"digest": digest(key), "workspace": "magicians"})
        for workspace in content["workspaces"]:
            workspace["burst_tokens"] = 1e6
        path.write_text(json.dumps(content))
        bundle = read_bundle(path).unwrap()
        proposal = self.commit_command(
            ProposeBundle(command_id=_new_command_id(), operator="alice", bundle=bundle)
        )
        self.commit_command(
            SignOffBundle(
                command_id=_new_command_id(), operator="bob", proposal=proposal
            ),
            BOB_KEY,
        )
        return RollBundle(
            command_id=_new_command_id(),
            operator="alice",
            proposal=proposal,
            expected_version=self.version,
        )

    def roll_bundle(self) -> None:
        self.commit_command(self.prepare_roll())
        self.version += 1

    def active_versions(self) -> set[int]:
        versions = set()
        for name in ENTRIES:
            text = fetch(self.layout.addresses[f"{name}/operators"], "/metrics")
            for line in text.splitlines():
                if line.startswith("damaskridge_bundle_version "):
                    versions.add(int(float(line.split()[1])))
        return versions

    def measure_idle_memory(self) -> None:
        """Measure the largest memory of each role after a few idle seconds."""
        time.sleep(5.0)
        for role, names in (("entry", ENTRIES), ("control", CONTROLS)):
            value = max(rss_mb(self.processes.running[n].pid) for n in names)
            self.report.add(f"idle_memory_{role}", value, "MB", MAX_MEMORY_MB)

    def measure_first_token(self) -> None:
        """Measure the latency that routing adds to the first token."""
        bound_ms = ROUND_TRIPS * round_trip_ms() + MAX_PROCESSING_MS
        routed, direct = [], []
        for number in range(FIRST_TOKEN_REQUESTS):
            prompt = f"{number} which sail is ready?"
            routed.append(self.routed_ms(prompt))
            direct.append(self.direct_ms(prompt, f"direct-{number}.1"))
        self.report.add("first_token_routed", statistics.median(routed), "ms")
        self.report.add("first_token_direct", statistics.median(direct), "ms")
        added_ms = statistics.median(routed) - statistics.median(direct)
        self.report.add("first_token_added", added_ms, "ms", bound_ms)

    def routed_ms(self, prompt: str) -> float:
        """Return the time to the first token through an entry host."""
        body = {"model": "notes", "prompt": prompt, "max_tokens": 2, "stream": True}
        headers = {
            "authorization": f"Bearer {CALLER_KEY}",
            "content-type": "application/json",
        }
        return first_line_ms(self.callers[0], "/v1/completions", body, headers)

    def direct_ms(self, prompt: str, name: str) -> float:
        """Return the time to the first token with direct calls of the engines."""
        prefill = self.layout.addresses["prefill-1"]
        decode = self.layout.addresses["decode-1"]
        headers = {"content-type": "application/json"}
        common = {"engine_request_id": name, "model": "notes", "priority": 0}
        started_s = time.perf_counter()
        connection = http.client.HTTPConnection(prefill, timeout=10)
        body = json.dumps({**common, "prompt": prompt})
        connection.request("POST", "/v1/prefill", body, headers)
        connection.getresponse().read()
        connection.close()
        prefill_ms = (time.perf_counter() - started_s) * 1000
        request = {
            **common,
            "prefill_address": prefill,
            "first_offset": 0,
            "max_output_tokens": 2,
        }
        return prefill_ms + first_line_ms(decode, "/v1/decode", request, headers)

    def measure_streams(self) -> None:
        """Measure token gaps, CPU time and memory with many concurrent streams."""
        pid = self.processes.running[ENTRIES[0]].pid
        before_s = cpu_time_s(pid)
        command = [
            sys.executable,
            "-m",
            "bench.process_client",
            self.callers[0],
            CALLER_KEY,
        ]
        command += [str(STREAM_COUNT // CLIENT_PROCESSES), str(STREAM_TOKENS)]
        clients = [
            subprocess.Popen(
                command,
                cwd=ROOT,
                env=self.processes.environment,
                stdout=subprocess.PIPE,
            )
            for _ in range(CLIENT_PROCESSES)
        ]
        results = [json.loads(client.communicate()[0]) for client in clients]
        used_s = cpu_time_s(pid) - before_s
        gaps_ms = sorted(gap for item in results for gap in item["gaps_ms"])
        broken = STREAM_COUNT - sum(item["whole"] for item in results)
        for item in results:
            for broken_stream in item["broken"]:
                print(f"# broken stream: {broken_stream}")
        tokens = len(gaps_ms) + STREAM_COUNT
        self.report.add("streams_not_whole", broken, "streams", 0)
        gap_ms = gaps_ms[int(len(gaps_ms) * 0.95)] if gaps_ms else float("inf")
        self.report.add("token_gap_p95", gap_ms, "ms", MAX_TOKEN_GAP_MS)
        self.report.add("processor_per_token", used_s / tokens * 1e6, "us")
        self.report.add("entry_memory_after_streams", rss_mb(pid), "MB")

    def measure_in_force(self, suffix: str, fault: signal.Signals | None) -> None:
        """Measure how long a key withdrawal and a roll take to reach all hosts."""
        key = KEYS_TO_WITHDRAW[("", "_leader_killed", "_leader_stopped").index(suffix)]
        command = WithdrawKey(
            command_id=_new_command_id(), operator="alice", key_digest=digest(key)
        )
        took_s = self.measure_effect_s(command, fault, lambda: self.is_key_refused(key))
        self.report.add(f"key_withdrawn{suffix}", took_s, "s", MAX_IN_FORCE_S)
        command = self.prepare_roll()
        self.version += 1
        target = self.version
        took_s = self.measure_effect_s(
            command, fault, lambda: self.active_versions() == {target}
        )
        self.report.add(f"bundle_in_force{suffix}", took_s, "s", MAX_IN_FORCE_S)

    def measure_effect_s(
        self,
        command: Command,
        fault: signal.Signals | None,
        condition: Callable[[], bool],
    ) -> float:
        """Return the seconds from the acknowledgement of a command to its effect.

        `fault` is a signal to the leader, sent after the acknowledgement.
        """
        leader = self.find_leader()
        process = self.processes.running[leader]
        self.commit_command(command)
        if fault is not None:
            process.send_signal(fault)
        took_s = self.wait_until(type(command).__name__, condition)
        if fault is signal.SIGKILL:
            self.processes.kill(leader)
            self.processes.start_control(leader)
        elif fault is signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)
        time.sleep(3.0)
        return took_s

    def is_key_refused(self, key: str) -> bool:
        return all(_error_kind(item, key) == "key_withdrawn" for item in self.callers)


def _error_kind(address: str, key: str) -> str:
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        headers = {"authorization": f"Bearer {key}"}
        connection.request("GET", "/v1/models", headers=headers)
        content = json.loads(connection.getresponse().read())
        return str(content.get("error", {}).get("kind", ""))
    finally:
        connection.close()


def _is_met(condition: Callable[[], bool]) -> bool:
    try:
        return condition()
    except (OSError, ValueError, http.client.HTTPException):
        return False


def _new_command_id() -> str:
    return f"bench/{uuid.uuid4().hex}"


def main() -> int:
    report = FigureReport()
    with tempfile.TemporaryDirectory(prefix="damaskridge-bench-") as folder:
        layout = Layout(
            Path(folder),
            engines=ENGINES,
            slots=SLOTS_PER_ENGINE,
            decode_step_ms=DECODE_STEP_MS,
        )
        with Processes(layout) as processes:
            ProcessBench(processes, report).run()
            if len(sys.argv) > 1:
                for name in ENTRIES + CONTROLS:
                    text = processes.log_path(name).read_text()
                    (Path(sys.argv[1]) / f"{name}.log").write_text(text)
    out = ROOT / "out"
    out.mkdir(exist_ok=True)
    (out / "process.json").write_text(json.dumps(report.figures, indent=1))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
