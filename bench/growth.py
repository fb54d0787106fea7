"""Processor time per request of a cell that is full and has queues."""

import itertools
import math
import random
import time
from collections import deque

import msgspec

from bench.figures import Figure, quantile
from bench.policies import OWN
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

__all__ = ["SIZES", "FullCell", "decision_time_us", "measure_growth"]

SLOTS = 20
OUTPUT_TOKENS = 50
STEP_S = 0.04
# Below what overload control refuses at the smallest cell.
QUEUED_PER_WORKSPACE = 1
SIZES = ((10, 5), (100, 5), (1700, 5), (10, 270), (1700, 270))


class FullCell:
    """A cell whose slots are all taken, with requests of every workspace queued."""

    def __init__(self, servers: int, spaces: int) -> None:
        role = BackendServerRole
        base = BackendServer("", "c", role.DECODE, "m", "dc", "", SLOTS, 4000)
        fleet = tuple(
            msgspec.structs.replace(
                base, name=f"e{n}", role=role.PREFILL if n % 5 < 2 else role.DECODE
            )
            for n in range(servers)
        )
        self._spaces = spaces
        self._slots = SLOTS * sum(item.role is role.DECODE for item in fleet)
        self._number = itertools.count()
        self._running: deque[str] = deque()
        self.cell = CellScheduler(random.Random(1))
        names = tuple(Workspace(f"w{n}", 1e9, 1e9) for n in range(spaces))
        self.cell.handle(sm.CellGained("c", 1, fleet, names, ()), 0.0)
        self.now_s = 10.0
        # Arrivals keep all slots busy: one request ends for every one that comes.
        self.gap_s = OUTPUT_TOKENS * STEP_S / self._slots

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self.cell._dispatcher.queue)

    def fill(self) -> None:
        """Fill the slots and the queues."""
        target = QUEUED_PER_WORKSPACE * self._spaces
        while self.queued < target:
            self.now_s += self.gap_s
            self.submit()

    def submit(self) -> None:
        """Submit one request of the next workspace."""
        number = next(self._number)
        profile = RequestProfile(
            resource="c",
            epoch=1,
            request_id=f"r{number}",
            attempt=1,
            workspace=f"w{number % self._spaces}",
            front="f",
            incarnation=1,
            route="/v1",
            model="m",
            prompt_tokens=300,
            max_output_tokens=200,
        )
        self._note(self.cell.handle(sm.RequestSubmitted(profile), self.now_s))

    def finish(self) -> None:
        """End the oldest running request."""
        item = Progress(
            request_id=self._running.popleft(),
            attempt=1,
            phase=RequestPhase.FINISHED,
            output_tokens=OUTPUT_TOKENS,
        )
        batch = ProgressBatch(
            resource="c", epoch=1, front="f", incarnation=1, items=(item,)
        )
        self._note(self.cell.handle(sm.ProgressReported(batch), self.now_s))

    def _note(self, actions: list) -> None:
        for action in actions:
            if isinstance(action.reply, Placement):
                self._running.append(action.request_id)


def decision_time_us(servers: int, spaces: int, requests: int = 1500) -> float:
    """Return the median CPU time per request; the median ignores other processes."""
    full = FullCell(servers, spaces)
    full.fill()
    spent = []
    for _ in range(requests):
        full.now_s += full.gap_s
        start_s = time.process_time()
        full.submit()
        full.finish()
        spent.append(time.process_time() - start_s)
        assert full.queued, "the queues stay filled"
    return quantile(spent, 0.5) * 1e6


def measure_growth(sizes: tuple[tuple[int, int], ...] = SIZES) -> list[Figure]:
    """Return CPU time per request by size, and its growth against the logarithm."""
    found = {}
    figures = []
    for servers, spaces in sizes:
        value = decision_time_us(servers, spaces)
        found[servers, spaces] = value
        name = f"cpu_per_request_{servers}_servers_{spaces}_workspaces"
        figures.append(Figure(name, "synthetic", 1.0, OWN, value, "us"))
    for name, big, bound in (
        ("cpu_growth_servers", (1700, 5), math.log(1700) / math.log(10)),
        ("cpu_growth_workspaces", (10, 270), math.log(270) / math.log(5)),
    ):
        value = found[big] / found[10, 5]
        figures.append(Figure(name, "synthetic", 1.0, OWN, value, "1", bound, True))
    return figures
