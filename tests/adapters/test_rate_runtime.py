"""The rate runtime: decisions without a lease, wrong epochs, lost bucket levels."""

import anyio
from result import Ok
from tests.fakes import FakeControl, FakeMachine, rate_request
from tests.paused import run_paused

from damaskridge.adapters.rate_runtime import RateRuntime
from damaskridge.core.limits.messages import OwnershipGained, RateRequested
from damaskridge.model.control import ReleaseOwnership
from damaskridge.model.errors import ErrorKind
from damaskridge.model.routing import RateGrant, Refused


async def no_keys(host, workspace):
    return Ok(())


def with_runtime(body, hold=False):
    async def main():
        control, rate_owner = FakeControl(), FakeMachine(hold)
        runtime = RateRuntime(
            host="h1", control=control, rate_owner=rate_owner, fetch_active_keys=no_keys
        )
        control.own("workspace/w")
        control.renew()
        async with anyio.create_task_group() as group:
            group.start_soon(runtime.run)
            await anyio.sleep(0.01)
            await body(control, rate_owner, runtime)
            group.cancel_scope.cancel()

    run_paused(main())


def test_frozen_process_past_its_lease_does_not_grant():
    async def body(control, rate_owner, runtime):
        assert isinstance(await runtime.reserve(rate_request()), RateGrant)
        # The loop does not run while the process is frozen.
        control.lease.end()
        reply = await runtime.reserve(rate_request(request_id="r2"))
        assert reply.failure.kind is ErrorKind.OWNER_UNAVAILABLE
        assert len(rate_owner.seen(RateRequested)) == 1
        # The same epoch again must not bring the level that was handed over back.
        control.renew()
        await anyio.sleep(0.3)
        assert [item.level_tokens for item in rate_owner.seen(OwnershipGained)] == [
            5,
            0,
        ]

    with_runtime(body)


def test_waiting_call_is_refused_when_the_lease_ends():
    async def body(control, rate_owner, runtime):
        reply = await runtime.reserve(rate_request())
        assert isinstance(reply, Refused)
        assert 2.9 < anyio.current_time() < 3.5

    with_runtime(body, hold=True)


def test_another_epoch_is_refused():
    async def body(control, rate_owner, runtime):
        reply = await runtime.reserve(rate_request(epoch=2))
        assert reply.failure.kind is ErrorKind.EPOCH_CONFLICT
        assert not rate_owner.seen(RateRequested)

    with_runtime(body)


def test_handover_commits_the_level_once():
    async def body(control, rate_owner, runtime):
        control.own("workspace/w", moving_to="h2")
        await anyio.sleep(0.6)
        (release,) = control.proposed
        assert isinstance(release, ReleaseOwnership)
        assert (release.level_tokens, release.epoch) == (3.5, 1)
        assert runtime.owned_epochs == {}

    with_runtime(body)
