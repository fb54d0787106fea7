"""Test that a front sends complete responses, frees memory and reports run states."""

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
    holds_no_memory,
    memory_by_engine,
    send_completion,
    start_front,
)
from tests.paused import run_paused

from damaskridge.adapters.http.credentials import key_digest
from damaskridge.core.scheduling.suspects import LOCAL_CRASH_WINDOW_S
from damaskridge.core.state.fleet_queries import owner_of
from damaskridge.model.control import Owner, RecordResult
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import RequestPhase

EXPECTED_OUTPUT = expected_output("a prompt", 20)


def received_complete_output(caller):
    assert [offset for offset, _ in caller.tokens] == list(range(20))
    return "".join(text for _, text in caller.tokens) == EXPECTED_OUTPUT


@pytest.mark.parametrize(
    "fault",
    [
        {},
        {"shuffle": True},
        {"disconnect_at": 0},
        {"disconnect_at": 7},
        {"stall_at": 7},
        {"malformed_at": 7},
        {"transfer_s": 1e6},
        {"refusal": Failure(ErrorKind.OVERLOADED)},
        {"prefill_s": 1e6},
    ],
    ids=str,
)
@pytest.mark.parametrize("stream", [True, False])
def test_complete_response_despite_engine_fault(fault, stream):
    async def main():
        env = start_front()
        for name in ("p1", "d1"):
            for field, value in fault.items():
                setattr(env.engines[name], field, value)
        caller = send_completion(env.app, stream=stream)
        await caller.task
        if stream:
            assert received_complete_output(caller)
            assert caller.body.endswith(b"data: [DONE]\n\n")
        else:
            assert caller.json["choices"][0]["text"] == EXPECTED_OUTPUT
        await asyncio.sleep(3)
        assert holds_no_memory(env), memory_by_engine(env)
        request_id = caller.headers["x-request-id"]
        assert env.cells.phases(request_id)[-1] is RequestPhase.FINISHED

    run_paused(main())


@pytest.mark.parametrize("after_s", [0.05, 0.15, 0.25, 0.35, 0.45])
@pytest.mark.parametrize("stream", [True, False])
def test_disconnect_frees_engine_memory_at_every_stage(after_s, stream):
    """The stages are: rate, placement, prefill, transfer, decode."""

    async def main():
        env = start_front(resume_grace_s=0.5)
        env.rates.wait_s = env.cells.wait_s = 0.1
        caller = send_completion(env.app, 1000, stream)
        await asyncio.sleep(after_s)
        caller.disconnect()
        await caller.task
        await asyncio.sleep(2)
        assert holds_no_memory(env), memory_by_engine(env)
        assert not env.front.active_requests("cell/llm")
        assert len(env.cells.withdrawals) == (0.1 < after_s < 0.2)
        if after_s > 0.1:
            assert env.rates.refunds

    run_paused(main())


def test_request_of_a_caller_that_stops_reading_is_cancelled():
    async def main():
        env = start_front(write_timeout_s=2.0)
        caller = send_completion(env.app, 1000)
        caller.stall_after = 5
        await caller.task
        await asyncio.sleep(1.5)
        assert holds_no_memory(env)
        assert len(caller.messages) == 5

    run_paused(main())


def test_withdrawn_key_cancels_running_and_queued_requests():
    async def main():
        env = start_front()
        running = send_completion(env.app, 1000)
        await asyncio.sleep(1)
        env.cells.wait_s = 100
        queued = send_completion(env.app)
        service = Caller(env.app, "GET", "/services/desk/list")
        await asyncio.sleep(1)
        env.control.fleet.withdrawn_keys.add(key_digest(KEY))
        env.control.fleet.index += 1
        await asyncio.wait_for(
            asyncio.gather(running.task, queued.task, service.task), 4
        )
        assert (running.error["kind"], running.error["run"]) == ("key_withdrawn", "ran")
        for refused in (queued, service):
            assert (refused.status, refused.error["run"]) == (401, NOT_RUN)
        await asyncio.sleep(2)
        assert holds_no_memory(env)
        assert not env.services.calls

    run_paused(main())


