"""Chooses the server of a request that needs no engine, and says why there is none."""

from collections.abc import Set

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.gateway import BackendInstance

__all__ = ["ServerChoice"]


class ServerChoice:
    """
    The choice of servers on one host, by their requests in progress.

    Parameters
    ----------
    registry, load : InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    permits : ServerPermits
        Obtains permits for requests to servers with a limit.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
        permits: ServerPermits,
        refusals: RetryAfterTimes,
    ) -> None:
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._permits = permits
        self._refusals = refusals

    async def choose(
        self,
        admitted: AdmittedRequest,
        tried: Set[str],
        software_version: str | None = None,
    ) -> tuple[BackendInstance | None, int]:
        """
        Return the server to send to, and how many candidates there were.

        `software_version` is the one at which a begun stream has to go on.
        """
        denied: set[str] = set()
        while True:
            denied |= self._permits.waits_s(admitted).keys()
            # If every server has been tried, one that was full may have capacity now.
            candidates = self._candidates(
                admitted, denied | tried, software_version
            ) or self._candidates(admitted, denied, software_version)
            if not candidates and software_version is not None:
                candidates = self._registry.draining_candidates(
                    admitted.service.name,
                    admitted.now_s,
                    excluded=frozenset(denied),
                    software_version=software_version,
                )
            if not candidates:
                return None, 0
            chosen = self._load.least_loaded(candidates, self._data_centre)
            if await self._permits.acquire(chosen, admitted):
                return chosen, len(candidates)
            denied.add(chosen.instance)

    def has_untried(
        self, admitted: AdmittedRequest, tried: Set[str], software_version: str | None
    ) -> bool:
        """Return whether a server that was not tried may receive the request now."""
        denied = self._permits.waits_s(admitted).keys()
        return bool(self._candidates(admitted, denied | tried, software_version))

    def no_server_failure(
        self, admitted: AdmittedRequest, software_version: str | None = None
    ) -> Failure:
        """Return the failure of a request for which there is no server."""
        kind = ErrorKind.NO_BACKEND_SERVER
        if admitted.policy.runs:
            kind = ErrorKind.BACKEND_SERVER_FAILED
        service = admitted.service.name
        detail = f"no backend server for {service}"
        retry_after_s: float | None = self._refusals.no_server_s(admitted.remaining_s)
        if software_version is not None:
            # Servers of a version that has left don't come back.
            detail = f"no server of software version {software_version} for {service}"
            retry_after_s = None
        wait_s = self._registry.wait_s(
            service,
            admitted.now_s,
            limit_waits_s=self._permits.waits_s(admitted),
            software_version=software_version,
        )
        if wait_s:
            detail = f"every backend server for {service} wants no request now"
            retry_after_s = self._refusals.paused_s(wait_s)
        return Failure(kind, detail, retry_after_s=retry_after_s)

    def _candidates(
        self,
        admitted: AdmittedRequest,
        excluded: Set[str],
        software_version: str | None,
    ) -> list[BackendInstance]:
        return self._registry.candidates(
            admitted.service.name,
            admitted.now_s,
            excluded=frozenset(excluded),
            software_version=software_version,
        )
