"""Tests of the rate runtime: expired leases, wrong epochs and hand-overs."""

import anyio
from result import Ok
from tests.fakes import FakeControl, FakeMachine, rate_request
from tests.paused import run_paused

from damaskridge.adapters.rate_runtime import RateRuntime
from damaskridge.core.limits.messages import OwnershipGained, RateRequested
from damaskridge.model.control import ReleaseOwnership
from damaskridge.model.errors import ErrorKind
from damaskridge.model.routing import RateGrant, Refused


async def fetch_no_keys(host, workspace):
    return Ok(())


def run_with_runtime(body, hold=False):
    async def main():
        control, rate_owner = FakeControl(), FakeMachine(hold)
        runtime = RateRuntime(
            host="h1",
            control=control,
            rate_owner=rate_owner,
            fetch_active_keys=fetch_no_keys,
        )
        control.own("workspace/w")
        control.renew()
        async with anyio.create_task_group() as group:
            group.start_soon(runtime.run)
            await anyio.sleep(0.01)
            await body(control, rate_owner, runtime)
            group.cancel_scope.cancel()

    run_paused(main())


def test_no_grant_after_the_lease_expired():
    async def body(control, rate_owner, runtime):
        assert isinstance(await runtime.reserve(rate_request()), RateGrant)
        # The event loop doesn't run while the process is frozen.
        control.lease.end()
        response = await runtime.reserve(rate_request(request_id="r2"))
        assert response.failure.kind is ErrorKind.OWNER_UNAVAILABLE
        assert len(rate_owner.seen(RateRequested)) == 1
        # Acquiring the same epoch again must not restore the bucket's level.
        control.renew()
        await anyio.sleep(0.3)
        assert [item.level_tokens for item in rate_owner.seen(OwnershipGained)] == [
            5,
            0,
        ]

    run_with_runtime(body)


def test_waiting_request_is_refused_when_the_lease_expires():
    async def body(control, rate_owner, runtime):
        response = await runtime.reserve(rate_request())
        assert isinstance(response, Refused)
        assert 2.9 < anyio.current_time() < 3.5

    run_with_runtime(body, hold=True)


def test_request_for_another_epoch_is_refused():
    async def body(control, rate_owner, runtime):
        response = await runtime.reserve(rate_request(epoch=2))
        assert response.failure.kind is ErrorKind.EPOCH_CONFLICT
        assert not rate_owner.seen(RateRequested)

    run_with_runtime(body)


def test_hand_over_commits_the_bucket_level_once():
    async def body(control, rate_owner, runtime):
        control.own("workspace/w", moving_to="h2")
        await anyio.sleep(0.6)
        (release,) = control.proposed
        assert isinstance(release, ReleaseOwnership)
        assert (release.level_tokens, release.epoch) == (3.5, 1)
        assert runtime.owned_epochs == {}

    run_with_runtime(body)
