"""The table of answers: a kind without an answer would crash a refusal."""

import msgspec
import pytest

from damaskridge.model.errors import ERROR_SPECS, ErrorKind, Failure, RunState


def test_every_kind_has_an_answer():
    assert set(ERROR_SPECS) == set(ErrorKind)


def test_a_failure_may_know_more_than_the_table():
    failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, run_state=RunState.NOT_RUN)
    assert failure.final_run_state is RunState.NOT_RUN


@pytest.mark.parametrize("kind", ErrorKind)
def test_failures_survive_the_wire(kind):
    failure = Failure(kind, "detail", retry_after_s=1.5)
    data = msgspec.msgpack.encode(failure)
    assert msgspec.msgpack.decode(data, type=Failure) == failure
