"""Assembly and life cycle of an entry host that forwards opaque requests."""

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
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.dialect import Dialect
from damaskridge.adapters.gateway.handover import PeerHandover, PeerService
from damaskridge.adapters.gateway.host_probes import HostProbes
from damaskridge.adapters.gateway.leader_exchange import LeaderExchange
from damaskridge.adapters.gateway.list_refresh import ListRefresh
from damaskridge.adapters.gateway.plain_streams import PlainStreamForwarder
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.gateway.rate_admission import RateAdmission
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.room_requests import RoomRequests
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.gateway.server_probes import ServerProbes
from damaskridge.adapters.gateway.stream_versions import StreamVersions
from damaskridge.adapters.gateway.streams import StreamForwarder
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_client import ControlClient
from damaskridge.adapters.rpc.instance_publisher import InstanceListReader
from damaskridge.binaries.gateway_operators import OperatorsView
from damaskridge.binaries.http_server import LATE_REQUEST_S, HttpServer, listen
from damaskridge.core.gateway.crashes.crash_tracker import CrashReport
from damaskridge.core.gateway.host_count import PeakHostCount
from damaskridge.core.gateway.host_presence import HostPresence
from damaskridge.core.gateway.host_retry_budget import HostRetryBudget
from damaskridge.core.gateway.host_selection import select_hosts
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.limits.cold_servers import cold_limits
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.core.gateway.peer_choice import PeerChoice
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.prefill_log import PrefillLog
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.routing import RoutingIndex
from damaskridge.core.state.fleet_queries import caller_addresses, live_sessions
from damaskridge.model.control import Session
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import (
    CrashesSeen,
    HostsNeeded,
    InstancesSeen,
    LoadSeen,
)
from damaskridge.model.gateway import (
    BackendInstance,
    InstanceList,
    RoutingTable,
)

__all__ = ["GatewayHost", "GatewaySettings"]

logger = logging.getLogger(__name__)

