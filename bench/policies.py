"""Schedulers for comparison: simple baselines, an upper bound and ablations.

The upper bound is the own scheduler with true urgency and output lengths.
"""

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

__all__ = ["ABLATION_SETTINGS", "BASELINES", "OWN_POLICY", "make_cell"]

BASELINES = ("fcfs", "shortest", "round_robin", "upper_bound")
OWN_POLICY = "damaskridge"
ABLATION_SETTINGS = {
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
ENDED_PHASES = (RequestPhase.FINISHED, RequestPhase.CANCELLED)


class BaselineCell:
    """A baseline scheduler.

    Queues requests by arrival or prompt length; places them on the least loaded
    server or round robin.
    """

    def __init__(self, policy: str) -> None:
        self._policy = policy
        self._queue: list = []
        self._active_requests: dict[str, int] = {}
        self._prefill_free_s: dict[str, float] = {}
        self._servers: dict = {}
        self._decode_server_by_request: dict[str, str] = {}
        self._sequence = 0
        self._round_robin_turn = 0

    def next_wakeup_s(self, now_s):
        return None

    def handle(self, event, now_s):
        if isinstance(event, m.CellGained):
            for server in event.backend_servers:
                self._servers[server.name] = server
                if server.role is BackendServerRole.PREFILL:
                    self._prefill_free_s[server.name] = 0.0
                else:
                    self._active_requests[server.name] = 0
        elif isinstance(event, m.RequestSubmitted):
            profile = event.profile
            self._end(profile.request_id)
            self._sequence += 1
            queue_key = profile.prompt_tokens if self._policy == "shortest" else 0
            heapq.heappush(self._queue, (queue_key, self._sequence, profile))
        elif isinstance(event, m.ProgressReported):
            for item in event.batch.items:
                if item.phase in ENDED_PHASES:
                    self._end(item.request_id)
        elif isinstance(event, m.RequestWithdrawn):
            self._end(event.request_id)
        elif isinstance(event, m.ServerFailed):
            self._active_requests.pop(event.backend_server, None)
            self._prefill_free_s.pop(event.backend_server, None)
        return self._dispatch(now_s)

    def _end(self, request_id):
        name = self._decode_server_by_request.pop(request_id, None)
        if name in self._active_requests:
            self._active_requests[name] -= 1

    def _dispatch(self, now_s):
        actions = []
        while self._queue:
            names = sorted(self._active_requests)
            name = min(names, queue_key=lambda n: self._active_requests[n])
            if self._policy == "round_robin":
                name = names[self._round_robin_turn % len(names)]
            if self._active_requests[name] >= self._servers[name].slots:
                break
            self._round_robin_turn += 1
            profile = heapq.heappop(self._queue)[2]
            source = ""
            if self._prefill_free_s:
                sources = sorted(self._prefill_free_s)
                source = min(sources, queue_key=lambda n: self._prefill_free_s[n])
                if self._policy == "round_robin":
                    source = sources[self._round_robin_turn % len(sources)]
                cost_s = (
                    profile.prompt_tokens / self._servers[source].prefill_tokens_per_s
                )
                self._prefill_free_s[source] = (
                    max(now_s, self._prefill_free_s[source]) + cost_s
                )
            self._active_requests[name] += 1
            self._decode_server_by_request[profile.request_id] = name
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


class OracleEstimator:
    """Estimates from the true urgency and output length of each request."""

    def __init__(self, requests) -> None:
        self._requests = requests

    def estimate(self, profile, cached_tokens):
        request = self._requests[profile.request_id]
        level = Level.URGENT if request.is_urgent else Level.BULK
        slack_s = 0.5 if request.is_urgent else BULK_SLACK_S
        output = max(1, request.output_tokens - request.produced_tokens)
        return Estimate(level, slack_s, output, output)

    def record_finished(self, profile, output_tokens, waited_s):
        pass

    def record_abandoned(self, profile, waited_s):
        pass


def make_cell(policy: str, seed: int, requests):
    """Return the scheduler of a policy; `requests` maps ids for the upper bound."""
    settings = SchedulerSettings(kv_bytes_per_token=KV_BYTES_PER_TOKEN)
    rng = random.Random(seed)
    if policy in ("shortest", "round_robin"):
        return BaselineCell(policy)
    if policy == "fcfs":
        # Placement and reservations stay as in the own policy, so that the comparison
        # shows the effect of the queue order only.
        disabled_settings = (
            "infer_urgency",
            "age_queued",
            "fair_share",
            "control_overload",
        )
        settings = replace(settings, **dict.fromkeys(disabled_settings, False))
    if policy == "upper_bound":
        return CellScheduler(rng, settings, OracleEstimator(requests))
    if policy == f"{OWN_POLICY}-with-roles":
        settings = replace(settings, propose_roles=True)
    if policy.startswith(f"{OWN_POLICY}-without-"):
        name = policy.removeprefix(f"{OWN_POLICY}-without-")
        settings = replace(settings, **{ABLATION_SETTINGS[name]: False})
    return CellScheduler(rng, settings)
