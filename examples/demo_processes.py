"""Starts the processes of the demo and stops all of them, also after an error."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from examples.demo_settings import (
    ALICE_KEY,
    BOB_KEY,
    CONTROLS,
    ENTRIES,
    SERVICES,
    Layout,
)

ROOT = Path(__file__).resolve().parents[1]
STOP_TIMEOUT_S = 8.0


class Processes:
    """A context manager that stops every process it started."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        python_path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        self.environment = {**os.environ, "PYTHONPATH": python_path}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop_all()

    def start(self, name: str, module: str, *arguments: str) -> None:
        # The child inherits the descriptor, so the parent can close its own.
        with self.log_path(name).open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        port = self.layout.port
        for name, role in self.layout.engines.items():
            self.start_engine(name, role)
        for name in SERVICES:
            self.start(name, "examples.standins.service", "--port", port(name))
        self.start("hosts", "examples.standins.hosts", "--port", port("hosts"))
        for name in CONTROLS:
            self.start_control(name)
        for name in ENTRIES:
            self.start_entry(name)

    def start_engine(self, name: str, role: str) -> None:
        layout = self.layout
        options = ["--port", layout.port(name), "--role", role, "--kv-pieces", "4000"]
        options += ["--slots", str(layout.slots)]
        options += ["--decode-step-ms", str(layout.decode_step_ms)]
        self.start(name, "examples.standins.engine", *options)

    def start_control(self, name: str) -> None:
        path = str(self.layout.control_settings(name))
        self.start(name, "damaskridge.binaries.control", "--settings", path)

    def start_entry(self, name: str) -> None:
        path = str(self.layout.entry_settings(name))
        self.start(name, "damaskridge.binaries.entry", "--settings", path)

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def exited(self) -> list[str]:
        return [name for name, item in self.running.items() if item.poll() is not None]

    def stop_all(self) -> dict[str, int]:
        """Stop all processes; return the exit codes of those that were not killed."""
        # Entry hosts need the control group to hand over ownership as they stop.
        exit_codes = {}
        for names in (ENTRIES, CONTROLS, tuple(self.running)):
            exit_codes |= self._stop([name for name in names if name in self.running])
        return exit_codes

    def _stop(self, names: list[str]) -> dict[str, int]:
        processes = {name: self.running.pop(name) for name in names}
        for item in processes.values():
            with contextlib.suppress(ProcessLookupError):
                item.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        exit_codes = {}
        for name, item in processes.items():
            try:
                exit_codes[name] = item.wait(max(0.01, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                item.kill()
                item.wait()
        return exit_codes

    def log_path(self, name: str) -> Path:
        return self.layout.folder / f"{name}.log"

    def ctl(self, operator: str, *arguments: str) -> str:
        """Run damaskridge-ctl as `operator` and return its standard output."""
        key_file = self.layout.folder / f"{operator}.key"
        key_file.write_text(ALICE_KEY if operator == "alice" else BOB_KEY)
        addresses = ",".join(self.layout.control_addresses())
        command = [sys.executable, "-m", "damaskridge.binaries.ctl", *arguments]
        command += ["--operator", operator, "--control", addresses]
        command += ["--key-file", str(key_file)]
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=15,
            check=False,
        )
        if completed.returncode:
            raise RuntimeError(
                f"damaskridge-ctl {arguments[0]}: {completed.stderr.strip()}"
            )
        return completed.stdout.strip()

    def timeline(self, *arguments: str) -> list[str]:
        logs = [str(path) for path in sorted(self.layout.folder.glob("*.log"))]
        completed = subprocess.run(
            [sys.executable, "-m", "damaskridge.binaries.timeline", *logs, *arguments],
            cwd=ROOT,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=15,
            check=False,
        )
        return completed.stdout.splitlines()
