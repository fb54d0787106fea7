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
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.core.gateway.load_board import LoadBoard
from damaskridge.core.gateway.stage_balance import StageBalance, StageChange
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import (
    BackendInstance,
    EngineStage,
    RoutingTable,
    ServerStart,
)

__all__ = ["EngineOrderPort", "StageController"]

BALANCE_PERIOD_S = 0.1
# An order of the leader before may still be on its way.
TAKE_OVER_DELAY_S = 4.0
# An engine that has not changed by then did not take the order.
CHANGE_TIMEOUT_S = 14.0
# Longer than a message takes to all hosts, and a request of theirs to an engine.
NOTIFY_DELAY_S = 0.1
# A live engine answers within milliseconds.
BUSY_CHECK_TIMEOUT_S = 0.25

_log = logging.getLogger("damaskridge.orders")


class EngineOrderPort(Protocol):
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
class _PendingChange:
    """An engine that is on its way to another stage."""

    start: ServerStart
    stage: EngineStage
    until_s: float

    def has_ended(self, item: BackendInstance, now_s: float) -> bool:
        """Tell whether the engine can be used as the list shows it."""
        # A restart ends an order.
        is_done = item.stage is self.stage or item.start != self.start
        return is_done or now_s > self.until_s


class StageController:
    """
    Watches the load of all engines and orders changes.

    Parameters
    ----------
    node : ControlNodePort
        The member of the control group.
    host : str
        The machine; the holder of all orders from here.
    board : LoadBoard
        What all hosts have in flight.
    orders : EngineOrderPort
        Sends orders.
    routing : callable
        Returns the routing table in force.
    leads : callable
        Whether this host leads.
    publish : callable
        Hands the list on to all hosts again, through `adjust_instances`.
    """

    def __init__(
        self,
        *,
        node: ControlNodePort,
        host: str,
        board: LoadBoard,
        orders: EngineOrderPort,
        routing: Callable[[], RoutingTable],
        is_leading: Callable[[], bool],
        publish: Callable[[], None],
    ) -> None:
        self._publish = publish
        self._node = node
        self._host = host
        self._board = board
        self._orders = orders
        self._routing = routing
        self._is_leading = is_leading
        self._balancers: dict[str, StageBalance] = {}
        self._pending_changes: dict[str, _PendingChange] = {}
        self._busy_checks_due_s: list[float] = []
        self._instances: tuple[BackendInstance, ...] = ()

    def adjust_instances(
        self, instances: Iterable[BackendInstance]
    ) -> tuple[BackendInstance, ...]:
        """Take over a reading of the list; engines that change get no work."""
        now_s = anyio.current_time()
        adjusted = []
        for item in instances:
            change = self._pending_changes.get(item.instance)
            if change is None or change.has_ended(item, now_s):
                self._pending_changes.pop(item.instance, None)
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
            if not self._is_leading():
                leading_since_s = None
                self._balancers.clear()
                self._pending_changes.clear()
                self._instances = ()
            else:
                if leading_since_s is None:
                    leading_since_s = now_s
                    # An order that was on its way may act after the first one.
                    self._busy_checks_due_s = [now_s, now_s + TAKE_OVER_DELAY_S]
                await self._find_busy_engines(now_s)
                # The averages warm up while the last leader's orders may still act.
                await self._balance_stages(
                    now_s, now_s - leading_since_s >= TAKE_OVER_DELAY_S
                )
            await anyio.sleep(BALANCE_PERIOD_S)

    async def _find_busy_engines(self, now_s: float) -> None:
        """Find engines that carry out an order of the leader before."""
        if not self._instances or now_s < min(
            self._busy_checks_due_s, default=now_s + 1
        ):
            return
        self._busy_checks_due_s.pop(0)
        known_changes = set(self._pending_changes)
        with anyio.move_on_after(BUSY_CHECK_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for item in self._instances:
                    if item.stage is not None and not item.is_leaving:
                        group.start_soon(self._check_if_busy, item, item.stage)
        found = sorted(self._pending_changes.keys() - known_changes)
        if found:
            log_event(_log, EventNumber.ORDERS_FOUND, backend_servers=found)
            self._publish()

    async def _check_if_busy(self, item: BackendInstance, stage: EngineStage) -> None:
        busy = await self._orders.is_busy(item)
        # One that does not answer gets no request either.
        if busy.unwrap_or(False):
            self._add_pending_change(item, _other_stage(stage))

    def _add_pending_change(self, item: BackendInstance, stage: EngineStage) -> None:
        until_s = anyio.current_time() + CHANGE_TIMEOUT_S
        self._pending_changes[item.instance] = _PendingChange(
            item.start, stage, until_s
        )

    async def _balance_stages(self, now_s: float, may_order: bool) -> None:
        load = self._board.total()
        for service in self._routing().services:
            if service.engine is None:
                continue
            engines = [
                item
                for item in self._instances
                if item.service == service.name and not item.is_leaving
            ]
            balancer = self._balancers.setdefault(service.name, StageBalance(now_s))
            changes = balancer.observe(
                engines, load, service.engine, now_s, may_change=may_order
            )
            if changes:
                await self._order_changes(changes)

    async def _order_changes(self, changes: Iterable[StageChange]) -> None:
        for change in changes:
            self._add_pending_change(change.instance, change.stage)
        self._publish()
        await anyio.sleep(NOTIFY_DELAY_S)
        if not await self._node.confirm_leadership():
            # The next leader orders; if this one still leads, nothing was ordered.
            for change in changes:
                self._pending_changes.pop(change.instance.instance, None)
            return
        async with anyio.create_task_group() as group:
            for change in changes:
                group.start_soon(self._send_order, change)

    async def _send_order(self, change: StageChange) -> None:
        instance, fence = change.instance, self._node.term
        order_result = await self._orders.order_stage(
            instance, change.stage, self._host, fence
        )
        number = EventNumber.ORDER_SENT
        if isinstance(order_result, Err):
            number = EventNumber.ORDER_REFUSED
        log_event(
            _log,
            number,
            backend_server=instance.instance,
            kind=change.stage.value,
            fencing_number=fence,
            decode_use=round(change.decode_use, 2),
            prefill_use=round(change.prefill_use, 2),
            reason=order_result.err() or "",
        )


def _other_stage(stage: EngineStage) -> EngineStage:
    is_prefill = stage is EngineStage.PREFILL
    return EngineStage.DECODE if is_prefill else EngineStage.PREFILL
