"""Counts the sends of one request that have to be paid from the retry budget.

The operator limits the arrivals at backend servers. For each request one arrival is
free, and so is the first prefill that an engine accepts. Every further arrival has to
be paid before it is sent.

>>> account = SendAccount()
>>> account.unpaid_before(SendStep.PREFILL)
0
>>> account.record_arrival(SendStep.PREFILL, was_refused=True)
>>> account.unpaid_before(SendStep.RUN)
1
>>> account.pay()
>>> account.unpaid_before(SendStep.RUN)
0
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["SendAccount", "SendStep"]


class SendStep(Enum):
    """What a send asks of a backend server: a prefill, or to run the request."""

    PREFILL = "read"
    RUN = "run"


@dataclass(slots=True)
class SendAccount:
    """
    The arrivals of one request and the sends that were paid for it.

    Attributes
    ----------
    counted_arrivals : int
        Arrivals so far, without the free prefill.
    paid : int
        Sends that were paid from the retry budget.
    has_free_prefill : bool
        Whether no engine has accepted a prefill yet.
    """

    counted_arrivals: int = 0
    paid: int = 0
    has_free_prefill: bool = True

    def unpaid_before(self, step: SendStep) -> int:
        """
        Return how many sends have to be paid before a step may be sent.

        A prefill is useless without the run that follows it, so a prefill that isn't
        free is paid together with its run.
        """
        sends = 1
        if step is SendStep.PREFILL and not self.has_free_prefill:
            sends = 2
        return max(0, self.counted_arrivals + sends - 1 - self.paid)

    def pay(self) -> None:
        """Record that one send was paid from the retry budget."""
        self.paid += 1

    def record_arrival(self, step: SendStep, *, was_refused: bool) -> None:
        """Record a send that has, or may have, reached a backend server."""
        if step is SendStep.PREFILL and self.has_free_prefill and not was_refused:
            self.has_free_prefill = False
        else:
            self.counted_arrivals += 1
