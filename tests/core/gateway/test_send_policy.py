"""Guards against second runs of calls, and refusals that are untrue."""

import pytest

from damaskridge.core.gateway.send_policy import Fail, Retry, SendPolicy
from damaskridge.model.errors import ErrorKind, RunState
from damaskridge.model.gateway import WorkKind

KINDS = [WorkKind.AT_MOST_ONCE, WorkKind.STREAM]


@pytest.mark.parametrize("kind", KINDS)
def test_what_may_have_run_once_is_not_sent_again(kind):
    policy = SendPolicy(kind, attempts=3)
    policy.record_send()
    decision = policy.after_unknown(left_s=9.0, may_retry=True, timed_out=False)
    assert decision == Fail(ErrorKind.BACKEND_SERVER_FAILED, RunState.UNKNOWN)
    assert policy.after_failure(left_s=9.0, may_retry=True) is None


def test_a_resumable_stream_goes_on_within_its_attempts():
    policy = SendPolicy(WorkKind.STREAM, attempts=2, is_resumable=True)
    assert policy.may_run_again
    first = policy.after_unknown(left_s=9.0, may_retry=True, timed_out=False)
    assert first == Retry()
    assert not policy.may_run_again
    second = policy.after_unknown(left_s=9.0, may_retry=True, timed_out=True)
    assert second.kind is ErrorKind.BACKEND_SERVER_TIMEOUT


def test_no_refusal_says_not_run_after_a_run():
    policy = SendPolicy(WorkKind.REPEATABLE, attempts=2)
    policy.after_unknown(left_s=9.0, may_retry=True, timed_out=False)
    decision = policy.after_not_run(left_s=9.0, may_retry=False)
    assert decision.run_state is RunState.UNKNOWN


def test_a_refused_send_may_go_elsewhere_within_the_budget():
    policy = SendPolicy(WorkKind.AT_MOST_ONCE, attempts=1)
    assert policy.after_not_run(left_s=1.0, may_retry=True) == Retry()
    decision = policy.after_not_run(left_s=1.0, may_retry=False)
    assert decision == Fail(ErrorKind.OVERLOADED, RunState.NOT_RUN)


def test_without_time_nothing_is_sent():
    policy = SendPolicy(WorkKind.REPEATABLE, attempts=3)
    assert isinstance(policy.after_not_run(left_s=0.0, may_retry=True), Fail)
    assert policy.after_failure(left_s=0.0, may_retry=True) is None
