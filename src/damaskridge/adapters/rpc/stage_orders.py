"""Orders engines into another stage, on the leader only.

The term of the replicated log is the fencing number: it belongs to one leader and grows
with every new one.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
import msgspec
from result import Err, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_node import ControlNodePort
from damaskridge.core.gateway.load_board import LoadBoard
from damaskridge.core.gateway.stage_balance import StageBalance, StageChange
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance, EngineStage, RoutingTable

__all__ = ["EngineOrders", "StageOrders"]

WATCH_PERIOD_S = 0.1
# An order of the leader before may still be on its way.
TAKE_OVER_S = 4.0
# An engine that has not changed by then did not take the order.
CHANGE_S = 14.0

_log = logging.getLogger("damaskridge.orders")


class EngineOrders(Protocol):
    """Orders to model engines."""

    async def order_stage(
        self, instance: BackendInstance, stage: EngineStage, holder: str, fence: int
    ) -> Result[None, str]:
        """Order a stage; an error may mean that the order is carried out late."""
        ...


class StageOrders:
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
    orders : EngineOrders
        Sends orders.
    routing : callable
        Returns the routing table in force.
    leads : callable
        Whether this host leads.
    """

    def __init__(
        self,
        *,
        node: ControlNodePort,
        host: str,
        board: LoadBoard,
        orders: EngineOrders,
        routing: Callable[[], RoutingTable],
        leads: Callable[[], bool],
    ) -> None:
        self._node = node
        self._host = host
        self._board = board
        self._orders = orders
        self._routing = routing
        self._leads = leads
        self._balances: dict[str, StageBalance] = {}
        self._changing: dict[str, tuple[EngineStage, float]] = {}
        self._instances: tuple[BackendInstance, ...] = ()

    def adjust(
        self, instances: Iterable[BackendInstance]
    ) -> tuple[BackendInstance, ...]:
        """Take over a reading of the list; engines that change get no work."""
        now_s = anyio.current_time()
        adjusted = []
        for item in instances:
            wanted, until_s = self._changing.get(item.instance, (item.stage, 0.0))
            if item.stage is wanted or now_s > until_s:
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
            else:
                if leading_since_s is None:
                    leading_since_s = now_s
                # The averages warm up while the last leader's orders may still act.
                await self._watch(now_s, now_s - leading_since_s >= TAKE_OVER_S)
            await anyio.sleep(WATCH_PERIOD_S)

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
            balance = self._balances.setdefault(service.name, StageBalance(now_s))
            changes = balance.observe(
                engines, load, service.engine, now_s, may_change=may_order
            )
            if changes and await self._node.confirm_leadership():
                async with anyio.create_task_group() as group:
                    for change in changes:
                        group.start_soon(self._order, change)

    async def _order(self, change: StageChange) -> None:
        instance, fence = change.instance, self._node.term
        until_s = anyio.current_time() + CHANGE_S
        self._changing[instance.instance] = (change.stage, until_s)
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
