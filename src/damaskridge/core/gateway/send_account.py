"""Counts what the sends of one request cost the retry budget.

The operator counts arrivals at backend servers. One arrival of a request is free, and
so is the first reading of its prompt that an engine takes; each further one has to be
paid before it is sent.

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
    """What a backend server is asked for: to read a prompt, or to run a request."""

    PREFILL = "read"
    RUN = "run"


@dataclass(slots=True)
class SendAccount:
    """
    The arrivals of one request that count, and those that were paid.

    Attributes
    ----------
    counted : int
        Arrivals so far that count.
    paid : int
        Sends that were taken from the retry budget.
    has_free_prefill : bool
        Whether no engine has taken a reading of the prompt yet.
    """

    counted_arrivals: int = 0
    paid: int = 0
    has_free_prefill: bool = True

    def unpaid_before(self, step: SendStep) -> int:
        """
        Return how many sends must be paid before a step may be sent.

        A reading is worthless without the run that follows it, so that a reading that
        counts is paid together with its run.
        """
        sends = 1
        if step is SendStep.PREFILL and not self.has_free_prefill:
            sends = 2
        return max(0, self.counted_arrivals + sends - 1 - self.paid)

    def pay(self) -> None:
        """Count one send that was taken from the retry budget."""
        self.paid += 1

    def record_arrival(self, step: SendStep, *, was_refused: bool) -> None:
        """Count a send that has, or may have, reached a backend server."""
        if step is SendStep.PREFILL and self.has_free_prefill and not was_refused:
            self.has_free_prefill = False
        else:
            self.counted_arrivals += 1