PRUNE_INTERVAL_S = 1.0
# Share of the permitted retries that hosts use. The rest covers arrivals that servers
# count and this host does not, such as those of a request that it abandoned.
RETRY_SHARE = 0.9
# With fewer hosts in a data centre, its callers also get hosts of other data centres.
MIN_LOCAL_HOSTS = 2
DRAIN_PROPOSAL_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 0.3
# Some callers cache the list of addresses for three times its time to live.
ADDRESS_TTL_FACTOR = 3.0
# Open streams end this long before the operating system kills the process.
GRACE_MARGIN_S = 0.7
# Time to write the last responses.
END_REQUESTS_TIMEOUT_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """
    Settings of a gateway host.

    Parameters
    ----------
    host, data_centre : str
        Name and data centre of this host.
    caller_address, peer_address : str
        ``ip:port`` for callers and for other hosts.
    control_addresses : tuple of str
        RPC addresses of control hosts.
    address_ttl_s : float
        Time for which callers may cache the list of addresses.
    grace_s : float
        Time from SIGTERM until the process is killed.
    server_drain_s : float
        For how long a backend server may get requests after it is listed as leaving.
    list_calls_per_s : float
        Limit of calls to the list of backend servers, over all hosts together.
    retry_ratio, retry_allowance, retry_window_s : float
        Limit of retries of all hosts together: as a share of the requests, plus a
        fixed number, in a time window.
    quota_slack : float
        Tolerated admissions of all hosts together above a workspace's rate.
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
    server_drain_s: float = 0.0
    list_calls_per_s: float = 10.0


class GatewayHost:
    """
    The components of one entry host that forwards requests.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the host.
    dialect : Dialect
        Protocol of callers and backend servers.
    list_reader : InstanceListReader
        Reads the list of backend servers, used only while no leader sends it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        list_reader: InstanceListReader,
    ) -> None:
        self.settings = settings
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
        self.registry = InstanceRegistry(drain_s=settings.server_drain_s)
        self._probes = ServerProbes(self.registry, rng)
        self._pool = ConnectionPool(self._probes)
        self._instance_list = InstanceListReplica()
        self._list_refresh = ListRefresh(
            list_reader,
            self._instance_list,
            calls_per_s=settings.list_calls_per_s,
            host_count=lambda: self.state.hosts,
            on_read=self._on_list_read,
        )
        self._has_known_servers = False
        self._presence = HostPresence()
        self._host_probes = HostProbes(self._presence, self._other_sessions)
        self._host_count = PeakHostCount()
        self._selected_host_count = PeakHostCount()
        self._hosts_needed: dict[str, int] = {}
        self._retries = HostRetryBudget(
            RETRY_SHARE * settings.retry_ratio,
            RETRY_SHARE * settings.retry_allowance,
            settings.retry_window_s,
            started_s=anyio.current_time(),
        )
        self._load = LoadTracker(rng)
        self._quota = FleetQuota.with_tolerance(
            settings.quota_slack, anyio.current_time()
        )
        self._rate_admission = RateAdmission(
            self._quota, self.control.request_report, lambda: self.state.hosts, rng
        )
        refusals = RetryAfterTimes(rng)
        self._crashes = CrashMonitor(refusals, self.control.request_report)
        gate = RetryGate(self._retries)
        self._permits = ServerPermits(
            self.registry.limits,
            self.control.request_report,
            lambda: self.state.index.services,
        )
        self._versions = StreamVersions(self.control.request_report)
        self._rooms = RoomRequests(self.control.request_report)
        prefill_log = PrefillLog()
        self._exchange = LeaderExchange(
            registry=self.registry,
            load=self._load,
            quota=self._quota,
            crashes=self._crashes,
            permits=self._permits,
            versions=self._versions,
            rates=self._rate_admission,
            rooms=self._rooms,
            prefill_log=prefill_log,
            host_count=lambda: self.state.hosts,
        )
        sender = Sender(
            dialect, self._pool, self.registry, self._crashes, gate, self._permits
        )
        shared: dict[str, Any] = {
            "sender": sender,
            "registry": self.registry,
            "load": self._load,
            "data_centre": settings.data_centre,
            "gate": gate,
            "refusals": refusals,
            "permits": self._permits,
            "crashes": self._crashes,
        }
        app_parts: dict[str, Any] = {
            "state": self.state,
            "dialect": dialect,
            "calls": CallForwarder(**shared),
            "plain_streams": PlainStreamForwarder(versions=self._versions, **shared),
            "streams": StreamForwarder(
                dialect=dialect,
                versions=self._versions,
                rooms=self._rooms,
                prefill_log=prefill_log,
                **shared,
            ),
            "rates": self._rate_admission,
            "refusals": refusals,
            "crashes": self._crashes,
            "rng": rng,
            "on_request": self._record_request,
        }
        self.handover = PeerHandover(
            dialect=dialect,
            probes=self._probes,
            choice=PeerChoice(settings.data_centre, rng),
            sessions=self._present_peers,
            refusals=refusals,
        )
        self.caller_server = HttpServer(GatewayApp(handover=self.handover, **app_parts))
        peer_service = PeerService(self._probes, lambda: self.state.is_draining)
        self._peers_stopped = anyio.Event()
        self._peer_server = HttpServer(GatewayApp(handover=peer_service, **app_parts))
        self._operators = OperatorsView(
            host=settings.host,
            data_centre=settings.data_centre,
            state=self.state,
            registry=self.registry,
            load=self._load,
            quota=self._quota,
            rates=self._rate_admission,
            rooms=self._rooms,
            permits=self._permits,
            probes=self._probes,
            handover=self.handover,
            instance_list=self._instance_list,
        )
        self.control.on_leader_seen(
            lambda: self._presence.record_leader(anyio.current_time())
        )
        self.control.on_change(lambda _: self._on_fleet_change())
        self.control.on_instances(self._on_instances)
        self.control.on_hosts_needed(self._on_hosts_needed)
        self.control.on_crashes(self._on_crashes)
        self.control.share_load(self._exchange.report, self._on_load)

    def is_ready(self) -> bool:
        """Return whether the host can serve callers, and is not draining."""
        return (
            self.state.index.table.version > 0
            and not self.state.is_draining
            and self._knows_servers()
        )

    def _knows_servers(self) -> bool:
        """Return whether the host has had a list of which all engines may be used."""
        listed = self._instance_list
        may_use_all = listed.is_complete and all(map(self._may_use, listed.items))
        if listed.items and may_use_all:
            self._has_known_servers = True
        return self._has_known_servers or may_use_all

    def _may_use(self, instance: BackendInstance) -> bool:
        """
        Return whether the version of an engine is on record, so that it is used.

        The leader lists engines once their versions are on record. A leader of a build
        that keeps no record lists all, and names no versions.
        """
        return self._versions.is_recorded(
            instance
        ) or self._instance_list.has_published(instance)

    def addresses(self, data_centre: str) -> list[str]:
        """Return the addresses that callers in a data centre should use."""
        sessions = [
            session
            for session in live_sessions(self.control.fleet)
            if self._presence.is_present(session.host)
        ]
        if self.state.is_draining:
            # Without a leader, the session is not marked as draining.
            host = self.settings.host
            sessions = [item for item in sessions if item.host != host] or sessions
        local = {
            session.host: session.caller_address
            for session in sessions
            if session.data_centre == data_centre
        }
        if len(local) < MIN_LOCAL_HOSTS:
            return caller_addresses(sessions, data_centre)
        needed = self._hosts_needed.get(data_centre, len(local))
        return [local[host] for host in select_hosts(list(local), needed)]

    def _present_peers(self) -> list[Session]:
        return [
            session
            for session in self._other_sessions()
            if self._presence.is_present(session.host)
        ]

    def _other_sessions(self) -> list[Session]:
        return [
            session
            for session in live_sessions(self.control.fleet)
            if session.host != self.settings.host
        ]

    def operators_app(self) -> Any:
        """Return the application that serves the metrics and explanations."""
        return self._operators.app(self.is_ready)

    async def run(
        self,
        caller: socket.socket,
        start_services: Callable[[anyio.abc.TaskGroup], None],
    ) -> None:
        """
        Serve until SIGTERM or SIGINT, then drain.

        Parameters
        ----------
        caller : socket.socket
            Listening socket for callers.
        start_services : callable
            Starts the other servers of the process in the given task group.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.control.run)
            group.start_soon(self._operators.loop_watch.run)
            group.start_soon(self._prune)
            group.start_soon(self._list_refresh.run)
            group.start_soon(self._host_probes.run)
            callers_stopped = anyio.Event()
            group.start_soon(self._serve_callers, caller, callers_stopped)
            group.start_soon(self._serve_peers, self._peers_stopped)
            start_services(group)
            log_event(logger, EventNumber.PROCESS_READY, host=self.settings.host)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
                await self._drain(callers_stopped)
            group.cancel_scope.cancel()
        self._probes.close()
        self._pool.close()

    async def _serve_peers(self, done: anyio.Event) -> None:
        listener = listen("peer_address", self.settings.peer_address)
        if isinstance(listener, Err):
            log_event(logger, EventNumber.SETTINGS_INVALID, setting="peer_address")
        else:
            await self._peer_server.run_on(listener.ok_value)
        done.set()

    async def _serve_callers(self, listener: socket.socket, done: anyio.Event) -> None:
        await self.caller_server.run_on(listener)
        done.set()

    async def _drain(self, callers_stopped: anyio.Event) -> None:
        settings = self.settings
        log_event(logger, EventNumber.PROCESS_DRAINING, host=settings.host)
        started_s = anyio.current_time()
        ends_s = started_s + settings.grace_s - GRACE_MARGIN_S
        self.state.begin_drain(ends_s)
        with anyio.move_on_after(DRAIN_PROPOSAL_TIMEOUT_S):
            await self.control.begin_drain()
        drain_wait_s = ADDRESS_TTL_FACTOR * settings.address_ttl_s + LATE_REQUEST_S
        await anyio.sleep(max(0.0, started_s + drain_wait_s - anyio.current_time()))
        self.caller_server.stop()
        self._peer_server.stop()
        with anyio.move_on_after(max(0.0, ends_s - anyio.current_time())):
            await callers_stopped.wait()
            await self._peers_stopped.wait()
        self.state.end_requests()
        with anyio.move_on_after(END_REQUESTS_TIMEOUT_S):
            await callers_stopped.wait()
            await self._peers_stopped.wait()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.control.close()

    def _on_hosts_needed(self, message: HostsNeeded) -> None:
        self._hosts_needed = message.by_data_centre
        self._count_hosts()

    def _count_hosts(self) -> None:
        """Update the number of hosts and of hosts that are selected for callers."""
        now_s = anyio.current_time()
        hosts_by_data_centre: dict[str, list[str]] = {}
        for session in live_sessions(self.control.fleet):
            hosts_by_data_centre.setdefault(session.data_centre, []).append(
                session.host
            )
        selected = {
            host
            for data_centre, hosts in hosts_by_data_centre.items()
            for host in select_hosts(
                hosts, self._hosts_needed.get(data_centre, len(hosts))
            )
        }
        host_count = self._host_count.update(
            sum(map(len, hosts_by_data_centre.values())), now_s
        )
        selected_count = self._selected_host_count.update(len(selected), now_s)
        self.state.hosts = host_count
        self._retries.set_host_counts(
            hosts=host_count,
            selected_hosts=selected_count,
            is_selected=self.settings.host in selected,
        )

    def _on_fleet_change(self) -> None:
        fleet = self.control.fleet
        self._count_hosts()
        self._apply_evacuations(fleet.evacuated)
        table = fleet.routing
        if table.version == self.state.index.table.version:
            return
        self.state.index = RoutingIndex(table)
        self._quota.update_limits(table.workspaces, anyio.current_time())
        limits = table.limits
        for server in (self.caller_server, self._peer_server):
            server.set_limits(
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

    def _apply_evacuations(self, evacuated: frozenset[str]) -> None:
        if evacuated != self.registry.evacuated:
            self.registry.evacuated = evacuated
            log_event(
                logger, EventNumber.EVACUATIONS_IN_FORCE, evacuated=sorted(evacuated)
            )

    def _on_crashes(self, message: CrashesSeen) -> None:
        self._crashes.on_report(CrashReport(message.crashes, message.completed))

    def _on_load(self, message: LoadSeen) -> None:
        self._exchange.on_load(message)
        if message.software_versions is not None:
            # Engines of the versions that are on record now may be used.
            self._apply_list()

    def _on_instances(self, message: InstancesSeen) -> None:
        now_s = anyio.current_time()
        # The leader is connected, so the load of other hosts is current even if no
        # update arrives.
        self._exchange.confirm()
        self._quota.on_report(now_s)
        if self._instance_list.apply(message, now_s):
            self._apply_list()

    def _on_list_read(self, listed: InstanceList) -> None:
        """Use a list that this host has read itself."""
        self._permits.record_cold(
            cold_limits(
                listed.instances,
                self.state.index.services,
                listed.cold_left_s,
                known={item.instance_id for item in self.registry.all()},
            ),
            source="list",
        )
        self._apply_list()

    def _apply_list(self) -> None:
        instances = tuple(filter(self._may_use, self._instance_list.items))
        leaving = {
            item.instance_id
            for item in self.registry.all()
            if self.registry.is_leaving(item)
        }
        for gone in self.registry.replace(instances):
            self._pool.close_idle(gone)
            # A planned stop may break off runs, too.
            if gone.instance_id not in leaving:
                self._crashes.record_unlisted(gone)
        self.registry.confirmed_s = self._instance_list.confirmed_s

    async def _prune(self) -> None:
        while True:
            await anyio.sleep(PRUNE_INTERVAL_S)
            self._pool.prune()
            self._exchange.drop_stale()

    def _record_request(self, service: str) -> None:
        self._retries.earn(service, anyio.current_time())
