"""Reserves capacity on a decode engine before the prefill.

A prefill for a decode engine that turns out to be full is wasted.
"""

import asyncio
from collections import deque
from collections.abc import Set
from enum import Enum
from functools import partial

from damaskridge.adapters.gateway.dialect import Dialect
from damaskridge.adapters.gateway.generation import Generation, Reservation
from damaskridge.adapters.gateway.room_requests import RoomRequests
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.placement.room_order import RoomOrder
from damaskridge.core.gateway.placement.room_precedence import RoomPrecedence
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, EngineTraits
from damaskridge.model.room_requests import RoomWanted

__all__ = ["RESUME_WAIT_S", "DecodeReservations", "RoomSearch"]

# Engines that are asked for a reservation in one round. Asking more would multiply the
# load during an overload.
MAX_RESERVATION_ATTEMPTS = 4
# Time from the arrival of a request until the wait for a reservation ends, as a share
# of the route's objective. A generation that starts later is late in any case, and
# would use capacity that another one needs to be on time.
MAX_WAIT_OBJECTIVES = 0.5
# Time between two rounds while all engines are full.
POLL_INTERVAL_S = 0.05
# Longest wait for a reservation when a stream resumes on another engine. Callers
# abandon a stream after 2 seconds without an event at the earliest, of which more than
# one may have passed until the stall was detected.
RESUME_WAIT_S = 0.4
# The same for a stream that its caller takes up with a new request. The prefill has to
# fit into the rest of the 2 seconds.
TAKE_UP_WAIT_S = 1.2
# Level of streams that have begun, which is above all priorities.
BEGUN_LEVEL = -1
# The error of `Sender.call_engine` for an engine that is full.
ENGINE_FULL = "status 503"
# Reservation names that are kept to recognize a late duplicate of a response.
# Duplicates arrive within seconds.
MAX_REMEMBERED_RESERVATIONS = 256
# Share of its duration for which a reservation is used. The duration starts when the
# request for it arrives at the engine.
RESERVATION_LIFETIME_FRACTION = 0.9


class RoomSearch(Enum):
    """
    The outcome of the search for a decode engine with free capacity.

    `DONE` means that the decode may be sent: there is a reservation, or none could be
    requested, and the decode is tried without one. `FULL` means that
    the engines have no free capacity, `PAUSED` that all of them asked for a pause or
    have a limit that permits no request now.
    """

    DONE = "done"
    FULL = "full"
    PAUSED = "paused"


