"""Admits sends to backend servers against the retry budget."""

import logging
from typing import Protocol

from damaskridge.adapters.gateway.work import GatewayWork
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.events import EventNumber

__all__ = ["RetryBudget", "RetryGate"]

logger = logging.getLogger(__name__)


class RetryBudget(Protocol):
    """The part of the fleet's retry budget that one host may spend."""

    def spend(self, service: str, now_s: float) -> bool:
        """Take one send beyond the first; `False` if none is left."""
        ...

    def left(self, service: str) -> float:
        """Return the sends that were left after the last change."""
        ...


class RetryGate:
    """
    Takes from the budget what a send costs, before it is sent.

    Parameters
    ----------
    budget : RetryBudget
        Where the sends are taken from.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    def admits(self, work: GatewayWork, step: SendStep) -> bool:
        """
        Tell whether a step may be sent, and pay for it.

        What is paid stays with the request, so that it is safe to ask again before the
        send.
        """
        while work.account.unpaid_before(step):
            granted = self._budget.spend(work.service.name, work.now_s)
            log_event(
                logger,
                EventNumber.RETRY_GRANTED if granted else EventNumber.RETRY_DENIED,
                request_id=work.request.request_id,
                service=work.service.name,
                step=step.value,
                arrivals=work.account.counted_arrivals,
                paid=work.account.paid,
                left=round(self._budget.left(work.service.name), 2),
            )
            if not granted:
                return False
            work.account.pay()
        return True
