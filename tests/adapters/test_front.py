"""Guards against cut answers, memory left on engines and untrue run states."""

import asyncio
import random

import pytest
from examples.standins.engine import expected_output
from result import Err
from tests.adapters.front_fakes import (
    KEY,
    NOT_RUN,
    Caller,
    FakePeers,
    completion,
    held,
    holds_no_memory,
    start_front,
)
from tests.paused import run_paused

from damaskridge.adapters.http.credentials import key_digest
from damaskridge.core.scheduling.suspects import HELD_S
from damaskridge.core.state.fleet_queries import owner_of
from damaskridge.model.control import Owner, RecordResult
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import RequestPhase

WHOLE = expected_output("a prompt", 20)


def whole_answer(caller):
    assert [offset for offset, _ in caller.tokens] == list(range(20))
    return "".join(text for _, text in caller.tokens) == WHOLE


@pytest.mark.parametrize(
    "fault",
    [
        {},
        {"shuffle": True},
        {"break_at": 0},
        {"break_at": 7},
        {"silent_at": 7},
        {"garbage_at": 7},
        {"transfer_s": 1e6},
        {"refusal": Failure(ErrorKind.OVERLOADED)},
        {"prefill_s": 1e6},
    ],
    ids=str,
)
@pytest.mark.parametrize("stream", [True, False])
def test_the_whole_answer_arrives_in_spite_of(fault, stream):
    async def main():
        found = start_front()
        for name in ("p1", "d1"):
            for field, value in fault.items():
                setattr(found.engines[name], field, value)
        caller = completion(found.app, stream=stream)
        await caller.task
        if stream:
            assert whole_answer(caller)
            assert caller.body.endswith(b"data: [DONE]\n\n")
        else:
            assert caller.json["choices"][0]["text"] == WHOLE
        await asyncio.sleep(3)
        assert holds_no_memory(found), held(found)
        request_id = caller.headers["x-request-id"]
        assert found.cells.phases(request_id)[-1] is RequestPhase.FINISHED

    run_paused(main())


@pytest.mark.parametrize("after_s", [0.05, 0.15, 0.25, 0.35, 0.45])
@pytest.mark.parametrize("stream", [True, False])
def test_a_caller_that_leaves_frees_everything(after_s, stream):
    """Stages: rate, placement, prefill, transfer, decode."""

    async def main():
        found = start_front(resume_grace_s=0.5)
        found.rates.wait_s = found.cells.wait_s = 0.1
        caller = completion(found.app, 1000, stream)
        await asyncio.sleep(after_s)
        caller.disconnect()
        await caller.task
        await asyncio.sleep(2)
        assert holds_no_memory(found), held(found)
        assert not found.front.active_requests("cell/llm")
        assert len(found.cells.withdrawn) == (0.1 < after_s < 0.2)
        if after_s > 0.1:
            assert found.rates.refunds

    run_paused(main())


def test_a_caller_that_stops_reading_is_cancelled():
    async def main():
        found = start_front(write_timeout_s=2.0)
        caller = completion(found.app, 1000)
        caller.stalled = 5
        await caller.task
        await asyncio.sleep(1.5)
        assert holds_no_memory(found)
        assert len(caller.sent) == 5

    run_paused(main())


def test_a_withdrawn_key_ends_streams_and_queued_requests():
    async def main():
        found = start_front()
        running = completion(found.app, 1000)
        await asyncio.sleep(1)
        found.cells.wait_s = 100
        queued = completion(found.app)
        service = Caller(found.app, "GET", "/services/desk/list")
        await asyncio.sleep(1)
        found.control.fleet.withdrawn_keys.add(key_digest(KEY))
        found.control.fleet.index += 1
        await asyncio.wait_for(
            asyncio.gather(running.task, queued.task, service.task), 4
        )
        assert (running.error["kind"], running.error["run"]) == ("key_withdrawn", "ran")
        for refused in (queued, service):
            assert (refused.status, refused.error["run"]) == (401, NOT_RUN)
        await asyncio.sleep(2)
        assert holds_no_memory(found)
        assert not found.services.calls

    run_paused(main())


def test_a_request_waits_for_a_lost_owner_and_is_submitted_again():
    async def main():
        found = start_front()
        fleet = found.control.fleet
        found.rates.down = True
        found.cells.wait_s = 1e6
        caller = completion(found.app)
        await asyncio.sleep(2)
        found.rates.down = False
        await asyncio.sleep(1)
        assert len(found.cells.profiles) == 1
        del fleet.owners["cell/llm"]
        await asyncio.sleep(3)
        found.cells.wait_s = 0
        fleet.owners["cell/llm"] = Owner("cell/llm", "h1", 1, 2)
        await caller.task
        assert whole_answer(caller)
        assert [profile.epoch for profile in found.cells.profiles] == [1, 2]
        assert found.cells.registered[-1][:2] == ("cell/llm", 2)
        del fleet.owners["cell/llm"]
        refused = completion(found.app)
        await refused.task
        assert refused.error["kind"] == "owner_unavailable"
        assert refused.error["run"] == NOT_RUN
        assert owner_of(fleet, "cell/llm") is None

    run_paused(main())


