"""Checks requests against the retry budget before they are sent."""

import logging
from typing import Protocol

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.model.events import EventNumber

__all__ = ["RetryBudget", "RetryGate"]

logger = logging.getLogger(__name__)


class RetryBudget(Protocol):
    """The share of the fleet's retry budget that one host may spend."""

    def spend(self, service: str, now_s: float) -> bool:
        """Spend one retry of a service; returns False if none is left."""
        ...

    def remaining(self, service: str) -> float:
        """Return the retries of a service that were left after the last change."""
        ...


class RetryGate:
    """
    Deducts the cost of sending a request from the retry budget, before it is sent.

    Parameters
    ----------
    budget : RetryBudget
        The budget to deduct from.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    def admits(self, admitted: AdmittedRequest, step: SendStep) -> bool:
        """
        Deduct the cost of a step, and return whether the step may be sent.

        What has been deducted is credited to the request, so calling this twice before
        the step is sent costs no more than calling it once.
        """
        while admitted.account.unpaid_before(step):
            granted = self._budget.spend(admitted.service.name, admitted.now_s)
            log_event(
                logger,
                EventNumber.RETRY_GRANTED if granted else EventNumber.RETRY_DENIED,
                request_id=admitted.request.request_id,
                service=admitted.service.name,
                step=step.value,
                arrivals=admitted.account.counted_arrivals,
                paid=admitted.account.paid,
                left=round(self._budget.remaining(admitted.service.name), 2),
            )
            if not granted:
                return False
            admitted.account.pay()
        return True
