"""The state of a generation that runs on a prefill and a decode engine."""

from dataclasses import dataclass

from damaskridge.adapters.gateway.relayed_stream import RelayedStream
from damaskridge.model.gateway import BackendInstance

__all__ = ["CacheHandle", "Generation", "Reservation"]


@dataclass(frozen=True, slots=True)
class CacheHandle:
    """
    The handle of a KV cache that a prefill engine has exported.

    Parameters
    ----------
    instance : BackendInstance
        The engine that holds the cache.
    name : str
        Name of the handle on that engine.
    usable_until_s : float
        Event loop time until which the cache may be imported.
    """

    instance: BackendInstance
    name: str
    usable_until_s: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """
    A slot and memory that are reserved on a decode engine.

    On an engine with a limit of requests, only the permit to send the decode.

    Parameters
    ----------
    instance : BackendInstance
        The engine.
    name : str
        Name of the reservation on that engine; empty if there is only a permit.
    usable_until_s : float
        Event loop time until which the reservation may be used.
    """

    instance: BackendInstance
    name: str
    usable_until_s: float


@dataclass(slots=True)
class Generation(RelayedStream):
    """
    The progress of one generation.

    Parameters
    ----------
    reservation : Reservation or None
        Reservation on a decode engine that has not been used yet.
    handle : CacheHandle or None
        Handle of an exported KV cache that has not been imported yet.
    handle_refusals : int
        Number of decode engines that refused the request with the current handle.
    """

    reservation: Reservation | None = None
    handle: CacheHandle | None = None
    handle_refusals: int = 0

    @property
    def required_version(self) -> str | None:
        """
        The software version at which the next step has to run; None if any will do.

        What engines of two versions write doesn't fit together, KV caches included.
        """
        if self.software_version is not None:
            return self.software_version
        prepared = self.handle or self.reservation
        return prepared.instance.software_version if prepared is not None else None
