"""Tests of the cell runtime: expired leases, lost engines and fronts, hand-overs."""

import anyio
import pytest
from result import Err, Ok
from tests.fakes import ENGINE, FakeControl, FakeMachine, profile
from tests.paused import run_paused

from damaskridge.adapters.cell_runtime import CellRuntime
from damaskridge.adapters.engine_actions import send_order
from damaskridge.adapters.rpc.peer_messages import ActiveRequests
from damaskridge.core.scheduling.messages import (
    CancelOnEngine,
    FrontLost,
    FrontRegistered,
    LoadReported,
    RequestSubmitted,
    SendOrder,
    ServerFailed,
    ServerLeaving,
    ServerRecovered,
)
from damaskridge.model.control import ReleaseOwnership, Session
from damaskridge.model.engine import CacheEventPage, LoadReport, OrderKind
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.routing import Placement

CONNECTION_REFUSED = Failure(
    ErrorKind.BACKEND_SERVER_FAILED, run_state=RunState.NOT_RUN
)


class FakeEngine:
    """An engine that can be made to fail, to be silent or to refuse cancellations."""

    def __init__(self):
        self.incarnation = 1
        self.failure = None
        self.silent = False
        self.failing_cancels = 0
        self.cancelled = []
        self.orders = []

    async def load(self):
        if self.silent:
            await anyio.sleep_forever()
        if self.failure:
            return Err(self.failure)
        return Ok(LoadReport(self.incarnation, 0.0, 0, 0, 9, "mixed"))

    async def list_requests(self):
        return Ok(())

    async def cache_events(self, after):
        return Ok(CacheEventPage(()))

    async def cancel(self, engine_request_id):
        self.cancelled.append(engine_request_id)
        failing = len(self.cancelled) <= self.failing_cancels
        return Err(CONNECTION_REFUSED) if failing else Ok(None)

    async def order(self, order):
        self.orders.append((anyio.current_time(), order.fencing_number))
        return Ok(None)


class CellFixture:
    """A cell runtime on host h1, which owns the cell "chat"."""

    def __init__(self):
        self.control, self.engine, self.schedulers = FakeControl(), FakeEngine(), []
        self.leaving_servers = frozenset()
        self.control.own("cell/chat")
        self.runtime = CellRuntime(
            host="h1",
            control=self.control,
            new_scheduler=self.new_scheduler,
            engine_for=lambda address: self.engine,
            host_list=self,
            fetch_active_requests=self.fetch_active_requests,
            notify_taken_over=self.fetch_active_requests,
        )

    def new_scheduler(self):
        self.schedulers.append(FakeMachine())
        return self.schedulers[-1]

    async def fetch_active_requests(self, host, resource):
        return Ok(ActiveRequests(7, ()))

    async def leaving(self):
        return Ok(self.leaving_servers)

    def events_of(self, kind):
        return self.schedulers[-1].seen(kind)


def run_with_cell(body, lease_s=60.0):
    async def main():
        fixture = CellFixture()
        fixture.control.renew(lease_s)
        async with anyio.create_task_group() as group:
            group.start_soon(fixture.runtime.run)
            await anyio.sleep(0.01)
            await body(fixture)
            group.cancel_scope.cancel()

    run_paused(main())


def test_no_placement_after_the_lease_expired():
    async def body(cell):
        assert isinstance(await cell.runtime.submit(profile()), Placement)
        cell.control.lease.end()
        response = await cell.runtime.submit(profile(request_id="r2"))
        assert response.failure.kind is ErrorKind.OWNER_UNAVAILABLE
        assert len(cell.events_of(RequestSubmitted)) == 1
        events = len(cell.schedulers[0].events)
        await anyio.sleep(2)
        assert len(cell.schedulers[0].events) == events
        # With a new lease, a new scheduler learns its state from the fronts and
        # engines; nothing of the old state is used.
        cell.control.renew()
        await anyio.sleep(0.5)
        assert len(cell.schedulers) == 2
        assert cell.events_of(FrontRegistered) == [FrontRegistered("h1", 7)]

    run_with_cell(body)


