"""Shows the system at work on loopback with real processes.

Exits with 0 only if every step was seen to hold.
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

# Threads that wait for a caller's time-out and the stopping of processes come on top.
LIMIT_S = 70
READY_S = 20.0
IN_FORCE_S = 4.0
LONG_NOTE = "inspection of the upper gallery, north side. " * 120
SHORT_QUESTION = "Which sail is ready?"


class OutOfTime(BaseException):
    """Ends the demo; no step catches it."""


class Demo:
    """The steps, each of which records whether it held."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.layout = processes.layout
        self.failed: list[str] = []
        self.step = 0
        self.entries = [self.layout.addresses[f"{name}/caller"] for name in ENTRIES]

    def check(self, what: str, held: bool, seen: str) -> None:
        self.step += 1
        verdict = "ok" if held else "FAILED"
        print(f"[{self.step}] {verdict:6} {what}: {seen}", flush=True)
        if not held:
            self.failed.append(what)

    def run(self) -> None:
        self.start()
        for part in (
            self.mixed_load,
            self.bookings,
            self.withdraw_key,
            self.kill_front,
            self.drain_server,
            self.roll_and_roll_back,
            self.show_timeline,
        ):
            try:
                part()
            except Exception as error:
                self.check(part.__name__, False, f"{type(error).__name__}: {error}")

    def start(self) -> None:
        started_s = time.monotonic()
        self.processes.start_all()
        path = self.layout.bundle("bundle-1", 20_000.0)
        self.roll(path, expected_version=0)
        seen = wait_until(READY_S, lambda: self.addresses() == sorted(self.entries))
        took_s = time.monotonic() - started_s
        dead = self.processes.dead()
        held = seen is not None and not dead
        self.check("first bundle rolled", held, f"ready in {took_s:.1f} s, dead {dead}")

    def roll(self, path: Path, expected_version: int) -> None:
        def propose() -> str:
            if dead := self.processes.dead():
                raise ChildProcessError(f"ended too early: {dead}")
            return self.processes.ctl("alice", "propose", str(path))

        proposal = retry(READY_S, propose).split()[-1]
        self.processes.ctl("bob", "sign-off", proposal)
        arguments = [proposal, "--expected-version"]
        self.processes.ctl("alice", "roll", *arguments, str(expected_version))

    def addresses(self) -> list[str]:
        return sorted(caller.addresses(self.entries[0]))

    def mixed_load(self) -> None:
        jobs = []
        with ThreadPoolExecutor(24) as pool:
            for number in range(40):
                key = list(KEYS.values())[number % 2]
                urgent = number % 3 != 0
                prompt = SHORT_QUESTION if urgent else LONG_NOTE
                address = self.entries[number % len(self.entries)]
                length = 8 if urgent else 30
                job = pool.submit(
                    caller.generate, address, key, f"{number} {prompt}", length
                )
                jobs.append((urgent, job))
        for urgent, name in ((True, "short questions"), (False, "long notes")):
            answers = [job.result() for kind, job in jobs if kind is urgent]
            whole = sum(item.whole for item in answers)
            firsts = [item.first_token_s for item in answers if item.first_token_s]
            median_s = statistics.median(firsts) if firsts else float("nan")
            problems = {item.error_kind for item in answers if not item.whole}
            self.check(
                f"{name} answered whole",
                whole == len(answers),
                f"{whole}/{len(answers)}, first token median {median_s:.3f} s "
                f"{problems or ''}",
            )

    def bookings(self) -> None:
        answers = []
        for workspace, key in KEYS.items():
            body = f'{{"deposit": 20, "by": "{workspace}"}}'.encode()
            for address in self.entries[:2]:
                answers.append(
                    caller.call_service(address, key, "desk/bookings", body, "order-1")
                )
        same = [answers[0].body == answers[1].body, answers[2].body == answers[3].body]
        apart = answers[0].body != answers[2].body
        held = all(item.finished for item in answers) and all(same) and apart
        statuses = [item.status for item in answers]
        self.check("repeated booking ran once per workspace", held, f"{statuses}")

    def withdraw_key(self) -> None:
        before = caller.generate(self.entries[1], WITHDRAWN_KEY, SHORT_QUESTION, 2)
        started_s = time.monotonic()
        arguments = ["--digest", digest(WITHDRAWN_KEY)]
        self.processes.ctl("alice", "key-withdraw", *arguments)

        def refused_everywhere() -> bool:
            return all(
                caller.generate(item, WITHDRAWN_KEY, "x", 1).error_kind
                == "key_withdrawn"
                for item in self.entries
            )

        seen_s = wait_until(IN_FORCE_S, refused_everywhere, started_s)
        held = before.whole and seen_s is not None
        seen = f"worked before: {before.whole}, refused after {seen_s} s"
        self.check("withdrawn key refused on every host", held, seen)

    def kill_front(self) -> None:
        """Kill the entry host of a stream and resume it on the others."""
        key = KEYS["magicians"]
        name, address = ENTRIES[2], self.entries[2]
        started = threading.Event()

        def on_token(answer: caller.Answer) -> None:
            if len(answer.tokens) >= 5:
                started.set()

        with ThreadPoolExecutor(1) as pool:
            job = pool.submit(caller.generate, address, key, LONG_NOTE, 80, on_token)
            began = started.wait(10)
            self.processes.kill(name)
            answer = job.result()
        cut_at = len(answer.tokens)
        broken = not answer.finished
        caller.resume(self.entries[:2], key, answer)
        held = began and broken and answer.whole and len(answer.tokens) == 80
        seen = f"cut at {cut_at}, {len(answer.tokens)} of 80 tokens {answer.error_kind}"
        self.check("stream whole after its host was killed", held, seen)
        self.processes.start_entry(name)

    def drain_server(self) -> None:
        drain = ["backend_server", "decode-1"]
        self.processes.ctl("alice", "drain", *drain)
        time.sleep(3)
        answers = [
            caller.generate(self.entries[number % 2], KEYS["relofting"], f"{number}", 4)
            for number in range(8)
        ]
        lines = self.processes.timeline("--event", "REQUEST_PLACED")
        ids = {item.request_id for item in answers}
        placed = [line for line in lines if any(f"={item} " in line for item in ids)]
        wrong = [line for line in placed if "decode_server=decode-1" in line]
        held = all(item.whole for item in answers) and bool(placed) and not wrong
        seen = f"{len(placed)} placements, {len(wrong)} on decode-1"
        self.check("draining server gets no new work", held, seen)
        self.processes.ctl("alice", "undrain", *drain)

    def roll_and_roll_back(self) -> None:
        path = self.layout.bundle("bundle-2", 10_000.0)
        started_s = time.monotonic()
        self.roll(path, expected_version=1)
        seen_s = wait_until(READY_S, lambda: self.versions() == {2}, time.monotonic())
        total_s = time.monotonic() - started_s
        held = seen_s is not None and seen_s <= IN_FORCE_S
        seen = f"{seen_s} s after the commit, {total_s:.1f} s with sign-off"
        self.check("second bundle in force on every host", held, seen)
        arguments = ["--to-version", "1", "--expected-version", "2"]
        self.processes.ctl("bob", "rollback", *arguments)
        seen_s = wait_until(IN_FORCE_S, lambda: self.versions() == {3})
        held = seen_s is not None
        self.check("rolled back as version 3", held, f"after {seen_s} s")

    def versions(self) -> set[int]:
        found = set()
        for name in ENTRIES:
            text = fetch(self.layout.addresses[f"{name}/operators"], "/metrics")
            for line in text.splitlines():
                if line.startswith("damaskridge_bundle_version "):
                    found.add(int(float(line.split()[1])))
        return found

    def show_timeline(self) -> None:
        lines = self.processes.timeline("--event", "OWNERSHIP_GAINED")
        for line in lines[:12]:
            print(f"         {line}")
        held = any("OWNERSHIP_GAINED" in line for line in lines)
        self.check("time line over all processes", held, f"{len(lines)} lines")


