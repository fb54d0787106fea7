"""Chooses the decode engine of a generation, and says why there is none."""

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.decode_reservations import DecodeReservations
from damaskridge.adapters.gateway.generation import Generation, Reservation
from damaskridge.adapters.gateway.prefills import PrefillRunner
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["DecodeChoice"]


class DecodeChoice:
    """
    The choice of decode engines on one host.

    Parameters
    ----------
    registry, load : InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    permits : ServerPermits
        Obtains permits for requests to engines with a limit.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    reservations, prefills : DecodeReservations, PrefillRunner
        Release what was prepared on an engine that isn't used.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
        permits: ServerPermits,
        refusals: RetryAfterTimes,
        reservations: DecodeReservations,
        prefills: PrefillRunner,
    ) -> None:
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._permits = permits
        self._refusals = refusals
        self._reservations = reservations
        self._prefills = prefills

    async def choose(
        self, generation: Generation
    ) -> tuple[BackendInstance | None, int]:
        """Return the engine for the decode, and how many candidates there were."""
        now_s = generation.admitted.now_s
        reservation = generation.reservation
        if reservation is not None:
            name = reservation.instance.instance
            paused = self._registry.notices.remaining_pause_s(name, now_s) > 0
            if (
                now_s < reservation.usable_until_s
                and not paused
                and await self._may_use(reservation, generation.admitted)
            ):
                return reservation.instance, 1
            self._reservations.cancel(generation)
        chosen = await self._choose_unreserved(generation)
        if chosen[0] is None and generation.handle is not None:
            # There may be an engine of another version, which can't use the cache.
            self._prefills.release_handle(generation)
            chosen = await self._choose_unreserved(generation)
        return chosen

    async def _choose_unreserved(
        self, generation: Generation
    ) -> tuple[BackendInstance | None, int]:
        service, stage = generation.admitted.service.name, EngineStage.DECODE
        denied: set[str] = set()
        while True:
            now_s = generation.admitted.now_s
            denied |= self._permits.waits_s(generation.admitted).keys()
            version = generation.required_version
            candidates = self._registry.candidates(
                service,
                now_s,
                stage,
                frozenset(generation.tried_servers | denied),
                version,
            )
            candidates = candidates or self._registry.candidates(
                service, now_s, stage, frozenset(denied), version
            )
            if not candidates and generation.software_version is not None:
                candidates = self._registry.draining_candidates(
                    service,
                    now_s,
                    stage,
                    frozenset(denied),
                    software_version=generation.software_version,
                )
            if not candidates:
                return None, 0
            chosen = self._load.least_memory_used(candidates, self._data_centre)
            if await self._permits.acquire(chosen, generation.admitted):
                return chosen, len(candidates)
            denied.add(chosen.instance)

    async def _may_use(
        self, reservation: Reservation, admitted: AdmittedRequest
    ) -> bool:
        """Return whether the decode may be sent to the engine that is reserved."""
        # The engine may have named its limit only after the reservation.
        is_permitted = not reservation.name
        return is_permitted or await self._permits.acquire(
            reservation.instance, admitted
        )

    def full_failure(self, admitted: AdmittedRequest) -> Failure:
        """Return the failure of a generation for which no engine has room."""
        return Failure(
            ErrorKind.OVERLOADED,
            "no decode engine has room",
            retry_after_s=self._refusals.engine_full_s(admitted.remaining_s),
        )

    def no_engine_failure(self, generation: Generation) -> Failure:
        """Return the failure of a generation for which there is no engine to ask."""
        admitted = generation.admitted
        kind = ErrorKind.NO_BACKEND_SERVER
        if admitted.policy.runs:
            kind = ErrorKind.BACKEND_SERVER_FAILED
        service = admitted.service.name
        detail = f"no decode engine for {service}"
        retry_after_s: float | None = self._refusals.no_server_s(admitted.remaining_s)
        version = generation.software_version
        if version is not None:
            # Engines of a version that has left don't come back.
            detail = f"no engine of software version {version}, which began the stream"
            retry_after_s = None
        wait_s = self._registry.wait_s(
            service,
            admitted.now_s,
            EngineStage.DECODE,
            self._permits.waits_s(admitted),
            version,
        )
        if wait_s:
            detail = f"every decode engine for {service} wants no request now"
            retry_after_s = self._refusals.paused_s(wait_s)
        return Failure(kind, detail, retry_after_s=retry_after_s)
