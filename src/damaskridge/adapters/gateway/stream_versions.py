"""Finds the software version at which a stream began that a caller takes up."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.leader_questions import LeaderQuestions
from damaskridge.core.gateway.stream_origins import StreamOrigins
from damaskridge.model.gateway import BackendInstance
from damaskridge.model.software_versions import (
    OriginDecided,
    OriginWanted,
    ServiceVersions,
    StreamOrigin,
)

__all__ = ["OriginReport", "OriginUndecided", "StreamVersions"]

# After a loss of all hosts a leader is elected within a second. Callers abandon a
# stream after 2 seconds without an event at the earliest.
DECISION_TIMEOUT_S = 1.5


class OriginUndecided(Exception):
    """No leader has answered in time."""


@dataclass(frozen=True, slots=True)
class OriginReport:
    """
    What a host has to tell the leader.

    Parameters
    ----------
    origins : tuple of StreamOrigin
        Streams that began here.
    wanted : tuple of OriginWanted
        Questions for the versions of other streams.
    """

    origins: tuple[StreamOrigin, ...]
    wanted: tuple[OriginWanted, ...]


class StreamVersions:
    """
    The software versions at which streams began.

    Parameters
    ----------
    request_report : callable
        Called when there is something that the leader has to know at once.
    """

    def __init__(self, request_report: Callable[[], None]) -> None:
        self._request_report = request_report
        self._origins = StreamOrigins()
        self._questions: LeaderQuestions[OriginWanted, str | None] = LeaderQuestions(
            request_report
        )

    def record_begin(
        self, admitted: AdmittedRequest, instance: BackendInstance
    ) -> None:
        """Record which instance has made the first event of a new stream."""
        origin = StreamOrigin(
            admitted.request.request_id, instance.service, instance.software_version
        )
        self._origins.add(origin, admitted.now_s)
        if self._origins.has_unreported:
            self._request_report()

    async def find(self, admitted: AdmittedRequest) -> str | None:
        """
        Return the version at which the stream of a request began.

        None if that is unknown: nobody has recorded it, and several are possible.

        Raises
        ------
        OriginUndecided
            No leader has answered in time.
        """
        known = self.known(admitted)
        if known is not None:
            return known
        attempt_id, service = admitted.request.first_attempt_id, admitted.service.name
        return await self._ask_leader(attempt_id, service)

    def known(self, admitted: AdmittedRequest) -> str | None:
        """Return the version at which the stream of a request began on this host."""
        return self._origins.version_of(
            admitted.request.first_attempt_id, admitted.service.name
        )

    def is_recorded(self, instance: BackendInstance) -> bool:
        """Return whether the version of an engine is on record, so that it is used."""
        return self._origins.is_recorded(instance)

    def on_versions(self, services: Iterable[ServiceVersions]) -> None:
        """Apply what the leader has recorded."""
        self._origins.on_versions(services)
        if self._origins.has_unreported:
            self._request_report()

    def on_decisions(self, decisions: Iterable[OriginDecided]) -> None:
        """Accept the leader's answers."""
        for decision in decisions:
            self._questions.answer(decision.sequence, decision.software_version)

    def pop_report(self, *, everything: bool) -> OriginReport:
        """Return what the leader doesn't know yet; with `everything`, all that is."""
        return OriginReport(
            self._origins.pop_unreported(everything=everything),
            self._questions.pop_unsent(everything=everything),
        )

    async def _ask_leader(self, attempt_id: str, service: str) -> str | None:
        try:
            return await self._questions.ask(
                lambda number: OriginWanted(number, attempt_id, service),
                DECISION_TIMEOUT_S,
            )
        except TimeoutError:
            raise OriginUndecided from None
