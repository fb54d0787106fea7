"""Decides on requests of contended workspaces for all entry hosts, on the leader."""

import logging
from collections.abc import Callable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.host_count import MANY_HOSTS
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.core.gateway.limits.rate_arbiter import RateArbiter
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import LoadSeen, ReportLoad
from damaskridge.model.gateway import RoutingTable
from damaskridge.model.rate_admissions import AdmissionDecided

__all__ = ["AdmissionPublisher"]

# Time until a new leader knows the levels of the buckets well enough to decide.
WARM_UP_S = 2.0
# Interval between two checks whether workspaces are still contended.
CHECK_PERIOD_S = 0.25

_log = logging.getLogger("damaskridge.control")


class AdmissionPublisher:
    """
    Tells entry hosts of contended workspaces, and answers their questions.

    Parameters
    ----------
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    state : ControlState
        The state machine of the control group, which holds the routing table.
    tolerance : float
        Tolerated admissions of all hosts together above a workspace's rate.
    """

    def __init__(
        self,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        state: ControlState,
        tolerance: float,
    ) -> None:
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._state = state
        self._tolerance = tolerance
        self._arbiter = RateArbiter(FleetQuota())
        self._table = RoutingTable()
        self._leading_since_s: float | None = None

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send the contended workspaces to a new subscriber."""
        subscriber.push(LoadSeen(contended=self._arbiter.contended))

    def handle_report(
        self, subscriber: Subscriber, host: str, message: ReportLoad
    ) -> None:
        """Deduct what a host has admitted, and decide on what it asks for."""
        if not self._is_leading():
            if message.admissions_wanted:
                # Hosts that are still connected must not wait for a decision.
                undecided = tuple(
                    AdmissionDecided(wanted.sequence, 0.0, is_undecided=True)
                    for wanted in message.admissions_wanted
                )
                subscriber.push(LoadSeen(admissions_decided=undecided))
            return
        now_s = anyio.current_time()
        self._begin_to_lead(now_s)
        if message.is_whole:
            self._arbiter.forget_host(host)
        if message.usage:
            self._arbiter.record_usage(host, message.usage, now_s)
        if message.admissions_wanted:
            decided = tuple(
                AdmissionDecided(
                    wanted.sequence,
                    self._arbiter.request(
                        host,
                        wanted.workspace,
                        cost=wanted.cost,
                        priority=wanted.priority,
                        now_s=now_s,
                    ),
                    self._arbiter.admitted_share(wanted.workspace),
                )
                for wanted in message.admissions_wanted
            )
            subscriber.push(LoadSeen(admissions_decided=decided))
        if message.usage or message.admissions_wanted:
            self._publish_contended(now_s)

    def clear(self) -> None:
        """Forget everything, when another host leads."""
        self._leading_since_s = None
        self._arbiter = RateArbiter(FleetQuota())

    async def run(self) -> None:
        """Tell hosts of workspaces that are no longer contended until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            if self._arbiter.contended and self._is_leading():
                self._publish_contended(anyio.current_time())

    def _begin_to_lead(self, now_s: float) -> None:
        """Start with empty buckets, and follow the routing table."""
        if self._leading_since_s is None:
            self._leading_since_s = now_s
            quota = FleetQuota.with_tolerance(self._tolerance, now_s)
            self._arbiter = RateArbiter(quota)
            self._table = RoutingTable()
        table = self._state.data.routing
        if table is not self._table:
            self._table = table
            self._arbiter.update_limits(table.workspaces, now_s)

    def _publish_contended(self, now_s: float) -> None:
        since_s = self._leading_since_s
        if since_s is None or now_s < since_s + WARM_UP_S:
            return
        is_large = len(self._subscribers.open_subscribers()) >= MANY_HOSTS
        if self._arbiter.update_contended(now_s, is_large=is_large):
            contended = self._arbiter.contended
            self._subscribers.broadcast(LoadSeen(contended=contended))
            log_event(
                _log, EventNumber.WORKSPACES_CONTENDED, workspaces=list(contended)
            )