def test_request_waits_for_a_lost_owner_and_is_submitted_to_the_new_one():
    async def main():
        env = start_front()
        fleet = env.control.fleet
        env.rates.is_down = True
        env.cells.wait_s = 1e6
        caller = send_completion(env.app)
        await asyncio.sleep(2)
        env.rates.is_down = False
        await asyncio.sleep(1)
        assert len(env.cells.profiles) == 1
        del fleet.owners["cell/llm"]
        await asyncio.sleep(3)
        env.cells.wait_s = 0
        fleet.owners["cell/llm"] = Owner("cell/llm", "h1", 1, 2)
        await caller.task
        assert received_complete_output(caller)
        assert [profile.epoch for profile in env.cells.profiles] == [1, 2]
        assert env.cells.registrations[-1][:2] == ("cell/llm", 2)
        del fleet.owners["cell/llm"]
        refused = send_completion(env.app)
        await refused.task
        assert refused.error["kind"] == "owner_unavailable"
        assert refused.error["run"] == NOT_RUN
        assert owner_of(fleet, "cell/llm") is None

    run_paused(main())


def test_expired_grant_is_not_used():
    async def main():
        env = start_front()
        env.rates.wait_s, env.rates.grant_valid_s = 0.2, [5.0, 0.1]
        caller = send_completion(env.app)
        await caller.task
        assert received_complete_output(caller)
        assert len(env.rates.requests) == 2

    run_paused(main())


def test_without_lease_no_request_starts_and_running_streams_continue():
    async def main():
        env = start_front()
        running = send_completion(env.app)
        await asyncio.sleep(0.3)
        env.cells.wait_s = 1
        queued = send_completion(env.app)
        await asyncio.sleep(0)
        env.control.lease.end()
        refused = send_completion(env.app)
        open_route = Caller(env.app, "GET", "/services/desk/open", key=None)
        await asyncio.gather(running.task, queued.task, refused.task, open_route.task)
        assert received_complete_output(running)
        assert (queued.error["kind"], queued.error["run"]) == ("lease_expired", NOT_RUN)
        assert refused.error["kind"] == "lease_expired"
        assert open_route.status == 200

    run_paused(main())


async def send_all_kinds(app):
    """Send a generation, a call and a list request; return their callers."""
    callers = [
        send_completion(app),
        Caller(app, "GET", "/services/desk/list"),
        Caller(app, "GET", "/v1/models"),
    ]
    await asyncio.sleep(0)
    return callers


def test_request_waits_for_the_first_lease_of_a_host_that_has_just_started():
    async def main():
        env = start_front()
        env.control.lease.end()
        callers = await send_all_kinds(env.app)
        await asyncio.sleep(0.3)
        env.control.lease.renew(asyncio.get_running_loop().time(), 3.0)
        await asyncio.gather(*(caller.task for caller in callers))
        assert [caller.status for caller in callers] == [200, 200, 200]

    run_paused(main())


def test_queued_request_waits_for_the_renewal_of_an_expired_lease():
    async def main():
        env = start_front()
        env.cells.wait_s = 0.2
        queued = send_completion(env.app)
        await asyncio.sleep(0.1)
        env.control.lease.end()
        await asyncio.sleep(0.4)
        env.control.lease.renew(asyncio.get_running_loop().time(), 3.0)
        await queued.task
        assert received_complete_output(queued)

    run_paused(main())


def test_key_withdrawn_while_a_request_waits_for_a_lease_is_refused():
    async def main():
        env = start_front()
        env.control.lease.end()
        waiting = send_completion(env.app)
        await asyncio.sleep(0.3)
        env.control.fleet.withdrawn_keys = {key_digest(KEY)}
        env.control.lease.renew(asyncio.get_running_loop().time(), 3.0)
        await waiting.task
        assert waiting.error["kind"] == "key_withdrawn"

    run_paused(main())


def test_duplicate_idempotency_key_returns_output_of_the_first_request():
    async def main():
        env = start_front()
        other = start_front("h2", env.peers)
        other.rates.requests_by_key = env.rates.requests_by_key
        for fleet in (env.control.fleet, other.control.fleet):
            fleet.sessions = {
                "h1": env.control.session,
                "h2": other.control.session,
            }
        headers = [("idempotency-key", "k")]
        callers = []
        for app in (env.app, env.app, other.app):
            callers.append(send_completion(app, headers=headers))
            await asyncio.sleep(0.3)
        await asyncio.gather(*(caller.task for caller in callers))
        assert all(received_complete_output(caller) for caller in callers)
        assert len({caller.headers["x-request-id"] for caller in callers}) == 1
        assert len(env.cells.profiles) + len(other.cells.profiles) == 1
        retry = send_completion(other.app, headers=headers)
        await retry.task
        assert received_complete_output(retry)
        (key,) = env.front.active_keys("one")
        assert key.idempotency_key == "k"
        assert key.finished

    run_paused(main())


