"""Randomised runs: leaked reservations, duplicate placements, starvation."""

import random

import pytest

from damaskridge.core.scheduling import messages as m
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace
from damaskridge.model.routing import (
    Placement,
    Progress,
    ProgressBatch,
    RequestPhase,
    RequestProfile,
)

ROLE = BackendServerRole
WORKSPACES = tuple(Workspace(f"w{n}", 1e6, 1e6, n + 1.0) for n in range(3))
ENGINES = tuple(
    BackendServer(
        f"e{n}",
        "c",
        ROLE.PREFILL if n < 2 else ROLE.DECODE,
        "m",
        "dc",
        "",
        6,
        kv_pieces=1200,
    )
    for n in range(5)
)


def profile(rng, number, attempt=1, excluded=()):
    return RequestProfile(
        resource="c",
        epoch=1,
        request_id=f"r{number}",
        attempt=attempt,
        workspace=rng.choice(WORKSPACES).name,
        front=f"f{number % 3}",
        incarnation=1,
        route="/v1",
        model="m",
        prompt_tokens=rng.choice([50, 400, 4000]),
        max_output_tokens=300,
        fingerprint=f"p{number}",
        excluded=excluded,
    )


class Run:
    """Fronts that submit, finish, retry and withdraw requests at random, or die."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cell = CellScheduler(random.Random(seed))
        self.open_requests, self.placements, self.first_placements, self.cancelled = (
            {},
            {},
            {},
            set(),
        )
        self.number, self.dead_fronts = 0, set()
        self.send(m.CellGained("c", 1, ENGINES, WORKSPACES, ()), 0.0)

    def send(self, event, now_s):
        for action in self.cell.handle(event, now_s):
            if isinstance(action, m.SendSubmitResponse):
                response = action.response
                if not isinstance(response, Placement):
                    self.open_requests.pop(action.request_id, None)
                    continue
                key = (response.request_id, response.attempt)
                assert self.first_placements.setdefault(key, response) == response
                if action.request_id in self.open_requests:
                    self.placements[action.request_id] = response
            elif isinstance(action, m.CancelOnEngine):
                self.cancelled.add(action.engine_request_id)
        for server in self.cell._placer.servers.values():
            assert 0 <= server.used_slots <= server.spec.slots
            assert 0 <= server.used_pieces <= server.spec.kv_pieces

    def step(self, now_s):
        draw = self.rng.random()
        if draw < 0.45 or not self.placements:
            self.number += 1
            item = profile(self.rng, self.number)
            if item.front in self.dead_fronts:
                return
            self.open_requests[item.request_id] = item
            self.send(m.RequestSubmitted(item), now_s)
        elif draw < 0.9:
            self.finish(self.rng.choice(list(self.placements)), now_s)
        elif draw < 0.93:
            name = self.rng.choice(list(self.open_requests))
            self.open_requests.pop(name)
            self.placements.pop(name, None)
            self.send(m.RequestWithdrawn(name), now_s)
        elif draw < 0.94:
            self.retry(self.rng.choice(list(self.placements)), now_s)
        elif draw < 0.945:
            name = self.rng.choice(ENGINES[2:]).name
            self.send(m.ServerFailed(name, 0, self.rng.random() < 0.5), now_s)
            self.send(m.ServerRecovered(name), now_s + 0.01)
        else:
            self.send_heartbeats(now_s)

    def send_heartbeats(self, now_s):
        for front in ("f0", "f1", "f2"):
            if front not in self.dead_fronts:
                self.report_progress(front, now_s)

    def report_progress(self, front, now_s, *items):
        batch = ProgressBatch(
            resource="c", epoch=1, front=front, incarnation=1, items=items
        )
        self.send(m.ProgressReported(batch), now_s)

    def finish(self, name, now_s):
        item, placement = self.open_requests.pop(name), self.placements.pop(name)
        done = Progress(
            request_id=name,
            attempt=placement.attempt,
            phase=RequestPhase.FINISHED,
            output_tokens=self.rng.randint(1, 300),
        )
        self.report_progress(item.front, now_s, done)

    def retry(self, name, now_s):
        placement = self.placements.pop(name)
        item = profile(
            self.rng, int(name[1:]), placement.attempt + 1, (placement.decode_server,)
        )
        self.open_requests[name] = item
        self.send(m.RequestSubmitted(item), now_s)

    def drain(self, now_s):
        """Finish all requests; queued ones have to be placed in time."""
        for _ in range(4000):
            now_s += 0.05
            self.send_heartbeats(now_s)
            if self.placements:
                self.finish(next(iter(self.placements)), now_s)
            elif not self.open_requests:
                break
        return now_s


@pytest.mark.parametrize("seed", range(10))
def test_every_request_ends_and_every_reservation_is_freed(seed):
    run, now_s = Run(seed), 0.0
    for _ in range(1500):
        now_s += run.rng.expovariate(30)
        run.step(now_s)
    run.dead_fronts.add("f1")
    lost = {
        n: p for n, p in run.placements.items() if run.open_requests[n].front == "f1"
    }
    for name in [n for n, item in run.open_requests.items() if item.front == "f1"]:
        del run.open_requests[name]
        run.placements.pop(name, None)
    run.send_heartbeats(now_s)
    now_s = run.drain(now_s)
    for _ in range(30):
        now_s += 0.25
        run.send_heartbeats(now_s)
    assert not run.open_requests
    for server in run.cell._placer.servers.values():
        assert (server.used_slots, server.used_pieces, server.suspect_count) == (
            0,
            0,
            0,
        )
    for name, placement in lost.items():
        assert f"{name}.{placement.attempt}" in run.cancelled
    assert not run.cell._registry.entries
