"""Rates must hold; no double charge, no overtaking and no grant without a lease."""

import random

import pytest

from damaskridge.core.limits import messages as m
from damaskridge.core.limits.rate_owner import RateOwner
from damaskridge.model.bundle import Workspace
from damaskridge.model.errors import ErrorKind
from damaskridge.model.routing import Duplicate, RateGrant, RateRequest, Refund, Refused

WORKSPACE = Workspace("a", 100.0, 200.0)


def request(number, cost, wait_s=0.0, key="", digest="", epoch=1, front="f"):
    return m.RateRequested(
        RateRequest(
            resource="workspace/a",
            epoch=epoch,
            workspace="a",
            request_id=f"r{number}",
            front=front,
            cost_tokens=cost,
            idempotency_key=key,
            body_digest=digest,
            wait_s=wait_s,
        ),
        2.0,
    )


def make_owner(level=200.0, fronts=(), is_level_unknown=False):
    owner = RateOwner(random.Random(1))
    owner.handle(m.OwnershipGained(WORKSPACE, 1, level, fronts, is_level_unknown), 0.0)
    return owner


def responses_by_id(actions):
    return {
        a.request_id: a.response for a in actions if isinstance(a, m.SendRateResponse)
    }


def refusal_kind(actions):
    """Return the kind of the only response, which has to be a refusal."""
    (response,) = responses_by_id(actions).values()
    assert isinstance(response, Refused)
    return response.failure.kind


def test_request_id_is_charged_once():
    owner = make_owner()
    assert isinstance(
        responses_by_id(owner.handle(request(1, 200), 0.0))["r1"], RateGrant
    )
    assert isinstance(
        responses_by_id(owner.handle(request(1, 200), 0.0))["r1"], RateGrant
    )
    assert refusal_kind(owner.handle(request(2, 1), 0.0)) is ErrorKind.RATE_EXCEEDED


def test_waiting_requests_are_granted_in_order_without_overtaking():
    owner = make_owner(level=0.0)
    assert owner.handle(request(1, 100, wait_s=2.0), 0.0) == []
    assert owner.handle(request(2, 1, wait_s=2.0), 0.0) == []
    assert owner.handle(m.RateTimerFired(2.0), 0.5) == []
    wakeup_s = owner.next_wakeup_s(0.5)
    assert list(responses_by_id(owner.handle(m.RateTimerFired(2.0), wakeup_s))) == [
        "r1"
    ]
    actions = owner.handle(m.RateTimerFired(2.0), wakeup_s + 0.02)
    assert responses_by_id(actions)["r2"].waited_s > 1.0


def test_refusals_have_kind_and_retry_time():
    owner = make_owner(level=0.0)
    assert refusal_kind(owner.handle(request(1, 201), 0.0)) is ErrorKind.INVALID_REQUEST
    response = responses_by_id(owner.handle(request(2, 200), 0.0))["r2"]
    assert 2.0 <= response.failure.retry_after_s <= 2.6
    assert (
        refusal_kind(owner.handle(request(3, 1, epoch=2), 9.0))
        is ErrorKind.EPOCH_CONFLICT
    )


def test_nothing_is_granted_without_a_lease():
    owner = make_owner(level=0.0)
    owner.handle(request(1, 10, wait_s=1.0), 0.0)
    assert owner.handle(m.RateTimerFired(0.0), 0.5) == []
    assert (
        refusal_kind(owner.handle(m.RateTimerFired(0.0), 1.1))
        is ErrorKind.RATE_EXCEEDED
    )
    late = m.RateRequested(request(2, 1).request, 0.0)
    assert refusal_kind(owner.handle(late, 2.0)) is ErrorKind.LEASE_EXPIRED


def test_idempotency_keys_find_duplicates_and_conflicts_until_they_expire():
    owner = make_owner()
    owner.handle(request(1, 1, key="k", digest="x", front="f1"), 0.0)
    response = responses_by_id(owner.handle(request(2, 1, key="k", digest="x"), 0.0))[
        "r2"
    ]
    assert response == Duplicate(request_id="r1", front="f1", finished=False)
    conflict = owner.handle(request(3, 1, key="k", digest="y"), 0.0)
    assert refusal_kind(conflict) is ErrorKind.IDEMPOTENCY_CONFLICT
    owner.handle(m.RequestEnded("a", "r1"), 1.0)
    response = responses_by_id(owner.handle(request(4, 1, key="k", digest="x"), 600.9))[
        "r4"
    ]
    assert isinstance(response, Duplicate) and response.finished
    response = responses_by_id(owner.handle(request(5, 1, key="k", digest="z"), 601.1))[
        "r5"
    ]
    assert isinstance(response, RateGrant)