@pytest.mark.parametrize("crashed", [True, False])
def test_engine_failure_and_recovery_are_reported_once(crashed):
    async def body(cell):
        cell.engine.failure, cell.engine.silent = CONNECTION_REFUSED, not crashed
        await anyio.sleep(5)
        assert cell.events_of(ServerFailed) == [ServerFailed("e1", 1, crashed)]
        cell.engine.failure, cell.engine.silent = None, False
        await anyio.sleep(2)
        assert len(cell.events_of(ServerRecovered)) == 1

    run_with_cell(body)


def test_restart_between_two_polls_counts_as_a_crash():
    async def body(cell):
        await anyio.sleep(1)
        cell.engine.incarnation = 2
        await anyio.sleep(1)
        assert cell.events_of(ServerFailed) == [ServerFailed("e1", 1, True)]
        assert cell.events_of(LoadReported)[-1].report.incarnation == 2

    run_with_cell(body)


def test_restart_after_a_silence_is_reported_as_one_crash():
    async def body(cell):
        cell.engine.silent = True
        await anyio.sleep(5)
        cell.engine.silent, cell.engine.incarnation = False, 2
        await anyio.sleep(3)
        failed = [item.crashed for item in cell.events_of(ServerFailed)]
        assert failed == [False, True]
        assert len(cell.events_of(ServerRecovered)) == 1

    run_with_cell(body)


def test_cancellation_is_retried_until_the_engine_confirms():
    async def body(cell):
        cell.engine.failing_cancels = 3
        worker = cell.runtime._workers["chat"]
        worker._execute(CancelOnEngine("e1", "req-h1-7-1.1"))
        await anyio.sleep(5)
        assert len(cell.engine.cancelled) == 4

    run_with_cell(body)


def test_front_is_lost_only_if_its_session_ended_and_it_is_silent():
    async def body(cell):
        worker = cell.runtime._workers["chat"]
        cell.control.fleet.sessions["h2"] = Session("h2", 2, 9, "a", "", "")
        worker.record_contact("h2", 9)
        await anyio.sleep(10)
        assert not cell.events_of(FrontLost)
        worker.record_contact("h2", 9)
        del cell.control.fleet.sessions["h2"]
        await anyio.sleep(2.5)
        assert not cell.events_of(FrontLost)
        await anyio.sleep(1)
        assert cell.events_of(FrontLost) == [FrontLost("h2", 9)]

    run_with_cell(body)


def test_leaving_server_is_reported_within_3_s():
    async def body(cell):
        cell.leaving_servers = frozenset({"e1", "other"})
        await anyio.sleep(3)
        assert cell.events_of(ServerLeaving) == [ServerLeaving("e1")]

    run_with_cell(body)


def test_hand_over_stops_placement_before_the_release():
    async def body(cell):
        cell.control.own("cell/chat", moving_to="h2")
        cell.runtime.sync_ownership()
        events = len(cell.schedulers[0].events)
        await anyio.sleep(1)
        assert [type(item) for item in cell.control.proposed] == [ReleaseOwnership]
        assert len(cell.schedulers[0].events) == events
        assert len(cell.schedulers) == 1

    run_with_cell(body)


@pytest.mark.parametrize(("checks_fencing", "earliest_s"), [(True, 0.0), (False, 5.0)])
def test_order_to_an_engine_without_fencing_waits_for_earlier_orders(
    checks_fencing, earliest_s
):
    async def body(cell):
        import msgspec

        server = msgspec.structs.replace(ENGINE, checks_fencing=checks_fencing)
        owner = cell.control.fleet.owners["cell/chat"]
        action = SendOrder("e1", OrderKind.CHANGE_ROLE, "decode")
        await send_order(cell.control, owner, 0.0, server, cell.engine, action)
        ((sent_s, number),) = cell.engine.orders
        assert sent_s >= earliest_s
        assert number == 42

    run_with_cell(body)
