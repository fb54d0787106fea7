"""What happens to requests whose front or server is gone."""

from collections.abc import Callable

from damaskridge.core.scheduling.messages import (
    CellAction,
    NotifyTakenOver,
    ReportCrashedRequests,
    SendSubmitResponse,
    SendTakeOverResponse,
)
from damaskridge.core.scheduling.placement import Placer
from damaskridge.core.scheduling.registry import RequestEntry, RequestRegistry
from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.suspects import SuspectTable
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import (
    Refused,
    RequestPhase,
    RequestProfile,
    TakeOver,
    TakeOverReply,
)

__all__ = ["EndRequest", "Recovery", "refuse_quarantined", "refuse_take_over"]

_AFTER_PREFILL = (RequestPhase.TRANSFERRING, RequestPhase.DECODING)

EndRequest = Callable[[RequestEntry, float, bool], list[CellAction]]


class Recovery:
    """
    Moves or reclaims requests after failures.

    Parameters
    ----------
    registry, placer, suspects : Registry, Placer, SuspectTable
        State of the cell.
    end_request : EndRequest
        Forgets a request and, if told so, cancels it on its engines.
    """

    def __init__(
        self,
        registry: RequestRegistry,
        placer: Placer,
        suspects: SuspectTable,
        end_request: EndRequest,
    ) -> None:
        self._registry = registry
        self._placer = placer
        self._suspects = suspects
        self._end_request = end_request

    def check_fronts(self, now_s: float) -> list[CellAction]:
        """Note silent fronts, and reclaim what nobody took over."""
        actions: list[CellAction] = []
        for front, incarnation in self._registry.find_silent_fronts(now_s):
            actions += self.handle_front_loss(front, incarnation, now_s)
        for entry in self._registry.pop_expired_orphans(now_s):
            actions += self._end_request(entry, now_s, True)
        return actions

    def handle_front_loss(
        self, front: str, incarnation: int, now_s: float
    ) -> list[CellAction]:
        """Drop what a lost front has queued; the rest may be taken over."""
        self._registry.mark_front_lost(front, incarnation)
        actions: list[CellAction] = []
        for entry in self._registry.requests_of_front(front):
            if entry.incarnation != incarnation:
                continue
            if entry.placement is None:
                # A front that is alive after all asks again.
                actions.append(_refuse(entry.profile, ErrorKind.OWNER_UNAVAILABLE))
                actions += self._end_request(entry, now_s, False)
            else:
                self._registry.mark_orphaned(entry, now_s)
        return actions

    def take_over(self, request: TakeOver, now_s: float) -> list[CellAction]:
        """Give a request to the first other front of the workspace that asks."""
        self._registry.record_front_alive(request.front, request.incarnation, now_s)
        entry = self._registry.entries.get(request.request_id)
        if entry is None or entry.placement is None:
            return [refuse_take_over(request, ErrorKind.UNKNOWN_REQUEST)]
        if entry.profile.workspace != request.workspace:
            return [refuse_take_over(request, ErrorKind.UNKNOWN_REQUEST)]
        actions: list[CellAction] = []
        if (entry.front, entry.incarnation) != (request.front, request.incarnation):
            is_lost = self._registry.is_front_lost(entry)
            if entry.taken_over and not is_lost:
                return [refuse_take_over(request, ErrorKind.STREAM_TAKEN_OVER)]
            if not is_lost:
                actions.append(NotifyTakenOver(entry.front, request.request_id))
            self._registry.reassign(entry, request.front, request.incarnation)
        response = TakeOverReply(active=entry.to_active_request())
        return [
            *actions,
            SendTakeOverResponse(request.front, request.request_id, response),
        ]

    def record_crash_seen_by_front(
        self, fingerprint: str, server: ServerState, now_s: float, *, was_suspect: bool
    ) -> list[CellAction]:
        """
        Suspect a request whose front saw its engine break off.

        The front ends the attempt long before the owner's polls find the crash, so
        the request would otherwise be missing in the report of the crash.
        """
        if not fingerprint:
            return []
        self._suspects.record_failure(
            fingerprint,
            server.spec.name,
            server.incarnation,
            now_s,
            was_suspect=was_suspect,
        )
        actions: list[CellAction] = []
        for other in self._registry.find_by_fingerprint(fingerprint):
            if other.placement is not None:
                continue
            other.suspect = True
            if self._suspects.has_reached_crash_limit(fingerprint, now_s):
                actions.append(refuse_quarantined(other.profile))
                actions += self._end_request(other, now_s, False)
        return actions

    def record_crash(
        self, server: ServerState, incarnation: int, now_s: float
    ) -> list[CellAction]:
        """Report the fingerprints that ran on a server when it crashed."""
        name = server.spec.name
        ran: list[str] = []
        for entry in self._registry.entries.values():
            placement = entry.placement
            if placement is None:
                continue
            on_prefill = placement.prefill_server == name
            on_decode = placement.decode_server == name
            started = entry.phase in _AFTER_PREFILL or now_s >= entry.prefill_end_s
            decoding = entry.phase is RequestPhase.DECODING
            if (on_prefill and not decoding) or (on_decode and started):
                ran.append(entry.profile.fingerprint)
            if on_decode:
                self._placer.release(entry, now_s)
        ran += self._suspects.recently_failed_on(name, server.incarnation, now_s)
        fingerprints = tuple(dict.fromkeys(item for item in ran if item))
        self._suspects.add(fingerprints, now_s)
        return [ReportCrashedRequests(name, incarnation, fingerprints)]


def refuse_quarantined(profile: RequestProfile) -> SendSubmitResponse:
    """Return the answer to a request that has cost all the servers it may."""
    return _refuse(profile, ErrorKind.REQUEST_QUARANTINED)


def _refuse(profile: RequestProfile, kind: ErrorKind) -> SendSubmitResponse:
    refused = Refused(request_id=profile.request_id, failure=Failure(kind))
    return SendSubmitResponse(profile.front, profile.request_id, refused)


def refuse_take_over(request: TakeOver, kind: ErrorKind) -> SendTakeOverResponse:
    """Return the answer to a front that may not continue a request."""
    response = TakeOverReply(failure=Failure(kind))
    return SendTakeOverResponse(request.front, request.request_id, response)
