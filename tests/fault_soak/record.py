"""What callers and backend servers saw, and the promises that it is held against."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = [
    "CHANGE_S",
    "CONTACT_S",
    "DRAIN_S",
    "RETRY_SLACK",
    "Record",
    "Request",
]

# A new run of a stream may begin this long before the old one has ended.
OVERLAP_S = 0.4
# Statuses which promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# The system's bound for a change, and the time after a fault in which it may be late.
CHANGE_S = 2.0
CONTACT_S = 3.0
DRAIN_S = 3.0
# The operator's bound for arrivals beyond the first of each request.
RETRY_RATIO = 0.2
RETRY_SLACK = 12
RETRY_WINDOW_S = 10.0


@dataclass
class Request:
    """One request of a caller."""

    attempt: str
    kind: str
    path: str
    key: str
    machine: int
    sent_s: float
    status: int | None = None
    runs: list = field(default_factory=list)
    arrivals: int = 0
    has_free_prefill: bool = True


class Record:
    """Collects what was seen; broken promises are kept with their time."""

    def __init__(self):
        self.requests = {}
        self.broken = []
        self.faults = Counter()
        self.answers = Counter()
        self.disturbed_s = 0.0
        # Prefix or key by the time at which its removal was acknowledged.
        self.removed_s = {}
        # What a change removes that was sent and not acknowledged, by the time until
        # which it may be in force.
        self.perhaps_removed_s = {}
        self.leaving_s = {}
        self._active = defaultdict(dict)
        # Times of arrivals beyond the first, by whether they belong to a stream.
        self._repeats_s = {True: [], False: []}
        self.started_s = asyncio.get_running_loop().time()

    @property
    def now_s(self):
        return asyncio.get_running_loop().time() - self.started_s

    def is_calm(self, since_s):
        """Tell whether nothing was disturbed from shortly before a time until now."""
        return self.disturbed_s < since_s - CONTACT_S

    def note_broken(self, promise, detail):
        self.broken.append(f"{self.now_s:.3f} {promise}: {detail}")

    def disturb(self, fault):
        self.faults[fault] += 1
        self.disturbed_s = self.now_s

    # Callers.

    def sent(self, attempt, kind, path, key, machine):
        request = Request(attempt, kind, path, key, machine, self.now_s)
        self.requests[attempt] = request
        return request

    def answered(self, request, status):
        request.status = status
        self.answers[status] += 1
        if status in NOT_RUN and request.runs:
            self.note_broken("not run", f"{request} was refused after it had run")

    # Backend servers.

    def arrived(self, attempt, *, is_reading=False, was_refused=False):
        """Count an arrival as the operator does."""
        request = self.requests.get(attempt)
        if request is None:
            return
        if is_reading and not was_refused and request.has_free_prefill:
            request.has_free_prefill = False
            return
        request.arrivals += 1
        if request.arrivals > 1:
            self._repeats_s[request.kind == "stream"].append(self.now_s)

    def check_repeats(self):
        """Hold every window against the bound for repeats."""
        for is_stream, repeats_s in self._repeats_s.items():
            sent_s = [
                request.sent_s
                for request in self.requests.values()
                if (request.kind == "stream") is is_stream
            ]
            for start_s in repeats_s:
                repeats = _count(repeats_s, start_s)
                sent = max(
                    _count(sent_s, start_s - back * RETRY_WINDOW_S)
                    for back in (0.0, 0.5, 1.0)
                )
                allowed = RETRY_RATIO * sent + RETRY_SLACK
                if repeats > allowed:
                    text = f"{repeats} repeats from {start_s:.3f}, {allowed:g} allowed"
                    self.note_broken("repeats", f"streams {is_stream}: {text}")
                    break

    def run_began(self, server, attempt, key_seen):
        """Note a run; returns a token for `run_ended`."""
        request, now_s = self.requests.get(attempt), self.now_s
        token = object()
        if request is None:
            self.note_broken("unasked", f"{server} runs {attempt!r}")
            return attempt, token
        request.runs.append((server, now_s))
        if key_seen:
            self.note_broken("key", f"{server} saw the key of {attempt}")
        if request.kind == "once" and len(request.runs) > 1:
            self.note_broken("once", f"{request} ran again")
        if request.status in NOT_RUN:
            self.note_broken("not run", f"{request} runs after its refusal")
        if request.kind == "stream":
            for other, began_s in self._active[attempt].values():
                if now_s - began_s > OVERLAP_S and self.is_calm(began_s):
                    self.note_broken("twice", f"{attempt} runs on {other} and {server}")
        for item in (request.path, request.key):
            removed_s = self.removed_s.get(item, float("inf"))
            if request.sent_s > removed_s + CHANGE_S and self.is_calm(removed_s):
                self.note_broken("change", f"{request} runs, removed {removed_s:.3f}")
        leaving_s = self.leaving_s.get(server, float("inf"))
        if request.sent_s > leaving_s + DRAIN_S and self.is_calm(leaving_s):
            self.note_broken("drain", f"{request}, leaving since {leaving_s:.3f}")
        self._active[attempt][token] = (server, now_s)
        return attempt, token

    def run_ended(self, run):
        attempt, token = run
        self._active[attempt].pop(token, None)


def _count(times_s, start_s):
    return sum(start_s <= at_s < start_s + RETRY_WINDOW_S for at_s in times_s)
