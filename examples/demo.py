"""Demonstrates the system with real processes on the loopback interface.

The exit status is 0 only if every check passed.
"""

import signal
import statistics
import tempfile
import threading
import time
import traceback
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from examples import demo_caller as caller
from examples.demo_processes import Processes
from examples.demo_settings import ENTRIES, KEYS, WITHDRAWN_KEY, Layout, digest

# Excludes the wait for timeouts of callers and the shutdown of processes.
TIMEOUT_S = 70
READY_TIMEOUT_S = 20.0
ACTIVATION_TIMEOUT_S = 4.0
LONG_PROMPT = "inspection of the upper gallery, north side. " * 120
SHORT_PROMPT = "Which sail is ready?"


class DemoInterrupted(BaseException):
    """Raised on a timeout or signal; not an `Exception`, so no step catches it."""


class Demo:
    """The steps of the demo, which print their checks and record failed ones."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.layout = processes.layout
        self.failed_checks: list[str] = []
        self.check_number = 0
        self.entry_addresses = [
            self.layout.addresses[f"{name}/caller"] for name in ENTRIES
        ]

    def check(self, description: str, passed: bool, observed: str) -> None:
        self.check_number += 1
        outcome = "ok" if passed else "FAILED"
        print(
            f"[{self.check_number}] {outcome:6} {description}: {observed}", flush=True
        )
        if not passed:
            self.failed_checks.append(description)

    def run(self) -> None:
        self.start()
        for step in (
            self.send_mixed_load,
            self.retry_bookings,
            self.withdraw_key,
            self.kill_front,
            self.drain_server,
            self.roll_and_roll_back,
            self.show_timeline,
        ):
            try:
                step()
            except Exception as error:
                self.check(step.__name__, False, f"{type(error).__name__}: {error}")

    def start(self) -> None:
        started_s = time.monotonic()
        self.processes.start_all()
        path = self.layout.bundle("bundle-1", 20_000.0)
        self.roll(path, expected_version=0)
        ready_after_s = wait_until(
            READY_TIMEOUT_S, lambda: self.addresses() == sorted(self.entry_addresses)
        )
        duration_s = time.monotonic() - started_s
        exited = self.processes.exited()
        passed = ready_after_s is not None and not exited
        self.check(
            "first bundle rolled",
            passed,
            f"ready in {duration_s:.1f} s, exited {exited}",
        )

    def roll(self, path: Path, expected_version: int) -> None:
        def propose() -> str:
            if exited := self.processes.exited():
                raise ChildProcessError(f"processes exited unexpectedly: {exited}")
            return self.processes.ctl("alice", "propose", str(path))

        proposal = retry(READY_TIMEOUT_S, propose).split()[-1]
        self.processes.ctl("bob", "sign-off", proposal)
        arguments = [proposal, "--expected-version"]
        self.processes.ctl("alice", "roll", *arguments, str(expected_version))

    def addresses(self) -> list[str]:
        return sorted(caller.addresses(self.entry_addresses[0]))

    def send_mixed_load(self) -> None:
        jobs = []
        with ThreadPoolExecutor(24) as pool:
            for number in range(40):
                key = list(KEYS.values())[number % 2]
                is_short = number % 3 != 0
                prompt = SHORT_PROMPT if is_short else LONG_PROMPT
                address = self.entry_addresses[number % len(self.entry_addresses)]
                max_output_tokens = 8 if is_short else 30
                job = pool.submit(
                    caller.generate,
                    address,
                    key,
                    f"{number} {prompt}",
                    max_output_tokens,
                )
                jobs.append((is_short, job))
        for is_short, name in ((True, "short prompts"), (False, "long prompts")):
            responses = [
                job.result() for job_is_short, job in jobs if job_is_short is is_short
            ]
            complete = sum(item.whole for item in responses)
            first_token_times_s = [
                item.first_token_s for item in responses if item.first_token_s
            ]
            median_s = (
                statistics.median(first_token_times_s)
                if first_token_times_s
                else float("nan")
            )
            error_kinds = {item.error_kind for item in responses if not item.whole}
            self.check(
                f"{name} received in full",
                complete == len(responses),
                f"{complete}/{len(responses)}, first token median {median_s:.3f} s "
                f"{error_kinds or ''}",
            )

    def retry_bookings(self) -> None:
        responses = []
        for workspace, key in KEYS.items():
            body = f'{{"deposit": 20, "by": "{workspace}"}}'.encode()
            for address in self.entry_addresses[:2]:
                responses.append(
                    caller.call_service(address, key, "desk/bookings", body, "order-1")
                )
        are_retries_equal = [
            responses[0].body == responses[1].body,
            responses[2].body == responses[3].body,
        ]
        differ_by_workspace = responses[0].body != responses[2].body
        passed = (
            all(item.finished for item in responses)
            and all(are_retries_equal)
            and differ_by_workspace
        )
        statuses = [item.status for item in responses]
        self.check("retried booking ran once per workspace", passed, f"{statuses}")

    def withdraw_key(self) -> None:
        before = caller.generate(
            self.entry_addresses[1], WITHDRAWN_KEY, SHORT_PROMPT, 2
        )
        started_s = time.monotonic()
        arguments = ["--digest", digest(WITHDRAWN_KEY)]
        self.processes.ctl("alice", "key-withdraw", *arguments)

        def is_refused_everywhere() -> bool:
            return all(
                caller.generate(item, WITHDRAWN_KEY, "x", 1).error_kind
                == "key_withdrawn"
                for item in self.entry_addresses
            )

        elapsed_s = wait_until(ACTIVATION_TIMEOUT_S, is_refused_everywhere, started_s)
        passed = before.whole and elapsed_s is not None
        observed = f"worked before: {before.whole}, refused after {elapsed_s} s"
        self.check("withdrawn key refused on every host", passed, observed)

    def kill_front(self) -> None:
        """Kill the entry host of a stream and resume the stream on the other hosts."""
        key = KEYS["magicians"]
        name, address = ENTRIES[2], self.entry_addresses[2]
        started = threading.Event()

        def on_token(response: caller.Response) -> None:
            if len(response.tokens) >= 5:
                started.set()

        with ThreadPoolExecutor(1) as pool:
            job = pool.submit(caller.generate, address, key, LONG_PROMPT, 80, on_token)
            has_started = started.wait(10)
            self.processes.kill(name)
            response = job.result()
        received_before_cut = len(response.tokens)
        was_interrupted = not response.finished
        caller.resume(self.entry_addresses[:2], key, response)
        passed = (
            has_started
            and was_interrupted
            and response.whole
            and len(response.tokens) == 80
        )
        observed = (
            f"cut after {received_before_cut} tokens, "
            f"resumed to {len(response.tokens)} of 80 {response.error_kind}"
        )
        self.check(
            "stream resumed in full after its entry host was killed", passed, observed
        )
        self.processes.start_entry(name)

    def drain_server(self) -> None:
        target = ["backend_server", "decode-1"]
        self.processes.ctl("alice", "drain", *target)
        time.sleep(3)
        responses = [
            caller.generate(
                self.entry_addresses[number % 2], KEYS["relofting"], f"{number}", 4
            )
            for number in range(8)
        ]
        lines = self.processes.timeline("--event", "REQUEST_PLACED")
        request_ids = {item.request_id for item in responses}
        placed = [
            line for line in lines if any(f"={item} " in line for item in request_ids)
        ]
        on_drained_server = [
            line for line in placed if "decode_server=decode-1" in line
        ]
        passed = (
            all(item.whole for item in responses)
            and bool(placed)
            and not on_drained_server
        )
        observed = f"{len(placed)} placements, {len(on_drained_server)} on decode-1"
        self.check("draining backend server receives no new requests", passed, observed)
        self.processes.ctl("alice", "undrain", *target)

    def roll_and_roll_back(self) -> None:
        path = self.layout.bundle("bundle-2", 10_000.0)
        started_s = time.monotonic()
        self.roll(path, expected_version=1)
        elapsed_s = wait_until(
            READY_TIMEOUT_S, lambda: self.versions() == {2}, time.monotonic()
        )
        total_s = time.monotonic() - started_s
        passed = elapsed_s is not None and elapsed_s <= ACTIVATION_TIMEOUT_S
        observed = f"{elapsed_s} s after the commit, {total_s:.1f} s with sign-off"
        self.check("second bundle active on every host", passed, observed)
        arguments = ["--to-version", "1", "--expected-version", "2"]
        self.processes.ctl("bob", "rollback", *arguments)
        elapsed_s = wait_until(ACTIVATION_TIMEOUT_S, lambda: self.versions() == {3})
        passed = elapsed_s is not None
        self.check("rolled back as version 3", passed, f"after {elapsed_s} s")

    def versions(self) -> set[int]:
        versions = set()
        for name in ENTRIES:
            text = fetch(self.layout.addresses[f"{name}/operators"], "/metrics")
            for line in text.splitlines():
                if line.startswith("damaskridge_bundle_version "):
                    versions.add(int(float(line.split()[1])))
        return versions

    def show_timeline(self) -> None:
        lines = self.processes.timeline("--event", "OWNERSHIP_GAINED")
        for line in lines[:12]:
            print(f"         {line}")
        passed = any("OWNERSHIP_GAINED" in line for line in lines)
        self.check("timeline of all processes", passed, f"{len(lines)} lines")


def fetch(address: str, path: str) -> str:
    connection = caller.http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request("GET", path)
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def wait_until(timeout_s, condition, started_s=None):
    """Return after how many seconds `condition` was true; None after a timeout."""
    started_s = time.monotonic() if started_s is None else started_s
    while time.monotonic() - started_s <= timeout_s:
        try:
            if condition():
                return round(time.monotonic() - started_s, 2)
        except (OSError, ValueError, KeyError, caller.http.client.HTTPException):
            pass
        time.sleep(0.1)
    return None


def retry(timeout_s, action):
    """Return the result of `action`; retry on `RuntimeError` for `timeout_s`."""
    end_s = time.monotonic() + timeout_s
    while True:
        try:
            return action()
        except RuntimeError:
            if time.monotonic() > end_s:
                raise
            time.sleep(0.3)


def _interrupt(*_: object) -> None:
    raise DemoInterrupted(f"stopped by a signal, or by the timeout of {TIMEOUT_S} s")


def main() -> int:
    started_s = time.monotonic()
    signal.signal(signal.SIGALRM, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    signal.alarm(TIMEOUT_S)
    with tempfile.TemporaryDirectory(prefix="damaskridge-demo-") as folder:
        with Processes(Layout(Path(folder))) as processes:
            demo = Demo(processes)
            try:
                demo.run()
                # Excludes processes that a step killed.
                exit_codes = processes.stop_all()
                exited_cleanly = [exit_codes.get(name) == 0 for name in ENTRIES]
                demo.check(
                    "entry hosts exit with status 0",
                    all(exited_cleanly),
                    f"{exit_codes}",
                )
            except (Exception, DemoInterrupted):
                traceback.print_exc()
                demo.failed_checks.append("the demo itself")
            for name in processes.exited():
                tail = processes.log_path(name).read_text().splitlines()[-3:]
                print(f"exited unexpectedly: {name}", *tail, sep="\n  ")
    signal.alarm(0)
    print(
        f"{time.monotonic() - started_s:.1f} s, "
        f"failed: {demo.failed_checks or 'nothing'}"
    )
    return 1 if demo.failed_checks else 0


if __name__ == "__main__":
    raise SystemExit(main())
