"""Real processes for tests, and callers that load them."""

import itertools
import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import httpcore
import pytest
from examples import demo_caller as caller
from examples.demo import retry, wait_until
from examples.demo_processes import Processes
from examples.demo_settings import ENTRIES, KEYS, Layout

READY_S = 30.0
KEY = KEYS["magicians"]
_ENGINES = {"prefill-1": "prefill", "decode-1": "decode", "decode-2": "decode"}


class Fleet:
    """Three control processes, three entry hosts, engines and services."""

    def __init__(self, folder):
        self.layout = Layout(folder, engines=_ENGINES, slots=40)
        self.processes = Processes(self.layout)

    def __enter__(self):
        self.processes.start_all()
        try:
            self._roll(self.layout.bundle("bundle", 1e6))
            self.wait_ready(ENTRIES)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        # No test looks at the end of these processes, so it costs no drain.
        for name in list(self.processes.running):
            self.processes.kill(name)

    def _roll(self, path):
        def propose():
            return self.processes.ctl("alice", "propose", str(path))

        proposal = retry(READY_S, propose).split()[-1]
        self.processes.ctl("bob", "sign-off", proposal)
        self.processes.ctl("alice", "roll", proposal, "--expected-version", "0")

    def address(self, name):
        return self.layout.addresses[f"{name}/caller"]

    def wait_ready(self, names):
        for name in names:
            self.wait_for(lambda name=name: self._answers(name), f"{name} ready")

    def _answers(self, name):
        answer = caller.generate(self.address(name), KEY, "ready?", 1)
        return answer.whole and answer.finished

    def wait_for(self, condition, what, limit_s=READY_S):
        if wait_until(limit_s, condition) is None:
            pytest.fail(f"not seen in {limit_s} s: {what}")

    def engine_requests(self):
        found = []
        for name in _ENGINES:
            url = f"http://{self.layout.addresses[name]}/v1/requests"
            found += json.loads(httpcore.request("GET", url).content)
        return found

    def events(self, name, event):
        lines = self.processes.log_path(name).read_text().splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in parsed if line["name"] == event]

    def owner_of(self, resource):
        """Return the entry host that gained a resource last."""
        gained = [
            (event["time_s"], name)
            for name in ENTRIES
            for event in self.events(name, "OWNERSHIP_GAINED")
            if event["resource"] == resource
        ]
        return max(gained)[1]


class Load:
    """
    Callers that ask for addresses, keep them for `keep_s` and go on until stopped.

    With `names` they use these entry hosts only.
    """

    def __init__(self, fleet, callers=6, tokens=5, names=()):
        self._fleet = fleet
        self._tokens = tokens
        self._names = names
        self._stopping = threading.Event()
        self._numbers = itertools.count()
        self._pool = ThreadPoolExecutor(callers)
        self.answers = []
        self._jobs = [
            self._pool.submit(self._call, random.Random(n)) for n in range(callers)
        ]

    def stop(self):
        """Let the open requests end; returns all answers."""
        self._stopping.set()
        for job in self._jobs:
            job.result()
        self._pool.shutdown()
        return self.answers

    def _call(self, rng):
        addresses, keep_until_s = [], 0.0
        while not self._stopping.is_set():
            if time.monotonic() >= keep_until_s:
                addresses = self._addresses(rng)
                # The keep_s of the demo's settings.
                keep_until_s = time.monotonic() + 1.0
            prompt = f"{next(self._numbers)} which sail is ready?"
            address = rng.choice(addresses)
            self.answers.append(caller.generate(address, KEY, prompt, self._tokens))

    def _addresses(self, rng):
        """Ask any entry host; one that restarts does not answer."""
        if self._names:
            return [self._fleet.address(name) for name in self._names]
        while True:
            try:
                found = caller.addresses(self._fleet.address(rng.choice(ENTRIES)))
            except (OSError, ValueError):
                found = []
            if found:
                return found


def problems(answers):
    """Return what went wrong, one entry per answer that is not whole."""
    return [
        (item.status, item.error_kind, len(item.tokens), item.body[:200])
        for item in answers
        if not item.whole or item.error_kind
    ]
