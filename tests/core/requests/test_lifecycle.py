"""Request life cycle: memory left on engines, wrong run states, lost refunds."""

import random

import pytest

from damaskridge.core.requests import messages as m
from damaskridge.core.requests.lifecycle import RequestStateMachine
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import Placement, RequestPhase

RESUME = m.ResumeDecode
CONNECTION_LOST = Failure(ErrorKind.BACKEND_SERVER_FAILED)
FAILED_BEFORE_RUN = Failure(ErrorKind.BACKEND_SERVER_FAILED, run_state=RunState.NOT_RUN)


def placed(attempt=1, server=1):
    return m.AttemptPlaced(
        Placement(
            request_id="r",
            attempt=attempt,
            epoch=1,
            prefill_server=f"p{server}",
            prefill_address=f"pa{server}",
            decode_server=f"d{server}",
            decode_address=f"da{server}",
        )
    )


def machine_at(stage, tokens=0):
    machine = RequestStateMachine(
        m.RequestParameters("r", "m", "p", 10, 5), m.RetryLimits(), 0.0
    )
    path = [
        (m.Stage.QUEUED_FOR_RATE, m.RequestAccepted()),
        (m.Stage.QUEUED_FOR_PLACEMENT, m.RateGranted()),
        (m.Stage.PREFILLING, placed()),
        (m.Stage.TRANSFERRING, m.Prefilled(1)),
        (m.Stage.DECODING, m.ChunkReceived(1, DecodeChunk(0, "a"))),
    ]
    for reached, event in path:
        machine.handle(event, 0.0)
        if reached is stage:
            return machine
    raise AssertionError(stage)


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


@pytest.mark.parametrize(
    ("stage", "run", "refund", "cancellations"),
    [
        (m.Stage.QUEUED_FOR_RATE, RunState.NOT_RUN, [], 0),
        (m.Stage.QUEUED_FOR_PLACEMENT, RunState.NOT_RUN, [15], 0),
        (m.Stage.PREFILLING, RunState.UNKNOWN, [5], 2),
        (m.Stage.TRANSFERRING, RunState.UNKNOWN, [5], 2),
        (m.Stage.DECODING, RunState.RAN, [4], 2),
    ],
)
def test_cancellation_frees_both_engines_at_every_stage(
    stage, run, refund, cancellations
):
    machine = machine_at(stage)
    actions = machine.handle(m.CancelRequested(Failure(ErrorKind.CANCELLED)), 1.0)
    assert actions[-1].failure.final_run_state is run
    assert [action.tokens for action in of_type(actions, m.RefundTokens)] == refund
    addresses = [action.address for action in of_type(actions, m.CancelOnServer)]
    assert addresses == ["pa1", "da1"][:cancellations]
    late = machine.handle(placed(), 2.0)
    assert [item.progress.phase for item in late] == [RequestPhase.CANCELLED]


def test_the_run_state_is_not_run_only_if_no_attempt_can_have_run():
    machine = machine_at(m.Stage.PREFILLING)
    for attempt in range(1, 4):
        machine.handle(m.AttemptFailed(attempt, f"p{attempt}", FAILED_BEFORE_RUN), 1.0)
        machine.handle(placed(attempt + 1), 1.0)
    end = machine.handle(m.AttemptFailed(4, "p4", FAILED_BEFORE_RUN), 1.0)[-1]
    assert end.failure.final_run_state is RunState.NOT_RUN
    machine = machine_at(m.Stage.TRANSFERRING)
    machine.handle(m.AttemptFailed(1, "d1", FAILED_BEFORE_RUN), 1.0)
    end = machine.handle(m.PlacementRefused(2, Failure(ErrorKind.OVERLOADED)), 1.0)[-1]
    assert end.failure.final_run_state is RunState.UNKNOWN


