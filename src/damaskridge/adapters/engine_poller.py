"""Polls one backend server of a cell and detects its failures and restarts."""

import logging
from collections.abc import Awaitable, Callable

import anyio
from result import Ok

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import EnginePort
from damaskridge.core.scheduling.messages import (
    CacheReported,
    CellEvent,
    EngineRequestsListed,
    LoadReported,
    ServerFailed,
    ServerRecovered,
)
from damaskridge.model.bundle import BackendServer, BackendServerRole
from damaskridge.model.engine import LoadReport
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber

__all__ = ["BackendServerPoller"]

logger = logging.getLogger(__name__)

LOAD_PERIOD_S = 0.5
CACHE_PERIOD_S = 0.5
REQUEST_LIST_PERIOD_S = 1.0
POLL_TIMEOUT_S = 1.0
# A single lost response is no failure. Two in a row are detected within 3 s, the
# timeouts and the period included.
SILENT_POLL_LIMIT = 2


class BackendServerPoller:
    """
    Converts the reports of a backend server to events of the scheduler.

    Parameters
    ----------
    server : BackendServer
        Server to poll. A plain service is only probed for a TCP connection.
    engine : EnginePort or None
        Client of the engine, None for a plain service.
    emit : callable
        Receives each event.
    """

    def __init__(
        self,
        server: BackendServer,
        engine: EnginePort | None,
        emit: Callable[[CellEvent], None],
    ) -> None:
        self.server = server
        self.cancel_scope = anyio.CancelScope()
        self.incarnation = 0
        self.report: LoadReport | None = None
        self.crash_count = 0
        self._engine = engine
        self._emit = emit
        self._failed = False
        self._crash_reported = False
        self._silent_polls = 0
        self._last_cache_sequence = 0

    async def run(self) -> None:
        """Poll until `cancel_scope` is cancelled."""
        with self.cancel_scope:
            if self._engine is None:
                # The scheduler waits for a server's requests; a service lists none.
                self._emit(
                    EngineRequestsListed(self.server.name, (), anyio.current_time())
                )
                await _poll_forever(self._probe_connection, LOAD_PERIOD_S)
            async with anyio.create_task_group() as group:
                group.start_soon(_poll_forever, self._poll_load, LOAD_PERIOD_S)
                group.start_soon(
                    _poll_forever, self._poll_requests, REQUEST_LIST_PERIOD_S
                )
                if self.server.role is not BackendServerRole.DECODE:
                    group.start_soon(_poll_forever, self._poll_cache, CACHE_PERIOD_S)

    async def _poll_load(self) -> None:
        assert self._engine is not None
        try:
            with anyio.fail_after(POLL_TIMEOUT_S):
                result = await self._engine.load()
        except TimeoutError:
            self._handle_no_response(Failure(ErrorKind.BACKEND_SERVER_TIMEOUT))
            return
        if isinstance(result, Ok):
            self._handle_report(result.ok_value)
        else:
            self._handle_no_response(result.err_value)

    async def _poll_cache(self) -> None:
        assert self._engine is not None
        with anyio.move_on_after(POLL_TIMEOUT_S):
            result = await self._engine.cache_events(self._last_cache_sequence)
            if not isinstance(result, Ok):
                return
            page = result.ok_value
            if page.gap:
                log_event(
                    logger,
                    EventNumber.CACHE_EVENTS_LOST,
                    backend_server=self.server.name,
                )
            if page.events:
                self._last_cache_sequence = max(event.sequence for event in page.events)
            if page.events or page.gap:
                self._emit(CacheReported(self.server.name, page))

    async def _poll_requests(self) -> None:
        assert self._engine is not None
        requested_s = anyio.current_time()
        with anyio.move_on_after(POLL_TIMEOUT_S):
            result = await self._engine.list_requests()
            if isinstance(result, Ok):
                self._emit(
                    EngineRequestsListed(self.server.name, result.ok_value, requested_s)
                )

    async def _probe_connection(self) -> None:
        host, _, port = self.server.address.rpartition(":")
        try:
            with anyio.fail_after(POLL_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, int(port))
                await stream.aclose()
        except (OSError, TimeoutError):
            self._handle_no_response(Failure(ErrorKind.BACKEND_SERVER_TIMEOUT))
        else:
            self._silent_polls = 0
            self._report_recovery()

    def _handle_report(self, report: LoadReport) -> None:
        name = self.server.name
        self._silent_polls = 0
        restarted = self.incarnation not in (0, report.incarnation)
        if restarted and not self._crash_reported:
            self._report_failure(crashed=True)
        if report.incarnation != self.incarnation:
            self._last_cache_sequence = 0
        self.incarnation = report.incarnation
        self.report = report
        self._report_recovery()
        self._emit(LoadReported(name, report))

    def _handle_no_response(self, failure: Failure) -> None:
        # A refused connection shows at once that the process has ended. Any other
        # failure has to recur before the server counts as lost.
        is_refused = (
            failure.kind is ErrorKind.BACKEND_SERVER_FAILED
            and failure.final_run_state is RunState.NOT_RUN
        )
        self._silent_polls += 1
        is_silent = not self._failed and self._silent_polls >= SILENT_POLL_LIMIT
        if (is_refused and not self._crash_reported) or is_silent:
            self._report_failure(crashed=is_refused)

    def _report_failure(self, *, crashed: bool) -> None:
        self._failed = True
        self._crash_reported = crashed
        self.crash_count += crashed
        log_event(
            logger,
            EventNumber.BACKEND_SERVER_LOST,
            level=logging.WARNING,
            backend_server=self.server.name,
            crashed=crashed,
            incarnation=self.incarnation,
        )
        self._emit(ServerFailed(self.server.name, self.incarnation, crashed))

    def _report_recovery(self) -> None:
        if self._failed:
            self._failed = self._crash_reported = False
            log_event(
                logger,
                EventNumber.BACKEND_SERVER_BACK,
                backend_server=self.server.name,
                incarnation=self.incarnation,
            )
            self._emit(ServerRecovered(self.server.name))


async def _poll_forever(poll: Callable[[], Awaitable[None]], period_s: float) -> None:
    """Run a poll periodically; an unexpected error is logged and doesn't end it."""
    while True:
        try:
            await poll()
        except AssertionError:
            raise
        except Exception as error:
            # A malformed response of one engine must not stop the entry host.
            log_event(
                logger,
                EventNumber.UNEXPECTED_ERROR,
                level=logging.ERROR,
                error_type=type(error).__name__,
            )
        await anyio.sleep(period_s)