class DecodeReservations:
    """
    Reserves slots and memory on decode engines.

    Parameters
    ----------
    dialect : Dialect
        Encodes the calls to engines.
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    permits : ServerPermits
        Obtains permits for requests to engines with a limit.
    rooms : RoomRequests
        Asks the leader for room on the engines of crowded services.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        sender: Sender,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
        permits: ServerPermits,
        rooms: RoomRequests,
    ) -> None:
        self._rooms = rooms
        self._dialect = dialect
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._permits = permits
        self._precedence = RoomPrecedence()
        self._issued: deque[tuple[str, str]] = deque(maxlen=MAX_REMEMBERED_RESERVATIONS)

    async def reserve(self, generation: Generation) -> RoomSearch:
        """Reserve capacity, waiting for a limited time if all engines are full."""
        admitted = generation.admitted
        engine = admitted.service.engine
        if engine is None or engine.reservation_s <= 0:
            return RoomSearch.DONE
        wait_until_s = _wait_until_s(generation)
        if self._rooms.must_ask(admitted.service.name):
            assigned = await self._reserve_assigned(generation, engine, wait_until_s)
            if assigned is not None:
                return assigned
        # Only the first round is logged, as there may be many. If all fail, the refusal
        # of the request is logged.
        found = await self._search_once(generation, engine, log_failures=True)
        with self._precedence.waiting(
            admitted.service.name, generation.software_version
        ):
            while (
                found is RoomSearch.FULL
                and admitted.elapsed_s + POLL_INTERVAL_S <= wait_until_s
                and admitted.remaining_s > 0
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
                found = await self._search_once(generation, engine, log_failures=False)
        return found

    async def reserve_elsewhere(self, generation: Generation) -> RoomSearch:
        """
        Reserve capacity for a stream on an engine that has not had it, without waiting.

        `PAUSED` also means that there is no such engine.
        """
        if not self._untried(generation, generation.tried_servers):
            return RoomSearch.PAUSED
        engine = generation.admitted.service.engine
        if engine is None or engine.reservation_s <= 0:
            return RoomSearch.DONE
        found = await self._search_once(generation, engine, log_failures=False)
        if found is RoomSearch.DONE and generation.reservation is None:
            return RoomSearch.FULL
        return found

    async def _reserve_assigned(
        self, generation: Generation, engine: EngineTraits, wait_until_s: float
    ) -> RoomSearch | None:
        """Reserve capacity on engines that the leader assigns; None if it doesn't."""
        admitted, version = generation.admitted, generation.software_version
        service = admitted.service.name
        excluded = generation.tried_servers | self._avoided(service, admitted.now_s)
        while (wait_s := wait_until_s - admitted.elapsed_s) > 0:
            wanted = RoomWanted(
                sequence=0,
                service=service,
                tokens=admitted.memory_tokens,
                level=admitted.priority.level if version is None else BEGUN_LEVEL,
                wait_s=min(wait_s, admitted.remaining_s),
                software_version=version or "",
                excluded=tuple(sorted(excluded)),
            )
            name = await self._rooms.find(wanted)
            if name is None:
                return None
            if not name:
                return RoomSearch.FULL
            excluded.add(name)
            instance = self._registry.find(name)
            if instance is None or self._permits.is_limited(instance.instance_id):
                continue
            load = self._load.load_on(name)
            reason = await self._reserve_on(generation, instance, engine.reservation_s)
            if generation.reservation is not None:
                generation.log_sent(
                    instance,
                    "reserve",
                    load=load,
                    candidates=1,
                    list_seen_s=self._registry.confirmed_s,
                )
                return RoomSearch.DONE
            generation.log_failed(name, "reserve", reason)
        return RoomSearch.FULL

    def _avoided(self, service: str, now_s: float) -> set[str]:
        """Return the engines of a service that this host avoids."""
        return {
            item.instance
            for item in self._registry.all()
            if item.service == service
            and self._registry.is_avoided(item.instance, now_s)
        }

    def cancel(self, generation: Generation) -> None:
        """Cancel a reservation that has not been used."""
        reservation, generation.reservation = generation.reservation, None
        if reservation is not None:
            instance = reservation.instance
            self._load.finish(generation.admitted.request.request_id, instance.instance)
            if not reservation.name:
                return
            call = self._dialect.cancel_reservation_call(reservation.name)
            self._sender.call_in_background(instance, call)

    async def _search_once(
        self, generation: Generation, engine: EngineTraits, *, log_failures: bool
    ) -> RoomSearch:
        """Ask engines in one round."""
        admitted = generation.admitted
        full_count = await self._try_engines(generation, engine, log_failures)
        if generation.reservation is not None:
            return RoomSearch.DONE
        if self._registry.wait_s(
            admitted.service.name,
            admitted.now_s,
            EngineStage.DECODE,
            self._permits.waits_s(admitted),
            generation.software_version,
        ):
            return RoomSearch.PAUSED
        return RoomSearch.FULL if full_count else RoomSearch.DONE

    async def _try_engines(
        self, generation: Generation, engine: EngineTraits, log_failures: bool
    ) -> int:
        """Ask engines until one grants a reservation; returns how many were full."""
        admitted = generation.admitted
        service = admitted.service.name
        tried_servers = (
            generation.tried_servers | self._permits.waits_s(admitted).keys()
        )
        full_count = attempts = 0
        while attempts < MAX_RESERVATION_ATTEMPTS:
            untried = self._untried(generation, tried_servers)
            candidates = self._load.with_free_memory(
                self._without_yielded(untried, generation),
                admitted.memory_tokens,
                RoomOrder(engine.memory_tokens),
                self._rooms.search_level(service, admitted.priority.level),
            )
            if not candidates:
                full_count += len(untried)
                break
            instance = self._load.least_memory_used(candidates, self._data_centre)
            tried_servers.add(instance.instance)
            if self._permits.is_limited(instance.instance_id):
                if not await self._permit_decode(generation, instance, engine):
                    continue
                break
            attempts += 1
            reason = await self._reserve_on(generation, instance, engine.reservation_s)
            if generation.reservation is not None:
                generation.log_sent(
                    instance,
                    "reserve",
                    load=self._load.load_on(instance.instance),
                    candidates=len(candidates),
                    list_seen_s=self._registry.confirmed_s,
                )
                break
            full_count += reason == ENGINE_FULL
            if log_failures:
                generation.log_failed(instance.instance, "reserve", reason)
        return full_count

    def _untried(
        self, generation: Generation, tried_servers: Set[str]
    ) -> list[BackendInstance]:
        """Return the engines to ask; leaving ones only if there is no other."""
        admitted, version = generation.admitted, generation.software_version
        service, now_s, tried = (
            admitted.service.name,
            admitted.now_s,
            frozenset(tried_servers),
        )
        stage = EngineStage.DECODE
        untried = self._registry.candidates(service, now_s, stage, tried, version)
        if untried or version is None:
            return untried
        return self._registry.draining_candidates(
            service, now_s, stage, tried, software_version=version
        )

    def _without_yielded(
        self, candidates: list[BackendInstance], generation: Generation
    ) -> list[BackendInstance]:
        """Return the engines for whose room no begun stream waits."""
        if generation.software_version is not None:
            return candidates
        return [
            item
            for item in candidates
            if not self._precedence.must_yield(item.service, item.software_version)
        ]

    async def _permit_decode(
        self, generation: Generation, instance: BackendInstance, engine: EngineTraits
    ) -> bool:
        """
        Obtain the permit for the decode on an engine with a limit.

        It takes the place of a reservation, which would count towards the limit as
        well: the engine would run half as many generations.
        """
        admitted, asked_s = generation.admitted, generation.admitted.now_s
        duration_s = self._permits.permit_lifetime_s(
            instance.instance_id, engine.reservation_s
        )
        if not await self._permits.acquire(instance, admitted, lifetime_s=duration_s):
            return False
        load = InstanceLoad(1, memory_tokens=admitted.memory_tokens)
        self._load.start(admitted.request.request_id, instance.instance, load)
        usable_until_s = asked_s + RESERVATION_LIFETIME_FRACTION * duration_s
        generation.reservation = Reservation(instance, "", usable_until_s)
        return True

    def _is_first_copy(self, instance: BackendInstance, body: bytes) -> bool:
        """Return whether a body names a reservation that is seen for the first time."""
        reserved = self._dialect.decode_reservation_response(body)
        if reserved.is_err():
            return False
        issued = (instance.instance, reserved.unwrap())
        is_new = issued not in self._issued
        self._issued.append(issued)
        return is_new

    async def _reserve_on(
        self, generation: Generation, instance: BackendInstance, duration_s: float
    ) -> str:
        """Ask one engine; returns the reason of a failure, empty on success."""
        admitted, name = generation.admitted, instance.instance
        request_id, tokens = admitted.request.request_id, admitted.memory_tokens
        now_s = admitted.now_s
        self._load.start(request_id, name, InstanceLoad(1, memory_tokens=tokens))
        try:
            call = self._dialect.reserve_call(tokens, duration_s)
            result = await self._sender.call_engine(
                instance, call, partial(self._is_first_copy, instance)
            )
            reserved = result.and_then(self._dialect.decode_reservation_response)
            if reserved.is_ok():
                usable_until_s = now_s + RESERVATION_LIFETIME_FRACTION * duration_s
                generation.reservation = Reservation(
                    instance, reserved.unwrap(), usable_until_s
                )
                return ""
            return reserved.unwrap_err()
        finally:
            # Also runs if the task is cancelled because the caller has left.
            if generation.reservation is None:
                self._load.finish(request_id, name)


def _wait_until_s(generation: Generation) -> float:
    """Return until when to wait for room, as the time since the request's arrival."""
    admitted = generation.admitted
    if generation.has_events:
        return admitted.elapsed_s + RESUME_WAIT_S
    new_wait_s = MAX_WAIT_OBJECTIVES * admitted.route.objective_ms / 1000
    if generation.software_version is not None:
        return max(TAKE_UP_WAIT_S, new_wait_s)
    return new_wait_s
