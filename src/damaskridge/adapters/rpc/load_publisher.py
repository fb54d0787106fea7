"""Hands what entry hosts report of their load to the others, on the leader."""

import logging
from collections.abc import Callable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.crash_watch import CrashWatch
from damaskridge.core.gateway.host_choice import HostDemand
from damaskridge.core.gateway.load_board import LoadBoard
from damaskridge.model.control import (
    CrashesSeen,
    HostsNeeded,
    InstanceLoad,
    ReportLoad,
)
from damaskridge.model.events import EventNumber

__all__ = ["LoadPublisher"]

# A placement is wrong by what arrives in this time.
LOAD_PERIOD_S = 0.04
# Keeps the leader's work for load reports below a fifth of a core.
LOAD_PERIOD_PER_HOST_S = 0.002
# Hosts without requests only hear what others admitted, so that a workspace's bucket is
# known there when a request comes.
IDLE_LOAD_PERIOD_S = 2.0
# A burst doubles the load within a second.
DEMAND_PERIOD_S = 0.5
# Longer than hosts take to find a new leader and to report.
DEMAND_WARM_UP_S = 3.0

_log = logging.getLogger("damaskridge.control")


class LoadPublisher:
    """
    The reports of all hosts and what follows from them.

    Parameters
    ----------
    followers : SubscriberSet
        The open streams of the hosts.
    leads : callable
        Whether this host leads.
    data_centre_of : callable
        Returns the data centre of a host; None if it has no session.

    Attributes
    ----------
    board : LoadBoard
        What all hosts have in flight.
    """

    def __init__(
        self,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        data_centre_of: Callable[[str], str | None],
    ) -> None:
        self.board = LoadBoard()
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._data_centre_of = data_centre_of
        self._hosts: dict[Subscriber, str] = {}
        self._first_report_received = anyio.Event()
        self._crash_tracker = CrashWatch()
        self._hosts_needed: dict[str, int] = {}

    def add_subscriber(self, subscriber: Subscriber, host: str) -> None:
        """Add the stream of a host, and tell it what it has missed."""
        now_s = anyio.current_time()
        self.board.join(subscriber, now_s)
        self._hosts[subscriber] = host
        if self._hosts_needed:
            subscriber.push(HostsNeeded(by_data_centre=self._hosts_needed))
        crashes = self._crash_tracker.recent(now_s)
        if crashes:
            subscriber.push(CrashesSeen(crashes=crashes))

    def remove_subscriber(self, subscriber: Subscriber) -> None:
        """Remove a stream."""
        self.board.leave(subscriber)
        self._hosts.pop(subscriber, None)

    def handle_report(self, subscriber: Subscriber, message: ReportLoad) -> None:
        """Take over a report."""
        now_s = anyio.current_time()
        self.board.report(subscriber, message, now_s)
        self._first_report_received.set()
        if message.crashes:
            self._crash_tracker.heard(message.crashes, now_s)
            self._subscribers.broadcast(CrashesSeen(crashes=message.crashes))

    async def run(self) -> None:
        """Publish for ever."""
        # Hosts that forward no requests report none.
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
            for subscriber in self._subscribers.open_streams():
                if includes_idle or self.board.is_active(subscriber, now_s):
                    news = self.board.news(subscriber, now_s)
                    if news is not None:
                        subscriber.push(news)
            active = self.board.active(now_s)
            await anyio.sleep(max(LOAD_PERIOD_S, active * LOAD_PERIOD_PER_HOST_S))

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
        """Return what the hosts of each data centre have in flight."""
        load: dict[str, list[InstanceLoad]] = {}
        for subscriber, host in self._hosts.items():
            data_centre = self._data_centre_of(host)
            if data_centre is not None:
                items = load.setdefault(data_centre, [])
                items += self.board.load_of(subscriber).values()
        return load
