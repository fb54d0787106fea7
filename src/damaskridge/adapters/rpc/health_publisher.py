"""Tells entry hosts which backend servers fail many of them, on the leader."""

import logging
from collections.abc import Callable, Iterable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.fleet_health import FleetHealth
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import LoadSeen, ReportLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["HealthPublisher"]

# Interval between two checks. A shorter one would make the leader compare all servers
# after nearly every report.
CHECK_PERIOD_S = 0.1

_log = logging.getLogger("damaskridge.control")


class HealthPublisher:
    """
    Collects outcomes of requests, and publishes which servers are failing.

    Parameters
    ----------
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    instances : callable
        Returns the listed servers.
    """

    def __init__(
        self,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        instances: Callable[[], Iterable[BackendInstance]],
    ) -> None:
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._instances = instances
        self._health = FleetHealth()

    @property
    def failing(self) -> frozenset[str]:
        """Names of the failing servers."""
        return frozenset(self._health.failing)

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send the failing servers to a new subscriber."""
        subscriber.push(LoadSeen(failing=self._health.failing))

    def handle_report(self, host: str, message: ReportLoad) -> None:
        """Record what a host has reported."""
        if message.outcomes and self._is_leading():
            self._health.record(host, message.outcomes, anyio.current_time())

    def clear(self) -> None:
        """Forget everything, when another host leads."""
        self._health = FleetHealth()

    async def run(self) -> None:
        """Publish changes until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            if self._is_leading():
                self._publish()

    def _publish(self) -> None:
        kinds = {
            item.instance: (item.service, item.stage) for item in self._instances()
        }
        if self._health.update(kinds.get, anyio.current_time()):
            failing = self._health.failing
            self._subscribers.broadcast(LoadSeen(failing=failing))
            log_event(_log, EventNumber.SERVERS_FAILING, backend_servers=list(failing))
