"""Assembly and life cycle of an entry host."""

import logging
import random
import secrets
import signal
import socket
import time
from collections.abc import Callable
from functools import lru_cache

import anyio
from grpclib.server import Server
from result import Err

from damaskridge.adapters.boottime_loop import run_program
from damaskridge.adapters.cell_runtime import CellRuntime
from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.engines.http_engine import HttpEngine
from damaskridge.adapters.front import Front, FrontSettings
from damaskridge.adapters.host_list.http_host_list import HttpHostList
from damaskridge.adapters.http.app import CallerApp
from damaskridge.adapters.http.operators_app import operators_app
from damaskridge.adapters.http_client import BackendClient
from damaskridge.adapters.observability.event_metrics import install_event_metrics
from damaskridge.adapters.observability.events import configure_logging, log_event
from damaskridge.adapters.observability.loop_watch import LoopWatch
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.adapters.owners import OwnerRuntimes
from damaskridge.adapters.ownership import lease_is_valid
from damaskridge.adapters.ports import ControlPort, EnginePort
from damaskridge.adapters.rate_runtime import RateRuntime
from damaskridge.adapters.rpc.control_client import ControlClient
from damaskridge.adapters.rpc.peer_channels import PeerChannels
from damaskridge.adapters.rpc.peer_client import CellClient, FrontClient, RateClient
from damaskridge.adapters.rpc.peer_server import PeerService
from damaskridge.adapters.services.http_service import HttpService
from damaskridge.binaries.entry_settings import EntrySettings
from damaskridge.binaries.http_server import LATE_REQUEST_S, HttpServer, listen
from damaskridge.core.limits.rate_owner import RateOwner
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.events import EventNumber

__all__ = ["EntryHost", "run_entry_host"]

logger = logging.getLogger(__name__)

# Enough for two proposals. Resources that are not released by then change their owner
# when the session ends.
RELEASE_TIMEOUT_S = 4.0
CLOSE_TIMEOUT_S = 2.0
MAX_ENGINE_CLIENTS = 4096


