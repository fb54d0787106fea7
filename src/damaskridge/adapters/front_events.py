"""The events that a front logs about one request; none of them per token."""

import logging
from collections.abc import Callable
from typing import Any

from damaskridge.adapters.observability.events import log_event
from damaskridge.model.errors import Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import Placement

__all__ = ["RequestEventLogger"]

_logger = logging.getLogger("damaskridge.front")


class RequestEventLogger:
    """
    Logs the steps of one request.

    Parameters
    ----------
    request_id, workspace : str
        The request and whose it is; the workspace of an open route is empty.
    clock : callable
        The loop's time in seconds.
    kind : str
        ``"model"`` or ``"service"``.
    """

    def __init__(
        self,
        request_id: str,
        workspace: str,
        clock: Callable[[], float],
        kind: str = "model",
    ) -> None:
        self._request_id = request_id
        self._workspace = workspace
        self._clock = clock
        self._kind = kind
        self._asked_s = clock()
        self._has_token = False

    def accepted(self, prompt_tokens: int = 0) -> None:
        """Log that the front runs the request."""
        self._log(
            EventNumber.REQUEST_ACCEPTED,
            workspace=self._workspace,
            kind=self._kind,
            prompt_tokens=prompt_tokens,
        )

    def granted(self, waited_s: float) -> None:
        """Log that the rate owner admitted it."""
        self._log(EventNumber.REQUEST_GRANTED, waited_s=round(waited_s, 6))

    def asks_placement(self, attempt: int) -> None:
        """Note when the cell owner is asked; later attempts are logged."""
        self._asked_s = self._clock()
        if attempt > 1:
            self._log(EventNumber.REQUEST_RETRIED, attempt=attempt)

    def placed(self, placement: Placement) -> None:
        """Log the engines, or the instance of a service."""
        self._log(
            EventNumber.REQUEST_PLACED,
            attempt=placement.attempt,
            prefill_server=placement.prefill_server,
            decode_server=placement.decode_server,
            waited_s=round(self._clock() - self._asked_s, 6),
        )

    def prefilled(self, attempt: int) -> None:
        """Log that the prompt's KV cache can be fetched."""
        self._log(EventNumber.REQUEST_PREFILLED, attempt=attempt)

    def delivered(self, first_token_s: float | None) -> None:
        """Log the first token; costs nothing for the others."""
        if self._has_token or first_token_s is None:
            return
        self._has_token = True
        rounded_s = round(first_token_s, 6)
        self._log(EventNumber.REQUEST_FIRST_TOKEN, first_token_s=rounded_s)

    def silent(self, peer_address: str, offset: int) -> None:
        """Log that a silent connection to an engine is replaced."""
        self._log(
            EventNumber.CONNECTION_SILENT, peer_address=peer_address, offset=offset
        )

    def ended(
        self,
        failure: Failure | None,
        cancelled: bool,
        output_tokens: int,
        attempt: int,
    ) -> None:
        """Log the final answer."""
        number = EventNumber.REQUEST_FINISHED
        if cancelled:
            number = EventNumber.REQUEST_CANCELLED
        elif failure is not None:
            number = EventNumber.REQUEST_REFUSED
        self._log(
            number,
            workspace=self._workspace,
            kind=self._kind,
            error_kind=failure.kind.value if failure else "",
            run=failure.ran.value if failure else RunState.RAN.value,
            output_tokens=output_tokens,
            attempt=attempt,
        )

    def _log(self, number: EventNumber, **fields: Any) -> None:
        log_event(_logger, number, request_id=self._request_id, **fields)