def test_an_attempt_after_a_crash_continues_the_output_as_a_suspect():
    machine = machine_at(m.Stage.DECODING)
    actions = machine.handle(m.AttemptFailed(1, "d1", CONNECTION_LOST), 1.0)
    assert len(of_type(actions, m.CancelOnServer)) == 2
    (ask,) = of_type(actions, m.AskPlacement)
    assert (ask.suspect, ask.excluded, ask.max_output_tokens) == (True, ("d1",), 4)
    (prefill, _) = machine.handle(placed(2, 2), 1.0)
    assert prefill.request.prompt == "pa"
    (decode, _) = machine.handle(m.Prefilled(2), 1.0)
    assert (decode.request.first_offset, decode.request.max_output_tokens) == (1, 4)
    assert machine.handle(m.ChunkReceived(1, DecodeChunk(1, "old")), 1.0) == []
    end = machine.handle(m.AttemptFailed(2, "d2", CONNECTION_LOST), 1.0)[-1]
    assert isinstance(end, m.CloseRequest)
    assert end.failure.final_run_state is RunState.RAN


def test_stalled_transfers_and_silent_streams_time_out():
    machine = machine_at(m.Stage.TRANSFERRING)
    assert machine.handle(m.RequestTimerFired(), 0.9) == []
    actions = machine.handle(m.RequestTimerFired(), 1.0)
    assert of_type(actions, m.ReportProgress)[0].progress.failed_server == ""
    assert of_type(actions, m.AskPlacement)[0].excluded == ("d1",)
    machine.handle(placed(2, 2), 1.0)
    machine.handle(m.Prefilled(2), 1.0)
    actions = machine.handle(m.RequestTimerFired(), 2.0)
    assert of_type(actions, m.AskPlacement)[0].excluded == ("d2",)
    machine = machine_at(m.Stage.DECODING)
    (resume,) = machine.handle(m.RequestTimerFired(), 1.5)
    assert (resume.address, resume.offset) == ("da1", 1)
    actions = machine.handle(m.RequestTimerFired(), 3.0)
    assert of_type(actions, m.ReportProgress)[0].progress.failed_server == "d1"


@pytest.mark.parametrize("seed", range(20))
def test_random_events_close_once_and_cancel_on_every_engine(seed):
    rng = random.Random(seed)
    machine = machine_at(m.Stage.PREFILLING)
    open_on_engines, close_count = {("pa1", "r.1")}, 0
    for step in range(201):
        attempt = machine.attempt
        event = rng.choice(
            [
                placed(attempt, rng.randrange(4)),
                m.Prefilled(attempt),
                m.ChunkReceived(attempt, DecodeChunk(rng.randrange(6), "t")),
                m.ChunkReceived(attempt, DecodeChunk(5, finish_reason="length")),
                m.AttemptFailed(
                    attempt, "d1", rng.choice([CONNECTION_LOST, FAILED_BEFORE_RUN])
                ),
                m.RequestTimerFired(),
            ]
        )
        if step == 200:
            event = m.CancelRequested(Failure(ErrorKind.CANCELLED))
        for action in machine.handle(event, step / 4):
            if isinstance(action, m.SendPrefill | m.SendDecode):
                open_on_engines.add((action.address, action.request.engine_request_id))
            elif isinstance(action, m.CancelOnServer):
                open_on_engines.discard((action.address, action.engine_request_id))
            close_count += isinstance(action, m.CloseRequest)
    assert close_count == 1
    assert machine.stage is m.Stage.FINISHED or not open_on_engines


def test_a_taken_over_request_is_fetched_whole_or_from_the_callers_offset():
    machine = RequestStateMachine(
        m.RequestParameters("r", "m", "", 10, 9), m.RetryLimits(), 0.0
    )
    continued = m.TakeOverGranted(placed(2).placement, 0, caller_offset=4)
    assert [
        item.offset for item in of_type(machine.handle(continued, 0.0), RESUME)
    ] == [0]
    earlier = Failure(ErrorKind.INVALID_OFFSET)
    actions = machine.handle(m.AttemptFailed(2, "d1", earlier), 0.0)
    assert [item.offset for item in actions] == [4]
    machine.handle(m.ChunkReceived(2, DecodeChunk(4, "e")), 0.0)
    assert (machine.base_offset, machine.texts) == (4, ["e"])
    # A front that took a request over lacks its prompt, so it can't retry it.
    end = machine.handle(m.AttemptFailed(2, "d1", CONNECTION_LOST), 0.0)[-1]
    assert (end.failure.kind, end.failure.final_run_state) == (
        CONNECTION_LOST.kind,
        RunState.RAN,
    )
