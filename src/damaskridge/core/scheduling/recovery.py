"""Recovers requests whose front or server is lost."""

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
    TakeOverResponse,
)

__all__ = ["EndRequest", "Recovery", "refuse_quarantined", "refuse_take_over"]

_PHASES_AFTER_PREFILL = (RequestPhase.TRANSFERRING, RequestPhase.DECODING)

EndRequest = Callable[[RequestEntry, float, bool], list[CellAction]]


class Recovery:
    """
    Reassigns or cancels requests after failures of fronts and servers.

    Parameters
    ----------
    registry, placer, suspects : RequestRegistry, Placer, SuspectTable
        State of the cell.
    end_request : EndRequest
        Removes a request and, if its last argument is true, cancels it on engines.
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
        """Mark silent fronts as lost, and cancel orphans past their grace period."""
        actions: list[CellAction] = []
        for front, incarnation in self._registry.find_silent_fronts(now_s):
            actions += self.handle_front_loss(front, incarnation, now_s)
        for entry in self._registry.pop_expired_orphans(now_s):
            actions += self._end_request(entry, now_s, True)
        return actions

    def handle_front_loss(
        self, front: str, incarnation: int, now_s: float
    ) -> list[CellAction]:
        """Refuse the queued requests of a lost front; running ones become orphans."""
        self._registry.mark_front_lost(front, incarnation)
        actions: list[CellAction] = []
        for entry in self._registry.requests_of_front(front):
            if entry.incarnation != incarnation:
                continue
            if entry.placement is None:
                # If the front is alive after all, it submits the request once more.
                actions.append(_refuse(entry.profile, ErrorKind.OWNER_UNAVAILABLE))
                actions += self._end_request(entry, now_s, False)
            else:
                self._registry.mark_orphaned(entry, now_s)
        return actions

    def take_over(self, request: TakeOver, now_s: float) -> list[CellAction]:
        """Assign a request to the first front that asks, if the workspace matches."""
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
        response = TakeOverResponse(active=entry.to_active_request())
        return [
            *actions,
            SendTakeOverResponse(request.front, request.request_id, response),
        ]

    def record_crash_seen_by_front(
        self, fingerprint: str, server: ServerState, now_s: float, *, was_suspect: bool
    ) -> list[CellAction]:
        """
        Mark a request as suspect because its front lost the connection to its engine.

        The front ends the attempt long before the owner's polls detect the crash, so
        the request would otherwise be missing from the crash report.
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
        for entry in self._registry.find_by_fingerprint(fingerprint):
            if entry.placement is not None:
                continue
            entry.suspect = True
            if self._suspects.has_reached_crash_limit(fingerprint, now_s):
                actions.append(refuse_quarantined(entry.profile))
                actions += self._end_request(entry, now_s, False)
        return actions

    def record_crash(
        self, server: ServerState, incarnation: int, now_s: float
    ) -> list[CellAction]:
        """Free the reservations on a crashed server, and report what ran on it."""
        name = server.spec.name
        ran: list[str] = []
        for entry in self._registry.entries.values():
            placement = entry.placement
            if placement is None:
                continue
            on_prefill = placement.prefill_server == name
            on_decode = placement.decode_server == name
            decode_started = (
                entry.phase in _PHASES_AFTER_PREFILL or now_s >= entry.prefill_end_s
            )
            is_decoding = entry.phase is RequestPhase.DECODING
            if (on_prefill and not is_decoding) or (on_decode and decode_started):
                ran.append(entry.profile.fingerprint)
            if on_decode:
                self._placer.release(entry, now_s)
        ran += self._suspects.recently_failed_on(name, server.incarnation, now_s)
        fingerprints = tuple(dict.fromkeys(item for item in ran if item))
        self._suspects.add(fingerprints, now_s)
        return [ReportCrashedRequests(name, incarnation, fingerprints)]


def refuse_quarantined(profile: RequestProfile) -> SendSubmitResponse:
    """Return the refusal of a request that crashed as many servers as allowed."""
    return _refuse(profile, ErrorKind.REQUEST_QUARANTINED)


def _refuse(profile: RequestProfile, kind: ErrorKind) -> SendSubmitResponse:
    refused = Refused(request_id=profile.request_id, failure=Failure(kind))
    return SendSubmitResponse(profile.front, profile.request_id, refused)


def refuse_take_over(request: TakeOver, kind: ErrorKind) -> SendTakeOverResponse:
    """Return the refusal of a take-over."""
    response = TakeOverResponse(failure=Failure(kind))
    return SendTakeOverResponse(request.front, request.request_id, response)