def test_a_late_grant_is_not_used():
    async def main():
        found = start_front()
        found.rates.wait_s, found.rates.valid_s = 0.2, [5.0, 0.1]
        caller = completion(found.app)
        await caller.task
        assert whole_answer(caller)
        assert len(found.rates.requests) == 2

    run_paused(main())


def test_without_a_lease_nothing_starts_and_streams_go_on():
    async def main():
        found = start_front()
        running = completion(found.app)
        await asyncio.sleep(0.3)
        found.cells.wait_s = 1
        queued = completion(found.app)
        await asyncio.sleep(0)
        found.control.lease.end()
        refused = completion(found.app)
        free = Caller(found.app, "GET", "/services/desk/open", key=None)
        await asyncio.gather(running.task, queued.task, refused.task, free.task)
        assert whole_answer(running)
        assert (queued.error["kind"], queued.error["run"]) == ("lease_expired", NOT_RUN)
        assert refused.error["kind"] == "lease_expired"
        assert free.status == 200

    run_paused(main())


def test_the_same_idempotency_key_attaches_to_the_running_request():
    async def main():
        found = start_front()
        other = start_front("h2", found.peers)
        other.rates.keys = found.rates.keys
        for fleet in (found.control.fleet, other.control.fleet):
            fleet.sessions = {
                "h1": found.control.session,
                "h2": other.control.session,
            }
        headers = [("idempotency-key", "k")]
        callers = []
        for app in (found.app, found.app, other.app):
            callers.append(completion(app, headers=headers))
            await asyncio.sleep(0.3)
        await asyncio.gather(*(caller.task for caller in callers))
        assert all(whole_answer(caller) for caller in callers)
        assert len({caller.headers["x-request-id"] for caller in callers}) == 1
        assert len(found.cells.profiles) + len(other.cells.profiles) == 1
        again = completion(other.app, headers=headers)
        await again.task
        assert whole_answer(again)
        (key,) = found.front.active_keys("one")
        assert key.idempotency_key == "k"
        assert key.finished

    run_paused(main())


def resume(app, request_id, last, **options):
    path = f"/v1/requests/{request_id}/stream"
    return Caller(app, "GET", path, headers=[("last-event-id", str(last))], **options)


@pytest.mark.parametrize("seed", range(6))
def test_a_broken_stream_is_resumed_with_each_token_once(seed):
    """Resumes on the same host, through a peer, and after the front died."""

    async def main():
        rng = random.Random(seed)
        found = start_front()
        other = start_front("h2", found.peers)
        found.cells.take_overs = other.cells.take_overs
        other.engines.update(found.engines)
        fleet = other.control.fleet
        fleet.sessions["h1"] = found.control.session
        caller = completion(found.app)
        await asyncio.sleep(0.25 + rng.random() * 0.3)
        request_id = caller.headers["x-request-id"]
        last = caller.tokens[-1][0]
        (active,) = found.front.active_requests("cell/llm")
        caller.disconnect()
        await caller.task
        mode = seed % 3
        if mode == 2:
            # The process dies; its session ends a little later.
            found.run.cancel()
            found.peers.fronts.pop("h1")
            for task in list(found.front.context.tasks):
                task.cancel()
            other.cells.take_overs[(request_id, "one")] = active
        again = resume((found if mode == 0 else other).app, request_id, last)
        await asyncio.sleep(1)
        fleet.sessions.pop("h1")
        await again.task
        assert whole_answer_of(caller.tokens + again.tokens)
        stranger = resume(found.app, request_id, 0, key="key-two-secret")
        await stranger.task
        assert stranger.error["kind"] == "unknown_request"

    run_paused(main())


def whole_answer_of(tokens):
    assert [offset for offset, _ in tokens] == list(range(20))
    return "".join(text for _, text in tokens) == WHOLE


def test_a_request_that_was_taken_over_is_not_cancelled_on_its_engine():
    async def main():
        found = start_front()
        caller = completion(found.app, 50)
        await asyncio.sleep(0.5)
        found.front.handle_take_over(caller.headers["x-request-id"])
        await caller.task
        assert caller.error["kind"] == "stream_taken_over"
        await asyncio.sleep(2)
        assert found.engines["d1"].memory
        assert not found.engines["d1"].cancelled

    run_paused(main())


