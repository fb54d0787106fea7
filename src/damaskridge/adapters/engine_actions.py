"""Executes the cancellations and orders that a cell's scheduler sends to engines."""

import logging
import uuid

import anyio
from result import Err

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ownership import lease_is_valid
from damaskridge.adapters.ports import ControlPort, EnginePort
from damaskridge.core.leases import SESSION_DURATION_S
from damaskridge.core.scheduling.messages import CancelOnEngine, SendOrder
from damaskridge.model.bundle import BackendServer
from damaskridge.model.control import AllocateFencingNumber, Owner
from damaskridge.model.engine import LoadReport, Order, OrderKind
from damaskridge.model.events import EventNumber

__all__ = ["MAX_ORDER_DELAY_S", "try_cancel", "send_order"]

logger = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 1.0
# Longest time between sending an order and its execution by the engine.
MAX_ORDER_DELAY_S = 2.0


async def try_cancel(engine: EnginePort, action: CancelOnEngine) -> bool:
    """Try once to cancel a request; return whether the engine confirmed."""
    with anyio.move_on_after(CANCEL_TIMEOUT_S):
        result = await engine.cancel(action.engine_request_id)
        if isinstance(result, Err):
            return False
        log_event(
            logger,
            EventNumber.ENGINE_REQUEST_CANCELLED,
            backend_server=action.backend_server,
            engine_request_id=action.engine_request_id,
        )
        return True
    return False


async def send_order(
    control: ControlPort,
    owner: Owner,
    acquired_s: float,
    server: BackendServer,
    engine: EnginePort,
    action: SendOrder,
) -> bool:
    """
    Send an order with a new fencing number.

    An engine that ignores the number could execute an order of the previous owner
    after this one. So an order to such an engine waits until all orders of the
    previous owner have arrived or timed out.

    Returns
    -------
    bool
        Whether the engine accepted the order.
    """
    if not server.checks_fencing:
        send_at_s = acquired_s + SESSION_DURATION_S + MAX_ORDER_DELAY_S
        await anyio.sleep(max(0.0, send_at_s - anyio.current_time()))
        report = await engine.load()
        if isinstance(report, Err) or _is_in_effect(report.ok_value, action):
            return False
    command = AllocateFencingNumber(
        command_id=uuid.uuid4().hex,
        resource=owner.resource,
        epoch=owner.epoch,
        host=owner.host,
    )
    allocated = await control.propose(command)
    if allocated.failure is not None or not lease_is_valid(control):
        return False
    number = int(allocated.value)
    with anyio.move_on_after(MAX_ORDER_DELAY_S):
        result = await engine.order(Order(action.kind, action.value, number))
        event = EventNumber.ORDER_SENT
        if isinstance(result, Err):
            event = EventNumber.ORDER_REFUSED
        log_event(
            logger,
            event,
            backend_server=server.name,
            kind=action.kind.value,
            fencing_number=number,
        )
        return not isinstance(result, Err)
    return False


def _is_in_effect(report: LoadReport, action: SendOrder) -> bool:
    """Return whether the engine already reports the state that an order requests."""
    if action.kind is OrderKind.CHANGE_ROLE:
        return report.role == action.value
    return action.value in report.models
