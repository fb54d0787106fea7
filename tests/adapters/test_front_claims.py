"""Guards against a second whole answer after both memories of a key were lost."""

import asyncio
from types import SimpleNamespace

from tests.paused import run_paused

from damaskridge.adapters.front_claims import ResponseClaim
from damaskridge.core.state.commands import ControlState
from damaskridge.model.control import OpenSession, Session
from damaskridge.model.errors import ErrorKind, RunState


class Control:
    """The control group without a network; `index` counts log entries."""

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
        return SimpleNamespace(host=host, control=control, start=asyncio.ensure_future)


def claim_of(context, request_id, body_digest="b"):
    return ResponseClaim(
        context,
        request_id=request_id,
        workspace="w",
        idempotency_key="k",
        body_digest=body_digest,
    )


async def claim(context, request_id, body_digest="b", answered=True):
    claimed = claim_of(context, request_id, body_digest)
    failure = await claimed.acquire()
    assert await claimed.acquire() is failure
    claimed.settle(answered=answered)
    await asyncio.sleep(0.01)
    return failure


async def claims():
    control = Control()
    first, second = await control.context("h1"), await control.context("h2")
    return [
        await claim(first, "r0", answered=False),
        await claim(first, "r1"),
        await claim(second, "r2"),
        await claim(second, "r3", body_digest="other"),
    ]


def test_one_run_of_a_key_ends_in_the_fleet():
    given_up, won, lost, other_body = run_paused(claims())
    assert given_up is None and won is None
    assert lost.kind is other_body.kind is ErrorKind.OUTCOME_UNKNOWN
    assert lost.ran is RunState.RAN


async def claim_without_session():
    context = await Control().context("h1")
    context.control.session = None
    return await claim(context, "r1")


def test_a_host_without_a_session_ends_no_keyed_answer():
    assert run_paused(claim_without_session()).kind is ErrorKind.OUTCOME_UNKNOWN