def charge(found, body=b"10", key="k"):
    headers = [("idempotency-key", key)] if key else []
    return Caller(found.app, "POST", "/services/desk/charge", body, headers)


def test_a_call_that_must_not_be_repeated_runs_at_most_once():
    async def main():
        found = start_front()
        sent_first = []
        found.services.delay_s = 0.5
        first = charge(found)
        await asyncio.sleep(0.1)
        sent_first.append(len(found.control.commands))
        second = charge(found)
        first.disconnect()
        await asyncio.gather(first.task, second.task)
        await asyncio.sleep(1)
        third = charge(found)
        await third.task
        assert sent_first == [1], "the intent is committed before the call leaves"
        assert second.error["kind"] == "idempotency_in_progress"
        assert (third.status, third.body) == (200, b"done")
        assert len(found.services.calls) == 1
        nameless = charge(found, key="")
        await nameless.task
        assert nameless.error["kind"] == "idempotency_key_missing"

    run_paused(main())


@pytest.mark.parametrize("run", [RunState.NOT_RUN, RunState.UNKNOWN])
def test_the_ledger_tells_the_truth_about_a_failed_call(run):
    async def main():
        found = start_front()
        failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, run_state=run)
        found.services.results = [Err(failure)]
        first = charge(found)
        await first.task
        again = charge(found)
        await again.task
        records = [c for c in found.control.commands if isinstance(c, RecordResult)]
        assert records[0].not_run is (run is RunState.NOT_RUN)
        assert first.error["run"] == run.value
        assert again.status == (200 if run is RunState.NOT_RUN else 502)
        assert len(found.services.calls) == 1 + (run is RunState.NOT_RUN)

    run_paused(main())


def test_a_repeatable_call_is_sent_again():
    async def main():
        found = start_front()
        found.cells.pairs = [("", "desk1"), ("", "d1")]
        found.services.results = [Err(Failure(ErrorKind.BACKEND_SERVER_FAILED))]
        caller = Caller(found.app, "POST", "/services/desk/list")
        await caller.task
        assert (caller.status, caller.body) == (200, b"done")
        assert found.cells.profiles[1].excluded == ("desk1",)

    run_paused(main())


def test_a_drain_refuses_new_requests_and_finishes_running_ones():
    async def main():
        found = start_front(peers=FakePeers())
        caller = completion(found.app)
        await asyncio.sleep(0.1)
        found.front.begin_drain()
        refused = completion(found.app)
        await found.front.wait_idle()
        await refused.task
        assert whole_answer(caller)
        assert refused.error["kind"] == "shutting_down"
        addresses = Caller(found.app, "GET", "/v1/addresses", key=None)
        await addresses.task
        assert addresses.json == {"addresses": [], "keep_s": 5.0}

    run_paused(main())


def test_a_request_that_lost_two_engines_is_refused_when_it_is_sent_again():
    """The cell owner may end before it has reported the second crash."""

    async def main():
        found = start_front()
        for name in ("d1", "d2", "d3"):
            found.engines[name].break_at = 0
        first = completion(found.app, stream=False)
        await first.task
        prompts = [len(engine.prompts) for engine in found.engines.values()]
        again = completion(found.app, stream=False)
        await again.task
        assert again.status == 422
        assert [len(engine.prompts) for engine in found.engines.values()] == prompts
        other = completion(found.app, stream=False, prompt="another prompt")
        await other.task
        assert other.status != 422

    run_paused(main())


def test_a_new_cell_owner_hears_of_crashes_that_the_last_one_may_have_kept():
    async def main():
        found = start_front()
        for name in ("d1", "d2", "d3"):
            found.engines[name].break_at = 0
        await completion(found.app, stream=False).task
        reported = len([item for item in found.cells.reports if item.crashed])
        owner = Owner("cell/llm", "h1", 1, 2)
        found.control.fleet.owners["cell/llm"] = owner
        await asyncio.sleep(1)
        again = [item for item in found.cells.reports if item.crashed][reported:]
        assert [item.failed_server for item in again] == ["d1", "d2"]
        assert all(item.fingerprint for item in again)
        assert again[-1].suspect

    run_paused(main())


def test_reports_of_lost_attempts_are_not_kept_for_ever():
    """A cell may keep its owner for months, in which nobody asks for the reports."""

    async def main():
        found = start_front()
        for name in ("d1", "d2", "d3"):
            found.engines[name].break_at = 0
        await completion(found.app, stream=False).task
        assert len(found.front.context.crashes) == 2
        await asyncio.sleep(HELD_S + 1)
        await completion(found.app, stream=False, prompt="another prompt").task
        assert len(found.front.context.crashes) == 2

    run_paused(main())
