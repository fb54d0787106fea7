"""Guards against work for load reports that grows with the square of the hosts."""

import random

from damaskridge.core.gateway.load_aggregator import (
    ACTIVE_REQUESTS,
    ACTIVE_S,
    KEPT_EMPTY,
    LoadAggregator,
)
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.model.control import InstanceLoad, LoadSeen, ReportLoad

LONG_AGO_S = -20 * ACTIVE_S


class Fleet:
    """Hosts whose reports and news are applied as over the leader."""

    def __init__(self, size):
        self.board = LoadAggregator()
        self.books = [LoadTracker(random.Random(number)) for number in range(size)]
        for number in range(size):
            self.board.join(number, LONG_AGO_S)

    def make_active(self, number, now_s=0.0):
        """Report enough requests, all of which have ended."""
        requests = {"other": InstanceLoad(int(ACTIVE_REQUESTS))}
        self.board.report(number, ReportLoad(load=requests), now_s)
        ended = {"other": InstanceLoad()}
        self.board.report(number, ReportLoad(load=ended), now_s)
        self.tell(number, now_s)

    def report(self, number, now_s=0.0):
        load = self.books[number].pop_unreported(everything=False)
        self.board.report(number, ReportLoad(load=load), now_s)

    def tell(self, number, now_s=0.0):
        next_update = self.board.next_update(number, now_s)
        if next_update is None:
            return 0
        if next_update.is_whole:
            self.books[number].clear_remote_load()
        self.books[number].update_remote_load(next_update.load)
        return len(next_update.load)


def test_all_active_hosts_agree_with_what_is_in_flight():
    """Random starts and ends on many hosts, told in any order."""
    rng = random.Random(4)
    fleet, truth, running = Fleet(30), {}, []
    for step in range(4000):
        number, name = rng.randrange(30), f"s{rng.randrange(12)}"
        if running and rng.random() < 0.5:
            number, request, name = running.pop(rng.randrange(len(running)))
            fleet.books[number].finish(request, name)
            truth[name] -= 1
        else:
            request = f"r{step}"
            fleet.books[number].start(request, name, InstanceLoad(1, 10, 20))
            running.append((number, request, name))
            truth[name] = truth.get(name, 0) + 1
        fleet.report(number, step / 1000)
        fleet.tell(rng.randrange(30), step / 1000)
    active = [n for n in range(30) if fleet.board.is_active(n, 4.0)]
    assert len(active) == 30
    for number in active:
        fleet.tell(number, 4.0)
        for name, requests in truth.items():
            assert fleet.books[number].total(name).requests == requests


def test_news_name_only_what_others_changed():
    fleet = Fleet(200)
    for number in range(20):
        fleet.make_active(number)
    for number in range(20):
        fleet.tell(number)
    for number in range(20):
        fleet.books[number].start(f"r{number}", f"s{number}", InstanceLoad(1))
        fleet.report(number)
    # A host is not told again of what only it has changed.
    assert fleet.tell(0) == 19
    fleet.books[0].start("again", "s0", InstanceLoad(1))
    fleet.report(0)
    assert fleet.tell(0) == 0
    assert fleet.tell(1) == 19
    fleet.books[1].start("one", "s7", InstanceLoad(1))
    fleet.report(1)
    assert fleet.tell(0) == 1


def test_hosts_without_requests_cost_no_news_of_load():
    fleet = Fleet(390)
    for step in range(100):
        number = step % 10
        fleet.books[number].start(f"r{step}", f"s{step % 40}", InstanceLoad(1))
        fleet.report(number, step / 100)
    told = sum(fleet.tell(number, 1.0) for number in range(10, 390))
    assert told == 0
    assert fleet.board.active_count(1.0) == 10


def test_a_host_that_gets_requests_again_is_told_everything():
    fleet = Fleet(3)
    fleet.make_active(1)
    fleet.books[0].start("r", "a", InstanceLoad(1))
    fleet.books[1].start("r", "b", InstanceLoad(1))
    fleet.report(0)
    fleet.report(1)
    fleet.tell(1)
    assert fleet.books[1].total("a") == InstanceLoad(1)
    fleet.books[0].finish("r", "a")
    fleet.report(0, 1.0)
    late_s = 10 * ACTIVE_S
    assert fleet.tell(1, late_s) == 0
    # What it knew has been forgotten, and it is not told of what is new.
    assert fleet.books[1].total("a") == InstanceLoad()
    fleet.books[0].start("r2", "c", InstanceLoad(1))
    fleet.report(0, late_s)
    assert fleet.tell(1, late_s) == 0
    fleet.make_active(1, late_s)
    assert fleet.books[1].total("c") == InstanceLoad(1)


def test_a_request_every_few_seconds_does_not_make_a_host_active():
    """Operators' tests reach every host; news for 200 hosts took 0.8 s to go round."""
    fleet = Fleet(200)
    for step in range(200):
        for number in range(0, 200, 20):
            now_s = 0.5 * step + number / 1000
            request = f"r{step}"
            # One host gets two requests a second, the others one in ten seconds.
            if number == 0 or step % 20 == number // 20:
                fleet.books[number].start(request, "s", InstanceLoad(1))
                fleet.report(number, now_s)
                fleet.books[number].finish(request, "s")
                fleet.report(number, now_s)
    assert fleet.board.active_count(100.0) == 1


def test_admissions_are_told_to_hosts_without_requests_too():
    board = LoadAggregator()
    board.join("x", LONG_AGO_S)
    board.join("y", LONG_AGO_S)
    board.report("x", ReportLoad(usage={"w": 5.0}), 0.0)
    board.report("x", ReportLoad(usage={"w": 2.0}), 0.1)
    assert board.next_update("y", 0.2) == LoadSeen(usage={"w": 7.0})
    assert board.next_update("y", 0.3) is None
    assert board.next_update("x", 0.3) is None
    board.join("z", LONG_AGO_S)
    assert board.next_update("z", 0.3) is None


def test_servers_that_are_gone_are_forgotten():
    fleet = Fleet(2)
    for number in range(10 * KEPT_EMPTY):
        fleet.books[0].start("r", f"s{number}", InstanceLoad(1))
        fleet.report(0)
        fleet.books[0].finish("r", f"s{number}")
        fleet.report(0)
    assert len(fleet.board._changes) <= KEPT_EMPTY + 1
    assert fleet.board.total() == {}
