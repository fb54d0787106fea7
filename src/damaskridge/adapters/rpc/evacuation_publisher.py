"""Puts evacuations of data centres in force on the leader.

The servers of an evacuated data centre are listed as leaving. Those of a data centre
that is taken back may be cold, so that all hosts learn of their limits before they are
listed again.
"""

import logging
from collections.abc import Callable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.permit_publisher import PermitPublisher
from damaskridge.core.gateway.evacuations import mark_evacuated
from damaskridge.core.gateway.limits.cold_servers import (
    cold_limits,
    presumed_cold_limits,
)
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.evacuations import (
    evacuated_data_centres,
    taken_back_since,
)
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import FleetDelta
from damaskridge.model.gateway import BackendInstance, GatewayService, InstanceList

__all__ = ["EvacuationPublisher"]

# A new leader treats the servers of data centres that were taken back within this time
# as cold. It is longer than a server is cold, since clocks of hosts differ.
TAKEN_BACK_MEMORY_MS = 60_000

_log = logging.getLogger("damaskridge.control")


class EvacuationPublisher:
    """
    Applies evacuations to the list of servers, and limits those that are taken back.

    Parameters
    ----------
    state : ControlState
        The state machine of the control group.
    permits : PermitPublisher
        Tells all hosts of the limits of cold servers.
    is_leading : callable
        Returns whether this host is the leader.
    wall_ms : callable
        Wall-clock time in milliseconds.
    republish : callable
        Publishes the list of instances again.
    """

    def __init__(
        self,
        state: ControlState,
        permits: PermitPublisher,
        is_leading: Callable[[], bool],
        wall_ms: Callable[[], int],
        republish: Callable[[], None],
    ) -> None:
        self._state = state
        self._permits = permits
        self._is_leading = is_leading
        self._wall_ms = wall_ms
        self._republish = republish
        self._evacuated = frozenset[str]()
        self._taken_back_s: dict[str, float] = {}
        self._is_new_leader = True
        self._instances: tuple[BackendInstance, ...] = ()

    def clear(self) -> None:
        """Start over, when another host leads."""
        self._is_new_leader = True
        self._instances = ()
        self._taken_back_s.clear()

    def apply(
        self, instances: tuple[BackendInstance, ...]
    ) -> tuple[BackendInstance, ...]:
        """Return the list with the servers of evacuated data centres as leaving."""
        evacuated = frozenset(evacuated_data_centres(self._state.data))
        return mark_evacuated(instances, evacuated)

    def handle_delta(self, delta: FleetDelta) -> None:
        """Log a change of the evacuated data centres; the leader puts it in force."""
        if delta.evacuated is None:
            return
        log_event(
            _log,
            EventNumber.EVACUATIONS_CHANGED,
            evacuated=list(delta.evacuated),
            index=delta.index,
        )
        if not self._is_leading():
            return
        now_s, evacuated = anyio.current_time(), frozenset(delta.evacuated)
        for data_centre in self._evacuated - evacuated:
            self._taken_back_s[data_centre] = now_s
        self._evacuated = evacuated
        self._limit_taken_back()
        self._republish()

    def on_read(self, listed: InstanceList) -> None:
        """Limit the cold servers of a new reading of the list."""
        known = frozenset(item.instance_id for item in self._instances)
        self._instances = listed.instances
        if self._is_new_leader:
            self._is_new_leader = False
            now_s, data = anyio.current_time(), self._state.data
            self._evacuated = frozenset(evacuated_data_centres(data))
            since_ms = self._wall_ms() - TAKEN_BACK_MEMORY_MS
            for data_centre in taken_back_since(data, since_ms):
                self._taken_back_s.setdefault(data_centre, now_s)
        limits = cold_limits(
            listed.instances, self._services(), listed.cold_left_s, known
        )
        self._permits.record_cold(limits, source="list")
        self._limit_taken_back()

    def _limit_taken_back(self) -> None:
        """Limit the servers of data centres that were taken back a short time ago."""
        now_s, services = anyio.current_time(), self._services()
        for data_centre, taken_back_s in self._taken_back_s.items():
            servers = [
                item for item in self._instances if item.data_centre == data_centre
            ]
            limits = presumed_cold_limits(
                servers, services, elapsed_s=now_s - taken_back_s
            )
            self._permits.record_cold(limits, source="evacuation")

    def _services(self) -> dict[str, GatewayService]:
        return {item.name: item for item in self._state.data.routing.services}
