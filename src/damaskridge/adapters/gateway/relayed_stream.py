"""The state of an event stream that is relayed from one server after another."""

import logging
from dataclasses import dataclass, field

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.outcomes import OpenReply
from damaskridge.adapters.gateway.responses import CallerResponse
from damaskridge.adapters.observability.events import log_event
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["RelayedStream"]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class RelayedStream:
    """
    The progress of one event stream.

    Parameters
    ----------
    admitted : AdmittedRequest
        The request.
    response : CallerResponse
        The response to the caller.
    last_event_id : int or None
        The last event that the caller has received. Before the first one is forwarded,
        the position that the caller sent with the request.
    tried_servers : set of str
        Servers that the request was sent to.
    has_events : bool
        Whether a server has sent an event.
    run_events : int
        Number of events that the current server has sent.
    last_progress_s : float
        Event loop time of the last event, or of the head of the current response of a
        server if that is later.
    software_version : str or None
        Version at which the stream began and has to go on; None before its first event.
    """

    admitted: AdmittedRequest
    response: CallerResponse
    last_event_id: int | None = None
    tried_servers: set[str] = field(default_factory=set)
    has_events: bool = False
    run_events: int = 0
    last_progress_s: float = 0.0
    software_version: str | None = None

    def __post_init__(self) -> None:
        self.last_event_id = self.admitted.request.last_event_id

    def accept_event(self, event_id: int | None) -> bool:
        """
        Return whether to forward an event, and count it as forwarded if so.

        Events that the caller has already received are not forwarded. A comment, which
        has no id, is forwarded and is no progress.
        """
        if event_id is None:
            return True
        self.has_events = True
        self.run_events += 1
        self.last_progress_s = self.admitted.now_s
        if self.last_event_id is not None and event_id <= self.last_event_id:
            return False
        self.last_event_id = event_id
        return True

    async def write(self, server_response: OpenReply, data: bytes) -> None:
        """Forward data to the caller, after the head of the first server's response."""
        if not self.response.has_started:
            await self.response.start_stream(server_response.head)
        await self.response.write(data)

    def log_sent(
        self,
        instance: BackendInstance,
        step: str,
        *,
        load: InstanceLoad,
        candidates: int,
        list_seen_s: float,
    ) -> None:
        """Log that a step was sent, with the data by which its server was chosen."""
        admitted = self.admitted
        # The load by which servers are compared for the step.
        loads = {"prefill": load.prompt_tokens, "call": load.requests}
        log_event(
            logger,
            EventNumber.REQUEST_SENT,
            request_id=admitted.request.request_id,
            instance=instance.instance,
            software_version=instance.software_version,
            step=step,
            attempt=admitted.policy.sends,
            load=loads.get(step, load.memory_tokens),
            candidates=candidates,
            list_age_ms=round((admitted.now_s - list_seen_s) * 1000),
        )

    def log_failed(self, instance: str, step: str, reason: str) -> None:
        """Log that a step failed."""
        log_event(
            logger,
            EventNumber.SEND_FAILED,
            request_id=self.admitted.request.request_id,
            instance=instance,
            outcome=step,
            reason=reason,
            elapsed_ms=round(self.admitted.elapsed_s * 1000),
        )
