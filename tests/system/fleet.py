"""Entry hosts built from the product's classes, connected by simulated channels."""

import asyncio
import random

from grpclib.exceptions import GRPCError
from result import Err, Ok

from damaskridge.adapters.cell_runtime import CellRuntime
from damaskridge.adapters.front import Front
from damaskridge.adapters.front_settings import FrontSettings
from damaskridge.adapters.http.app import CallerApp
from damaskridge.adapters.owners import OwnerRuntimes
from damaskridge.adapters.rate_runtime import RateRuntime
from damaskridge.adapters.rpc.control_client import ControlClient
from damaskridge.adapters.rpc.peer_client import CellClient, FrontClient, RateClient
from damaskridge.adapters.rpc.peer_messages import UNARY_METHODS, ResumeItem
from damaskridge.adapters.rpc.peer_server import PeerService, method_path
from damaskridge.model.errors import ErrorKind, Failure
from tests.system.control import SimulatedLeaderClient
from tests.system.fakes import EngineClient, HostList, ServiceClient
from tests.system.invariants import RecordingCellScheduler, RecordingRateOwner
from tests.system.network import Pipe, Process, create_world_task

__all__ = ["SimulatedEntryHost"]

# Time to detect a silent connection: one ping period plus the ping timeout.
SILENCE_TIMEOUT_S = 1.5
KEEP_S = 1.0
_DUPLICATED_METHODS = {
    "Reserve", "Refund", "KeyEnded", "Submit", "Withdraw", "Report", "Register",
    "TakeOver", "TakenOver",
}  # fmt: skip


class _UnaryStream:
    """The stream that a handler of the peer service gets for a unary call."""

    def __init__(self, message):
        self.message, self.response = message, None

    async def recv_message(self):
        return self.message

    async def send_message(self, response):
        self.response = response


class _ItemStream(_UnaryStream):
    def __init__(self, message, pipe):
        super().__init__(message)
        self._pipe = pipe

    async def send_message(self, response):
        self._pipe.send(response)


