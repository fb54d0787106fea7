"""What the leader collects from the entry hosts and publishes to them.

Each publisher has its own part of the reports and of the messages; this module connects
them with each other and with the streams.
"""

from collections.abc import Callable

import anyio

from damaskridge.adapters.rpc.admission_publisher import AdmissionPublisher
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.adapters.rpc.crash_publisher import CrashPublisher
from damaskridge.adapters.rpc.evacuation_publisher import EvacuationPublisher
from damaskridge.adapters.rpc.health_publisher import HealthPublisher
from damaskridge.adapters.rpc.instance_publisher import (
    InstanceListReader,
    InstancePublisher,
)
from damaskridge.adapters.rpc.leader_duties import LeaderDuties
from damaskridge.adapters.rpc.load_publisher import LoadPublisher
from damaskridge.adapters.rpc.permit_publisher import PermitPublisher
from damaskridge.adapters.rpc.room_publisher import RoomPublisher
from damaskridge.adapters.rpc.speed_publisher import SpeedPublisher
from damaskridge.adapters.rpc.stage_orders import EngineOrderPort, StageController
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.adapters.rpc.version_publisher import VersionPublisher
from damaskridge.core.gateway.host_count import MANY_HOSTS
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.follow import FleetDelta, ReportLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["Publishers"]


class Publishers:
    """
    All publishers of one control host, which work while it leads.

    Parameters
    ----------
    node : ControlNodePort
        The member of the control group on this host.
    state : ControlState
        The state machine to which `node` applies commands.
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    duties : LeaderDuties
        Knows whether this host leads, and commits commands.
    wall_ms : callable
        Wall-clock time in milliseconds.
    instances : InstanceListReader or None
        Reads the list of backend servers for all entry hosts.
    orders : EngineOrderPort or None
        Sends orders to model engines.
    host : str
        Name of this host, as the sender of orders.
    rate_tolerance : float
        Tolerated admissions of all hosts together above a workspace's rate.
    """

    def __init__(
        self,
        node: ControlNodePort,
        state: ControlState,
        subscribers: SubscriberSet,
        duties: LeaderDuties,
        wall_ms: Callable[[], int],
        *,
        instances: InstanceListReader | None,
        orders: EngineOrderPort | None,
        host: str,
        rate_tolerance: float,
    ) -> None:
        def is_leading() -> bool:
            return duties.is_ready

        self._state = state
        self._load = LoadPublisher(subscribers, is_leading, self._data_centre_of)
        self._permits = PermitPublisher(subscribers, is_leading)
        self._admissions = AdmissionPublisher(
            subscribers, is_leading, state, rate_tolerance
        )
        self._crashes = CrashPublisher(
            subscribers, is_leading, state, duties.propose, wall_ms
        )
        self._stages: StageController | None = None
        if orders is not None:
            self._stages = StageController(
                node=node,
                host=host,
                load_aggregator=self._load.load_aggregator,
                orders=orders,
                routing=lambda: state.data.routing,
                is_leading=is_leading,
                republish=self._republish,
                on_calls=self._permits.charge,
            )
        self._versions = VersionPublisher(
            node=node,
            subscribers=subscribers,
            is_leading=is_leading,
            state=state,
            propose=duties.propose,
            republish=self._republish,
        )
        self._evacuations = EvacuationPublisher(
            state, self._permits, is_leading, wall_ms, self._republish
        )
        self._instances: InstancePublisher | None = None
        if instances is not None:
            self._instances = InstancePublisher(
                instances,
                subscribers,
                is_leading,
                self._adjust_instances,
                self._evacuations.on_read,
            )
        self._health = HealthPublisher(
            subscribers,
            is_leading,
            lambda: self._instances.instances if self._instances else (),
        )
        self._speeds = SpeedPublisher(
            subscribers,
            is_leading,
            lambda: self._instances.published if self._instances else (),
        )
        self._rooms = RoomPublisher(
            subscribers,
            is_leading=is_leading,
            routing=lambda: state.data.routing,
            instances=lambda: self._instances.published if self._instances else (),
            unusable=lambda: self._health.failing | self._permits.limited(),
            load=self._load.load_aggregator.total,
            data_centre_of=self._data_centre_of,
        )

    async def run(self) -> None:
        """Publish until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._load.run)
            group.start_soon(self._crashes.run)
            if self._instances is not None:
                group.start_soon(self._admissions.run)
                group.start_soon(self._permits.run)
                group.start_soon(self._health.run)
                group.start_soon(self._speeds.run)
                group.start_soon(self._rooms.run)
                group.start_soon(self._instances.run)
                group.start_soon(self._versions.run)
            if self._stages is not None:
                group.start_soon(self._stages.run)

    def begin(self) -> None:
        """Begin to publish at once, as this host has become ready to lead."""
        if self._instances is not None:
            self._instances.begin()

    def add_subscriber(self, subscriber: Subscriber, host: str) -> None:
        """Add a host's stream, and send it what is known."""
        self._load.add_subscriber(subscriber, host)
        # Before the list, whose engines are of these versions.
        self._versions.send_snapshot(subscriber)
        # Also before the list, so that no host sends to a cold server first.
        self._permits.send_snapshot(subscriber)
        if self._instances is not None:
            self._instances.send_snapshot(subscriber)
        # After the list: a host drops the limits of instances that have restarted.
        self._permits.send_snapshot(subscriber)
        self._crashes.send_snapshot(subscriber)
        # Replaces what the leader before has said; hosts of small fleets drop that.
        if len(self._state.data.sessions) >= MANY_HOSTS:
            self._admissions.send_snapshot(subscriber)
            self._health.send_snapshot(subscriber)
            self._speeds.send_snapshot(subscriber)
            self._rooms.send_snapshot(subscriber)

    def remove_subscriber(self, subscriber: Subscriber) -> None:
        """Remove a host's stream and its load."""
        self._load.remove_subscriber(subscriber)

    def handle_report(
        self, subscriber: Subscriber, host: str, message: ReportLoad
    ) -> None:
        """Give each publisher its part of a host's report."""
        self._load.handle_report(subscriber, message)
        self._permits.handle_report(subscriber, host, message)
        self._admissions.handle_report(subscriber, host, message)
        self._health.handle_report(host, message)
        self._speeds.handle_report(message)
        # After the load, by which room is assigned.
        self._rooms.handle_report(subscriber, host, message)
        self._crashes.handle_report(message)
        self._versions.handle_report(subscriber, message)
        if self._instances is not None:
            for notice in message.leaving:
                self._instances.notices.add(notice)

    def handle_delta(self, delta: FleetDelta) -> None:
        """Put a change of the fleet in force that concerns the list of servers."""
        self._evacuations.handle_delta(delta)

    def clear(self) -> None:
        """Forget what only the leader knows, when another host leads."""
        self._permits.clear()
        self._versions.clear()
        self._evacuations.clear()
        self._admissions.clear()
        self._health.clear()
        self._speeds.clear()
        self._rooms.clear()

    def _adjust_instances(
        self, listed: tuple[BackendInstance, ...]
    ) -> tuple[BackendInstance, ...]:
        """Return the entries to publish for those that were read."""
        recorded = self._versions.recorded_instances(listed)
        instances = self._evacuations.apply(recorded)
        if self._stages is None:
            return instances
        return self._stages.adjust_instances(instances)

    def _republish(self) -> None:
        if self._instances is not None:
            self._instances.republish()

    def _data_centre_of(self, host: str) -> str | None:
        session = self._state.data.sessions.get(host)
        return session.data_centre if session is not None else None