def fetch(address: str, path: str) -> str:
    connection = caller.http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request("GET", path)
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def wait_until(limit_s, condition, started_s=None):
    """Return after how many seconds `condition` held, `None` if too late."""
    started_s = time.monotonic() if started_s is None else started_s
    while time.monotonic() - started_s <= limit_s:
        try:
            if condition():
                return round(time.monotonic() - started_s, 2)
        except (OSError, ValueError, KeyError, caller.http.client.HTTPException):
            pass
        time.sleep(0.1)
    return None


def retry(limit_s, action):
    """Return the result of `action`; errors are raised after `limit_s` only."""
    end_s = time.monotonic() + limit_s
    while True:
        try:
            return action()
        except RuntimeError:
            if time.monotonic() > end_s:
                raise
            time.sleep(0.3)


def _too_late(*_: object) -> None:
    raise OutOfTime(f"stopped by a signal or after {LIMIT_S} s")


def main() -> int:
    started_s = time.monotonic()
    signal.signal(signal.SIGALRM, _too_late)
    signal.signal(signal.SIGTERM, _too_late)
    signal.alarm(LIMIT_S)
    with tempfile.TemporaryDirectory(prefix="damaskridge-demo-") as folder:
        with Processes(Layout(Path(folder))) as processes:
            demo = Demo(processes)
            try:
                demo.run()
                # What was killed on purpose is no longer among these.
                codes = processes.stop_all()
                clean = [codes.get(name) == 0 for name in ENTRIES]
                demo.check("entry hosts stop by themselves", all(clean), f"{codes}")
            except (Exception, OutOfTime):
                traceback.print_exc()
                demo.failed.append("the demo itself")
            for name in processes.dead():
                tail = processes.log_path(name).read_text().splitlines()[-3:]
                print(f"dead: {name}", *tail, sep="\n  ")
    signal.alarm(0)
    print(f"{time.monotonic() - started_s:.1f} s, failed: {demo.failed or 'nothing'}")
    return 1 if demo.failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
