"""Guards against second runs of calls, and refusals that are untrue."""

import pytest

from damaskridge.core.gateway.send_policy import GiveUp, Resend, SendPolicy
from damaskridge.model.errors import ErrorKind, RunState
from damaskridge.model.gateway import RouteKind

KINDS = [RouteKind.AT_MOST_ONCE, RouteKind.STREAM]


@pytest.mark.parametrize("kind", KINDS)
def test_what_may_have_run_once_is_not_sent_again(kind):
    policy = SendPolicy(kind, attempts=3)
    policy.sent()
    decision = policy.unknown(left_s=9.0, may_resend=True, timed_out=False)
    assert decision == GiveUp(ErrorKind.BACKEND_SERVER_FAILED, RunState.UNKNOWN)
    assert policy.failed(left_s=9.0, may_resend=True) is None


def test_a_resumable_stream_goes_on_within_its_attempts():
    policy = SendPolicy(RouteKind.STREAM, attempts=2, is_resumable=True)
    assert policy.has_another_run
    first = policy.unknown(left_s=9.0, may_resend=True, timed_out=False)
    assert first == Resend()
    assert not policy.has_another_run
    second = policy.unknown(left_s=9.0, may_resend=True, timed_out=True)
    assert second.kind is ErrorKind.BACKEND_SERVER_TIMEOUT


def test_no_refusal_says_not_run_after_a_run():
    policy = SendPolicy(RouteKind.REPEATABLE, attempts=2)
    policy.unknown(left_s=9.0, may_resend=True, timed_out=False)
    decision = policy.not_run(left_s=9.0, may_resend=False)
    assert decision.run_state is RunState.UNKNOWN


def test_a_refused_send_may_go_elsewhere_within_the_budget():
    policy = SendPolicy(RouteKind.AT_MOST_ONCE, attempts=1)
    assert policy.not_run(left_s=1.0, may_resend=True) == Resend()
    decision = policy.not_run(left_s=1.0, may_resend=False)
    assert decision == GiveUp(ErrorKind.OVERLOADED, RunState.NOT_RUN)


def test_without_time_nothing_is_sent():
    policy = SendPolicy(RouteKind.REPEATABLE, attempts=3)
    assert isinstance(policy.not_run(left_s=0.0, may_resend=True), GiveUp)
    assert policy.failed(left_s=0.0, may_resend=True) is None