def send_resume(app, request_id, last, **options):
    path = f"/v1/requests/{request_id}/stream"
    return Caller(app, "GET", path, headers=[("last-event-id", str(last))], **options)


@pytest.mark.parametrize("seed", range(6))
def test_resumed_stream_delivers_each_token_once(seed):
    """Resumes on the same host, through a peer, and after the front failed."""

    async def main():
        rng = random.Random(seed)
        env = start_front()
        other = start_front("h2", env.peers)
        env.cells.take_overs = other.cells.take_overs
        other.engines.update(env.engines)
        fleet = other.control.fleet
        fleet.sessions["h1"] = env.control.session
        caller = send_completion(env.app)
        await asyncio.sleep(0.25 + rng.random() * 0.3)
        request_id = caller.headers["x-request-id"]
        last = caller.tokens[-1][0]
        (active,) = env.front.active_requests("cell/llm")
        caller.disconnect()
        await caller.task
        mode = seed % 3
        if mode == 2:
            # The process fails; its session ends a little later.
            env.run.cancel()
            env.peers.fronts.pop("h1")
            for task in list(env.front.context.tasks):
                task.cancel()
            other.cells.take_overs[(request_id, "one")] = active
        retry = send_resume((env if mode == 0 else other).app, request_id, last)
        await asyncio.sleep(1)
        fleet.sessions.pop("h1")
        await retry.task
        assert is_complete_output(caller.tokens + retry.tokens)
        other_workspace = send_resume(env.app, request_id, 0, key="key-two-secret")
        await other_workspace.task
        assert other_workspace.error["kind"] == "unknown_request"

    run_paused(main())


def is_complete_output(tokens):
    assert [offset for offset, _ in tokens] == list(range(20))
    return "".join(text for _, text in tokens) == EXPECTED_OUTPUT


def test_taken_over_request_is_not_cancelled_on_its_engine():
    async def main():
        env = start_front()
        caller = send_completion(env.app, 50)
        await asyncio.sleep(0.5)
        env.front.handle_take_over(caller.headers["x-request-id"])
        await caller.task
        assert caller.error["kind"] == "stream_taken_over"
        await asyncio.sleep(2)
        assert env.engines["d1"].memory
        assert not env.engines["d1"].cancelled

    run_paused(main())


def send_charge(env, body=b"10", key="k"):
    headers = [("idempotency-key", key)] if key else []
    return Caller(env.app, "POST", "/services/desk/charge", body, headers)


def test_non_repeatable_call_runs_at_most_once():
    async def main():
        env = start_front()
        commands_before_call = []
        env.services.delay_s = 0.5
        first = send_charge(env)
        await asyncio.sleep(0.1)
        commands_before_call.append(len(env.control.commands))
        second = send_charge(env)
        first.disconnect()
        await asyncio.gather(first.task, second.task)
        await asyncio.sleep(1)
        third = send_charge(env)
        await third.task
        assert commands_before_call == [1], (
            "the intent is committed before the call is sent"
        )
        assert second.error["kind"] == "idempotency_in_progress"
        assert (third.status, third.body) == (200, b"done")
        assert len(env.services.calls) == 1
        without_key = send_charge(env, key="")
        await without_key.task
        assert without_key.error["kind"] == "idempotency_key_missing"

    run_paused(main())


@pytest.mark.parametrize("run", [RunState.NOT_RUN, RunState.UNKNOWN])
def test_ledger_records_the_run_state_of_a_failed_call(run):
    async def main():
        env = start_front()
        failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, run_state=run)
        env.services.results = [Err(failure)]
        first = send_charge(env)
        await first.task
        retry = send_charge(env)
        await retry.task
        records = [c for c in env.control.commands if isinstance(c, RecordResult)]
        assert records[0].not_run is (run is RunState.NOT_RUN)
        assert first.error["run"] == run.value
        assert retry.status == (200 if run is RunState.NOT_RUN else 502)
        assert len(env.services.calls) == 1 + (run is RunState.NOT_RUN)

    run_paused(main())


