"""The program of a control host."""

import importlib
import importlib.util
import logging
import random
import signal
import sys
from importlib.metadata import version as package_version
from pathlib import Path
from typing import Any

import anyio
import fire
from grpclib.server import Server

from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.control_node import ControlNode
from damaskridge.adapters.disk.folder import DiskFolder
from damaskridge.adapters.observability.events import configure, log_event
from damaskridge.adapters.rpc.control_node import ControlStatePort
from damaskridge.binaries.control_settings import ControlSettings
from damaskridge.binaries.settings_file import load_settings
from damaskridge.model.events import EventNumber

__all__ = ["build_services", "main", "run_control"]

EXIT_FAILURE = 1
EXIT_SETTINGS = 2
USAGE = "damaskridge-control --settings FILE [--check-settings] | --version"
CLOSE_TIMEOUT_S = 1.0
STATE_MODULE = "damaskridge.core.state.commands"
SERVER_MODULE = "damaskridge.adapters.rpc.control_server"

_logger = logging.getLogger("damaskridge.control")

_UNEXPECTED = {"event_number": EventNumber.UNEXPECTED_ERROR}


class _StartFailed(Exception):
    """A setting is valid but cannot be used on this machine."""


def build_state() -> ControlStatePort:
    """Return an empty control state."""
    state: ControlStatePort = importlib.import_module(STATE_MODULE).ControlState()
    return state


def build_services(node: ControlNode, state: ControlStatePort) -> list[Any]:
    """Return all gRPC handlers of the process."""
    services: list[Any] = [node.service()]
    if importlib.util.find_spec(SERVER_MODULE) is not None:
        module = importlib.import_module(SERVER_MODULE)
        services += module.control_services(node, state)
    return services


async def serve_operators(settings: ControlSettings, node: ControlNode) -> None:
    """Serve health, readiness and metrics on the operators' address."""


async def run_control(settings: ControlSettings, state: ControlStatePort) -> None:
    """
    Run one control process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    state : ControlStatePort
        The empty state that the log feeds.
    """
    folder = _open_folder(settings.data_folder)
    node = ControlNode(
        settings.host,
        settings.members,
        folder,
        state,
        random.Random(),
        may_form=not settings.join_as_learner,
    )
    server = Server(build_services(node, state), codec=MsgpackCodec())
    ip, _, port = settings.rpc_address.rpartition(":")
    await _listen(server, ip, int(port))
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, node)
            tasks.start_soon(serve_operators, settings, node)
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
            log_event(_logger, EventNumber.PROCESS_DRAINING)
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
    # Fire would run the program before it reports what it does not know.
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
    configure(settings.host)
    log_event(_logger, EventNumber.PROCESS_STARTED, host=settings.host)
    try:
        anyio.run(run_control, settings, build_state())
    except (_StartFailed, OSError) as error:
        _fail([str(error)], EXIT_FAILURE)
    except ImportError as error:
        _fail([f"control state: {error}"], EXIT_FAILURE)
    except Exception as error:
        _logger.exception("UNEXPECTED_ERROR", extra=_UNEXPECTED)
        _fail([f"unexpected error: {_innermost(error)!r}"], EXIT_FAILURE)
    log_event(_logger, EventNumber.PROCESS_STOPPED, host=settings.host)


def _innermost(error: BaseException) -> BaseException:
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
