"""Cost slopes of the control state and the fleet view: memory and CPU time by size."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from bench.slope_fit import Slope, fit_line
from damaskridge.core.requests.bundle_index import BundleIndex
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.view import FleetView
from damaskridge.model import control as mc
from damaskridge.model.bundle import (
    BackendServer,
    BackendServerRole,
    Bundle,
    KeyRecord,
    Model,
    Operator,
    Workspace,
)

__all__ = [
    "CELLS",
    "BACKEND_SERVER_COUNTS",
    "WORKSPACE_COUNTS",
    "build_bundle",
    "memory_bytes",
    "build_state",
    "measure_state",
    "min_cpu_us",
]

BACKEND_SERVER_COUNTS = (10, 100, 500, 1_700)
WORKSPACE_COUNTS = (5, 50, 270)
HOST_COUNTS = (10, 100, 390)
SMALL_SERVER_COUNT, SMALL_WORKSPACE_COUNT = 10, 5
CELLS = 84
DATA_CENTRES = 14
KEYS_PER_WORKSPACE = 10
TIMING_RUNS = 5


def build_bundle(server_count: int, workspaces: int, slots: int = 20) -> Bundle:
    """Return a bundle with `server_count` engines, 6 models and 14 data centres."""
    cells = min(CELLS, max(1, server_count // 2))
    roles = (BackendServerRole.PREFILL, BackendServerRole.DECODE)
    servers = tuple(
        BackendServer(
            f"engine-{n:05}",
            f"cell-{n % cells:03}",
            roles[n // cells % 2],
            f"model-{n % cells % 6}",
            f"dc-{n % cells % DATA_CENTRES}",
            f"10.1.{n // 250}.{n % 250 + 1}:8000",
            slots,
            4000,
        )
        for n in range(server_count)
    )
    keys = tuple(
        KeyRecord(f"{workspace:032x}{n:032x}", f"workspace-{workspace:03}")
        for workspace in range(workspaces)
        for n in range(KEYS_PER_WORKSPACE)
    )
    return Bundle(
        workspaces=tuple(
            Workspace(f"workspace-{n:03}", 1e5, 1e6) for n in range(workspaces)
        ),
        keys=keys,
        operators=(Operator("alice", "a" * 64), Operator("bob", "b" * 64)),
        models=tuple(Model(f"model-{n}", 32_768) for n in range(6)),
        backend_servers=servers,
    )


class StateDriver:
    """Applies commands to a control state, decoded from bytes as in the log."""

    def __init__(self) -> None:
        self.state = ControlState()
        self._index = 0

    def apply(self, command: mc.Command) -> Any:
        data = msgspec.msgpack.encode(command)
        decoded = msgspec.msgpack.decode(data, type=mc.AnyCommand)
        self._index += 1
        applied = self.state.apply(self._index, decoded)
        assert applied.result.failure is None, applied.result.failure
        return applied

    def open_hosts(self, hosts: int, first: int = 0) -> None:
        for n in range(first, hosts):
            self.apply(open_session(n))

    def roll(self, bundle: Bundle, number: int) -> Any:
        self.propose(bundle, number)
        return self.apply(self.roll_command(number))

    def release_moving_owners(self) -> None:
        """Release every ownership that is to move, as the entry hosts do."""
        for owner in list(self.state.data.owners.values()):
            if owner.moving_to:
                self.apply(
                    mc.ReleaseOwnership(
                        command_id=f"release/{owner.resource}/{owner.epoch}",
                        host=owner.host,
                        session=owner.session,
                        resource=owner.resource,
                        epoch=owner.epoch,
                    )
                )

    def propose(self, bundle: Bundle, number: int) -> None:
        self.apply(
            mc.ProposeBundle(command_id=f"p{number}", operator="alice", bundle=bundle)
        )
        self.apply(
            mc.SignOffBundle(
                command_id=f"s{number}",
                operator="bob",
                proposal=f"p{self.state.data.last_proposal}",
            )
        )

    def roll_command(self, number: int) -> mc.RollBundle:
        return mc.RollBundle(
            command_id=f"r{number}",
            operator="alice",
            proposal=f"p{self.state.data.last_proposal}",
            expected_version=self.state.data.version,
        )


def open_session(number: int) -> mc.OpenSession:
    return mc.OpenSession(
        command_id=f"open/{number}",
        host=f"entry-{number:03}",
        incarnation=(1 << 56) + number,
        data_centre=f"dc-{number % DATA_CENTRES}",
        caller_address=f"10.0.{number // 250}.{number % 250 + 1}:443",
        peer_address=f"10.0.{number // 250}.{number % 250 + 1}:7000",
    )


def change_one_server(bundle: Bundle, number: int) -> Bundle:
    servers = list(bundle.backend_servers)
    index = number % len(servers)
    servers[index] = msgspec.structs.replace(servers[index], slots=20 + number % 7)
    return msgspec.structs.replace(bundle, backend_servers=tuple(servers))


def memory_bytes(build: Callable[[], object]) -> int:
    """Return the memory that is in use by the result of `build`."""
    gc.collect()
    tracemalloc.start()
    used_bytes = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del used_bytes
    return used


def min_cpu_us(work: Callable[[], object]) -> float:
    """Return the CPU time of one call: the minimum over several runs."""
    cpu_us = []
    for _ in range(TIMING_RUNS):
        start_s = time.process_time()
        work()
        cpu_us.append((time.process_time() - start_s) * 1e6)
    return min(cpu_us)


def decode_view(data: bytes) -> tuple[FleetView, BundleIndex]:
    view, index = FleetView(), BundleIndex()
    view.restore(msgspec.msgpack.decode(data, type=mc.FleetSnapshot))
    index.workspace_of_key(view, "")
    return view, index


def build_state(server_count: int, workspaces: int, hosts: int) -> StateDriver:
    driver = StateDriver()
    driver.roll(build_bundle(server_count, workspaces), 0)
    driver.open_hosts(hosts)
    driver.release_moving_owners()
    return driver


def measure_views() -> list[Slope]:
    """Measure the fleet view of entry hosts and the control state, by each size."""
    sizes = {
        "runner": [(n, SMALL_WORKSPACE_COUNT, 3) for n in BACKEND_SERVER_COUNTS],
        "workspace": [(SMALL_SERVER_COUNT, n, 3) for n in WORKSPACE_COUNTS],
        "host": [(SMALL_SERVER_COUNT, SMALL_WORKSPACE_COUNT, n) for n in HOST_COUNTS],
    }
    slopes = []
    for column, (per, cases) in enumerate(sizes.items()):
        points: dict[str, list[tuple[float, float]]] = {}
        for case in cases:
            size = case[column]
            data = msgspec.msgpack.encode(build_state(*case).state.fleet_snapshot())
            used_bytes = memory_bytes(lambda data=data: decode_view(data))
            points.setdefault("fleet_view", []).append((size, used_bytes))
            points.setdefault("snapshot", []).append((size, len(data)))
            used_bytes = memory_bytes(lambda case=case: build_state(*case))
            points.setdefault("control_state", []).append((size, used_bytes))
        slopes += [
            fit_line(f"{name}_bytes_per_{per}", "B", per, values)
            for name, values in points.items()
        ]
    return slopes


def measure_stored() -> list[Slope]:
    """Measure control state memory per bundle version, proposal and ledger call."""
    bundle = build_bundle(100, SMALL_WORKSPACE_COUNT)

    def versions(count: int) -> StateDriver:
        driver = StateDriver()
        for n in range(count):
            driver.roll(change_one_server(bundle, n), n)
        return driver

    def proposals(count: int) -> StateDriver:
        driver = StateDriver()
        for n in range(count):
            driver.propose(build_bundle(1_700, 270), n)
        return driver

    def calls(count: int) -> StateDriver:
        driver = build_state(SMALL_SERVER_COUNT, SMALL_WORKSPACE_COUNT, 3)
        for n in range(count):
            for command in ledger_call(n):
                driver.apply(command)
        return driver

    slopes = []
    for name, per, build, counts in (
        ("control_state_bytes_per_version", "version", versions, (10, 50, 150)),
        ("control_state_bytes_per_full_proposal", "proposal", proposals, (1, 3, 6)),
        ("control_state_bytes_per_ledger_call", "call", calls, (100, 1_000, 3_000)),
    ):
        points = [(n, memory_bytes(lambda n=n, build=build: build(n))) for n in counts]
        slopes.append(fit_line(name, "B", per, points))
    encode = [(n, min_cpu_us(calls(n).state.encode)) for n in (1_000, 5_000, 20_000)]
    slopes.append(fit_line("snapshot_encode_us_per_ledger_call", "us", "call", encode))
    return slopes


def ledger_call(number: int) -> tuple[mc.Command, mc.Command]:
    intent_id = f"{number:032x}"
    intent = mc.RecordIntent(
        command_id=intent_id,
        at_ms=1,
        workspace="workspace-000",
        idempotency_key=f"{number:032x}",
        body_digest=f"{number:064x}",
        host="entry-000",
        session=1,
    )
    result = mc.RecordResult(
        command_id=f"{number:031x}r",
        at_ms=1,
        workspace="workspace-000",
        idempotency_key=f"{number:032x}",
        intent_id=intent_id,
        status=200,
        content_type="application/json",
        body=b"x" * 200,
    )
    return intent, result


def measure_changes() -> list[Slope]:
    """Measure a roll and a session change, at the leader and at an entry host."""
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def add(name: str, unit: str, per: str, size: float, value: float) -> None:
        points.setdefault((name, unit, per), []).append((size, value))

    for server_count in BACKEND_SERVER_COUNTS:
        driver = build_state(server_count, 270, 390)
        bundle = build_bundle(server_count, 270)
        proposal = mc.ProposeBundle(command_id="", operator="alice", bundle=bundle)
        size = len(msgspec.msgpack.encode(proposal))
        add("propose_bytes_per_runner", "B", "runner", server_count, size)
        cpu_us, applied_us, sizes = [], [], []
        for n in range(1, 4):
            driver.propose(change_one_server(bundle, n), n)
            view = FleetView()
            view.restore(driver.state.fleet_snapshot())
            command = driver.roll_command(n)
            start_s = time.process_time()
            delta = driver.apply(command).delta
            cpu_us.append((time.process_time() - start_s) * 1e6)
            sizes.append(len(msgspec.msgpack.encode(delta)))
            start_s = time.process_time()
            view.apply_delta(delta)
            applied_us.append((time.process_time() - start_s) * 1e6)
        add("roll_us_per_runner", "us", "runner", server_count, min(cpu_us))
        add("view_roll_us_per_runner", "us", "runner", server_count, min(applied_us))
        add("roll_delta_bytes_per_runner", "B", "runner", server_count, max(sizes))
    for hosts in HOST_COUNTS:
        for name, unit, per, value in measure_sessions(hosts):
            size = mean_resources_per_host(hosts) if per == "resource" else hosts
            add(name, unit, per, size, value)
        driver = build_state(1_700, 270, hosts)
        bundle = build_bundle(1_700, 270)
        cpu_us = []
        for n in range(1, 4):
            driver.propose(change_one_server(bundle, n), n)
            command = driver.roll_command(n)
            start_s = time.process_time()
            driver.apply(command)
            cpu_us.append((time.process_time() - start_s) * 1e6)
        add("roll_us_per_host", "us", "host", hosts, min(cpu_us))
    return [fit_line(*key, values) for key, values in points.items()]


def mean_resources_per_host(hosts: int) -> float:
    """Return the mean number of workspaces and cells that a host owns."""
    return (270 + CELLS) / hosts


def measure_sessions(hosts: int) -> list[tuple[str, str, str, float]]:
    """Expire and reopen sessions of several hosts; return the means per session."""
    driver = build_state(1_700, 270, hosts)
    count = min(hosts - 1, 30)
    lost_us = opened_us = delta_bytes = 0.0
    for n in range(count):
        name = f"entry-{n:03}"
        number = driver.state.data.sessions[name].number
        expire = mc.ExpireSession(command_id=f"e{n}", host=name, session=number)
        start_s = time.process_time()
        delta = driver.apply(expire).delta
        lost_us += (time.process_time() - start_s) * 1e6
        delta_bytes += len(msgspec.msgpack.encode(delta))
        reopen = msgspec.structs.replace(open_session(n), command_id=f"o{n}")
        start_s = time.process_time()
        driver.apply(reopen)
        opened_us += (time.process_time() - start_s) * 1e6
        driver.release_moving_owners()
    return [
        ("session_loss_us_per_host", "us", "host", lost_us / count),
        ("session_open_us_per_host", "us", "host", opened_us / count),
        ("session_loss_bytes_per_resource", "B", "resource", delta_bytes / count),
    ]


def measure_state() -> list[Slope]:
    return [
        *measure_views(),
        *measure_stored(),
        *measure_changes(),
    ]
