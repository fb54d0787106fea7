"""Tests the properties of error kinds.

Guards against a kind without an entry in `ERROR_SPECS`, with which a refusal would
raise `KeyError`.
"""

import msgspec
import pytest

from damaskridge.model.errors import ERROR_SPECS, ErrorKind, Failure, RunState


def test_every_kind_has_a_spec():
    assert set(ERROR_SPECS) == set(ErrorKind)


def test_run_state_of_a_failure_overrides_the_default():
    failure = Failure(ErrorKind.BACKEND_SERVER_FAILED, run_state=RunState.NOT_RUN)
    assert failure.final_run_state is RunState.NOT_RUN


@pytest.mark.parametrize("kind", ErrorKind)
def test_failures_survive_encoding(kind):
    failure = Failure(kind, "detail", retry_after_s=1.5)
    data = msgspec.msgpack.encode(failure)
    assert msgspec.msgpack.decode(data, type=Failure) == failure
