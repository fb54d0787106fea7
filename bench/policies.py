"""Schedulers to compare with: simple baselines and an informed upper bound."""

import heapq
import random
from dataclasses import replace

from bench.workload import KV_BYTES_PER_TOKEN
from damaskridge.core.scheduling import messages as m
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.core.scheduling.settings import SchedulerSettings
from damaskridge.core.scheduling.urgency import BULK_SLACK_S, Estimate, Level
from damaskridge.model.bundle import BackendServerRole
from damaskridge.model.routing import Placement, RequestPhase

__all__ = ["ABLATIONS", "BASELINES", "OWN", "make_cell"]

BASELINES = ("fcfs", "shortest", "round_robin", "upper_bound")
OWN = "damaskridge"
ABLATIONS = {
    "urgency": "infer_urgency",
    "aging": "age_queued",
    "fair-share": "fair_share",
    "link-reservation": "reserve_links",
    "decode-reservation": "reserve_decode",
    "prefix-hints": "use_prefix_hints",
    "report-correction": "correct_reports",
    "overload-control": "control_overload",
    "retry-budget": "budget_retries",
}
ENDED = (RequestPhase.FINISHED, RequestPhase.CANCELLED)


class SimpleCell:
    """A queue by arrival or by prompt, and least-loaded or cyclic placement."""

    def __init__(self, policy: str) -> None:
        self._policy = policy
        self._queue: list = []
        self._counts: dict[str, int] = {}
        self._prefill: dict[str, float] = {}
        self._specs: dict = {}
        self._placed: dict[str, str] = {}
        self._sequence = 0
        self._turn = 0

    def next_wakeup_s(self, now_s):
        return None

    def handle(self, event, now_s):
        if isinstance(event, m.CellGained):
            for spec in event.backend_servers:
                self._specs[spec.name] = spec
                if spec.role is BackendServerRole.PREFILL:
                    self._prefill[spec.name] = 0.0
                else:
                    self._counts[spec.name] = 0
        elif isinstance(event, m.RequestSubmitted):
            profile = event.profile
            self._end(profile.request_id)
            self._sequence += 1
            key = profile.prompt_tokens if self._policy == "shortest" else 0
            heapq.heappush(self._queue, (key, self._sequence, profile))
        elif isinstance(event, m.ProgressReported):
            for item in event.batch.items:
                if item.phase in ENDED:
                    self._end(item.request_id)
        elif isinstance(event, m.RequestWithdrawn):
            self._end(event.request_id)
        elif isinstance(event, m.ServerFailed):
            self._counts.pop(event.backend_server, None)
            self._prefill.pop(event.backend_server, None)
        return self._dispatch(now_s)

    def _end(self, request_id):
        name = self._placed.pop(request_id, None)
        if name in self._counts:
            self._counts[name] -= 1

    def _dispatch(self, now_s):
        actions = []
        while self._queue:
            names = sorted(self._counts)
            name = min(names, key=lambda n: self._counts[n])
            if self._policy == "round_robin":
                name = names[self._turn % len(names)]
            if self._counts[name] >= self._specs[name].slots:
                break
            self._turn += 1
            profile = heapq.heappop(self._queue)[2]
            source = ""
            if self._prefill:
                sources = sorted(self._prefill)
                source = min(sources, key=lambda n: self._prefill[n])
                if self._policy == "round_robin":
                    source = sources[self._turn % len(sources)]
                cost_s = (
                    profile.prompt_tokens / self._specs[source].prefill_tokens_per_s
                )
                self._prefill[source] = max(now_s, self._prefill[source]) + cost_s
            self._counts[name] += 1
            self._placed[profile.request_id] = name
            placement = Placement(
                request_id=profile.request_id,
                attempt=profile.attempt,
                epoch=1,
                prefill_server=source,
                decode_server=name,
                priority=profile.prompt_tokens if self._policy == "shortest" else 0,
            )
            actions.append(
                m.SendSubmitResponse(profile.front, profile.request_id, placement)
            )
        return actions


class Oracle:
    """Knows true urgency and output length."""

    def __init__(self, requests) -> None:
        self._requests = requests

    def estimate(self, profile, cached_tokens):
        request = self._requests[profile.request_id]
        level = Level.URGENT if request.is_urgent else Level.BULK
        slack_s = 0.5 if request.is_urgent else BULK_SLACK_S
        output = max(1, request.output_tokens - request.produced)
        return Estimate(level, slack_s, output, output)

    def record_finished(self, profile, output_tokens, waited_s):
        pass

    def record_abandoned(self, profile, waited_s):
        pass


def make_cell(policy: str, seed: int, requests):
    settings = SchedulerSettings(kv_bytes_per_token=KV_BYTES_PER_TOKEN)
    rng = random.Random(seed)
    if policy in ("shortest", "round_robin"):
        return SimpleCell(policy)
    if policy == "fcfs":
        # The own placement and reservations, so that only the order is compared.
        off = ("infer_urgency", "age_queued", "fair_share", "control_overload")
        settings = replace(settings, **dict.fromkeys(off, False))
    if policy == "upper_bound":
        return CellScheduler(rng, settings, Oracle(requests))
    if policy == f"{OWN}-with-roles":
        settings = replace(settings, propose_roles=True)
    if policy.startswith(f"{OWN}-without-"):
        name = policy.removeprefix(f"{OWN}-without-")
        settings = replace(settings, **{ABLATIONS[name]: False})
    return CellScheduler(rng, settings)
