"""Calls must not run twice, and refusals must not claim "not run" wrongly."""

import pytest

from damaskridge.core.gateway.send_policy import Fail, Retry, SendPolicy
from damaskridge.model.errors import ErrorKind, RunState
from damaskridge.model.gateway import RouteKind

KINDS = [RouteKind.AT_MOST_ONCE, RouteKind.STREAM]


@pytest.mark.parametrize("kind", KINDS)
def test_request_that_may_run_once_is_not_retried_after_an_unknown_outcome(kind):
    policy = SendPolicy(kind, attempts=3)
    policy.record_send()
    decision = policy.after_unknown(left_s=9.0, may_retry=True, timed_out=False)
    assert decision == Fail(ErrorKind.BACKEND_SERVER_FAILED, RunState.UNKNOWN)
    assert policy.after_failure(left_s=9.0, may_retry=True) is None


def test_resumable_stream_is_retried_within_its_attempts():
    policy = SendPolicy(RouteKind.STREAM, attempts=2, is_resumable=True)
    assert policy.may_run_again
    first = policy.after_unknown(left_s=9.0, may_retry=True, timed_out=False)
    assert first == Retry()
    assert not policy.may_run_again
    second = policy.after_unknown(left_s=9.0, may_retry=True, timed_out=True)
    assert second.kind is ErrorKind.BACKEND_SERVER_TIMEOUT


def test_refusal_after_a_run_has_an_unknown_run_state():
    policy = SendPolicy(RouteKind.REPEATABLE, attempts=2)
    policy.after_unknown(left_s=9.0, may_retry=True, timed_out=False)
    decision = policy.after_not_run(left_s=9.0, may_retry=False)
    assert decision.run_state is RunState.UNKNOWN


def test_refused_send_is_retried_within_the_budget():
    policy = SendPolicy(RouteKind.AT_MOST_ONCE, attempts=1)
    assert policy.after_not_run(left_s=1.0, may_retry=True) == Retry()
    decision = policy.after_not_run(left_s=1.0, may_retry=False)
    assert decision == Fail(ErrorKind.OVERLOADED, RunState.NOT_RUN)


def test_nothing_is_sent_without_remaining_time():
    policy = SendPolicy(RouteKind.REPEATABLE, attempts=3)
    assert isinstance(policy.after_not_run(left_s=0.0, may_retry=True), Fail)
    assert policy.after_failure(left_s=0.0, may_retry=True) is None
