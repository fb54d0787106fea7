"""Log events of a single request at its front; no event is logged per token."""

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
    Logs the stages of one request.

    Parameters
    ----------
    request_id, workspace : str
        The request and its workspace, which is empty for a route open to all.
    clock : callable
        Returns the event loop's time in seconds.
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
        self._placement_requested_s = clock()
        self._has_logged_first_token = False

    def log_accepted(self, prompt_tokens: int = 0) -> None:
        """Log that the front accepted the request."""
        self._log(
            EventNumber.REQUEST_ACCEPTED,
            workspace=self._workspace,
            kind=self._kind,
            prompt_tokens=prompt_tokens,
        )

    def log_granted(self, waited_s: float) -> None:
        """Log that the rate owner admitted the request."""
        self._log(EventNumber.REQUEST_GRANTED, waited_s=round(waited_s, 6))

    def log_placement_requested(self, attempt: int) -> None:
        """Store when a placement is requested; log every attempt but the first."""
        self._placement_requested_s = self._clock()
        if attempt > 1:
            self._log(EventNumber.REQUEST_RETRIED, attempt=attempt)

    def log_placed(self, placement: Placement) -> None:
        """Log the engines or the service instance chosen for the attempt."""
        self._log(
            EventNumber.REQUEST_PLACED,
            attempt=placement.attempt,
            prefill_server=placement.prefill_server,
            decode_server=placement.decode_server,
            waited_s=round(self._clock() - self._placement_requested_s, 6),
        )

    def log_prefilled(self, attempt: int) -> None:
        """Log that prefill is complete and the KV cache can be transferred."""
        self._log(EventNumber.REQUEST_PREFILLED, attempt=attempt)

    def log_first_token(self, first_token_s: float | None) -> None:
        """Log the first token; does nothing for later ones."""
        if self._has_logged_first_token or first_token_s is None:
            return
        self._has_logged_first_token = True
        rounded_s = round(first_token_s, 6)
        self._log(EventNumber.REQUEST_FIRST_TOKEN, first_token_s=rounded_s)

    def log_silent_connection(self, peer_address: str, offset: int) -> None:
        """Log that a connection on which an engine sent nothing is replaced."""
        self._log(
            EventNumber.CONNECTION_SILENT, peer_address=peer_address, offset=offset
        )

    def log_ended(
        self,
        failure: Failure | None,
        cancelled: bool,
        output_tokens: int,
        attempt: int,
    ) -> None:
        """Log the outcome of the request."""
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
            run=failure.final_run_state.value if failure else RunState.RAN.value,
            output_tokens=output_tokens,
            attempt=attempt,
        )

    def _log(self, number: EventNumber, **fields: Any) -> None:
        log_event(_logger, number, request_id=self._request_id, **fields)
