"""The entry program for the users' platform: forwards requests, lists addresses."""

import logging
import signal
import sys
from pathlib import Path
from socket import socket

import anyio
from anyio.abc import TaskGroup
from result import Err

from damaskridge.adapters.boottime_loop import run_program
from damaskridge.adapters.observability.events import (
    configure_bounded_logging,
    log_event,
)
from damaskridge.binaries.gateway_host import GatewayHost, GatewaySettings
from damaskridge.binaries.http_server import HttpServer, listen
from damaskridge.model.events import EventNumber
from damaskridge.platform.apps import directory_app, ready_app
from damaskridge.platform.dialect import PlatformDialect
from damaskridge.platform.instance_list import PlatformInstanceListReader
from damaskridge.platform.settings import PlatformSettings, load_platform_settings

__all__ = ["run_platform_entry"]

EXIT_FAILURE = 1
EXIT_SETTINGS = 2
# Time within which callers stop using a draining host and learn of new hosts.
ADDRESS_TTL_S = 1.0
# The settings file is also polled, since it may change without a signal.
RELOAD_INTERVAL_S = 2.0

logger = logging.getLogger("damaskridge.platform_entry")


def run_platform_entry(path: Path) -> int:
    """Run the entry program until SIGTERM; return the exit status."""
    loaded = load_platform_settings(path)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(f"damaskridge-platform: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.ok_value
    configure_bounded_logging(settings.host)
    log_event(logger, EventNumber.PROCESS_STARTED, host=settings.host)
    listeners: dict[str, socket] = {}
    for name in ("front", "ready", "directory"):
        address = getattr(settings, name)
        listener = listen(name, address or "")
        if isinstance(listener, Err):
            log_event(logger, EventNumber.SETTINGS_INVALID, setting=name)
            print(f"damaskridge-platform: {listener.err_value}", file=sys.stderr)
            return EXIT_FAILURE
        listeners[name] = listener.ok_value

    async def run() -> None:
        await _serve(path, settings, listeners)

    run_program(run)
    log_event(logger, EventNumber.PROCESS_STOPPED, host=settings.host)
    return 0


async def _serve(
    path: Path, settings: PlatformSettings, listeners: dict[str, socket]
) -> None:
    host = GatewayHost(
        _gateway_settings(settings),
        PlatformDialect(),
        PlatformInstanceListReader(settings.list_address),
    )

    def start_services(group: TaskGroup) -> None:
        metrics = listen("metrics", f"{settings.ip}:{settings.metrics_port}")
        apps = {
            "ready": ready_app(host.is_ready),
            "directory": directory_app(host.addresses, host.settings.address_ttl_s),
        }
        for name, app in apps.items():
            group.start_soon(HttpServer(app).run_on, listeners[name])
        if metrics.is_ok():
            group.start_soon(HttpServer(host.operators_app()).run_on, metrics.unwrap())
        group.start_soon(_watch_settings, path, settings, host)

    await host.run(listeners["front"], start_services)


def _gateway_settings(settings: PlatformSettings) -> GatewaySettings:
    return GatewaySettings(
        host=settings.host,
        data_centre=settings.data_centre,
        caller_address=settings.front or "",
        peer_address=f"{settings.ip}:{settings.peer_port}",
        control_addresses=settings.control_addresses,
        address_ttl_s=min(ADDRESS_TTL_S, settings.longest_ttl_s),
        grace_s=settings.grace_s,
        server_drain_s=settings.drain_ms / 1000,
        list_calls_per_s=settings.list_rate_per_s,
        retry_ratio=settings.retry_ratio,
        retry_allowance=settings.retry_slack,
        retry_window_s=settings.retry_window_s,
        quota_slack=settings.quota_slack,
    )


async def _watch_settings(
    path: Path, settings: PlatformSettings, host: GatewayHost
) -> None:
    """Add the control hosts that are new in the settings file when it changes."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async with anyio.create_task_group() as group:
            changed = anyio.Event()

            async def wait_for_signals() -> None:
                nonlocal changed
                async for _ in signals:
                    changed.set()

            group.start_soon(wait_for_signals)
            known_addresses = settings.control_addresses
            while True:
                with anyio.move_on_after(RELOAD_INTERVAL_S):
                    await changed.wait()
                changed = anyio.Event()
                loaded = load_platform_settings(path)
                if isinstance(loaded, Err):
                    continue
                if loaded.ok_value.control_addresses != known_addresses:
                    known_addresses = loaded.ok_value.control_addresses
                    host.control.add_control_addresses(known_addresses)
                    log_event(
                        logger,
                        EventNumber.SETTINGS_RELOADED,
                        host=settings.host,
                        changed=["control_addresses"],
                    )
