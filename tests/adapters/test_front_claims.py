"""Test that only one run of a keyed request can deliver a complete response.

Without the claim, a request that is retried after both the rate owner and the front
lost its idempotency key would get a second complete response.
"""

import asyncio
from types import SimpleNamespace

from tests.paused import run_paused

from damaskridge.adapters.front_claims import ResponseClaim
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.control import OpenSession, Session
from damaskridge.model.errors import ErrorKind, RunState


class FakeControl:
    """A control group without a network; `index` counts the log entries."""

    def __init__(self):
        self.state, self.index = ControlState(), 0

    async def propose(self, command):
        self.index += 1
        return self.state.apply(self.index, command).result

    async def context(self, host):
        opened = await self.propose(
            OpenSession(
                command_id=f"open-{host}",
                host=host,
                incarnation=1,
                data_centre="west",
                caller_address="",
                peer_address="",
            )
        )
        session = Session(host, int(opened.value), 1, "west", "", "")
        control = SimpleNamespace(session=session, propose=self.propose)
        return SimpleNamespace(
            host=host, control=control, start_task=asyncio.ensure_future
        )


def make_claim(context, request_id, body_digest="b"):
    return ResponseClaim(
        context,
        request_id=request_id,
        workspace="w",
        idempotency_key="k",
        body_digest=body_digest,
    )


async def acquire_and_close(context, request_id, body_digest="b", completed=True):
    response_claim = make_claim(context, request_id, body_digest)
    failure = await response_claim.acquire()
    assert await response_claim.acquire() is failure
    response_claim.close(completed=completed)
    await asyncio.sleep(0.01)
    return failure


async def acquire_four_claims():
    control = FakeControl()
    first, second = await control.context("h1"), await control.context("h2")
    return [
        await acquire_and_close(first, "r0", completed=False),
        await acquire_and_close(first, "r1"),
        await acquire_and_close(second, "r2"),
        await acquire_and_close(second, "r3", body_digest="other"),
    ]


def test_one_request_per_key_acquires_the_claim():
    cancelled, acquired, refused, other_body = run_paused(acquire_four_claims())
    assert cancelled is None and acquired is None
    assert refused.kind is other_body.kind is ErrorKind.OUTCOME_UNKNOWN
    assert refused.final_run_state is RunState.RAN


async def claim_without_session():
    context = await FakeControl().context("h1")
    context.control.session = None
    return await acquire_and_close(context, "r1")


def test_host_without_session_acquires_no_claim():
    assert run_paused(claim_without_session()).kind is ErrorKind.OUTCOME_UNKNOWN