class EntryHost:
    """
    The components of one entry host.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the host.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        # The time alone could recur after the clock is set back.
        incarnation = (time.time_ns() // 1_000_000 << 16) | secrets.randbits(16)
        self.control = ControlClient(
            control_addresses=settings.control_addresses,
            host=settings.host,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
        )
        self.channels = PeerChannels()
        fronts = FrontClient(settings.host, incarnation, self.control, self.channels)
        self.backends = BackendClient()

        @lru_cache(MAX_ENGINE_CLIENTS)
        def engine_for(address: str) -> EnginePort:
            return HttpEngine(self.backends, address)

        self.owners = self._owners(fronts, engine_for)
        self.front = Front(
            host=settings.host,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            control=self.control,
            rates=RateClient(
                settings.host, self.control, self.channels, self.owners.rates
            ),
            cells=CellClient(
                settings.host, self.control, self.channels, self.owners.cells
            ),
            peers=fronts,
            engine_for=engine_for,
            services=HttpService(self.backends),
            settings=FrontSettings(
                **settings.front.model_dump(exclude={"max_header_bytes"})
            ),
        )
        fronts.attach(self.front)
        self.control.on_change(lambda *_: self.owners.sync_ownership())
        service = PeerService(
            incarnation=incarnation,
            rates=self.owners.rates,
            cells=self.owners.cells,
            front=self.front,
        )
        self.peer_server = Server([service], codec=MsgpackCodec())
        self.caller_server = HttpServer(
            CallerApp(self.front), settings.front.max_header_bytes
        )
        self._loop_watch = LoopWatch()
        self.operators_server = HttpServer(
            operators_app(self._metrics(), self.is_ready)
        )

    def is_ready(self) -> bool:
        """Return whether the host has a bundle and a valid lease."""
        control: ControlPort = self.control
        return control.fleet.version > 0 and lease_is_valid(control)

    async def run(self, listeners: list[socket.socket]) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        caller, peer, operators = listeners
        has_drained = False
        await self.peer_server.start(sock=peer)
        async with anyio.create_task_group() as group:
            for service in (self.channels, self.control, self.owners, self.front):
                group.start_soon(service.run)
            group.start_soon(self._loop_watch.run)
            stopped = anyio.Event()
            group.start_soon(self._serve_callers, caller, stopped)
            group.start_soon(self.operators_server.run_on, operators)
            log_event(logger, EventNumber.PROCESS_READY, host=self.settings.host)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
                await self._drain(stopped)
                has_drained = True
            group.cancel_scope.cancel()
        self.peer_server.close()
        self.channels.close()
        await self.backends.close()
        if not has_drained:
            # An unexpected cancellation ends a task group without an error.
            raise RuntimeError("a part of the host ended without a signal")

    async def _serve_callers(self, listener: socket.socket, done: anyio.Event) -> None:
        await self.caller_server.run_on(listener)
        done.set()

    async def _drain(self, callers_stopped: anyio.Event) -> None:
        log_event(logger, EventNumber.PROCESS_DRAINING, host=self.settings.host)
        keep_s = self.settings.front.keep_s
        with anyio.move_on_after(keep_s):
            await self.control.begin_drain()
        # From now on no host lists this one. Callers may use the address until their
        # cached list has expired.
        await anyio.sleep(keep_s + LATE_REQUEST_S)
        self.caller_server.stop()
        self.front.begin_drain()
        await self.front.wait_idle()
        await callers_stopped.wait()
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            await self.owners.release_all()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.control.close()

    def _owners(
        self, fronts: FrontClient, engine_for: Callable[[str], EnginePort]
    ) -> OwnerRuntimes:
        rng = random.Random(secrets.randbits(64))
        rates = RateRuntime(
            host=self.settings.host,
            control=self.control,
            rate_owner=RateOwner(rng=rng),
            fetch_active_keys=fronts.active_keys,
        )
        cells = CellRuntime(
            host=self.settings.host,
            control=self.control,
            new_scheduler=lambda: CellScheduler(rng=rng),
            engine_for=engine_for,
            host_list=HttpHostList(self.backends, self.settings.host_list_address),
            fetch_active_requests=fronts.active_requests,
            notify_taken_over=fronts.notify_taken_over,
        )
        return OwnerRuntimes(rates, cells)

    def _metrics(self) -> Metrics:
        metrics = Metrics()
        install_event_metrics(metrics)
        self._loop_watch.add_to(metrics)
        control, owners = self.control, self.owners
        metrics.add_gauge(
            "queue_length", "Requests that wait here", lambda: owners.cells.queue_length
        )
        metrics.add_gauge(
            "lease_remaining_seconds",
            "Time left of the session's lease",
            lambda: control.lease.remaining_s(anyio.current_time()),
        )
        metrics.add_gauge(
            "bundle_version", "Bundle in force", lambda: control.fleet.version
        )
        metrics.add_gauge(
            "owned_resources",
            "Workspaces and cells owned",
            lambda: len(owners.rates.owned_epochs) + len(owners.cells.owned_epochs),
        )
        return metrics


def run_entry_host(settings: EntrySettings) -> str:
    """Run an entry host; return the reason of a failure, or an empty string."""
    configure_logging(settings.host, settings.log_level)
    log_event(logger, EventNumber.PROCESS_STARTED, host=settings.host)
    listeners = []
    for name in ("caller_address", "peer_address", "operators_address"):
        listener = listen(name, getattr(settings, name))
        if isinstance(listener, Err):
            log_event(logger, EventNumber.SETTINGS_INVALID, setting=name)
            return listener.err_value
        listeners.append(listener.ok_value)

    async def run() -> None:
        await EntryHost(settings).run(listeners)

    try:
        run_program(run)
    except Exception as error:
        return _error_line(error)
    log_event(logger, EventNumber.PROCESS_STOPPED, host=settings.host)
    return ""


def _error_line(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    text = str(error).splitlines()
    return f"{type(error).__name__}: {text[0] if text else 'no detail'}"
