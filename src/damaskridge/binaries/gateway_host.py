"""Wiring and life cycle of an entry host that forwards opaque requests."""

import asyncio
import logging
import random
import secrets
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from result import Err

from damaskridge.adapters.gateway.app import GatewayApp, GatewayState
from damaskridge.adapters.gateway.calls import CallForwarder
from damaskridge.adapters.gateway.dialect import Dialect
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.streams import StreamForwarder
from damaskridge.adapters.http.operators_app import operators_app
from damaskridge.adapters.observability.event_metrics import install_event_metrics
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.adapters.rpc.control_client import ControlClient
from damaskridge.adapters.rpc.instance_publisher import InstanceListReader
from damaskridge.binaries.http_server import HttpServer
from damaskridge.core.gateway.crash_tracker import CrashTracker
from damaskridge.core.gateway.host_count import PeakHostCount
from damaskridge.core.gateway.host_retry_budget import HostRetryBudget
from damaskridge.core.gateway.host_selection import select_hosts
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.core.gateway.quota import FleetQuota
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.routing import RoutingIndex
from damaskridge.core.state.fleet_queries import caller_addresses_for, live_sessions
from damaskridge.model.control import (
    CrashesSeen,
    HostsNeeded,
    InstancesSeen,
    LoadSeen,
    ReportLoad,
)
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import (
    BackendInstance,
    InstanceId,
    RoutingTable,
)

__all__ = ["GatewayHost", "GatewaySettings"]

logger = logging.getLogger(__name__)

PRUNE_S = 1.0
# What others had in flight has ended by then, or will soon.
LOAD_STALE_S = 3.0
# A leader is replaced within a second; after that a host reads the list by itself.
LIST_STALE_S = 2.5
LIST_PERIOD_S = 2.0
# So many hosts may read the list by themselves in one second.
LIST_READERS_PER_S = 8.0
# Part of the operator's tolerance that a workspace may use at once. The rest covers
# what hosts admit before they hear of each other.
QUOTA_SLACK_SHARE = 0.35
# Part of it by which small requests may overdraw a workspace's bucket.
SMALL_SLACK_SHARE = 0.35
# The rest covers arrivals that servers see and this host does not, such as those of a
# request that it gave up.
RETRY_SHARE = 0.9
# With fewer hosts in a data centre its callers also get those of the others.
LEAST_LOCAL_HOSTS = 2
DRAIN_PROPOSAL_S = 1.5
CLOSE_TIMEOUT_S = 0.3
# Some callers keep an answer three times as long as they are told.
TTL_FACTOR = 3.0
# A request that was sent with the last moment of an address answer.
LATE_REQUEST_S = 0.4
# Streams are finished before the operating system kills the process.
GRACE_MARGIN_S = 0.7


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """
    What a gateway is told at its start.

    Parameters
    ----------
    host, data_centre : str
        This host and where it stands.
    caller_address, peer_address : str
        ``ip:port`` for callers and for other hosts.
    control_addresses : tuple of str
        RPC addresses of control hosts.
    address_ttl_s : float
        How long callers may keep an address answer.
    grace_s : float
        Time from SIGTERM until the process is killed.
    retry_ratio, retry_allowance, retry_window_s : float
        Additional sends of all hosts: share of requests, fixed number, window.
    quota_slack : float
        Admissions of all hosts beyond a workspace's rate that are tolerated.
    """

    host: str
    data_centre: str
    caller_address: str
    peer_address: str
    control_addresses: tuple[str, ...]
    address_ttl_s: float
    grace_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    quota_slack: float


