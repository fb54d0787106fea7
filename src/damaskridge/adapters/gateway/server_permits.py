"""Obtains permits from the leader for requests to servers that have a limit.

Without a decision of the leader, a server with a limit gets no request: no host can
know by itself what the others send.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.leader_questions import LeaderQuestions
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.observability.limit_events import log_limit_change
from damaskridge.core.gateway.limits.cold_servers import presumed_cold_limits
from damaskridge.core.gateway.limits.held_permits import HeldPermits, RecentSends
from damaskridge.core.gateway.limits.server_limits import ServerLimits
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance, GatewayService, InstanceId
from damaskridge.model.server_limits import (
    PermitGroup,
    SendDecided,
    SendsCharged,
    SendWanted,
    ServerLimit,
)

__all__ = ["PermitReport", "ServerPermits"]

logger = logging.getLogger(__name__)

# The leader decides within milliseconds. A longer wait would cost the caller more than
# the use of another server, or a refusal.
DECISION_TIMEOUT_S = 0.15
# Time until the leader is asked again after it has not decided.
NO_DECISION_WAIT_S = 0.25
# Time for which a permit can be used, from the request for it.
PERMIT_LIFETIME_S = 0.5
# Time for which a permit for a cold server can be used at most. The rate of its permits
# is chosen for this time.
COLD_PERMIT_LIFETIME_S = PERMIT_LIFETIME_S
# A limit may change or end at any time, so the leader is asked at least this often.
MAX_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class PermitReport:
    """
    What a host has to tell the leader.

    Parameters
    ----------
    limits : tuple of ServerLimit
        Limits that servers have named, or their ends.
    wanted : tuple of SendWanted
        Requests for permits.
    charged : tuple of SendsCharged
        Recent requests to servers whose limit has become known, or of which a new
        leader has to know.
    """

    limits: tuple[ServerLimit, ...]
    wanted: tuple[SendWanted, ...]
    charged: tuple[SendsCharged, ...]


class ServerPermits:
    """
    The limits that this host knows, and its permits.

    Parameters
    ----------
    limits : ServerLimits
        The limits, as the registry of instances uses them.
    request_report : callable
        Called when there is something that the leader has to know at once.
    services : callable
        Returns the services of the routing table by name.
    """

    def __init__(
        self,
        limits: ServerLimits,
        request_report: Callable[[], None],
        services: Callable[[], Mapping[str, GatewayService]] = dict,
    ) -> None:
        self._limits = limits
        self._services = services
        self._request_report = request_report
        self._held = HeldPermits()
        self._recent = RecentSends()
        self._questions: LeaderQuestions[SendWanted, float] = LeaderQuestions(
            request_report
        )
        self._unreported_limits: dict[InstanceId, ServerLimit] = {}
        self._unreported_cold: dict[InstanceId, ServerLimit] = {}
        self._uncharged: set[InstanceId] = set()

    async def acquire(
        self,
        instance: BackendInstance,
        admitted: AdmittedRequest,
        *,
        lifetime_s: float = PERMIT_LIFETIME_S,
    ) -> bool:
        """
        Obtain a permit to send a request to a server, if it has a limit.

        Parameters
        ----------
        instance : BackendInstance
            The server.
        admitted : AdmittedRequest
            The request.
        lifetime_s : float
            Time within which the permit is used.

        Returns
        -------
        bool
            Whether the request may be sent. If not, `waits_s` contains the server
            until the leader may permit a request of the same group.
        """
        server, group = instance.instance_id, _group_of(admitted)
        if not self.is_limited(server):
            return True
        if instance.instance in self.waits_s(admitted):
            return False
        asked_s = admitted.now_s
        decided_s = await self._ask_leader(server, group)
        if decided_s == 0:
            usable_s = self.permit_lifetime_s(server, lifetime_s)
            self._held.add(server, asked_s + usable_s)
            return True
        if not self.is_limited(server):
            # The limit has ended while the leader decided.
            return True
        wait_s = NO_DECISION_WAIT_S if decided_s is None else min(decided_s, MAX_WAIT_S)
        self._limits.defer(server, group, admitted.now_s + wait_s)
        log_event(
            logger,
            EventNumber.SEND_DEFERRED,
            request_id=admitted.request.request_id,
            backend_server=server.instance,
            limit_per_s=self._limits.per_s(server),
            wait_ms=round(wait_s * 1000),
            has_leader_decided=decided_s is not None,
        )
        return False

    def permit_lifetime_s(self, server: InstanceId, lifetime_s: float) -> float:
        """Return for how long a permit that is wanted for a time can be used."""
        if self._limits.is_cold(server):
            return min(lifetime_s, COLD_PERMIT_LIFETIME_S)
        return lifetime_s

    def waits_s(self, admitted: AdmittedRequest) -> dict[str, float]:
        """Return how long limits permit no request like this one, by instance."""
        return self._limits.waits_s(_group_of(admitted), admitted.now_s)

    def use(self, instance: BackendInstance) -> bool:
        """Record one request to a server; return `False` if it must not be sent."""
        server, now_s = instance.instance_id, asyncio.get_running_loop().time()
        if self.is_limited(server) and not self._held.use(server, now_s):
            return False
        self._recent.record(server, now_s)
        return True

    def is_limited(self, server: InstanceId) -> bool:
        """Tell whether a server has a limit."""
        self._limits.end_cold(asyncio.get_running_loop().time())
        return self._limits.per_s(server) is not None

    def record_stated(self, limit: ServerLimit) -> None:
        """Record what a server has stated in a response, and report changes."""
        if self._apply(limit, source="response"):
            self._unreported_limits[limit.server] = limit
            self._request_report()

    def record_unreachable(self, instance: BackendInstance) -> None:
        """
        Record that a server refuses connections: it may be back, and cold, unlisted.

        Nothing is recorded while the server is known to stay cold for longer than it
        would be after a start now, as all hosts would report the same.
        """
        service = self._services().get(instance.service)
        if service is None or not service.has_cold_servers:
            return
        now_s, server = asyncio.get_running_loop().time(), instance.instance_id
        if self._limits.cold_left_s(server, now_s) > service.cold_start_s:
            return
        limits = presumed_cold_limits((instance,), self._services())
        self.record_cold(limits, source="unreachable")

    def record_cold(self, limits: Iterable[ServerLimit], source: str) -> None:
        """Record that servers are cold, and report it unless it was known."""
        for limit in limits:
            if self._apply(limit, source):
                self._unreported_cold[limit.server] = limit
                self._request_report()

    def on_limits(self, limits: Iterable[ServerLimit]) -> None:
        """Apply the limits that the leader knows."""
        for limit in limits:
            self._apply(limit, source="leader")
        if self._uncharged:
            self._request_report()

    def on_decisions(self, decisions: Iterable[SendDecided]) -> None:
        """Accept the leader's decisions."""
        for decision in decisions:
            self._questions.answer(decision.sequence, decision.wait_s)

    def pop_report(self, *, everything: bool) -> PermitReport:
        """
        Return what the leader doesn't know yet.

        With `everything`, all limits and all recent requests to servers with a limit:
        a new leader knows neither what its predecessor has permitted nor what was
        charged to it.
        """
        now_s = asyncio.get_running_loop().time()
        known = self._limits.all(now_s) if everything else ()
        limits = {
            (limit.server, limit.is_cold): limit
            for limit in (
                *self._unreported_limits.values(),
                *self._unreported_cold.values(),
                *known,
            )
        }
        charged = list[SendsCharged]()
        for server in self._uncharged | {limit.server for limit in known}:
            charged += self._charges(server, with_permits=everything)
        report = PermitReport(
            limits=tuple(limits.values()),
            wanted=self._questions.pop_unsent(),
            charged=tuple(charged),
        )
        self._unreported_limits = {}
        self._unreported_cold = {}
        self._uncharged = set()
        return report

    def _charges(
        self, server: InstanceId, *, with_permits: bool
    ) -> tuple[SendsCharged, ...]:
        now_s = asyncio.get_running_loop().time()
        sent = self._recent.by_age(server, now_s)
        unused = self._held.count(server, now_s) if with_permits else 0
        return (*sent, SendsCharged(server, unused)) if unused else sent

    async def _ask_leader(self, server: InstanceId, group: PermitGroup) -> float | None:
        """Return the time to wait, 0 for a permit, None without a decision."""
        try:
            return await self._questions.ask(
                lambda number: SendWanted(number, server, group), DECISION_TIMEOUT_S
            )
        except TimeoutError:
            return None

    def _apply(self, limit: ServerLimit, source: str) -> bool:
        server = limit.server
        had_limit = self.is_limited(server)
        if not self._limits.apply(limit, asyncio.get_running_loop().time()):
            return False
        if not had_limit:
            self._uncharged.add(server)
        elif not self.is_limited(server):
            self._uncharged.discard(server)
        log_limit_change(logger, limit, source)
        return True


def _group_of(admitted: AdmittedRequest) -> PermitGroup:
    return PermitGroup(admitted.workspace, admitted.priority.priority)