class SimulatedChannels:
    """`PeerChannels` of one entry host over the simulated network."""

    def __init__(self, owner, network, world):
        self._owner, self._network, self._world = owner, network, world

    async def call(self, address, name, message, timeout_s):
        task = asyncio.ensure_future(self._invoke(address, name, message))
        silence = asyncio.ensure_future(self._wait_until_silent(address))
        try:
            waits = {task, silence}
            await asyncio.wait(
                waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            silence.cancel()
            if not task.done():
                task.cancel()
        if task.done() and not task.cancelled():
            return task.result()
        return _unavailable("silent" if silence.done() else "timed out")

    async def _wait_until_silent(self, address, pipe=None):
        """Return once the target has been unreachable for `SILENCE_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        silent_since_s = None
        while True:
            target = self._world.host_at(address)
            silent = target is None or self._network.is_cut(
                self._owner.name, target.process.name
            )
            if pipe is not None and not pipe.source.alive:
                return
            silent = silent or (pipe is not None and pipe.silent)
            if not silent:
                silent_since_s = None
            elif silent_since_s is None:
                silent_since_s = loop.time()
            elif loop.time() - silent_since_s >= SILENCE_TIMEOUT_S:
                return
            await asyncio.sleep(0.25)

    async def _invoke(self, address, name, message):
        network = self._network
        target = self._world.host_at(address)
        if target is None:
            await asyncio.sleep(0.001)
            return _unavailable("refused")
        process = target.process
        if not network.delivers(self._owner, process.name):
            return await _fail_as_silent()
        delay_s = network.delay_s()
        if (
            name in _DUPLICATED_METHODS
            and network.rng.random() < network.duplicate_probability
        ):
            network.events["duplicated"] += 1
            late_s = network.rng.uniform(0, 0.3)
            create_world_task(self._serve_duplicate(target, name, message, late_s))
        await asyncio.sleep(delay_s)
        if network.is_cut(self._owner.name, process.name):
            return await _fail_as_silent()
        if not process.alive:
            return _unavailable("reset")
        served = process.start(_serve(target, name, message))
        try:
            await asyncio.wait({served})
        finally:
            if not served.done() and network.delivers(self._owner, process.name):
                served.cancel()
        if not process.alive or served.cancelled():
            return _unavailable("reset")
        if not network.delivers(process, self._owner.name):
            return await _fail_as_silent()
        await asyncio.sleep(network.delay_s())
        error = served.exception()
        if isinstance(error, GRPCError):
            return _unavailable("error")
        if error is not None:
            raise error
        return Ok(served.result())

    async def _serve_duplicate(self, target, name, message, late_s):
        await asyncio.sleep(late_s)
        if target.process.alive:
            target.process.start(_serve(target, name, message))

    async def resume(self, address, message):
        network = self._network
        target = self._world.host_at(address)
        if target is None:
            yield ResumeItem(failure=_unavailable("refused").err_value)
            return
        process = target.process
        if not network.delivers(self._owner, process.name):
            await asyncio.sleep(SILENCE_TIMEOUT_S)
            yield ResumeItem(failure=_unavailable("silent").err_value)
            return
        await asyncio.sleep(network.delay_s())
        pipe = Pipe(network, process, self._owner.name)
        handler = target.peers.__mapping__()[method_path("Resume")].func
        served = process.start(_serve_items(handler, message, pipe))
        silence = asyncio.ensure_future(self._wait_until_silent(address, pipe))
        try:
            while True:
                item = asyncio.ensure_future(pipe.receive())
                waits = {item, silence}
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                if not item.done():
                    item.cancel()
                    yield ResumeItem(failure=_unavailable("silent").err_value)
                    return
                if item.result() is None:
                    return
                yield item.result()
        finally:
            silence.cancel()
            served.cancel()


async def _serve(target, name, message):
    assert isinstance(message, UNARY_METHODS[name][0]), name
    stream = _UnaryStream(message)
    await target.peers.__mapping__()[method_path(name)].func(stream)
    return stream.response


async def _serve_items(handler, message, pipe):
    await handler(_ItemStream(message, pipe))
    pipe.send(None)


async def _fail_as_silent():
    """Fail after the time in which a ping detects a silent connection."""
    await asyncio.sleep(SILENCE_TIMEOUT_S)
    return _unavailable("silent")


def _unavailable(reason):
    return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, reason))


class SimulatedEntryHost:
    """One process of an entry host, assembled as in `binaries.entry_host`."""

    def __init__(self, name, incarnation, data_centre, clock_rate, world):
        self.name, self.incarnation, self.world = name, incarnation, world
        self.process = Process(name, clock_rate)
        self.draining = False
        self.versions = []
        network = world.network
        network.add(self.process)
        self.process.run(self._build, data_centre, network)

    def _build(self, data_centre, network):
        world, name, process = self.world, self.name, self.process
        rng = random.Random(world.rng.random())
        self.control = ControlClient(
            control_addresses=["control"],
            host=name,
            incarnation=self.incarnation,
            data_centre=data_centre,
            caller_address=f"{name}:1",
            peer_address=f"{name}:2",
            leader_client=SimulatedLeaderClient(process, world.control, network, rng),
        )
        channels = SimulatedChannels(process, network, world)
        fronts = FrontClient(name, self.incarnation, self.control, channels)
        clients = {
            item.address: EngineClient(process, item, network)
            for item in world.engines.values()
        }
        self.machines = []
        self.owners = OwnerRuntimes(
            RateRuntime(
                host=name,
                control=self.control,
                rate_owner=RecordingRateOwner(rng, world),
                fetch_active_keys=fronts.active_keys,
            ),
            CellRuntime(
                host=name,
                control=self.control,
                new_scheduler=lambda: RecordingCellScheduler(rng, world),
                engine_for=clients.__getitem__,
                host_list=HostList(process, network, world),
                fetch_active_requests=fronts.active_requests,
                notify_taken_over=fronts.notify_taken_over,
            ),
        )
        self.front = Front(
            host=name,
            incarnation=self.incarnation,
            data_centre=data_centre,
            control=self.control,
            rates=RateClient(name, self.control, channels, self.owners.rates),
            cells=CellClient(name, self.control, channels, self.owners.cells),
            peers=fronts,
            engine_for=clients.__getitem__,
            services=ServiceClient(process, network, world),
            settings=FrontSettings(keep_s=KEEP_S, prefill_s=6.0, service_timeout_s=6.0),
        )
        fronts.attach(self.front)
        self.control.on_change(self._handle_change)
        self.peers = PeerService(
            incarnation=self.incarnation,
            rates=self.owners.rates,
            cells=self.owners.cells,
            front=self.front,
        )
        self.app = CallerApp(self.front)
        for part in (self.control, self.owners, self.front):
            process.start(self._report_failure(part.run()))

    def _handle_change(self, changes):
        self.world.invariants.record_version(self, self.control.fleet.version)
        self.owners.sync_ownership()

    async def _report_failure(self, work):
        try:
            await work
        except Exception as error:
            if self.process.alive:
                self.world.invariants.report_violation(
                    f"{self.name} stopped: {error!r}", error
                )
            raise

    async def drain(self):
        """Stop as on SIGTERM, in the same steps as `EntryHost._drain`."""
        self.draining = True
        loop = asyncio.get_running_loop()
        drained_s = loop.time() + KEEP_S
        await asyncio.wait(
            {asyncio.ensure_future(self.control.begin_drain())}, timeout=KEEP_S
        )
        await asyncio.sleep(max(0.0, drained_s - loop.time()))
        self.front.begin_drain()
        await self.front.wait_idle()
        while True:
            await asyncio.sleep(0.1)
            if not self.world.connections[self.name]:
                break
        release = asyncio.ensure_future(self.owners.release_all())
        await asyncio.wait({release}, timeout=4.0)
        release.cancel()
        close = asyncio.ensure_future(self.control.close())
        await asyncio.wait({close}, timeout=2.0)
