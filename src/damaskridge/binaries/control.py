"""The program `damaskridge-control`, which runs one control host."""

import logging
import random
import signal
import sys
from importlib.metadata import version as package_version
from pathlib import Path

import anyio
import fire
from grpclib.server import Server
from result import Err

from damaskridge.adapters.boottime_loop import run_program
from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.control_node import ControlNode
from damaskridge.adapters.disk.folder import DiskFolder
from damaskridge.adapters.disk.store import UnreadableRecord
from damaskridge.adapters.http.operators_app import operators_app
from damaskridge.adapters.observability.event_metrics import install_event_metrics
from damaskridge.adapters.observability.events import configure_logging, log_event
from damaskridge.adapters.observability.loop_watch import LoopWatch
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.adapters.rpc.control_server import control_services
from damaskridge.binaries.control_settings import ControlSettings
from damaskridge.binaries.http_server import HttpServer, listen
from damaskridge.binaries.settings_file import load_settings
from damaskridge.core.state.control_state import ControlState
from damaskridge.model.events import EventNumber

__all__ = ["build_state", "main", "run_control"]

EXIT_FAILURE = 1
EXIT_SETTINGS = 2
USAGE = "damaskridge-control --settings FILE [--check-settings] | --version"
CLOSE_TIMEOUT_S = 1.0

_logger = logging.getLogger("damaskridge.control")

_UNEXPECTED_ERROR_EVENT = {"event_number": EventNumber.UNEXPECTED_ERROR}


class _StartFailed(Exception):
    """A valid setting cannot be applied, such as an address that is in use."""


def build_state() -> ControlState:
    """Return an empty control state."""
    return ControlState()


async def serve_operators(
    settings: ControlSettings, node: ControlNode, state: ControlState
) -> None:
    """Serve health, readiness and metrics on the operators' address."""
    listener = listen("operators_address", settings.operators_address)
    if isinstance(listener, Err):
        raise _StartFailed(listener.err_value)
    metrics = Metrics()
    install_event_metrics(metrics)
    loop_watch = LoopWatch()
    loop_watch.add_to(metrics)
    metrics.add_gauge("is_leader", "Whether this host leads", lambda: node.is_leader)
    metrics.add_gauge("term", "Term of the replicated log", lambda: node.term)
    metrics.add_gauge(
        "bundle_version", "Bundle in force", lambda: state.fleet_snapshot().version
    )
    app = operators_app(metrics, lambda: bool(node.leader_address) or node.is_leader)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(loop_watch.run)
        tasks.start_soon(HttpServer(app).run_on, listener.ok_value)


async def run_control(settings: ControlSettings, state: ControlState) -> None:
    """
    Run one control process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    state : ControlState
        The empty state, to which the entries of the log are applied.
    """
    folder = _open_folder(settings.data_folder)
    node = ControlNode(
        settings.host,
        settings.members,
        folder,
        state,
        random.Random(),
        may_bootstrap=not settings.join_as_learner,
        is_added=settings.join_as_learner,
        data_centre=settings.data_centre,
    )
    services = control_services(node, state)
    server = Server([node.service(), *services], codec=MsgpackCodec())
    ip, _, port = settings.rpc_address.rpartition(":")
    await _listen(server, ip, int(port))
    try:
        log_event(_logger, EventNumber.PROCESS_READY, host=settings.host)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, node)
            tasks.start_soon(serve_operators, settings, node, state)
            for service in services:
                tasks.start_soon(service.run)
            await node.run()
            tasks.cancel_scope.cancel()
    finally:
        server.close()
        with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
            await server.wait_closed()
        folder.close()


def _open_folder(path: Path) -> DiskFolder:
    try:
        return DiskFolder(path)
    except BlockingIOError as error:
        raise _StartFailed(f"data_folder: {path}: in use") from error
    except OSError as error:
        raise _StartFailed(f"data_folder: {path}: {error.strerror}") from error


async def _listen(server: Server, ip: str, port: int) -> None:
    try:
        await server.start(ip, port)
    except OSError as error:
        raise _StartFailed(f"rpc_address: {ip}:{port}: {error.strerror}") from error


async def _stop_on_signal(node: ControlNode) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            log_event(_logger, EventNumber.PROCESS_DRAINING, host=node.name)
            await node.stop()


def _command(
    *arguments: object,
    settings: str = "",
    check_settings: bool = False,
    version: bool = False,
    **options: object,
) -> None:
    """
    Run a control process.

    Parameters
    ----------
    *arguments : object
        None is known.
    settings : str
        Path of the settings file.
    check_settings : bool
        Check the settings file and stop.
    version : bool
        Print the version and stop.
    **options : object
        None other is known.
    """
    # fire would report unknown arguments only after the program has run.
    if options.pop("help", False):
        print(USAGE)
        return
    unknown = [str(argument) for argument in arguments]
    unknown += [f"--{name.replace('_', '-')}" for name in options]
    if unknown:
        _fail([f"{name}: unknown argument" for name in unknown], EXIT_SETTINGS)
    if version:
        print(package_version("damaskridge"))
        return
    if not settings:
        _fail(["--settings: a file is required"], EXIT_SETTINGS)
    loaded = load_settings(Path(str(settings)), ControlSettings)
    if loaded.is_err():
        _fail(loaded.unwrap_err(), EXIT_SETTINGS)
    if not check_settings:
        _run(loaded.unwrap())


def _run(settings: ControlSettings) -> None:
    configure_logging(settings.host)
    log_event(_logger, EventNumber.PROCESS_STARTED, host=settings.host)
    try:
        run_program(run_control, settings, build_state())
    except _StartFailed as error:
        setting = str(error).partition(":")[0]
        log_event(_logger, EventNumber.SETTINGS_INVALID, setting=setting)
        _fail([str(error)], EXIT_FAILURE)
    except (OSError, UnreadableRecord) as error:
        _fail([str(error)], EXIT_FAILURE)
    except Exception as error:
        _logger.exception("UNEXPECTED_ERROR", extra=_UNEXPECTED_ERROR_EVENT)
        _fail([f"unexpected error: {_root_cause(error)!r}"], EXIT_FAILURE)
    log_event(_logger, EventNumber.PROCESS_STOPPED, host=settings.host)


def _root_cause(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _fail(faults: list[str], code: int) -> None:
    for fault in faults:
        print(f"damaskridge-control: {fault}", file=sys.stderr)
    sys.exit(code)


def main() -> None:
    """Run the console program."""
    fire.Fire(_command, name="damaskridge-control")


if __name__ == "__main__":
    main()
