"""Guards against hosts that send to a server which others have filled."""

import random

from damaskridge.core.gateway.load_aggregator import LoadAggregator
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.model.control import InstanceLoad, ReportLoad
from damaskridge.model.gateway import BackendInstance


def server(name, place="west", slots=4):
    return BackendInstance(
        instance=name, service="s", address=name, data_centre=place, slots=slots
    )


A, B = server("a"), server("b", "east")


def share(books):
    """Let every book hear of the others, as over the leader."""
    board = LoadAggregator()
    for number, book in enumerate(books):
        board.join(number, 0.0)
        board.report(number, ReportLoad(load=book.pop_unreported(everything=True)), 0.0)
    for number, book in enumerate(books):
        next_update = board.next_update(number, 0.0)
        if next_update is not None:
            book.update_remote_load(next_update.load)


def test_the_work_of_other_hosts_counts():
    books = [LoadTracker(random.Random(seed)) for seed in range(3)]
    books[0].start("r1", "a", InstanceLoad(1, 5000, 5000))
    books[1].start("r2", "a", InstanceLoad(1, 3000, 3000))
    share(books)
    assert books[2].total("a") == InstanceLoad(2, 8000, 8000)
    assert books[0].total("a") == InstanceLoad(2, 8000, 8000)
    assert books[2].shortest_prefill_queue([A, B], "west") is B
    assert books[2].least_memory_used([A, B], "west") is B


def test_work_that_ended_is_reported_once():
    book = LoadTracker(random.Random(1))
    book.start("r1", "a", InstanceLoad(1))
    assert book.pop_unreported(everything=False) == {"a": InstanceLoad(1)}
    assert book.pop_unreported(everything=False) == {}
    book.finish("r1", "a")
    assert book.pop_unreported(everything=False) == {"a": InstanceLoad()}


def test_a_host_that_left_has_nothing_in_flight():
    board = LoadAggregator()
    board.join("x", 0.0)
    board.join("y", 0.0)
    board.report("x", ReportLoad(load={"a": InstanceLoad(2)}), 0.0)
    assert board.next_update("y", 0.0).load == {"a": InstanceLoad(2)}
    board.leave("x")
    assert board.next_update("y", 0.0).load == {"a": InstanceLoad()}


def test_a_host_is_told_what_others_admitted_and_not_its_own():
    board = LoadAggregator()
    for name in "xyz":
        board.join(name, 0.0)
    board.report("x", ReportLoad(usage={"w": 5.0}), 0.0)
    board.report("y", ReportLoad(usage={"w": 2.0}), 0.0)
    assert board.next_update("x", 0.0).usage == {"w": 2.0}
    assert board.next_update("z", 0.0).usage == {"w": 7.0}
    assert board.next_update("z", 0.0) is None


def test_the_nearest_of_equal_servers_is_chosen():
    book = LoadTracker(random.Random(1))
    assert {book.least_loaded([A, B], "east").instance for _ in range(9)} == {"b"}
    book.start("r", "b", InstanceLoad(1))
    assert book.least_loaded([A, B], "east") is A


def test_an_engine_is_not_promised_to_more_generations_than_it_can_hold_at_their_end():
    """An engine admits by what is in use now, and preempts when the rest has grown."""
    book = LoadTracker(random.Random(1))
    memory_tokens, tokens = 109_000, 8_200
    placed = 0
    while book.with_free_memory([A], tokens, memory_tokens):
        book.start(f"r{placed}", "a", InstanceLoad(1, memory_tokens=tokens))
        placed += 1
    assert placed == 12
    # At random points of their life they need more than the memory in one of 100 cases.
    rng, over = random.Random(2), 0
    for _ in range(1000):
        use = sum(5_000 + rng.random() * rng.uniform(2_650, 7_950) for _ in range(12))
        over += use > memory_tokens
    assert over <= 10
    assert book.with_free_memory([A, B], tokens, memory_tokens) == [B]
    book.finish("r0", "a")
    assert book.with_free_memory([A], tokens, memory_tokens) == [A]


def test_a_generation_larger_than_the_limit_gets_an_engine_that_runs_nothing():
    book = LoadTracker(random.Random(1))
    assert book.with_free_memory([A], 45_000, 45_643) == [A]
    book.start("r", "a", InstanceLoad(1, memory_tokens=100))
    assert book.with_free_memory([A], 45_000, 45_643) == []
