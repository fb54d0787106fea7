"""Assigns room on the engines of crowded services to all entry hosts, on the leader."""

import logging
from collections.abc import Callable, Iterable, Mapping, Set
from typing import cast

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.host_count import MANY_HOSTS
from damaskridge.core.gateway.placement.room_arbiter import RoomArbiter, Waiting
from damaskridge.core.gateway.placement.room_order import (
    USABLE_SHARE_OF_LEADER,
    RoomOrder,
)
from damaskridge.core.gateway.routing import stream_priorities
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import InstanceLoad, LoadSeen, ReportLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, RoutingTable
from damaskridge.model.room_requests import RoomAnswer, RoomDecided, RoomWanted

__all__ = ["RoomPublisher"]

# A service is crowded from this share of the memory of its decode engines on, until it
# has fallen below the other one.
CROWDED_SHARE = 0.5
RELAXED_SHARE = 0.4
# Interval between two decisions while generations wait, and between two checks whether
# services are crowded.
DECISION_PERIOD_S = 0.01
CHECK_PERIOD_S = 0.1

_log = logging.getLogger("damaskridge.control")


class RoomPublisher:
    """
    Tells entry hosts of crowded services, and answers their requests for room.

    Parameters
    ----------
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    routing : callable
        Returns the routing table in force.
    instances : callable
        Returns the servers as they are listed for entry hosts.
    unusable : callable
        Returns the names of servers that need a permit or are failing.
    load : callable
        Returns the load in flight of all hosts, by server.
    data_centre_of : callable
        Returns the data centre of a host; None if it has no session.
    """

    def __init__(
        self,
        subscribers: SubscriberSet,
        *,
        is_leading: Callable[[], bool],
        routing: Callable[[], RoutingTable],
        instances: Callable[[], Iterable[BackendInstance]],
        unusable: Callable[[], Set[str]],
        load: Callable[[], Mapping[str, InstanceLoad]],
        data_centre_of: Callable[[str], str | None],
    ) -> None:
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._routing = routing
        self._instances = instances
        self._unusable = unusable
        self._load = load
        self._data_centre_of = data_centre_of
        self._crowded: tuple[str, ...] = ()
        self._arbiters: dict[str, RoomArbiter] = {}
        self._has_waiting = anyio.Event()

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send the crowded services to a new subscriber."""
        subscriber.push(LoadSeen(crowded=self._crowded))

    def handle_report(
        self, subscriber: Subscriber, host: str, message: ReportLoad
    ) -> None:
        """Accept the requests of a host, and assign what room there is."""
        if not self._is_leading():
            # Hosts that are still connected must not wait for a decision.
            for wanted in message.rooms_wanted:
                _answer(subscriber, wanted.sequence, RoomAnswer.UNDECIDED)
            return
        now_s, data_centre = anyio.current_time(), self._data_centre_of(host) or ""
        load, added = self._load(), []
        for wanted in message.rooms_wanted:
            arbiter = self._arbiter_of(wanted.service)
            waiting = _to_waiting(subscriber, wanted, data_centre, now_s)
            used_tokens = _used_tokens(load, self._decode_engines(wanted.service))
            if arbiter is None or not arbiter.add(waiting, now_s, used_tokens):
                _answer(subscriber, wanted.sequence, RoomAnswer.REFUSED)
            else:
                added.append((wanted, arbiter))
        for service in {wanted.service for wanted, _ in added}:
            self._decide(service, now_s)
        for wanted, arbiter in added:
            if arbiter.is_waiting((subscriber, wanted.sequence)):
                _answer(subscriber, wanted.sequence, RoomAnswer.WAITING)

    def clear(self) -> None:
        """Forget everything, when another host leads."""
        self._crowded = ()
        self._arbiters.clear()

    async def run(self) -> None:
        """Decide until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._publish_crowded)
            group.start_soon(self._decide_waiting)

    async def _publish_crowded(self) -> None:
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            if not self._is_leading():
                continue
            is_large = len(self._subscribers.open_subscribers()) >= MANY_HOSTS
            crowded = tuple(sorted(self._find_crowded())) if is_large else ()
            if crowded != self._crowded:
                self._crowded = crowded
                self._subscribers.broadcast(LoadSeen(crowded=crowded))
                log_event(_log, EventNumber.SERVICES_CROWDED, services=list(crowded))

    async def _decide_waiting(self) -> None:
        while True:
            await self._has_waiting.wait()
            self._has_waiting = anyio.Event()
            await anyio.sleep(DECISION_PERIOD_S)
            if self._is_leading():
                for service in list(self._arbiters):
                    self._decide(service, anyio.current_time())

    def _find_crowded(self) -> list[str]:
        """Return the services whose room is assigned: their priorities differ."""
        load, crowded = self._load(), []
        priorities = stream_priorities(self._routing())
        for service in self._routing().services:
            if service.engine is None or len(priorities.get(service.name, ())) < 2:
                continue
            engines = self._decode_engines(service.name)
            if not engines:
                continue
            used_tokens = _used_tokens(load, engines)
            was_crowded = service.name in self._crowded
            threshold = RELAXED_SHARE if was_crowded else CROWDED_SHARE
            if used_tokens >= threshold * service.engine.memory_tokens * len(engines):
                crowded.append(service.name)
        return crowded

    def _arbiter_of(self, name: str) -> RoomArbiter | None:
        """Return the arbiter of a service with engines, of their present size."""
        for service in self._routing().services:
            if service.name == name and service.engine is not None:
                room = RoomOrder(service.engine.memory_tokens, USABLE_SHARE_OF_LEADER)
                arbiter = self._arbiters.get(name)
                if arbiter is None or (arbiter.room != room and not len(arbiter)):
                    arbiter = self._arbiters[name] = RoomArbiter(room)
                return arbiter
        return None

    def _decode_engines(self, service: str) -> list[BackendInstance]:
        return [
            item
            for item in self._instances()
            if item.service == service
            and item.stage is EngineStage.DECODE
            and not item.is_leaving
        ]

    def _decide(self, service: str, now_s: float) -> None:
        arbiter = self._arbiters.get(service)
        if arbiter is None or not len(arbiter):
            return
        unusable, load = self._unusable(), self._load()
        engines = [
            item
            for item in self._decode_engines(service)
            if item.instance not in unusable
        ]
        used = {name: item.memory_tokens for name, item in load.items()}
        for waiting, engine in arbiter.decide(engines, used, now_s):
            subscriber, sequence = cast(tuple[Subscriber, int], waiting.key)
            answer = RoomAnswer.REFUSED if engine is None else RoomAnswer.ASSIGNED
            _answer(subscriber, sequence, answer, engine or "")
        if len(arbiter):
            self._has_waiting.set()


def _used_tokens(
    load: Mapping[str, InstanceLoad], engines: Iterable[BackendInstance]
) -> int:
    """Return the memory in use on some engines together, in tokens."""
    return sum(
        load[item.instance].memory_tokens for item in engines if item.instance in load
    )


def _to_waiting(
    subscriber: Subscriber, wanted: RoomWanted, data_centre: str, now_s: float
) -> Waiting:
    return Waiting(
        key=(subscriber, wanted.sequence),
        tokens=wanted.tokens,
        level=wanted.level,
        since_s=now_s,
        wait_s=wanted.wait_s,
        data_centre=data_centre,
        software_version=wanted.software_version,
        excluded=frozenset(wanted.excluded),
    )


def _answer(
    subscriber: Subscriber, sequence: int, answer: RoomAnswer, engine: str = ""
) -> None:
    decided = RoomDecided(sequence, answer, engine)
    subscriber.push(LoadSeen(rooms_decided=(decided,)))
