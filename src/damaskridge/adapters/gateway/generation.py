"""One generation on its way through a prefill and a decode engine."""

import logging
from dataclasses import dataclass, field

from damaskridge.adapters.gateway.admitted_request import GatewayWork
from damaskridge.adapters.gateway.responses import CallerAnswer
from damaskridge.adapters.gateway.sender import OpenReply
from damaskridge.adapters.observability.events import log_event
from damaskridge.model.control import InstanceLoad
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance

__all__ = ["Generation", "Handle", "Reservation"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Handle:
    """A KV cache that waits on an engine, and until when it may be used."""

    instance: BackendInstance
    name: str
    usable_until_s: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room on a decode engine, and until when it may be used."""

    instance: BackendInstance
    name: str
    usable_until_s: float


@dataclass(slots=True)
class Generation:
    """
    What one generation has been through.

    Parameters
    ----------
    work : GatewayWork
        The admitted request.
    answer : CallerAnswer
        Its answer.
    last_event_id : int or None
        The last event that the caller has; its own position until one is passed on.
    tried : set of str
        Decode engines that it was sent to.
    reservation : Reservation or None
        Decode room that is not used yet.
    handle : Handle or None
        Exported KV cache that is not used yet.
    handle_refusals : int
        Decode engines that refused the request with the present handle.
    has_events : bool
        Whether an engine has sent an event.
    progress_s : float
        Loop time of the last event, or of the head of the present answer.
    """

    admitted: GatewayWork
    answer: CallerAnswer
    last_event_id: int | None = None
    tried: set[str] = field(default_factory=set)
    reservation: Reservation | None = None
    handle: Handle | None = None
    handle_refusals: int = 0
    has_events: bool = False
    progress_s: float = 0.0

    def __post_init__(self) -> None:
        self.last_event_id = self.admitted.request.last_event_id

    def accept_event(self, event_id: int | None) -> bool:
        """Tell whether the caller lacks an event, and note that it gets it."""
        self.has_events = True
        self.progress_s = self.admitted.now_s
        if event_id is None:
            return True
        if self.last_event_id is not None and event_id <= self.last_event_id:
            return False
        self.last_event_id = event_id
        return True

    async def write(self, reply: OpenReply, data: bytes) -> None:
        """Pass data on, after the head of the first engine that sent some."""
        if not self.answer.has_started:
            await self.answer.start_stream(reply.head)
        await self.answer.write(data)

    def log_sent(
        self,
        instance: str,
        step: str,
        *,
        load: InstanceLoad,
        candidates: int,
        list_seen_s: float,
    ) -> None:
        """Log a send with what its engine was chosen by."""
        admitted = self.admitted
        log_event(
            logger,
            EventNumber.REQUEST_SENT,
            request_id=admitted.request.request_id,
            instance=instance,
            step=step,
            attempt=admitted.policy.sends,
            load=load.prompt_tokens if step == "prefill" else load.memory_tokens,
            candidates=candidates,
            list_age_ms=round((admitted.now_s - list_seen_s) * 1000),
        )

    def log_failed(self, instance: str, step: str, reason: str) -> None:
        """Log a step that brought nothing."""
        log_event(
            logger,
            EventNumber.SEND_FAILED,
            request_id=self.admitted.request.request_id,
            instance=instance,
            outcome=step,
            reason=reason,
            elapsed_ms=round(self.admitted.elapsed_s * 1000),
        )
