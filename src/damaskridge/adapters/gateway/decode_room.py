"""Finds room on a decode engine before a prompt is read.

A prompt that is read for an engine without room is read in vain.
"""

import asyncio
from collections import deque
from enum import Enum
from functools import partial

from damaskridge.adapters.gateway.dialect import Dialect
from damaskridge.adapters.gateway.generation import Generation, Reservation
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.model.control import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, EngineTraits

__all__ = ["DecodeRoom", "RoomSearch"]

# Engines that are asked for room for one request; more would multiply an overload.
MOST_RESERVATIONS = 4
# A request that gets room later than this is late in any case, and it would take the
# room from one that can still be on time.
WAIT_OBJECTIVES = 0.5
PAUSE_S = 0.05
# A run that goes on elsewhere may wait so long. Callers give up a stream after two
# seconds without an event at the earliest, and its silence may have taken over one.
WAIT_AGAIN_S = 0.4
# What an engine answers that has no room.
FULL = "status 503"
# Names of reservations by which a late copy of an answer is recognised. A copy comes
# within seconds.
REMEMBERED = 256
# The reservation's time runs from its arrival at the engine.
USE_SHARE = 0.9


class RoomSearch(Enum):
    """
    How a search for decode room ended.

    `DONE` also stands for engines that could not be asked; they are then tried without
    a reservation. `PAUSED` means that every engine has asked for a pause.
    """

    DONE = "done"
    FULL = "full"
    PAUSED = "paused"


class DecodeRoom:
    """
    Reserves room on decode engines.

    Parameters
    ----------
    dialect : Dialect
        Encodes the calls.
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Shared by all forwarders of the host.
    data_centre : str
        Where this host stands.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        sender: Sender,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._given: deque[tuple[str, str]] = deque(maxlen=REMEMBERED)

    async def find(self, run: Generation) -> RoomSearch:
        """Reserve room, waiting for a while if every engine is full."""
        work = run.work
        engine = work.service.engine
        if engine is None or engine.reservation_s <= 0:
            return RoomSearch.DONE
        wait_s = WAIT_OBJECTIVES * work.route.objective_ms / 1000
        if run.has_events:
            wait_s = work.elapsed_s + WAIT_AGAIN_S
        is_first = True
        while True:
            full = await self._ask_engines(run, engine, is_first)
            is_first = False
            if run.reservation is not None:
                return RoomSearch.DONE
            service, stage = work.service.name, EngineStage.DECODE
            if self._registry.pause_s(service, work.now_s, stage):
                return RoomSearch.PAUSED
            if not full:
                return RoomSearch.DONE
            if work.elapsed_s + PAUSE_S > wait_s or work.left_s <= 0:
                return RoomSearch.FULL
            await asyncio.sleep(PAUSE_S)

    def cancel(self, run: Generation) -> None:
        """Give up a reservation that is not used."""
        reservation, run.reservation = run.reservation, None
        if reservation is not None:
            instance = reservation.instance
            self._load.finish(run.work.request.request_id, instance.instance)
            call = self._dialect.cancel_reservation(reservation.name)
            self._sender.call_later(instance, call)

    async def _ask_engines(
        self, run: Generation, engine: EngineTraits, is_logged: bool
    ) -> int:
        """Ask engines until one has room; returns how many had none."""
        tried = set(run.tried)
        full = 0
        for _ in range(MOST_RESERVATIONS):
            untried = self._registry.candidates(
                run.work.service.name,
                run.work.now_s,
                EngineStage.DECODE,
                frozenset(tried),
            )
            candidates = self._load.with_free_memory(
                untried, run.work.memory_tokens, engine.memory_tokens
            )
            if not candidates:
                full += len(untried)
                break
            instance = self._load.least_memory_used(candidates, self._data_centre)
            tried.add(instance.instance)
            reason = await self._ask(run, instance, engine.reservation_s)
            if run.reservation is not None:
                run.log_sent(
                    instance.instance,
                    "reserve",
                    load=self._load.total(instance.instance),
                    candidates=len(candidates),
                    list_seen_s=self._registry.confirmed_s,
                )
                break
            full += reason == FULL
            # A request asks many times; the refusal names the end of it.
            if is_logged:
                run.log_failed(instance.instance, "reserve", reason)
        return full

    def _is_new(self, instance: BackendInstance, body: bytes) -> bool:
        """Tell whether a body names a reservation that was not given before."""
        reserved = self._dialect.reservation_reply(body)
        if reserved.is_err():
            return False
        given = (instance.instance, reserved.unwrap())
        is_new = given not in self._given
        self._given.append(given)
        return is_new

    async def _ask(
        self, run: Generation, instance: BackendInstance, duration_s: float
    ) -> str:
        """Ask one engine; returns why it gave no room."""
        work, name = run.work, instance.instance
        request_id, tokens = work.request.request_id, work.memory_tokens
        now_s = work.now_s
        self._load.start(request_id, name, InstanceLoad(1, memory_tokens=tokens))
        try:
            call = self._dialect.reserve(tokens, duration_s)
            called = await self._sender.call_engine(
                instance, call, partial(self._is_new, instance)
            )
            reserved = called.and_then(self._dialect.reservation_reply)
            if reserved.is_ok():
                usable_until_s = now_s + USE_SHARE * duration_s
                run.reservation = Reservation(
                    instance, reserved.unwrap(), usable_until_s
                )
                return ""
            return reserved.unwrap_err()
        finally:
            # Also when the caller leaves meanwhile.
            if run.reservation is None:
                self._load.finish(request_id, name)
