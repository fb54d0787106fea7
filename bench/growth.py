"""CPU time of the scheduler per request, in a saturated cell with queued requests."""

import itertools
import math
import random
import time
from collections import deque

import msgspec

from bench.figures import Figure, quantile
from bench.policies import OWN_POLICY
from damaskridge.core.scheduling import messages as sm
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace
from damaskridge.model.routing import (
    Placement,
    Progress,
    ProgressBatch,
    RequestPhase,
    RequestProfile,
)

__all__ = ["CELL_SIZES", "SaturatedCell", "cpu_per_request_us", "measure_cpu_growth"]

SLOTS_PER_SERVER = 20
OUTPUT_TOKENS = 50
STEP_S = 0.04
# Low enough that overload control refuses no request in the smallest cell.
QUEUED_PER_WORKSPACE = 1
CELL_SIZES = ((10, 5), (100, 5), (1700, 5), (10, 270), (1700, 270))


class SaturatedCell:
    """A scheduler with all slots in use and queued requests of every workspace."""

    def __init__(self, servers: int, workspaces: int) -> None:
        role = BackendServerRole
        base = BackendServer(
            "", "c", role.DECODE, "m", "dc", "", SLOTS_PER_SERVER, 4000
        )
        fleet = tuple(
            msgspec.structs.replace(
                base, name=f"e{n}", role=role.PREFILL if n % 5 < 2 else role.DECODE
            )
            for n in range(servers)
        )
        self._workspaces = workspaces
        self._slots = SLOTS_PER_SERVER * sum(item.role is role.DECODE for item in fleet)
        self._request_numbers = itertools.count()
        self._running_ids: deque[str] = deque()
        self.cell = CellScheduler(random.Random(1))
        workspace_specs = tuple(Workspace(f"w{n}", 1e9, 1e9) for n in range(workspaces))
        self.cell.handle(sm.CellGained("c", 1, fleet, workspace_specs, ()), 0.0)
        self.now_s = 10.0
        # Each arrival replaces a finished request, so all slots stay in use.
        self.arrival_gap_s = OUTPUT_TOKENS * STEP_S / self._slots

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self.cell._dispatcher.queue)

    def saturate(self) -> None:
        """Submit requests until all slots are in use and the queues are filled."""
        target = QUEUED_PER_WORKSPACE * self._workspaces
        while self.queued < target:
            self.now_s += self.arrival_gap_s
            self.submit()

    def submit(self) -> None:
        """Submit one request, cycling through the workspaces."""
        number = next(self._request_numbers)
        profile = RequestProfile(
            resource="c",
            epoch=1,
            request_id=f"r{number}",
            attempt=1,
            workspace=f"w{number % self._workspaces}",
            front="f",
            incarnation=1,
            route="/v1",
            model="m",
            prompt_tokens=300,
            max_output_tokens=200,
        )
        self._record_placements(
            self.cell.handle(sm.RequestSubmitted(profile), self.now_s)
        )

    def finish(self) -> None:
        """Report the oldest running request as finished."""
        item = Progress(
            request_id=self._running_ids.popleft(),
            attempt=1,
            phase=RequestPhase.FINISHED,
            output_tokens=OUTPUT_TOKENS,
        )
        batch = ProgressBatch(
            resource="c", epoch=1, front="f", incarnation=1, items=(item,)
        )
        self._record_placements(
            self.cell.handle(sm.ProgressReported(batch), self.now_s)
        )

    def _record_placements(self, actions: list) -> None:
        for action in actions:
            if isinstance(action.response, Placement):
                self._running_ids.append(action.request_id)


def cpu_per_request_us(servers: int, workspaces: int, requests: int = 1500) -> float:
    """Return the median CPU time per request.

    The median limits the effect of other processes on the machine.
    """
    saturated = SaturatedCell(servers, workspaces)
    saturated.saturate()
    cpu_s = []
    for _ in range(requests):
        saturated.now_s += saturated.arrival_gap_s
        start_s = time.process_time()
        saturated.submit()
        saturated.finish()
        cpu_s.append(time.process_time() - start_s)
        assert saturated.queued, "the cell must always have queued requests"
    return quantile(cpu_s, 0.5) * 1e6


def measure_cpu_growth(sizes: tuple[tuple[int, int], ...] = CELL_SIZES) -> list[Figure]:
    """Return CPU time per request by cell size, and its growth between sizes.

    The bounds on the growth allow a logarithmic dependency on the size.
    """
    cpu_us = {}
    figures = []
    for servers, workspaces in sizes:
        value = cpu_per_request_us(servers, workspaces)
        cpu_us[servers, workspaces] = value
        name = f"cpu_per_request_{servers}_servers_{workspaces}_workspaces"
        figures.append(Figure(name, "synthetic", 1.0, OWN_POLICY, value, "us"))
    for name, size, bound in (
        ("cpu_growth_servers", (1700, 5), math.log(1700) / math.log(10)),
        ("cpu_growth_workspaces", (10, 270), math.log(270) / math.log(5)),
    ):
        value = cpu_us[size] / cpu_us[10, 5]
        figures.append(
            Figure(name, "synthetic", 1.0, OWN_POLICY, value, "1", bound, True)
        )
    return figures