class GatewayHost:
    """
    All parts of one entry host that forwards requests.

    Parameters
    ----------
    settings : GatewaySettings
        The settings.
    dialect : Dialect
        What callers and backend servers speak.
    list_reader : InstanceListReader
        The list of backend servers, read only while no leader sends it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        list_reader: InstanceListReader,
    ) -> None:
        self.settings = settings
        self._list_reader = list_reader
        rng = random.Random(secrets.randbits(64))
        incarnation = (time.time_ns() // 1_000_000 << 16) | secrets.randbits(16)
        self.control = ControlClient(
            control_addresses=settings.control_addresses,
            host=settings.host,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
        )
        self.state = GatewayState(RoutingIndex(RoutingTable()))
        self.registry = InstanceRegistry()
        self._pool = ConnectionPool()
        self._crashes = CrashTracker()
        self._copy = InstanceListReplica()
        self._host_count = PeakHostCount()
        self._used_count = PeakHostCount()
        self._hosts_needed: dict[str, int] = {}
        self._retries = HostRetryBudget(
            RETRY_SHARE * settings.retry_ratio,
            RETRY_SHARE * settings.retry_allowance,
            settings.retry_window_s,
            started_s=anyio.current_time(),
        )
        self._load = LoadTracker(rng)
        self._quota = FleetQuota(
            QUOTA_SLACK_SHARE * settings.quota_slack,
            SMALL_SLACK_SHARE * settings.quota_slack,
            started_s=anyio.current_time(),
        )
        self._load_heard_s = float("-inf")
        self._reported_leaving: tuple[InstanceId, ...] = ()
        refusals = RetryAfterTimes(rng)
        gate = RetryGate(self._retries)
        sender = Sender(dialect, self._pool, self.registry, self._crashes, gate)
        shared: dict[str, Any] = {
            "sender": sender,
            "registry": self.registry,
            "load": self._load,
            "data_centre": settings.data_centre,
            "gate": gate,
            "refusals": refusals,
        }
        app = GatewayApp(
            state=self.state,
            dialect=dialect,
            calls=CallForwarder(**shared),
            streams=StreamForwarder(dialect=dialect, **shared),
            quota=self._quota,
            refusals=refusals,
            crashes=self._crashes,
            rng=rng,
            on_request=self._earn,
        )
        self.caller_server = HttpServer(app)
        self.metrics = self._metrics()
        self.control.on_change(lambda _: self._fleet_changed())
        self.control.on_instances(self._instances_seen)
        self.control.on_hosts_needed(self._hosts_needed_changed)
        self.control.on_crashes(self._crashes_seen)
        self.control.share_load(self._load_report, self._load_seen)

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.state.index.table.version > 0 and not self.state.is_draining

    def addresses(self, data_centre: str) -> list[str]:
        """Return the addresses that callers in a data centre should use."""
        fleet = self.control.fleet
        local = {
            session.host: session.caller_address
            for session in live_sessions(fleet)
            if session.data_centre == data_centre
        }
        if len(local) < LEAST_LOCAL_HOSTS:
            return caller_addresses_for(fleet, data_centre)
        needed = self._hosts_needed.get(data_centre, len(local))
        return [local[host] for host in select_hosts(list(local), needed)]

    def operators_app(self) -> Any:
        """Return the application that serves the metrics."""
        return operators_app(self.metrics, self.is_ready)

    async def run(
        self,
        caller: socket.socket,
        serve_others: Callable[[anyio.abc.TaskGroup], None],
    ) -> None:
        """
        Serve until SIGTERM or SIGINT, then drain.

        Parameters
        ----------
        caller : socket.socket
            Where callers connect.
        serve_others : callable
            Starts what else the process serves, in the task group that it is given.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.control.run)
            group.start_soon(self._prune)
            group.start_soon(self._keep_list)
            callers_stopped = anyio.Event()
            group.start_soon(self._serve_callers, caller, callers_stopped)
            serve_others(group)
            log_event(logger, EventNumber.PROCESS_READY, host=self.settings.host)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
                await self._drain(callers_stopped)
            group.cancel_scope.cancel()
        self._pool.close()

    async def _serve_callers(self, listener: socket.socket, done: anyio.Event) -> None:
        await self.caller_server.run_on(listener)
        done.set()

    async def _drain(self, callers_stopped: anyio.Event) -> None:
        settings = self.settings
        log_event(logger, EventNumber.PROCESS_DRAINING, host=settings.host)
        started_s = anyio.current_time()
        self.state.is_draining = True
        with anyio.move_on_after(DRAIN_PROPOSAL_S):
            await self.control.begin_drain()
        keep_s = TTL_FACTOR * settings.address_ttl_s + LATE_REQUEST_S
        await anyio.sleep(max(0.0, started_s + keep_s - anyio.current_time()))
        self.caller_server.stop()
        left_s = started_s + settings.grace_s - GRACE_MARGIN_S - anyio.current_time()
        with anyio.move_on_after(max(0.0, left_s)):
            await callers_stopped.wait()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.control.close()

    def _hosts_needed_changed(self, message: HostsNeeded) -> None:
        self._hosts_needed = message.by_data_centre
        self._count_hosts()

    def _count_hosts(self) -> None:
        """Count the hosts, and those that callers are sent to."""
        now_s = anyio.current_time()
        names: dict[str, list[str]] = {}
        for session in live_sessions(self.control.fleet):
            names.setdefault(session.data_centre, []).append(session.host)
        used = {
            host
            for data_centre, hosts in names.items()
            for host in select_hosts(
                hosts, self._hosts_needed.get(data_centre, len(hosts))
            )
        }
        every = self._host_count.update(sum(map(len, names.values())), now_s)
        used_count = self._used_count.update(len(used), now_s)
        self.state.hosts = every
        self._retries.set_host_counts(
            hosts=every,
            selected_hosts=used_count,
            is_selected=self.settings.host in used,
        )

    def _fleet_changed(self) -> None:
        fleet = self.control.fleet
        self._count_hosts()
        table = fleet.routing
        if table.version == self.state.index.table.version:
            return
        self.state.index = RoutingIndex(table)
        self._quota.update_limits(table.workspaces, anyio.current_time())
        limits = table.limits
        self.caller_server.limit(
            max_header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        )
        log_event(
            logger,
            EventNumber.ROUTING_IN_FORCE,
            version=table.version,
            routes=len(table.routes),
        )

    def _load_report(self, everything: bool) -> ReportLoad | None:
        load = self._load.pop_unreported(everything=everything)
        usage = self._quota.pop_unreported()
        leaving = self.registry.notices.leaving()
        news = leaving if everything or leaving != self._reported_leaving else ()
        self._reported_leaving = leaving
        crashes = self._crashes.pop_unreported()
        if not (load or usage or news or crashes):
            return None
        return ReportLoad(load=load, usage=usage, leaving=news, crashes=crashes)

    def _crashes_seen(self, message: CrashesSeen) -> None:
        self._crashes.on_report(message.crashes, anyio.current_time())

    def _load_seen(self, message: LoadSeen) -> None:
        now_s = anyio.current_time()
        self._load_heard_s = now_s
        if message.is_whole:
            self._load.clear_remote_load()
        self._load.update_remote_load(message.load)
        self._quota.record_remote_usage(message.usage, now_s)

    def _instances_seen(self, message: InstancesSeen) -> None:
        now_s = anyio.current_time()
        # The leader speaks, so that no news of the others' load means no change.
        self._load_heard_s = now_s
        self._quota.on_report(now_s)
        if self._copy.apply(message, now_s):
            self._use_list(self._copy.items)

    def _use_list(self, instances: tuple[BackendInstance, ...]) -> None:
        for gone in self.registry.replace(instances):
            self._pool.close_idle(gone)
            self._crashes.record_lost_server(gone.instance_id, anyio.current_time())
        self.registry.confirmed_s = self._copy.confirmed_s

    async def _keep_list(self) -> None:
        """Read the list here while no leader sends it."""
        while True:
            period_s = max(LIST_PERIOD_S, self.state.hosts / LIST_READERS_PER_S)
            if anyio.current_time() - self._copy.confirmed_s > LIST_STALE_S:
                await self._read_list()
            await anyio.sleep(period_s * random.uniform(0.7, 1.3))

    async def _read_list(self) -> None:
        listed = await self._list_reader.read()
        if isinstance(listed, Err):
            log_event(logger, EventNumber.INSTANCE_LIST_FAILED, reason=listed.err_value)
            return
        self._copy.replace(listed.ok_value.instances, anyio.current_time())
        self._use_list(self._copy.items)

    async def _prune(self) -> None:
        while True:
            await anyio.sleep(PRUNE_S)
            self._pool.prune()
            if anyio.current_time() - self._load_heard_s > LOAD_STALE_S:
                self._load.clear_remote_load()

    def _earn(self, service: str) -> None:
        self._retries.earn(service, anyio.current_time())

    def _metrics(self) -> Metrics:
        metrics = Metrics()
        install_event_metrics(metrics)
        state = self.state
        metrics.add_gauge(
            "requests_running", "Requests now", lambda: state.running_requests
        )
        metrics.add_gauge(
            "routing_version", "Version in force", lambda: state.index.table.version
        )
        metrics.add_gauge(
            "instance_list_age_seconds",
            "Age of the list of backend servers",
            lambda: asyncio.get_running_loop().time() - self._copy.confirmed_s,
        )
        return metrics
