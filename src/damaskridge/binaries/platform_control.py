"""The control program for the users' platform: replicated log and operators' API."""

import logging
import random
import signal
import sys
from pathlib import Path

import anyio
from grpclib.server import Server
from result import Err

from damaskridge.adapters.boottime_loop import run_program
from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.control_node import ControlNode
from damaskridge.adapters.disk.folder import DiskFolder, VolatileFolder
from damaskridge.adapters.disk.store import UnreadableRecord
from damaskridge.adapters.http.operators_app import operators_app as metrics_app
from damaskridge.adapters.observability.event_metrics import install_event_metrics
from damaskridge.adapters.observability.events import (
    configure_bounded_logging,
    log_event,
)
from damaskridge.adapters.observability.loop_watch import LoopWatch
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.adapters.operator_proposals import OperatorProposals
from damaskridge.adapters.replicated_evacuations import ReplicatedEvacuations
from damaskridge.adapters.replicated_routing import ReplicatedRouting
from damaskridge.adapters.rpc.control_server import control_services
from damaskridge.binaries.http_server import HttpServer, listen
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.evacuations import evacuated_data_centres
from damaskridge.model.events import EventNumber
from damaskridge.platform.apps import operators_app
from damaskridge.platform.instance_list import PlatformInstanceListReader
from damaskridge.platform.orders import PlatformOrderClient
from damaskridge.platform.settings import PlatformSettings, load_platform_settings

__all__ = ["run_platform_control"]

EXIT_FAILURE = 1
EXIT_SETTINGS = 2
CLOSE_TIMEOUT_S = 0.5
# About the duration of an election. Entry hosts give up on a control host that is
# silent for a second.
LEADER_WAIT_S = 0.5

logger = logging.getLogger("damaskridge.platform_control")


def run_platform_control(path: Path) -> int:
    """Run the control program until SIGTERM; return the exit status."""
    loaded = load_platform_settings(path)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(f"damaskridge-platform: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.ok_value
    if settings.control is None:
        print("damaskridge-platform: Listen.Control: missing", file=sys.stderr)
        return EXIT_SETTINGS
    configure_bounded_logging(f"{settings.host}/control")
    log_event(logger, EventNumber.PROCESS_STARTED, host=settings.host)
    try:
        run_program(_run, settings, settings.control)
    except UnreadableRecord as error:
        print(f"damaskridge-platform: {error}", file=sys.stderr)
        return EXIT_FAILURE
    log_event(logger, EventNumber.PROCESS_STOPPED, host=settings.host)
    return 0


async def _run(settings: PlatformSettings, control: str) -> None:
    # The RPC address is the member's name, so that members need no map of names.
    name = f"{settings.ip}:{settings.rpc_port}"
    folder: DiskFolder | VolatileFolder = VolatileFolder()
    if settings.data_folder is not None:
        folder = DiskFolder(settings.data_folder)
    state = ControlState()
    node = ControlNode(
        name,
        {address: address for address in {name, *settings.control_addresses}},
        folder,
        state,
        random.Random(),
        # A host that is not a seed has another initial membership than the seeds, and
        # could bootstrap a second group beside theirs.
        may_bootstrap=settings.first_start and name in settings.control_addresses,
        is_observer=settings.data_folder is None,
        tolerated_losses=settings.tolerated_losses,
        is_added=not settings.first_start,
        data_centre=settings.data_centre,
    )
    reader = PlatformInstanceListReader(settings.list_address)
    services = control_services(
        node,
        state,
        instances=reader,
        orders=PlatformOrderClient(),
        host=settings.host,
        rate_tolerance=settings.quota_slack,
        leader_wait_s=LEADER_WAIT_S,
    )
    rpc = Server([node.service(), *services], codec=MsgpackCodec())
    await rpc.start(settings.ip, settings.rpc_port)
    port = int(control.rpartition(":")[2])
    proposals = OperatorProposals(node)
    app = operators_app(
        ReplicatedRouting(proposals, state),
        ReplicatedEvacuations(
            proposals, lambda: {*settings.data_centres, settings.data_centre}
        ),
        port,
    )
    operators = listen("control", control).unwrap()
    metrics_address = f"{settings.ip}:{settings.metrics_port + 1}"
    metrics = listen("metrics", metrics_address)
    log_event(logger, EventNumber.PROCESS_READY, host=settings.host)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, node)
        group.start_soon(_ignore_reloads)
        loop_watch = LoopWatch()
        group.start_soon(loop_watch.run)
        group.start_soon(HttpServer(app).run_on, operators)
        if metrics.is_ok():
            metrics_application = metrics_app(
                _metrics(node, state, loop_watch), lambda: True
            )
            group.start_soon(HttpServer(metrics_application).run_on, metrics.unwrap())
        for service in services:
            group.start_soon(service.run)
        await node.run()
        group.cancel_scope.cancel()
    rpc.close()
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await rpc.wait_closed()
    folder.close()


async def _stop_on_signal(node: ControlNode) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            log_event(logger, EventNumber.PROCESS_DRAINING, host=node.name)
            await node.stop()


async def _ignore_reloads() -> None:
    """Ignore SIGHUP: members learn of each other from the log, not from settings."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            pass


def _metrics(node: ControlNode, state: ControlState, loop_watch: LoopWatch) -> Metrics:
    metrics = Metrics()
    install_event_metrics(metrics)
    loop_watch.add_to(metrics)
    metrics.add_gauge("is_leader", "Whether this host leads", lambda: node.is_leader)
    metrics.add_gauge("term", "Term of the replicated log", lambda: node.term)
    metrics.add_gauge(
        "routing_version", "Version in force", lambda: state.data.routing.version
    )
    metrics.add_gauge(
        "data_centres_evacuated",
        "Data centres whose backend servers get no requests",
        lambda: len(evacuated_data_centres(state.data)),
    )
    return metrics
