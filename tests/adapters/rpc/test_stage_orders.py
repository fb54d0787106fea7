"""Guards against requests to engines that change their stage and refuse everything."""

import anyio
import pytest
from result import Err, Ok
from tests.adapters.rpc.fake_node import FakeGroup, FakeNode
from tests.adapters.rpc.test_instance_publisher import Hosts
from tests.core.gateway.tables import table
from tests.paused import run_paused

from damaskridge.adapters.rpc.instance_publisher import InstancePublisher
from damaskridge.adapters.rpc.stage_orders import TAKE_OVER_S, StageOrders
from damaskridge.core.gateway.load_aggregator import LoadAggregator
from damaskridge.core.gateway.stage_balance import WARM_UP_S
from damaskridge.core.state.commands import ControlState
from damaskridge.model.control import InstanceLoad, ReportLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, InstanceList

PREFILL, DECODE = EngineStage.PREFILL, EngineStage.DECODE
FIRST_ORDER_S = TAKE_OVER_S + WARM_UP_S


def engine(name, stage, started_ms=1):
    return BackendInstance(
        instance=name,
        service="llm",
        address=name,
        data_centre="west",
        slots=64,
        stage=stage,
        started_ms=started_ms,
    )


class Leader:
    """A leader with engines that are short of decode memory, if so much is in use."""

    def __init__(self, busy=(), used_tokens=40_000):
        self.items = [engine(f"p{n}", PREFILL) for n in range(4)]
        self.items += [engine(f"d{n}", DECODE) for n in range(2)]
        self.busy = set(busy)
        self.unusable_when_ordered = []
        self.node = FakeNode(FakeGroup(), "c1", ControlState())
        self.hosts = Hosts()
        board = LoadAggregator()
        board.join("h", 0.0)
        load = {name: InstanceLoad(9, 0, used_tokens) for name in ("d0", "d1")}
        board.report("h", ReportLoad(load=load), 0.0)
        self.orders = StageOrders(
            node=self.node,
            host="c1",
            board=board,
            orders=self,
            routing=lambda: table(1),
            leads=lambda: self.node.is_leader,
            publish=lambda: self.publisher.publish_again(),
        )
        self.publisher = InstancePublisher(
            self, self.hosts, lambda: self.node.is_leader, self.orders.adjust
        )

    async def read(self):
        return Ok(InstanceList(instances=tuple(self.items)))

    async def order_stage(self, instance, stage, holder, fence):
        self.unusable_when_ordered.append((instance.instance, self.unusable()))
        return Ok(None)

    async def is_busy(self, instance):
        if instance.instance == "d1":
            return Err("no answer")
        return Ok(instance.instance in self.busy)

    def unusable(self):
        return {item.instance for item in self.hosts.copy.items if item.is_leaving}

    async def run_for(self, time_s):
        with anyio.move_on_after(time_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.publisher.run)
                tasks.start_soon(self.orders.run)


def test_every_host_is_told_of_a_change_before_it_is_ordered():
    async def main():
        leader = Leader()
        await leader.run_for(FIRST_ORDER_S + 1)
        assert leader.unusable_when_ordered
        for name, unusable in leader.unusable_when_ordered:
            assert name in unusable

    run_paused(main())


def test_a_new_leader_finds_engines_that_carry_out_an_order():
    async def main():
        leader = Leader(busy={"p1"})
        await leader.run_for(0.5)
        assert leader.unusable() == {"p1"}
        # The list shows the end of the change.
        leader.items[1], leader.busy = engine("p1", DECODE), set()
        await leader.run_for(1.0)
        assert leader.unusable() == set()

    run_paused(main())


def test_a_late_order_of_the_leader_before_is_found():
    async def main():
        leader = Leader(used_tokens=0)
        with anyio.move_on_after(TAKE_OVER_S + 0.5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leader.run_for, 60.0)
                await anyio.sleep(1.0)
                assert leader.unusable() == set()
                leader.busy = {"p2"}
        assert "p2" in leader.unusable()

    run_paused(main())


def test_an_engine_that_starts_again_carries_out_no_order():
    async def main():
        leader = Leader(busy={"p1"})
        await leader.run_for(0.5)
        leader.items[1], leader.busy = engine("p1", PREFILL, started_ms=2), set()
        await leader.run_for(1.0)
        assert leader.unusable() == set()

    run_paused(main())


@pytest.mark.parametrize("confirms", [False, True])
def test_a_leader_that_cannot_confirm_itself_orders_nothing(confirms):
    async def main():
        leader = Leader()
        leader.node.confirms = confirms
        await leader.run_for(FIRST_ORDER_S + 1)
        assert bool(leader.unusable_when_ordered) is confirms
        if not confirms:
            await leader.run_for(1.0)
            assert leader.unusable() == set()

    run_paused(main())
