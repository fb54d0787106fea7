"""Logs the decisions of a cell's scheduler as numbered events."""

import logging

from damaskridge.adapters.observability.events import log_event
from damaskridge.core.scheduling.messages import (
    CancelOnEngine,
    CellAction,
    CellEvent,
    EngineRequestsListed,
    SchedulerTimerFired,
    SendOrder,
    SendSubmitResponse,
)
from damaskridge.model.control import Owner
from damaskridge.model.engine import OrderKind
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import Placement

__all__ = ["log_action", "log_cell_rebuilt"]

_logger = logging.getLogger("damaskridge.cell")


def log_action(event: CellEvent, action: CellAction) -> None:
    """Log an action of the scheduler; `event` is the event that caused it."""
    if isinstance(action, SendSubmitResponse):
        _log_submit_response(action)
    elif isinstance(action, SendOrder) and action.kind is OrderKind.CHANGE_ROLE:
        log_event(
            _logger,
            EventNumber.ROLE_PROPOSED,
            backend_server=action.backend_server,
            role=action.value,
        )
    elif isinstance(action, CancelOnEngine) and isinstance(
        event, SchedulerTimerFired | EngineRequestsListed
    ):
        # On these events the scheduler reclaims a request by itself. All others that
        # lead to a cancellation come from the request's front.
        log_event(
            _logger,
            EventNumber.REQUEST_RECLAIMED,
            request_id=action.engine_request_id.rpartition(".")[0],
            backend_server=action.backend_server,
        )


def log_cell_rebuilt(owner: Owner) -> None:
    """Log that a new owner has learned all running requests of its cell."""
    log_event(
        _logger,
        EventNumber.CELL_REBUILT,
        resource=owner.resource,
        epoch=owner.epoch,
    )


def _log_submit_response(action: SendSubmitResponse) -> None:
    response = action.response
    if isinstance(response, Placement):
        log_event(
            _logger,
            EventNumber.QUEUE_PLACED,
            request_id=action.request_id,
            prefill_server=response.prefill_server,
            decode_server=response.decode_server,
        )
    else:
        log_event(
            _logger,
            EventNumber.QUEUE_REFUSED,
            request_id=action.request_id,
            error_kind=response.failure.kind.value,
        )
