"""Hands what entry hosts report of their load to the others, on the leader."""

import logging
from collections.abc import Callable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.followers import Follower, FollowerSet
from damaskridge.core.gateway.crash_tracker import CrashTracker
from damaskridge.core.gateway.host_selection import HostDemand
from damaskridge.core.gateway.load_aggregator import LoadAggregator
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
LOAD_HOST_S = 0.002
# Hosts without requests only hear what others admitted, so that a workspace's bucket is
# known there when a request comes.
LOAD_IDLE_PERIOD_S = 2.0
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
    followers : FollowerSet
        The open streams of the hosts.
    leads : callable
        Whether this host leads.
    data_centre_of : callable
        Returns the data centre of a host; None if it has no session.

    Attributes
    ----------
    board : LoadAggregator
        What all hosts have in flight.
    """

    def __init__(
        self,
        followers: FollowerSet,
        leads: Callable[[], bool],
        data_centre_of: Callable[[str], str | None],
    ) -> None:
        self.board = LoadAggregator()
        self._followers = followers
        self._leads = leads
        self._data_centre_of = data_centre_of
        self._hosts: dict[Follower, str] = {}
        self._reported = anyio.Event()
        self._crashes = CrashTracker()
        self._needed: dict[str, int] = {}

    def join(self, follower: Follower, host: str) -> None:
        """Add the stream of a host, and tell it what it has missed."""
        now_s = anyio.current_time()
        self.board.join(follower, now_s)
        self._hosts[follower] = host
        if self._needed:
            follower.push(HostsNeeded(by_data_centre=self._needed))
        crashes = self._crashes.recent_crashes(now_s)
        if crashes:
            follower.push(CrashesSeen(crashes=crashes))

    def leave(self, follower: Follower) -> None:
        """Remove a stream."""
        self.board.leave(follower)
        self._hosts.pop(follower, None)

    def report(self, follower: Follower, message: ReportLoad) -> None:
        """Take over a report."""
        now_s = anyio.current_time()
        self.board.report(follower, message, now_s)
        self._reported.set()
        if message.crashes:
            self._crashes.on_report(message.crashes, now_s)
            self._followers.notify(CrashesSeen(crashes=message.crashes))

    async def run(self) -> None:
        """Publish for ever."""
        # Hosts that forward no requests report none.
        await self._reported.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(self._publish_load)
            group.start_soon(self._publish_needed)

    async def _publish_load(self) -> None:
        idle_told_s = float("-inf")
        while True:
            now_s = anyio.current_time()
            tells_idle = now_s - idle_told_s >= LOAD_IDLE_PERIOD_S
            if tells_idle:
                idle_told_s = now_s
            for follower in self._followers.open():
                if tells_idle or self.board.is_active(follower, now_s):
                    next_update = self.board.next_update(follower, now_s)
                    if next_update is not None:
                        follower.push(next_update)
            active_count = self.board.active_count(now_s)
            await anyio.sleep(max(LOAD_PERIOD_S, active_count * LOAD_HOST_S))

    async def _publish_needed(self) -> None:
        demand, leading_since_s = HostDemand(), None
        while True:
            now_s = anyio.current_time()
            if not self._leads():
                demand, leading_since_s, self._needed = HostDemand(), None, {}
            elif leading_since_s is None:
                leading_since_s = now_s
            elif now_s - leading_since_s >= DEMAND_WARM_UP_S:
                self._say_needed(demand.hosts_needed(self._load(), now_s))
            await anyio.sleep(DEMAND_PERIOD_S)

    def _say_needed(self, needed: dict[str, int]) -> None:
        if needed != self._needed:
            self._needed = needed
            self._followers.notify(HostsNeeded(by_data_centre=needed))
            log_event(_log, EventNumber.HOSTS_NEEDED, hosts=needed)

    def _load(self) -> dict[str, list[InstanceLoad]]:
        """Return what the hosts of each data centre have in flight."""
        load: dict[str, list[InstanceLoad]] = {}
        for follower, host in self._hosts.items():
            data_centre = self._data_centre_of(host)
            if data_centre is not None:
                items = load.setdefault(data_centre, [])
                items += self.board.load_of(follower).values()
        return load
