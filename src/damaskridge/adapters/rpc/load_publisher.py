"""Collects load reports of entry hosts on the leader and sends them to the others."""

import logging
from collections.abc import Callable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.host_selection import HostDemand
from damaskridge.core.gateway.load_aggregator import LoadAggregator
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import HostsNeeded, InstanceLoad, ReportLoad

__all__ = ["LoadPublisher"]

# A host doesn't know of the load that arrives at other hosts in this time, so that a
# longer period makes placements worse.
LOAD_PERIOD_S = 0.04
# Limits the leader's work for load reports to a fifth of a CPU core.
LOAD_PERIOD_PER_HOST_S = 0.002
# Hosts without requests receive updates less often: they only need to know what others
# admitted, so that the level of a workspace's bucket is known when a request arrives.
IDLE_LOAD_PERIOD_S = 2.0
# Short enough for a burst, which doubles the load within a second.
DEMAND_PERIOD_S = 0.5
# Longer than hosts take to find a new leader and to report their load.
DEMAND_WARM_UP_S = 3.0

_log = logging.getLogger("damaskridge.control")


class LoadPublisher:
    """
    Publishes the load and the number of hosts needed, from load reports.

    Parameters
    ----------
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    data_centre_of : callable
        Returns the data centre of a host; None if it has no session.

    Attributes
    ----------
    load_aggregator : LoadAggregator
        The load of all entry hosts.
    """

    def __init__(
        self,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        data_centre_of: Callable[[str], str | None],
    ) -> None:
        self.load_aggregator = LoadAggregator()
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._data_centre_of = data_centre_of
        self._hosts: dict[Subscriber, str] = {}
        self._first_report_received = anyio.Event()
        self._hosts_needed: dict[str, int] = {}

    def add_subscriber(self, subscriber: Subscriber, host: str) -> None:
        """Add a host's stream; send it the hosts needed."""
        now_s = anyio.current_time()
        self.load_aggregator.join(subscriber, now_s)
        self._hosts[subscriber] = host
        if self._hosts_needed:
            subscriber.push(HostsNeeded(by_data_centre=self._hosts_needed))

    def remove_subscriber(self, subscriber: Subscriber) -> None:
        """Remove a host's stream and its load."""
        self.load_aggregator.leave(subscriber)
        self._hosts.pop(subscriber, None)

    def handle_report(self, subscriber: Subscriber, message: ReportLoad) -> None:
        """Record a load report."""
        now_s = anyio.current_time()
        self.load_aggregator.report(subscriber, message, now_s)
        self._first_report_received.set()

    async def run(self) -> None:
        """Publish until cancelled."""
        # In fleets whose entry hosts don't report load there is nothing to publish.
        await self._first_report_received.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(self._publish_load)
            group.start_soon(self._publish_hosts_needed)

    async def _publish_load(self) -> None:
        last_idle_update_s = float("-inf")
        while True:
            now_s = anyio.current_time()
            includes_idle = now_s - last_idle_update_s >= IDLE_LOAD_PERIOD_S
            if includes_idle:
                last_idle_update_s = now_s
            for subscriber in self._subscribers.open_subscribers():
                if includes_idle or self.load_aggregator.is_active(subscriber, now_s):
                    next_update = self.load_aggregator.next_update(subscriber, now_s)
                    if next_update is not None:
                        subscriber.push(next_update)
            active_count = self.load_aggregator.active_count(now_s)
            await anyio.sleep(max(LOAD_PERIOD_S, active_count * LOAD_PERIOD_PER_HOST_S))

    async def _publish_hosts_needed(self) -> None:
        demand, leading_since_s = HostDemand(), None
        while True:
            now_s = anyio.current_time()
            if not self._is_leading():
                demand, leading_since_s, self._hosts_needed = HostDemand(), None, {}
            elif leading_since_s is None:
                leading_since_s = now_s
            elif now_s - leading_since_s >= DEMAND_WARM_UP_S:
                self._set_hosts_needed(
                    demand.hosts_needed(self._load_by_data_centre(), now_s)
                )
            await anyio.sleep(DEMAND_PERIOD_S)

    def _set_hosts_needed(self, by_data_centre: dict[str, int]) -> None:
        if by_data_centre != self._hosts_needed:
            self._hosts_needed = by_data_centre
            self._subscribers.broadcast(HostsNeeded(by_data_centre=by_data_centre))
            log_event(_log, EventNumber.HOSTS_NEEDED, hosts=by_data_centre)

    def _load_by_data_centre(self) -> dict[str, list[InstanceLoad]]:
        """Return the load of the hosts in each data centre."""
        load: dict[str, list[InstanceLoad]] = {}
        for subscriber, host in self._hosts.items():
            data_centre = self._data_centre_of(host)
            if data_centre is not None:
                items = load.setdefault(data_centre, [])
                items += self.load_aggregator.load_of(subscriber).values()
        return load