def test_new_owner_delays_requests_with_keys_until_fronts_report():
    owner = make_owner(fronts=("f1", "f2"))
    assert owner.handle(request(1, 1, key="k"), 0.0) == []
    assert responses_by_id(owner.handle(request(2, 1), 0.0))
    owner.handle(m.RequestActive("a", "f1", "r0", "k", ""), 0.1)
    owner.handle(m.RequestActive("a", "f1", "", "", ""), 0.1)
    actions = owner.handle(m.RequestActive("a", "f2", "", "", ""), 0.2)
    assert isinstance(responses_by_id(actions)["r1"], Duplicate)
    silent = make_owner(fronts=("f1",))
    silent.handle(request(1, 1, key="k"), 0.0)
    assert silent.next_wakeup_s(0.0) == 2.0
    assert responses_by_id(silent.handle(m.RateTimerFired(2.0), 2.0))


def test_release_returns_the_level_and_refuses_waiting_requests():
    owner = make_owner(level=150.0)
    owner.handle(request(1, 50), 0.0)
    owner.handle(m.RefundReceived(refund("r1", 20)), 0.0)
    owner.handle(m.RefundReceived(refund("r1", 500)), 0.0)
    owner.handle(request(2, 151, wait_s=5.0), 0.0)
    actions = owner.handle(m.ReleaseRequested("a"), 0.0)
    assert refusal_kind(actions) is ErrorKind.EPOCH_CONFLICT
    assert actions[-1] == m.ReleaseBucket("a", 1, 150.0)
    assert refusal_kind(owner.handle(request(3, 1), 0.0)) is ErrorKind.EPOCH_CONFLICT


def refund(request_id, tokens, epoch=1):
    return Refund(
        resource="workspace/a",
        epoch=epoch,
        workspace="a",
        request_id=request_id,
        tokens=tokens,
    )


def worst_overshoot(uses, rate, burst):
    """Return the largest excess of any window over burst plus rate times length."""
    worst = excess = 0.0
    last_s = 0.0
    for at_s, tokens in uses:
        excess = max(0.0, excess - rate * (at_s - last_s)) + tokens
        worst, last_s = max(worst, excess), at_s
    return worst - burst


def simulate_ownership_changes(seed):
    """Run successive owners on clocks up to 1% off; return grants and refunds."""
    rng = random.Random(seed)
    uses, level, now_s, number, charged = [], 200.0, 0.0, 0, []
    costs = {}
    for epoch in range(1, 30):
        speed, offset = rng.choice([0.99, 1.0, 1.01]), rng.random() * 100
        owner = RateOwner(rng)
        owner.handle(m.OwnershipGained(WORKSPACE, epoch, level, (), level <= 0), offset)
        started_s, end_s = now_s, now_s + rng.uniform(0.5, 6.0)
        is_crash = rng.random() < 0.5
        charged.clear()
        while now_s < end_s:
            now_s += rng.expovariate(20)
            clock_s = offset + (now_s - started_s) * speed
            # An owner that was frozen may resume after its lease has expired.
            lease_s = end_s - now_s if rng.random() < 0.95 else 0.0
            number += 1
            event = request(number, rng.randint(1, 60), rng.random(), epoch=epoch)
            if charged and rng.random() < 0.2:
                request_id, cost = charged.pop()
                tokens = rng.randint(0, cost)
                uses.append((now_s, -tokens))
                event = m.RefundReceived(refund(request_id, tokens, epoch))
            elif lease_s <= 0:
                event = m.RateTimerFired(0.0)
            else:
                event = m.RateRequested(event.request, lease_s)
                costs[event.request.request_id] = event.request.cost_tokens
            for item, response in responses_by_id(owner.handle(event, clock_s)).items():
                if isinstance(response, RateGrant):
                    charged.append((item, costs[item]))
                    uses.append((now_s, costs[item]))
        level = 0.0
        if not is_crash:
            level = owner.handle(m.ReleaseRequested("a"), clock_s)[-1].level_tokens
    return uses


@pytest.mark.parametrize("seed", range(20))
def test_no_window_exceeds_the_rate_across_ownership_changes(seed):
    uses = simulate_ownership_changes(seed)
    assert sum(tokens for _, tokens in uses if tokens > 0) > 1000
    assert (
        worst_overshoot(uses, WORKSPACE.rate_tokens_per_s, WORKSPACE.burst_tokens) <= 0
    )


def test_loss_of_an_owner_causes_no_refusals_within_the_rate():
    owner, responses = make_owner(level=0.0, is_level_unknown=True), []
    for number in range(400):
        now_s = number * 0.1
        actions = owner.handle(request(number, 9, wait_s=0.5), now_s)
        for response in responses_by_id(actions).values():
            responses.append(response)
    assert all(isinstance(response, RateGrant) for response in responses)
    assert len(responses) > 390
    # Requests that even a full bucket could not grant are refused after the usual wait.
    owner = make_owner(level=0.0, is_level_unknown=True)
    for number in range(20):
        assert owner.handle(request(number, 10, wait_s=0.5), 0.0) == []
    assert refusal_kind(owner.handle(request(21, 10, wait_s=0.5), 0.0)) is (
        ErrorKind.RATE_EXCEEDED
    )
    released = make_owner(level=10.0)
    assert (
        refusal_kind(released.handle(request(1, 100), 0.0)) is ErrorKind.RATE_EXCEEDED
    )
