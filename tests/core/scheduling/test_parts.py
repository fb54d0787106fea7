"""Parts of the scheduler: stale hints, unfair shares, links, unlimited retries."""

import random
from itertools import pairwise

import pytest

from damaskridge.core.scheduling import links
from damaskridge.core.scheduling.fair_queue import FairQueue, QueueItem
from damaskridge.core.scheduling.prefix_hints import PrefixHints
from damaskridge.core.scheduling.retry_budget import MAX_ATTEMPTS, RetryBudget
from damaskridge.core.scheduling.roles import RoleAdvisor
from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.suspects import SuspectTable
from damaskridge.core.scheduling.urgency import Level, UrgencyEstimator
from damaskridge.model.bundle import BackendServer, BackendServerRole
from damaskridge.model.engine import CacheEvent, CacheEventPage, LoadReport
from damaskridge.model.routing import RequestProfile

ROLE = BackendServerRole


def server_state(name, role, used=0):
    spec = BackendServer(name, "c", role, "m", "dc", "", 10, kv_pieces=100)
    return ServerState(spec, role, used_slots=used)


def cache_page(*numbers, cached=True, gap=False):
    events = tuple(CacheEvent(n, 100 + n, cached) for n in numbers)
    return CacheEventPage(events, gap)


def test_a_gap_in_cache_events_discards_the_hints_of_the_server():
    hints = PrefixHints()
    hints.apply("e", cache_page(1, 2, 3))
    assert hints.cached_tokens("e", (101, 102, 103, 104)) == 192
    assert hints.servers_with_prefix((101,), 3) == ["e"]
    hints.apply("e", cache_page(5))
    assert hints.cached_tokens("e", (101, 102)) == 0
    assert hints.servers_with_prefix((101,), 3) == []
    hints.apply("e", cache_page(2))
    assert hints.cached_tokens("e", (102,)) == 0, "a duplicate event has no effect"
    hints.apply("e", cache_page(6, gap=True))
    assert hints.cached_tokens("e", (106,)) == 0


@pytest.mark.parametrize("seed", range(5))
def test_shares_follow_weights_for_any_size_of_requests(seed):
    rng = random.Random(seed)
    queue = FairQueue()
    queue.set_weights({"large": 1.0, "small": 1.0, "heavy": 2.0})
    served = dict.fromkeys(("large", "small", "heavy"), 0.0)
    sizes = {"large": 1.0, "small": 0.01, "heavy": 0.1}
    for workspace, size in sizes.items():
        for number in range(int(100 / size)):
            name = f"{workspace}{number}"
            due_s = rng.random()
            queue.push(QueueItem(name, workspace, Level.URGENT, due_s, size))
    while sum(served.values()) < 100:
        item = queue.remove_placed(next(queue.heads(Level.URGENT, 1)).request_id)
        served[item.workspace] += item.cost_s
    assert served["large"] == pytest.approx(25, abs=2)
    assert served["small"] == pytest.approx(25, abs=2)
    assert served["heavy"] == pytest.approx(50, abs=2)


def test_transfers_never_overlap_on_a_link():
    rng = random.Random(3)
    source, targets = (
        server_state("p", ROLE.PREFILL),
        [server_state("d", ROLE.DECODE) for _ in "ab"],
    )
    for _ in range(200):
        target, ready_s = rng.choice(targets), rng.random() * 10
        duration_s = rng.random() * 0.2
        start_s = links.transfer_start_s(source, target, ready_s, duration_s)
        assert start_s >= ready_s
        links.reserve_transfer(source, target, start_s, duration_s, 0.0)
    spans = sorted(source.reserved_transfers_s)
    assert all(a[1] <= b[0] + 1e-9 for a, b in pairwise(spans))


def test_retries_are_limited_by_attempt_and_budget():
    budget = RetryBudget()
    assert not budget.try_spend("a", MAX_ATTEMPTS + 1)
    assert sum(budget.try_spend("a", 2) for _ in range(100)) == 50
    for _ in range(11):
        budget.record_first_attempt("a")
    assert budget.try_spend("a", 2)


def test_a_load_report_keeps_prompts_sent_after_its_measurement():
    server = server_state("p", ROLE.PREFILL)
    server.add_prefill(8000, Level.URGENT, 10.0)
    server.apply_report(LoadReport(1, 1.0, 0, 0, 0), True, 10.5)
    assert server.prefill_wait_s(Level.BULK, 10.0) > 0.4


def test_roles_change_only_after_a_sustained_imbalance():
    servers = [server_state(n, ROLE.PREFILL) for n in "ab"]
    servers += [server_state(n, ROLE.DECODE, 10) for n in "cd"]
    advisor = RoleAdvisor()
    found = [(s, advisor.propose(servers, float(s))) for s in range(60)]
    proposals = [(s, p) for s, p in found if p is not None]
    ((at_s, (server, role)),) = proposals
    assert 30 <= at_s <= 32 and role is ROLE.DECODE and server in servers[:2]


def test_requests_are_urgent_if_callers_abandoned_similar_ones_early():
    profile = RequestProfile(
        resource="c",
        epoch=1,
        request_id="r",
        attempt=1,
        workspace="a",
        front="f",
        incarnation=1,
        route="/v1",
        model="m",
        prompt_tokens=5000,
        max_output_tokens=500,
    )
    estimator = UrgencyEstimator()
    assert estimator.estimate(profile, 0).level is Level.BULK
    estimator.record_abandoned(profile, 60.0)
    assert estimator.estimate(profile, 0).level is Level.BULK
    estimator.record_abandoned(profile, 2.0)
    assert estimator.estimate(profile, 0).level is Level.URGENT


def test_a_lead_in_delay_tolerant_work_does_not_delay_urgent_requests():
    queue = FairQueue()
    for number in range(10):
        queue.push(QueueItem(f"bulk{number}", "a", Level.BULK, 0.0, 1.0))
    for number in range(10):
        queue.remove_placed(f"bulk{number}")
    queue.push(QueueItem("first", "a", Level.URGENT, 1.0, 0.01))
    queue.push(QueueItem("second", "b", Level.URGENT, 1.1, 0.01))
    assert next(queue.heads(Level.URGENT, 1)).request_id == "first"


def test_a_suspect_reaches_the_crash_limit_at_the_next_crash():
    # The crash behind the suspicion counts although it left the window long ago, else
    # the request could crash a third server.
    table = SuspectTable()
    table.record_failure("f", "p1", 1, 0.0)
    assert not table.has_reached_crash_limit("f", 1.0)
    table.record_failure("f", "p2", 1, 100.0, was_suspect=True)
    assert table.has_reached_crash_limit("f", 101.0)
