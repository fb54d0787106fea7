"""Records crashes of backend servers and refuses the requests that cause them."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.crashes.crash_causes import CrashCause
from damaskridge.core.gateway.crashes.crash_tracker import CrashReport, CrashTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.model.crashes import InterruptedRun
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance

__all__ = ["CrashMonitor"]

logger = logging.getLogger(__name__)

# A server that crashes as it begins to respond has sent hardly more events than these.
MAX_ONSET_EVENTS = 2


class CrashMonitor:
    """
    What this host knows of crashes, and which requests it refuses because of them.

    Parameters
    ----------
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    request_report : callable
        Called when there is something that the leader has to know at once.
    """

    def __init__(
        self, refusals: RetryAfterTimes, request_report: Callable[[], None]
    ) -> None:
        self._refusals = refusals
        self._request_report = request_report
        self._tracker = CrashTracker()
        self._known_causes: frozenset[frozenset[str]] = frozenset()
        self._watched: dict[asyncio.Future[None], AdmittedRequest] = {}

    @contextlib.contextmanager
    def watch(self, admitted: AdmittedRequest) -> Iterator[asyncio.Future[None]]:
        """Yield a future that is done when a request in progress is quarantined."""
        quarantined: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._watched[quarantined] = admitted
        try:
            yield quarantined
        finally:
            del self._watched[quarantined]

    def failure(
        self, admitted: AdmittedRequest, *, is_running: bool = False
    ) -> Failure | None:
        """
        Return why a request must not be sent; None if it may be.

        Parameters
        ----------
        admitted : AdmittedRequest
            The request.
        is_running : bool
            Whether it was sent and a server may be running it.
        """
        quarantine_s = self._tracker.quarantine_s(admitted.fingerprints, admitted.now_s)
        if not quarantine_s:
            return None
        detail = "requests like this one have crashed their backend servers"
        if is_running or admitted.policy.runs:
            kind = ErrorKind.BACKEND_SERVER_FAILED
            return Failure(kind, detail, RunState.UNKNOWN)
        retry_after_s = self._refusals.quarantine_s(quarantine_s)
        kind = ErrorKind.NO_BACKEND_SERVER
        return Failure(kind, detail, RunState.NOT_RUN, retry_after_s)

    def record_interrupted_run(
        self,
        instance: BackendInstance,
        admitted: AdmittedRequest,
        reason: str,
        *,
        events: int = 0,
    ) -> None:
        """Record that a server broke off a run after a number of events."""
        log_event(
            logger,
            EventNumber.RUN_INTERRUPTED,
            request_id=admitted.request.request_id,
            backend_server=instance.instance,
            events=events,
            reason=reason,
            fingerprints=admitted.fingerprints,
        )
        run = InterruptedRun(admitted.fingerprints, events > MAX_ONSET_EVENTS)
        runs = self._tracker.record_interrupted_run(
            run, instance.instance_id, admitted.now_s
        )
        self._publish(instance, runs, "connection")

    def record_complete_run(self, admitted: AdmittedRequest) -> None:
        """Record that a server ran a request to completion."""
        self._tracker.record_complete_run(admitted.fingerprints, admitted.now_s)
        if self._tracker.has_unreported:
            # Otherwise nothing that was known of crashes has changed.
            self._publish_causes()

    def record_gone(self, instance: BackendInstance) -> None:
        """Record that a server's address refuses connections or is another's."""
        now_s = asyncio.get_running_loop().time()
        runs = self._tracker.record_lost_server(
            instance.instance_id, now_s, tells_others=True
        )
        self._publish(instance, runs, "connection")

    def record_unlisted(self, instance: BackendInstance) -> None:
        """Record that a server is no longer listed."""
        now_s = asyncio.get_running_loop().time()
        runs = self._tracker.record_lost_server(instance.instance_id, now_s)
        self._publish(instance, runs, "list")

    def on_report(self, report: CrashReport) -> None:
        """Apply what the leader has learned from the hosts."""
        self._tracker.on_report(report, asyncio.get_running_loop().time())
        self._publish_causes()

    def pop_report(self, *, everything: bool) -> CrashReport:
        """Return what the leader doesn't know; with `everything`, all that matters."""
        now_s = asyncio.get_running_loop().time()
        return self._tracker.pop_report(now_s, everything=everything)

    def _publish(self, instance: BackendInstance, runs: int, source: str) -> None:
        """Log a crash if there is one, and tell the other hosts."""
        if runs:
            log_event(
                logger,
                EventNumber.BACKEND_SERVER_CRASHED,
                backend_server=instance.instance,
                runs=runs,
                source=source,
            )
        self._publish_causes()

    def _publish_causes(self) -> None:
        """Log which quarantines have begun or ended, and report what is new."""
        if self._tracker.has_unreported:
            self._request_report()
        causes = {cause.fingerprints: cause for cause in self._tracker.causes}
        known, self._known_causes = self._known_causes, frozenset(causes)
        for fingerprints in self._known_causes - known:
            self._log_quarantine(causes[fingerprints])
        if self._known_causes - known:
            self._end_watches()
        for fingerprints in known - self._known_causes:
            log_event(
                logger, EventNumber.QUARANTINE_ENDED, fingerprints=sorted(fingerprints)
            )

    def _end_watches(self) -> None:
        for quarantined, admitted in self._watched.items():
            is_refused = self._tracker.quarantine_s(
                admitted.fingerprints, admitted.now_s
            )
            if is_refused and not quarantined.done():
                quarantined.set_result(None)

    def _log_quarantine(self, cause: CrashCause) -> None:
        now_s = asyncio.get_running_loop().time()
        log_event(
            logger,
            EventNumber.QUARANTINE_BEGAN,
            fingerprints=sorted(cause.fingerprints),
            crashes=cause.crashes,
            quarantine_ms=round((cause.ends_s - now_s) * 1000),
        )
