"""What an entry host reports to the leader, and what it learns from it."""

import asyncio
from collections.abc import Callable

from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.rate_admission import RateAdmission
from damaskridge.adapters.gateway.room_requests import RoomRequests
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.gateway.stream_versions import StreamVersions
from damaskridge.core.gateway.host_count import MANY_HOSTS
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.prefill_log import PrefillLog
from damaskridge.model.follow import LoadSeen, ReportLoad
from damaskridge.model.gateway import InstanceId

__all__ = ["LeaderExchange"]

# Without updates for this long, what other hosts reported is dropped: their requests in
# flight have ended by then, or will soon.
STALE_S = 3.0
EMPTY_REPORT = ReportLoad()


class LeaderExchange:
    """
    Gathers the reports of a host, and distributes what the leader sends.

    Parameters
    ----------
    registry, load, quota : InstanceRegistry, LoadTracker, FleetQuota
        What the host knows of servers and of other hosts.
    crashes, permits, versions, rates, rooms, prefill_log : objects of the host
        Have something to tell or to ask the leader.
    host_count : callable
        Returns the number of hosts in the fleet.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        load: LoadTracker,
        quota: FleetQuota,
        crashes: CrashMonitor,
        permits: ServerPermits,
        versions: StreamVersions,
        rates: RateAdmission,
        rooms: RoomRequests,
        prefill_log: PrefillLog,
        host_count: Callable[[], int],
    ) -> None:
        self._registry = registry
        self._load = load
        self._quota = quota
        self._crashes = crashes
        self._permits = permits
        self._versions = versions
        self._rates = rates
        self._rooms = rooms
        self._prefill_log = prefill_log
        self._host_count = host_count
        self._reported_leaving: tuple[InstanceId, ...] = ()
        self._confirmed_s = float("-inf")

    def report(self, everything: bool) -> ReportLoad | None:
        """Return what the leader doesn't know yet, or None if there is nothing."""
        leaving = self._registry.notices.leaving()
        leaving_update = (
            leaving if everything or leaving != self._reported_leaving else ()
        )
        self._reported_leaving = leaving
        crashes = self._crashes.pop_report(everything=everything)
        permits = self._permits.pop_report(everything=everything)
        origins = self._versions.pop_report(everything=everything)
        outcomes, prefills = self._registry.pop_outcomes(), self._prefill_log.pop()
        is_large = self._host_count() >= MANY_HOSTS
        report = ReportLoad(
            load=self._load.pop_unreported(everything=everything),
            usage=self._quota.pop_unreported(),
            leaving=leaving_update,
            crashes=crashes.crashes,
            completed=crashes.completed,
            limits=permits.limits,
            sends_wanted=permits.wanted,
            sends_charged=permits.charged,
            origins=origins.origins,
            origins_wanted=origins.wanted,
            admissions_wanted=self._rates.pop_wanted(everything=everything),
            rooms_wanted=self._rooms.pop_wanted(),
            outcomes=outcomes if is_large else {},
            prefills=prefills if is_large else {},
            is_whole=everything,
        )
        return report if report != EMPTY_REPORT else None

    def on_load(self, message: LoadSeen) -> None:
        """Apply the load of other hosts and the decisions of the leader."""
        self.confirm()
        self._permits.on_limits(message.limits)
        self._permits.on_decisions(message.sends_decided)
        if message.software_versions is not None:
            self._versions.on_versions(message.software_versions)
        self._versions.on_decisions(message.origins_decided)
        self._rates.on_decisions(message.admissions_decided)
        if message.contended is not None:
            self._rates.contended = frozenset(message.contended)
        self._rooms.on_decisions(message.rooms_decided)
        if message.crowded is not None:
            self._rooms.crowded = frozenset(message.crowded)
        if message.failing is not None:
            self._registry.failing = frozenset(message.failing)
        if message.speeds is not None:
            self._load.speeds = message.speeds
        if not (message.load or message.usage or message.is_whole):
            # Such a message says nothing on what other hosts have admitted.
            return
        if message.is_whole:
            self._load.clear_remote_load()
        self._load.update_remote_load(message.load)
        self._quota.record_remote_usage(message.usage, _now_s())

    def confirm(self) -> None:
        """Record that the leader is connected, so that what it has sent is current."""
        self._confirmed_s = _now_s()

    def drop_stale(self) -> None:
        """Forget what the leader has sent that is not in force any more."""
        if _now_s() - self._confirmed_s > STALE_S:
            self._load.clear_remote_load()
            self._registry.failing = frozenset()
        if self._host_count() < MANY_HOSTS:
            # A new leader tells small fleets nothing that would replace this.
            self._registry.failing = frozenset()
            self._rates.contended = frozenset()
            self._rooms.crowded = frozenset()
            self._load.speeds = {}


def _now_s() -> float:
    return asyncio.get_running_loop().time()
