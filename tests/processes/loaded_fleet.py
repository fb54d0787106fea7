"""A fleet of processes for tests, and callers that generate load."""

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

READY_TIMEOUT_S = 30.0
API_KEY = KEYS["magicians"]
_ENGINES = {"prefill-1": "prefill", "decode-1": "decode", "decode-2": "decode"}


class Fleet:
    """The processes of three control hosts, three entry hosts, engines and services."""

    def __init__(self, folder):
        self.layout = Layout(folder, engines=_ENGINES, slots=40)
        self.processes = Processes(self.layout)

    def __enter__(self):
        self.processes.start_all()
        try:
            self._put_in_force(self.layout.bundle("bundle", 1e6))
            self.wait_ready(ENTRIES)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        # Kills without a drain, since no test checks the exit of these processes.
        for name in list(self.processes.running):
            self.processes.kill(name)

    def _put_in_force(self, path):
        def propose():
            return self.processes.ctl("alice", "propose", str(path))

        proposal = retry(READY_TIMEOUT_S, propose).split()[-1]
        self.processes.ctl("bob", "sign-off", proposal)
        self.processes.ctl("alice", "roll", proposal, "--expected-version", "0")

    def address(self, name):
        return self.layout.addresses[f"{name}/caller"]

    def wait_ready(self, names):
        for name in names:
            self.wait_for(lambda name=name: self._is_serving(name), f"{name} ready")

    def _is_serving(self, name):
        response = caller.generate(self.address(name), API_KEY, "ready?", 1)
        return response.whole and response.finished

    def wait_for(self, condition, description, timeout_s=READY_TIMEOUT_S):
        if wait_until(timeout_s, condition) is None:
            pytest.fail(f"timed out after {timeout_s} s: {description}")

    def engine_requests(self):
        requests = []
        for name in _ENGINES:
            url = f"http://{self.layout.addresses[name]}/v1/requests"
            requests += json.loads(httpcore.request("GET", url).content)
        return requests

    def events(self, name, event):
        lines = self.processes.log_path(name).read_text().splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in parsed if line["name"] == event]

    def owner_of(self, resource):
        """Return the entry host that most recently gained ownership of a resource."""
        gained = [
            (event["time_s"], name)
            for name in ENTRIES
            for event in self.events(name, "OWNERSHIP_GAINED")
            if event["resource"] == resource
        ]
        return max(gained)[1]


class LoadGenerator:
    """
    Callers that send generation requests until stopped.

    They look up entry host addresses and cache them for one second, or use only the
    entry hosts in `entry_hosts`.
    """

    def __init__(self, fleet, caller_count=6, token_count=5, entry_hosts=()):
        self._fleet = fleet
        self._token_count = token_count
        self._entry_hosts = entry_hosts
        self._stopping = threading.Event()
        self._prompt_numbers = itertools.count()
        self._pool = ThreadPoolExecutor(caller_count)
        self.responses = []
        self._jobs = [
            self._pool.submit(self._send_requests, random.Random(n))
            for n in range(caller_count)
        ]

    def stop(self):
        """Stop after the open requests have finished; return all responses."""
        self._stopping.set()
        for job in self._jobs:
            job.result()
        self._pool.shutdown()
        return self.responses

    def _send_requests(self, rng):
        addresses, keep_until_s = [], 0.0
        while not self._stopping.is_set():
            if time.monotonic() >= keep_until_s:
                addresses = self._look_up_addresses(rng)
                # Equals keep_s in the settings of the demo.
                keep_until_s = time.monotonic() + 1.0
            prompt = f"{next(self._prompt_numbers)} which sail is ready?"
            address = rng.choice(addresses)
            self.responses.append(
                caller.generate(address, API_KEY, prompt, self._token_count)
            )

    def _look_up_addresses(self, rng):
        """Look up addresses at any entry host; retry, as a restarting one fails."""
        if self._entry_hosts:
            return [self._fleet.address(name) for name in self._entry_hosts]
        while True:
            try:
                addresses_found = caller.addresses(
                    self._fleet.address(rng.choice(ENTRIES))
                )
            except (OSError, ValueError):
                addresses_found = []
            if addresses_found:
                return addresses_found


def failed_responses(responses):
    """Return a description of each response that is incomplete or an error."""
    return [
        (item.status, item.error_kind, len(item.tokens), item.body[:200])
        for item in responses
        if not item.whole or item.error_kind
    ]
