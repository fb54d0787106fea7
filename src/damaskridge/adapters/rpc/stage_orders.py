"""Orders engines to change between prefill and decode, on the leader only.

The Raft term is the fencing number of an order: each term has one leader, and a new
leader has a higher term.

An engine refuses all requests while it changes its stage. As it then has nothing in
flight, load balancing would prefer it to all other engines. So every host is notified
before the order is sent, and a new leader asks all engines whether they are carrying
out an order of the previous leader.
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
from damaskridge.core.gateway.load_aggregator import LoadAggregator
from damaskridge.core.gateway.stage_balance import StageBalancer, StageChange
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import (
    BackendInstance,
    EngineStage,
    InstanceId,
    RoutingTable,
)

__all__ = ["EngineOrderPort", "StageController"]

BALANCE_PERIOD_S = 0.1
# An order of the previous leader may still be in transit for this time.
TAKE_OVER_DELAY_S = 4.0
# An engine that hasn't changed its stage after this time didn't accept the order.
CHANGE_TIMEOUT_S = 14.0
# Longer than a message takes to reach all hosts and their last request takes to reach
# the engine.
NOTIFY_DELAY_S = 0.1
# An order is preceded by a call for the engine's state.
CALLS_PER_ORDER = 2
# A live engine responds within milliseconds.
BUSY_CHECK_TIMEOUT_S = 0.25

_log = logging.getLogger("damaskridge.orders")


class EngineOrderPort(Protocol):
    """Sends orders to model engines."""

    async def order_stage(
        self,
        instance: BackendInstance,
        stage: EngineStage,
        holder: str,
        fencing_number: int,
    ) -> Result[None, str]:
        """Order an engine to a stage; it may carry out the order despite an error."""
        ...

    async def is_busy(self, instance: BackendInstance) -> Result[bool, str]:
        """Return whether an engine is carrying out an order."""
        ...


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """A change of an engine's stage that is being carried out."""

    instance_id: InstanceId
    stage: EngineStage
    until_s: float

    def has_ended(self, item: BackendInstance, now_s: float) -> bool:
        """Return whether the engine can be used again in the stage the list shows."""
        # A restart of the engine cancels an order.
        is_done = item.stage is self.stage or item.instance_id != self.instance_id
        return is_done or now_s > self.until_s


class StageController:
    """
    Watches the load of all engines and orders them to change their stage.

    Parameters
    ----------
    node : ControlNodePort
        The member of the control group on this host.
    host : str
        Name of this host; the holder of the orders that it sends.
    load_aggregator : LoadAggregator
        The load of all entry hosts.
    orders : EngineOrderPort
        Sends orders.
    routing : callable
        Returns the routing table in force.
    is_leading : callable
        Returns whether this host is the leader.
    republish : callable
        Publishes the list of instances again, after applying `adjust_instances`.
    on_calls : callable
        Called with an engine and the number of calls before they are sent to it, as
        they count towards a limit that the engine has named.
    """

    def __init__(
        self,
        *,
        node: ControlNodePort,
        host: str,
        load_aggregator: LoadAggregator,
        orders: EngineOrderPort,
        routing: Callable[[], RoutingTable],
        is_leading: Callable[[], bool],
        republish: Callable[[], None],
        on_calls: Callable[[BackendInstance, int], None] = lambda instance, calls: None,
    ) -> None:
        self._republish = republish
        self._on_calls = on_calls
        self._node = node
        self._host = host
        self._load_aggregator = load_aggregator
        self._orders = orders
        self._routing = routing
        self._is_leading = is_leading
        self._balancers: dict[str, StageBalancer] = {}
        self._pending_changes: dict[str, _PendingChange] = {}
        self._busy_checks_due_s: list[float] = []
        self._instances: tuple[BackendInstance, ...] = ()

    def adjust_instances(
        self, instances: Iterable[BackendInstance]
    ) -> tuple[BackendInstance, ...]:
        """Accept a new list of instances; mark engines that change as leaving."""
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
        """Watch the load and send orders until cancelled."""
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
                    # The second check finds orders that reached their engine late.
                    self._busy_checks_due_s = [now_s, now_s + TAKE_OVER_DELAY_S]
                await self._find_busy_engines(now_s)
                # The load averages warm up while no order may be sent yet, because
                # orders of the previous leader may still arrive.
                await self._balance_stages(
                    now_s, now_s - leading_since_s >= TAKE_OVER_DELAY_S
                )
            await anyio.sleep(BALANCE_PERIOD_S)

    async def _find_busy_engines(self, now_s: float) -> None:
        """Find engines that are carrying out an order of the previous leader."""
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
            self._republish()

    async def _check_if_busy(self, item: BackendInstance, stage: EngineStage) -> None:
        self._on_calls(item, 1)
        busy = await self._orders.is_busy(item)
        # An engine that doesn't respond needs no mark: it gets no requests anyway.
        if busy.unwrap_or(False):
            self._add_pending_change(item, _other_stage(stage))

    def _add_pending_change(self, item: BackendInstance, stage: EngineStage) -> None:
        until_s = anyio.current_time() + CHANGE_TIMEOUT_S
        self._pending_changes[item.instance] = _PendingChange(
            item.instance_id, stage, until_s
        )

    async def _balance_stages(self, now_s: float, may_order: bool) -> None:
        load = self._load_aggregator.total()
        for service in self._routing().services:
            if service.engine is None:
                continue
            engines = [
                item
                for item in self._instances
                if item.service == service.name and not item.is_leaving
            ]
            balancer = self._balancers.setdefault(service.name, StageBalancer(now_s))
            changes = balancer.observe(
                engines, load, service.engine, now_s, may_change=may_order
            )
            if changes:
                await self._order_changes(changes)

    async def _order_changes(self, changes: Iterable[StageChange]) -> None:
        for change in changes:
            self._add_pending_change(change.instance, change.stage)
        self._republish()
        await anyio.sleep(NOTIFY_DELAY_S)
        if not await self._node.confirm_leadership():
            # Another host may lead now and send orders. If this host is still the
            # leader, it must forget the changes, because it has ordered none.
            for change in changes:
                self._pending_changes.pop(change.instance.instance, None)
            return
        async with anyio.create_task_group() as group:
            for change in changes:
                group.start_soon(self._send_order, change)

    async def _send_order(self, change: StageChange) -> None:
        instance, fencing_number = change.instance, self._node.term
        self._on_calls(instance, CALLS_PER_ORDER)
        order_result = await self._orders.order_stage(
            instance, change.stage, self._host, fencing_number
        )
        number = EventNumber.ORDER_SENT
        if isinstance(order_result, Err):
            number = EventNumber.ORDER_REFUSED
        log_event(
            _log,
            number,
            backend_server=instance.instance,
            kind=change.stage.value,
            fencing_number=fencing_number,
            decode_use=round(change.decode_use, 2),
            prefill_use=round(change.prefill_use, 2),
            reason=order_result.err() or "",
        )


def _other_stage(stage: EngineStage) -> EngineStage:
    is_prefill = stage is EngineStage.PREFILL
    return EngineStage.DECODE if is_prefill else EngineStage.PREFILL
