"""Orders of operators to evacuate data centres, on one member of the control group."""

import secrets
from collections.abc import Callable, Set

from result import Err, Ok, Result

from damaskridge.adapters.operator_proposals import OperatorProposals, log_refusal
from damaskridge.model.control import AdvanceTime
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.evacuations import EvacuationOrder
from damaskridge.model.events import EventNumber

__all__ = ["ReplicatedEvacuations"]


class ReplicatedEvacuations:
    """
    Commits orders to evacuate data centres and to take them back.

    Parameters
    ----------
    proposals : OperatorProposals
        Proposes commands to the control group.
    data_centres : callable
        Returns the names of all known data centres.
    """

    def __init__(
        self, proposals: OperatorProposals, data_centres: Callable[[], Set[str]]
    ) -> None:
        self._proposals = proposals
        self._data_centres = data_centres

    async def order(self, order: EvacuationOrder) -> Result[None, Failure]:
        """Commit an order; repeating it changes nothing."""
        known = self._data_centres()
        if order.data_centre not in known:
            detail = f"{order.data_centre!r} is none of {', '.join(sorted(known))}"
            return self._refuse(order, Failure(ErrorKind.UNKNOWN_NAME, detail))
        command = AdvanceTime(
            command_id=f"evacuation/{secrets.token_hex(8)}", evacuation=order
        )
        committed = await self._proposals.propose(command)
        if isinstance(committed, Err):
            return self._refuse(order, committed.err_value)
        return Ok(None)

    @staticmethod
    def _refuse(order: EvacuationOrder, failure: Failure) -> Result[None, Failure]:
        log_refusal(
            EventNumber.EVACUATION_REFUSED, failure, data_centre=order.data_centre
        )
        return Err(failure)
