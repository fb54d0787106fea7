"""Orders engines into another stage, on the leader only.

The term of the replicated log is the fencing number: it belongs to one leader and grows
with every new one.

An engine that changes refuses everything, with nothing in flight, so that it would be
chosen before all others. So every host is told before the order leaves, and a new
leader asks the engines which of them carry out an order of the leader before.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec
from result import Err, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_node import ControlNodePort
from damaskridge.core.gateway.load_aggregator import LoadAggregator
from damaskridge.core.gateway.stage_balance import StageBalancer, StageChange
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import (
    BackendInstance,
    EngineStage,
    RoutingTable,
    ServerStart,
)

__all__ = ["EngineOrders", "StageOrders"]

WATCH_PERIOD_S = 0.1
# An order of the leader before may still be on its way.
TAKE_OVER_S = 4.0
# An engine that has not changed by then did not take the order.
CHANGE_S = 14.0
# Longer than a message takes to all hosts, and a request of theirs to an engine.
SPREAD_S = 0.1
# A live engine answers within milliseconds.
SURVEY_S = 0.25

_log = logging.getLogger("damaskridge.orders")


class EngineOrders(Protocol):
    """Orders to model engines."""

    async def order_stage(
        self, instance: BackendInstance, stage: EngineStage, holder: str, fence: int
    ) -> Result[None, str]:
        """Order a stage; an error may mean that the order is carried out late."""
        ...

    async def is_busy(self, instance: BackendInstance) -> Result[bool, str]:
        """Tell whether an engine carries out an order now."""
        ...


@dataclass(frozen=True, slots=True)
class _Change:
    """An engine that is on its way to another stage."""

    start: ServerStart
    stage: EngineStage
    until_s: float

    def is_over(self, item: BackendInstance, now_s: float) -> bool:
        """Tell whether the engine can be used as the list shows it."""
        # A restart ends an order.
        is_done = item.stage is self.stage or item.start != self.start
        return is_done or now_s > self.until_s


class StageOrders:
    """
    Watches the load of all engines and orders changes.

    Parameters
    ----------
    node : ControlNodePort
        The member of the control group.
    host : str
        The machine; the holder of all orders from here.
    board : LoadAggregator
        What all hosts have in flight.
    orders : EngineOrders
        Sends orders.
    routing : callable
        Returns the routing table in force.
    leads : callable
        Whether this host leads.
    publish : callable
        Hands the list on to all hosts again, through `adjust`.
    """

    def __init__(
        self,
        *,
        node: ControlNodePort,
        host: str,
        board: LoadAggregator,
        orders: EngineOrders,
        routing: Callable[[], RoutingTable],
        leads: Callable[[], bool],
        publish: Callable[[], None],
    ) -> None:
        self._publish = publish
        self._node = node
        self._host = host
        self._board = board
        self._orders = orders
        self._routing = routing
        self._leads = leads
        self._balances: dict[str, StageBalancer] = {}
        self._changing: dict[str, _Change] = {}
        self._surveys_due_s: list[float] = []
        self._instances: tuple[BackendInstance, ...] = ()

    def adjust(
        self, instances: Iterable[BackendInstance]
    ) -> tuple[BackendInstance, ...]:
        """Take over a reading of the list; engines that change get no work."""
        now_s = anyio.current_time()
        adjusted = []
        for item in instances:
            change = self._changing.get(item.instance)
            if change is None or change.is_over(item, now_s):
                self._changing.pop(item.instance, None)
                adjusted.append(item)
            else:
                adjusted.append(msgspec.structs.replace(item, is_leaving=True))
        self._instances = tuple(adjusted)
        return self._instances

    async def run(self) -> None:
        """Watch and order for ever."""
        leading_since_s: float | None = None
        while True:
            now_s = anyio.current_time()
            if not self._leads():
                leading_since_s = None
                self._balances.clear()
                self._changing.clear()
                self._instances = ()
            else:
                if leading_since_s is None:
                    leading_since_s = now_s
                    # An order that was on its way may act after the first one.
                    self._surveys_due_s = [now_s, now_s + TAKE_OVER_S]
                await self._survey(now_s)
                # The averages warm up while the last leader's orders may still act.
                await self._watch(now_s, now_s - leading_since_s >= TAKE_OVER_S)
            await anyio.sleep(WATCH_PERIOD_S)

    async def _survey(self, now_s: float) -> None:
        """Find engines that carry out an order of the leader before."""
        if not self._instances or now_s < min(self._surveys_due_s, default=now_s + 1):
            return
        self._surveys_due_s.pop(0)
        known = set(self._changing)
        with anyio.move_on_after(SURVEY_S):
            async with anyio.create_task_group() as group:
                for item in self._instances:
                    if item.stage is not None and not item.is_leaving:
                        group.start_soon(self._ask, item, item.stage)
        found = sorted(self._changing.keys() - known)
        if found:
            log_event(_log, EventNumber.ORDERS_FOUND, backend_servers=found)
            self._publish()

    async def _ask(self, item: BackendInstance, stage: EngineStage) -> None:
        busy = await self._orders.is_busy(item)
        # One that does not answer gets no request either.
        if busy.unwrap_or(False):
            self._mark(item, _other(stage))

    def _mark(self, item: BackendInstance, stage: EngineStage) -> None:
        until_s = anyio.current_time() + CHANGE_S
        self._changing[item.instance] = _Change(item.start, stage, until_s)

    async def _watch(self, now_s: float, may_order: bool) -> None:
        load = self._board.total()
        for service in self._routing().services:
            if service.engine is None:
                continue
            engines = [
                item
                for item in self._instances
                if item.service == service.name and not item.is_leaving
            ]
            balance = self._balances.setdefault(service.name, StageBalancer(now_s))
            changes = balance.observe(
                engines, load, service.engine, now_s, may_change=may_order
            )
            if changes:
                await self._order_all(changes)

    async def _order_all(self, changes: Iterable[StageChange]) -> None:
        for change in changes:
            self._mark(change.instance, change.stage)
        self._publish()
        await anyio.sleep(SPREAD_S)
        if not await self._node.confirm_leadership():
            # The next leader orders; if this one still leads, nothing was ordered.
            for change in changes:
                self._changing.pop(change.instance.instance, None)
            return
        async with anyio.create_task_group() as group:
            for change in changes:
                group.start_soon(self._order, change)

    async def _order(self, change: StageChange) -> None:
        instance, fence = change.instance, self._node.term
        ordered = await self._orders.order_stage(
            instance, change.stage, self._host, fence
        )
        number = EventNumber.ORDER_SENT
        if isinstance(ordered, Err):
            number = EventNumber.ORDER_REFUSED
        log_event(
            _log,
            number,
            backend_server=instance.instance,
            kind=change.stage.value,
            fencing_number=fence,
            decode_use=round(change.decode_use, 2),
            prefill_use=round(change.prefill_use, 2),
            reason=ordered.err() or "",
        )


def _other(stage: EngineStage) -> EngineStage:
    is_prefill = stage is EngineStage.PREFILL
    return EngineStage.DECODE if is_prefill else EngineStage.PREFILL