def test_repeatable_call_is_retried_on_another_instance():
    async def main():
        env = start_front()
        env.cells.server_pairs = [("", "desk1"), ("", "d1")]
        env.services.results = [Err(Failure(ErrorKind.BACKEND_SERVER_FAILED))]
        caller = Caller(env.app, "POST", "/services/desk/list")
        await caller.task
        assert (caller.status, caller.body) == (200, b"done")
        assert env.cells.profiles[1].excluded == ("desk1",)

    run_paused(main())


def test_draining_host_refuses_new_requests_and_completes_running_ones():
    async def main():
        env = start_front(peers=FakePeers())
        caller = send_completion(env.app)
        await asyncio.sleep(0.1)
        env.front.begin_drain()
        refused = send_completion(env.app)
        await env.front.wait_idle()
        await refused.task
        assert received_complete_output(caller)
        assert refused.error["kind"] == "shutting_down"
        addresses = Caller(env.app, "GET", "/v1/addresses", key=None)
        await addresses.task
        assert addresses.json == {"addresses": [], "keep_s": 5.0}

    run_paused(main())


def test_request_that_crashed_two_engines_is_refused_on_retry():
    """
    The front refuses it without the control group.

    The cell owner may fail before it has reported the second crash.
    """

    async def main():
        env = start_front()
        for name in ("d1", "d2", "d3"):
            env.engines[name].disconnect_at = 0
        first = send_completion(env.app, stream=False)
        await first.task
        prompts = [len(engine.prompts) for engine in env.engines.values()]
        retry = send_completion(env.app, stream=False)
        await retry.task
        assert retry.status == 422
        assert [len(engine.prompts) for engine in env.engines.values()] == prompts
        other = send_completion(env.app, stream=False, prompt="another prompt")
        await other.task
        assert other.status != 422

    run_paused(main())


def test_prefix_of_prompts_does_not_crash_one_engine_after_the_other():
    """No two of the prompts are alike, so that none is known from an earlier crash."""

    async def main():
        env = start_front()
        for name in ("d1", "d2", "d3"):
            env.engines[name].disconnect_at = 0
        prefix = "deadly " * 200
        for number in range(3):
            prompt = f"{prefix} {number}"
            await send_completion(env.app, stream=False, prompt=prompt).task
        prompts = [len(engine.prompts) for engine in env.engines.values()]
        last = send_completion(env.app, stream=False, prompt=f"{prefix} last")
        await last.task
        assert last.status == 422
        assert [len(engine.prompts) for engine in env.engines.values()] == prompts
        other = send_completion(env.app, stream=False, prompt="another prompt")
        await other.task
        assert other.status != 422

    run_paused(main())


def test_new_cell_owner_receives_recent_crash_reports():
    async def main():
        env = start_front()
        for name in ("d1", "d2", "d3"):
            env.engines[name].disconnect_at = 0
        await send_completion(env.app, stream=False).task
        reported = len([item for item in env.cells.reports if item.crashed])
        owner = Owner("cell/llm", "h1", 1, 2)
        env.control.fleet.owners["cell/llm"] = owner
        await asyncio.sleep(1)
        repeated = [item for item in env.cells.reports if item.crashed][reported:]
        assert [item.failed_server for item in repeated] == ["d1", "d2"]
        assert all(item.fingerprint for item in repeated)
        assert repeated[-1].suspect

    run_paused(main())


def test_old_crash_reports_are_evicted():
    """Only a new owner needs the reports, and a cell may keep its owner for months."""

    async def main():
        env = start_front()
        for name in ("d1", "d2", "d3"):
            env.engines[name].disconnect_at = 0
        await send_completion(env.app, stream=False).task
        assert len(env.front.context.crash_reports) == 2
        await asyncio.sleep(LOCAL_CRASH_WINDOW_S + 1)
        await send_completion(env.app, stream=False, prompt="another prompt").task
        assert len(env.front.context.crash_reports) == 2

    run_paused(main())
