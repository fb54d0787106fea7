"""Tells entry hosts how fast engines prefill, on the leader."""

import logging
from collections.abc import Callable, Iterable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.placement.engine_speeds import EngineSpeeds
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import LoadSeen, ReportLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["SpeedPublisher"]

# Interval between two estimates. Engines keep their speed, so that hosts learn soon
# enough of one that has just started.
CHECK_PERIOD_S = 1.0

_log = logging.getLogger("damaskridge.control")


class SpeedPublisher:
    """
    Collects how long prefills take, and publishes the relative speeds of engines.

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
        self._speeds = EngineSpeeds()
        # Services of the listed engines, as of the last estimate.
        self._services: dict[str, str] = {}

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send the speeds to a new subscriber, unless this leader knows none yet."""
        if self._speeds.speeds:
            subscriber.push(LoadSeen(speeds=self._speeds.speeds))

    def handle_report(self, message: ReportLoad) -> None:
        """Record what a host has reported."""
        if message.prefills and self._is_leading():
            for engine, prefills in message.prefills.items():
                service = self._services.get(engine)
                if service is not None:
                    self._speeds.record(engine, service, prefills)

    def clear(self) -> None:
        """Forget everything, when another host leads."""
        self._speeds = EngineSpeeds()

    async def run(self) -> None:
        """Publish changes until cancelled."""
        while True:
            if self._is_leading():
                self._publish()
            await anyio.sleep(CHECK_PERIOD_S)

    def _publish(self) -> None:
        self._services = {
            item.instance: item.service
            for item in self._instances()
            if item.stage is not None
        }
        if self._speeds.update(self._services.get):
            speeds = self._speeds.speeds
            self._subscribers.broadcast(LoadSeen(speeds=speeds))
            log_event(_log, EventNumber.ENGINE_SPEEDS, speeds=speeds)
