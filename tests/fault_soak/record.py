"""Record of what callers and backend servers saw, and checks of the guarantees."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = [
    "COLD_PER_S",
    "COLD_S",
    "MAX_CHANGE_DELAY_S",
    "FAULT_AFTERMATH_S",
    "MAX_DRAIN_DELAY_S",
    "RESUMABLE_KINDS",
    "RETRY_SLACK",
    "Record",
    "Request",
]

# Kinds of requests that run once at most, and streams that may be resumed.
RUN_ONCE_KINDS = frozenset({"once", "feed"})
RESUMABLE_KINDS = frozenset({"stream", "follow"})
# Longest time from the writing of an event to its arrival without faults. Callers
# abandon a stream after 2 seconds without an event at the earliest.
MAX_EVENT_DELAY_S = 1.0
# A stream may begin a second run while its first one, at most this old, still runs.
MAX_OVERLAPPED_RUN_AGE_S = 0.4
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time within which the system has to apply a configuration change.
MAX_CHANGE_DELAY_S = 2.0
# Time after a fault during which the bounds on changes and draining may be exceeded.
FAULT_AFTERMATH_S = 3.0
# Time after which a leaving server receives no new requests.
MAX_DRAIN_DELAY_S = 3.0
# Time after which servers of an evacuated data centre receive no new requests.
MAX_EVACUATION_DELAY_S = 5.0
# For how long servers are cold, and what they bear then: a rate, and a tolerance for
# any second as a factor and a number of requests.
COLD_S = 3.0
COLD_PER_S = 6.0
COLD_TOLERATED_FACTOR = 1.5
COLD_TOLERATED_REQUESTS = 5
# The operator's limit on retries: arrivals at servers beyond the first of each request,
# as a ratio of the requests in a window plus a constant.
RETRY_RATIO = 0.2
RETRY_SLACK = 12
RETRY_WINDOW_S = 10.0
# All stand-ins and callers run in the process of the soak. If it is suspended for this
# time, hosts see what they see when all of them stall.
STALL_S = 0.4
STALL_CHECK_PERIOD_S = 0.05
# Crashes by a part of prompts, after which at most so many more requests with the part
# may arrive that were sent without faults.
MAX_PART_CRASHES = 5
MAX_DEADLY_ARRIVALS = 3


@dataclass
class Request:
    """One request of a caller."""

    attempt_id: str
    kind: str
    path: str
    key: str
    machine: int
    sent_s: float
    status: int | None = None
    runs: list = field(default_factory=list)
    # Time at which a server has written each event of the stream.
    events_written_s: dict = field(default_factory=dict)
    arrivals: int = 0
    has_uncounted_prefill: bool = True


class Record:
    """Requests, runs and faults of one seed, and the violations of guarantees found."""

    def __init__(self):
        self.requests = {}
        self.violations = []
        self.fault_counts = Counter()
        self.status_counts = Counter()
        # Streams that broke off and were taken up, by the status of the response.
        self.take_ups = Counter()
        self.last_fault_s = 0.0
        # Time at which the removal of a path prefix or key was acknowledged.
        self.removed_at_s = {}
        # Path prefixes and keys that a sent change removes: the time until which the
        # removal may be in force. Infinite until a change is acknowledged.
        self.maybe_removed_until_s = {}
        self.leaving_since_s = {}
        # Time at which the evacuation of a server was acknowledged.
        self.evacuated_since_s = {}
        # Until when a server is cold, and what it has received since it is.
        self.cold_until_s = {}
        self._cold_arrivals_s = defaultdict(list)
        # Times of the crashes by a part of prompts.
        self.crash_times_s = []
        self._late_deadly_requests = set()
        self._active_runs = defaultdict(dict)
        # Times of arrivals beyond the first of a request, by whether it is a stream.
        self._retry_times_s = {True: [], False: []}
        self.started_s = asyncio.get_running_loop().time()

    @property
    def now_s(self):
        return asyncio.get_running_loop().time() - self.started_s

    def is_fault_free_since(self, since_s):
        """Tell whether the last fault was over `FAULT_AFTERMATH_S` before `since_s`."""
        return self.last_fault_s < since_s - FAULT_AFTERMATH_S

    def add_violation(self, guarantee, detail):
        self.violations.append(f"{self.now_s:.3f} {guarantee}: {detail}")

    def add_fault(self, fault):
        self.fault_counts[fault] += 1
        self.last_fault_s = self.now_s

    async def watch_stalls(self):
        """Record a fault when this process was suspended; run until cancelled."""
        while True:
            checked_s = self.now_s
            await asyncio.sleep(STALL_CHECK_PERIOD_S)
            if self.now_s - checked_s > STALL_S:
                self.add_fault("stall")

    # Evacuations.

    def evacuate(self, servers):
        self.fault_counts["evacuation"] += 1
        self.evacuated_since_s.update(dict.fromkeys(servers, self.now_s))

    def take_back(self, servers):
        """Record that servers may be used again from now on; they are cold."""
        for server in servers:
            if self.evacuated_since_s.pop(server, None) is not None:
                self.cold_until_s[server] = self.now_s + COLD_S
                self._cold_arrivals_s[server].clear()

    def cold_left_s(self, server):
        """Return for how much longer a server is cold."""
        return max(0.0, self.cold_until_s.get(server, 0.0) - self.now_s)

    def add_cold_arrival(self, server):
        """Count the requests in any second while a server is cold."""
        if not self.cold_left_s(server):
            return
        now_s, arrivals_s = self.now_s, self._cold_arrivals_s[server]
        arrivals_s[:] = [at_s for at_s in arrivals_s if at_s > now_s - 1.0]
        arrivals_s.append(now_s)
        allowed = COLD_TOLERATED_FACTOR * COLD_PER_S + COLD_TOLERATED_REQUESTS
        if len(arrivals_s) > allowed:
            text = f"{server} got {len(arrivals_s)} requests in a second"
            self.add_violation("cold", text)

    # Events reported by callers.

    def add_request(self, attempt_id, kind, path, key, machine):
        request = Request(attempt_id, kind, path, key, machine, self.now_s)
        self.requests[attempt_id] = request
        return request

    def add_response(self, request, status):
        request.status = status
        self.status_counts[status] += 1
        if status in NOT_RUN_STATUSES and request.runs:
            self.add_violation("not run", f"{request} was refused although it had run")

    def add_event(self, request, number):
        """Check that an event arrives soon after a server has written it."""
        written_s = request.events_written_s.get(number)
        if written_s is None:
            self.add_violation("event", f"{request}: no server has written {number}")
        elif self.now_s > written_s + MAX_EVENT_DELAY_S and (
            self.is_fault_free_since(written_s)
        ):
            delay_s = self.now_s - written_s
            text = f"{request}: event {number} arrives {delay_s:.3f} s late"
            self.add_violation("late event", text)

    # Events reported by backend servers.

    def add_written_event(self, attempt_id, number):
        request = self.requests.get(attempt_id)
        if request is not None:
            request.events_written_s[number] = self.now_s

    def add_arrival(self, attempt_id, *, is_prefill=False, is_refused=False):
        """
        Count an arrival at a server the way the operator counts retries.

        The first accepted prefill of a request does not count.
        """
        request = self.requests.get(attempt_id)
        if request is None:
            return
        if is_prefill and not is_refused and request.has_uncounted_prefill:
            request.has_uncounted_prefill = False
            return
        request.arrivals += 1
        if request.arrivals > 1:
            self._retry_times_s[request.kind == "stream"].append(self.now_s)

    def add_deadly_arrival(self, server, attempt_id):
        """Count requests that arrive although their part is known to be deadly."""
        request = self.requests.get(attempt_id)
        if request is None or len(self.crash_times_s) < MAX_PART_CRASHES:
            return
        known_since_s = self.crash_times_s[MAX_PART_CRASHES - 1] + FAULT_AFTERMATH_S
        if self.now_s > known_since_s and self.is_fault_free_since(self.now_s):
            self._late_deadly_requests.add(attempt_id)
            if len(self._late_deadly_requests) > MAX_DEADLY_ARRIVALS:
                self.add_violation("deadly part", f"{request} arrives at {server}")

    def check_retries(self):
        """Check the number of retries in every window against the limit."""
        for is_stream, retry_times_s in self._retry_times_s.items():
            sent_times_s = [
                request.sent_s
                for request in self.requests.values()
                if (request.kind == "stream") is is_stream
            ]
            for window_start_s in retry_times_s:
                retry_count = _count_in_window(retry_times_s, window_start_s)
                request_count = max(
                    _count_in_window(
                        sent_times_s, window_start_s - windows_back * RETRY_WINDOW_S
                    )
                    for windows_back in (0.0, 0.5, 1.0)
                )
                limit = RETRY_RATIO * request_count + RETRY_SLACK
                if retry_count > limit:
                    text = f"{retry_count} from {window_start_s:.3f}, {limit:g} allowed"
                    self.add_violation("retries", f"streams {is_stream}: {text}")
                    break

    def begin_run(self, server, attempt_id, has_key):
        """Record the start of a run and return a handle for `end_run`."""
        request, now_s = self.requests.get(attempt_id), self.now_s
        token = object()
        if request is None:
            self.add_violation("unknown", f"{server} runs {attempt_id!r}, never sent")
            return attempt_id, token
        request.runs.append((server, now_s))
        if has_key:
            self.add_violation("key", f"{server} received the key of {attempt_id}")
        if request.kind in RUN_ONCE_KINDS and len(request.runs) > 1:
            self.add_violation("once", f"{request} ran more than once")
        if request.status in NOT_RUN_STATUSES:
            self.add_violation("not run", f"{request} runs after it was refused")
        if request.kind in RESUMABLE_KINDS:
            for other_server, started_s in self._active_runs[attempt_id].values():
                if (
                    now_s - started_s > MAX_OVERLAPPED_RUN_AGE_S
                    and self.is_fault_free_since(started_s)
                ):
                    self.add_violation(
                        "overlap", f"{attempt_id} runs on {other_server} and {server}"
                    )
        for item in (request.path, request.key):
            removed_at_s = self.removed_at_s.get(item, float("inf"))
            if (
                request.sent_s > removed_at_s + MAX_CHANGE_DELAY_S
                and self.is_fault_free_since(removed_at_s)
            ):
                self.add_violation(
                    "change", f"{request} runs, removed at {removed_at_s:.3f}"
                )
        leaving_since_s = self.leaving_since_s.get(server, float("inf"))
        if (
            request.sent_s > leaving_since_s + MAX_DRAIN_DELAY_S
            and self.is_fault_free_since(leaving_since_s)
        ):
            self.add_violation(
                "drain", f"{request} runs, leaving since {leaving_since_s:.3f}"
            )
        evacuated_since_s = self.evacuated_since_s.get(server, float("inf"))
        if now_s > evacuated_since_s + MAX_EVACUATION_DELAY_S and (
            self.is_fault_free_since(now_s)
        ):
            self.add_violation(
                "evacuation", f"{request} runs, evacuated at {evacuated_since_s:.3f}"
            )
        self._active_runs[attempt_id][token] = (server, now_s)
        return attempt_id, token

    def end_run(self, run):
        attempt_id, token = run
        self._active_runs[attempt_id].pop(token, None)


def _count_in_window(event_times_s, window_start_s):
    return sum(
        window_start_s <= at_s < window_start_s + RETRY_WINDOW_S
        for at_s in event_times_s
    )
