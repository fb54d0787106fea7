"""The cell runtime: placements without a lease, engines and fronts that vanish."""

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

REFUSED = Failure(ErrorKind.BACKEND_SERVER_FAILED, run_state=RunState.NOT_RUN)


class FakeEngine:
    def __init__(self):
        self.incarnation = 1
        self.failure = None
        self.silent = False
        self.cancels_to_fail = 0
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
        failing = len(self.cancelled) <= self.cancels_to_fail
        return Err(REFUSED) if failing else Ok(None)

    async def order(self, order):
        self.orders.append((anyio.current_time(), order.fencing_number))
        return Ok(None)


class Fixture:
    def __init__(self):
        self.control, self.engine, self.machines = FakeControl(), FakeEngine(), []
        self.leaving_names = frozenset()
        self.control.own("cell/chat")
        self.runtime = CellRuntime(
            host="h1",
            control=self.control,
            new_scheduler=self.new_scheduler,
            engine_for=lambda address: self.engine,
            host_list=self,
            fetch_active_requests=self.ask,
            notify_taken_over=self.ask,
        )

    def new_scheduler(self):
        self.machines.append(FakeMachine())
        return self.machines[-1]

    async def ask(self, host, resource):
        return Ok(ActiveRequests(7, ()))

    async def leaving(self):
        return Ok(self.leaving_names)

    def seen(self, kind):
        return self.machines[-1].seen(kind)


def with_cell(body, lease_s=60.0):
    async def main():
        fixture = Fixture()
        fixture.control.renew(lease_s)
        async with anyio.create_task_group() as group:
            group.start_soon(fixture.runtime.run)
            await anyio.sleep(0.01)
            await body(fixture)
            group.cancel_scope.cancel()

    run_paused(main())


def test_frozen_process_past_its_lease_does_not_place():
    async def body(cell):
        assert isinstance(await cell.runtime.submit(profile()), Placement)
        cell.control.lease.end()
        reply = await cell.runtime.submit(profile(request_id="r2"))
        assert reply.failure.kind is ErrorKind.OWNER_UNAVAILABLE
        assert len(cell.seen(RequestSubmitted)) == 1
        events = len(cell.machines[0].events)
        await anyio.sleep(2)
        assert len(cell.machines[0].events) == events
        # A regained lease starts from the fronts and engines, not from old state.
        cell.control.renew()
        await anyio.sleep(0.5)
        assert len(cell.machines) == 2
        assert cell.seen(FrontRegistered) == [FrontRegistered("h1", 7)]

    with_cell(body)


@pytest.mark.parametrize("crashed", [True, False])
def test_failed_engine_is_reported_once_and_recovers(crashed):
    async def body(cell):
        cell.engine.failure, cell.engine.silent = REFUSED, not crashed
        await anyio.sleep(5)
        assert cell.seen(ServerFailed) == [ServerFailed("e1", 1, crashed)]
        cell.engine.failure, cell.engine.silent = None, False
        await anyio.sleep(2)
        assert len(cell.seen(ServerRecovered)) == 1

    with_cell(body)


def test_restart_between_two_polls_counts_as_a_crash():
    async def body(cell):
        await anyio.sleep(1)
        cell.engine.incarnation = 2
        await anyio.sleep(1)
        assert cell.seen(ServerFailed) == [ServerFailed("e1", 1, True)]
        assert cell.seen(LoadReported)[-1].report.incarnation == 2

    with_cell(body)


def test_restart_after_a_silence_counts_as_a_crash_once():
    async def body(cell):
        cell.engine.silent = True
        await anyio.sleep(5)
        cell.engine.silent, cell.engine.incarnation = False, 2
        await anyio.sleep(3)
        failed = [item.crashed for item in cell.seen(ServerFailed)]
        assert failed == [False, True]
        assert len(cell.seen(ServerRecovered)) == 1

    with_cell(body)


def test_cancel_is_repeated_until_the_engine_confirms():
    async def body(cell):
        cell.engine.cancels_to_fail = 3
        worker = cell.runtime._workers["chat"]
        worker._execute(CancelOnEngine("e1", "req-h1-7-1.1"))
        await anyio.sleep(5)
        assert len(cell.engine.cancelled) == 4

    with_cell(body)


def test_front_is_lost_only_without_session_and_silent():
    async def body(cell):
        worker = cell.runtime._workers["chat"]
        cell.control.fleet.sessions["h2"] = Session("h2", 2, 9, "a", "", "")
        worker.record_contact("h2", 9)
        await anyio.sleep(10)
        assert not cell.seen(FrontLost)
        worker.record_contact("h2", 9)
        del cell.control.fleet.sessions["h2"]
        await anyio.sleep(2.5)
        assert not cell.seen(FrontLost)
        await anyio.sleep(1)
        assert cell.seen(FrontLost) == [FrontLost("h2", 9)]

    with_cell(body)


def test_leaving_server_is_reported_within_3_s():
    async def body(cell):
        cell.leaving_names = frozenset({"e1", "other"})
        await anyio.sleep(3)
        assert cell.seen(ServerLeaving) == [ServerLeaving("e1")]

    with_cell(body)


def test_handover_stops_placing_before_the_release():
    async def body(cell):
        cell.control.own("cell/chat", moving_to="h2")
        cell.runtime.sync_ownership()
        events = len(cell.machines[0].events)
        await anyio.sleep(1)
        assert [type(item) for item in cell.control.proposed] == [ReleaseOwnership]
        assert len(cell.machines[0].events) == events
        assert len(cell.machines) == 1

    with_cell(body)


@pytest.mark.parametrize(("checks", "earliest_s"), [(True, 0.0), (False, 5.0)])
def test_order_waits_for_engines_that_ignore_fencing(checks, earliest_s):
    async def body(cell):
        import msgspec

        server = msgspec.structs.replace(ENGINE, checks_fencing=checks)
        owner = cell.control.fleet.owners["cell/chat"]
        action = SendOrder("e1", OrderKind.CHANGE_ROLE, "decode")
        await send_order(cell.control, owner, 0.0, server, cell.engine, action)
        ((sent_s, number),) = cell.engine.orders
        assert sent_s >= earliest_s
        assert number == 42

    with_cell(body)
