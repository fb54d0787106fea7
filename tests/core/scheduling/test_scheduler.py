"""The cell: double placement, leaked memory, lost take-overs, early placement."""

import random

import msgspec

from damaskridge.core.scheduling import messages as m
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace
from damaskridge.model.engine import EnginePhase, EngineRequest, LoadReport
from damaskridge.model.errors import ErrorKind
from damaskridge.model.routing import (
    ActiveRequest,
    Placement,
    Progress,
    ProgressBatch,
    Refused,
    RequestPhase,
    RequestProfile,
    TakeOver,
)

ROLE = BackendServerRole
SPACES = (Workspace("a", 1e6, 1e6), Workspace("b", 1e6, 1e6))


def server(name, role, slots=4, pieces=1000):
    return BackendServer(
        name, "c", role, "m", "dc", f"{name}:1", slots, kv_pieces=pieces
    )


ENGINES = (
    server("p1", ROLE.PREFILL, 1),
    server("p2", ROLE.PREFILL, 1),
    server("d1", ROLE.DECODE),
    server("d2", ROLE.DECODE),
)


def make_cell(servers=ENGINES, fronts=(), listed=True):
    cell = CellScheduler(random.Random(1))
    cell.handle(m.CellGained("c", 1, servers, SPACES, fronts), 0.0)
    for item in servers:
        if listed and item.role is not ROLE.SERVICE:
            cell.handle(m.EngineRequestsListed(item.name, (), 0.0), 0.0)
    return cell


def profile(name, attempt=1, front="f", space="a", prompt=100, **more):
    fields = dict(
        resource="cell/c",
        epoch=1,
        request_id=name,
        attempt=attempt,
        workspace=space,
        front=front,
        incarnation=1,
        route="/v1/generate",
        model="m",
        prompt_tokens=prompt,
        max_output_tokens=100,
        fingerprint=f"print-{name}",
    )
    return RequestProfile(**(fields | more))


def submit(cell, now_s=0.0, *args, **more):
    return cell.handle(m.RequestSubmitted(profile(*args, **more)), now_s)


def placements(actions):
    return {
        a.request_id: a.reply
        for a in actions
        if isinstance(a, m.SendSubmitResponse) and isinstance(a.reply, Placement)
    }


def cancels(actions):
    found = [a for a in actions if isinstance(a, m.CancelOnEngine)]
    return {(a.backend_server, a.engine_request_id) for a in found}


def progress(cell, now_s, *items, front="f"):
    batch = ProgressBatch(
        resource="cell/c", epoch=1, front=front, incarnation=1, items=items
    )
    return cell.handle(m.ProgressReported(batch), now_s)


def step(name, phase, attempt=1, tokens=0):
    return Progress(request_id=name, attempt=attempt, phase=phase, output_tokens=tokens)


def test_an_attempt_is_placed_once_and_a_repeat_gets_the_same_answer():
    cell = make_cell()
    first = placements(submit(cell, 0.0, "r"))["r"]
    assert placements(submit(cell, 0.1, "r"))["r"] == first
    actions = submit(cell, 0.2, "r", attempt=2, excluded=(first.decode_server,))
    assert placements(actions)["r"].decode_server != first.decode_server
    assert (first.decode_server, "r.1") in cancels(actions)
    progress(cell, 0.3, step("r", RequestPhase.FINISHED, 2))
    assert not placements(submit(cell, 0.4, "r", attempt=2))


def test_nothing_is_placed_before_the_rebuild_is_complete():
    cell = make_cell(fronts=("f",), listed=False)
    assert submit(cell, 0.0, "r") == []
    for item in ENGINES:
        assert not placements(
            cell.handle(m.EngineRequestsListed(item.name, (), 0.0), 0.1)
        )
    assert placements(cell.handle(m.FrontRegistered("f", 1), 0.2))
    late = make_cell(fronts=("f",), listed=False)
    submit(late, 0.0, "r")
    assert not placements(late.handle(m.TimePassed(), 2.9))
    assert placements(late.handle(m.TimePassed(), 3.0))


def test_slots_are_reserved_before_prefill_and_freed_by_the_end():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 1)))
    assert placements(submit(cell, 0.0, "r1"))
    assert not placements(submit(cell, 0.1, "r2"))
    assert placements(
        progress(cell, 0.5, step("r1", RequestPhase.FINISHED))
    ).keys() == {"r2"}


def test_memory_of_a_lost_front_is_reclaimed_in_time():
    cell = make_cell()
    placement = placements(submit(cell, 0.0, "r"))["r"]
    seen, now_s = set(), 0.0
    while now_s < 6.0:
        now_s += 0.25
        seen |= cancels(cell.handle(m.TimePassed(), now_s))
        assert now_s >= 5.0 or not seen
    assert seen == {(placement.decode_server, "r.1"), (placement.prefill_server, "r.1")}


def test_a_take_over_has_one_winner_of_the_same_workspace():
    def ask(front, space="a"):
        return m.TakeOverRequested(
            TakeOver(
                resource="cell/c",
                epoch=1,
                request_id="r",
                workspace=space,
                front=front,
                incarnation=1,
            )
        )

    cell = make_cell()
    submit(cell, 0.0, "r")
    cell.handle(m.FrontLost("f", 1), 1.0)
    (reply,) = cell.handle(ask("g", "b"), 1.1)
    assert reply.reply.failure.kind is ErrorKind.UNKNOWN_REQUEST
    (reply,) = cell.handle(ask("g"), 1.2)
    assert reply.reply.active.profile.request_id == "r"
    (reply,) = cell.handle(ask("h"), 1.3)
    assert reply.reply.failure.kind is ErrorKind.STREAM_TAKEN_OVER
    progress(cell, 2.0, front="g")
    assert not cancels(cell.handle(m.TimePassed(), 3.5))


def test_unregistered_engine_entries_are_cancelled_after_the_lease():
    cell = make_cell()
    listed = (EngineRequest("req-x-1-1.1", EnginePhase.DECODING, 5, 1),)
    assert not cancels(cell.handle(m.EngineRequestsListed("d1", listed, 1.0), 1.0))
    actions = cell.handle(m.EngineRequestsListed("d1", listed, 4.0), 4.0)
    assert cancels(actions) == {("d1", "req-x-1-1.1")}


def test_a_crash_reports_what_ran_and_suspects_do_not_share_an_engine():
    cell = make_cell()
    submit(cell, 0.0, "r1")
    cell.handle(m.TimePassed(), 0.5)
    name = placements(submit(cell, 0.6, "r1"))["r1"].decode_server
    actions = cell.handle(m.ServerFailed(name, 0, True), 1.0)
    (report,) = [a for a in actions if isinstance(a, m.ReportCrashedRequests)]
    assert "print-r1" in report.fingerprints
    again = placements(submit(cell, 1.1, "r1", attempt=2))["r1"]
    assert again.decode_server != name
    # The only decode engine that is left runs a suspect already.
    assert not placements(submit(cell, 1.2, "r3", suspect=True))
    actions = progress(cell, 2.0, step("r1", RequestPhase.FINISHED, 2))
    assert m.ReportSuspectCleared("print-r1") in actions
    assert "r3" in placements(actions)


def refusals(actions):
    return [
        a.reply.failure.kind
        for a in actions
        if isinstance(a, m.SendSubmitResponse) and isinstance(a.reply, Refused)
    ]


def test_the_crash_named_by_a_new_attempt_counts_before_its_report_arrives():
    """The report of the attempt before travels by itself and may come later."""
    cell = make_cell()
    first = placements(submit(cell, 0.0, "r", suspect=True))["r"]
    again = submit(
        cell,
        0.1,
        "r",
        attempt=2,
        suspect=True,
        excluded=(first.prefill_server,),
        crashed_server=first.prefill_server,
    )
    assert refusals(again) == [ErrorKind.REQUEST_QUARANTINED]


def test_a_crash_counts_once_for_the_attempt_and_its_late_report():
    cell = make_cell()
    server = placements(submit(cell, 0.0, "r"))["r"].prefill_server
    more = dict(suspect=True, excluded=(server,), crashed_server=server)
    assert placements(submit(cell, 0.1, "r", attempt=2, **more))
    crashed = dict(failed_server=server, crashed=True, fingerprint="print-r")
    late = msgspec.structs.replace(step("r", RequestPhase.CANCELLED), **crashed)
    progress(cell, 0.2, late)
    assert placements(submit(cell, 0.3, "r", attempt=3, suspect=True))


def test_the_crash_of_a_request_that_has_ended_still_counts():
    """The withdrawal of a request may overtake the report of its crash."""
    cell = make_cell()
    server = placements(submit(cell, 0.0, "r", suspect=True))["r"].prefill_server
    cell.handle(m.RequestWithdrawn("r"), 0.1)
    crashed = dict(failed_server=server, crashed=True, fingerprint="print-r")
    item = step("r", RequestPhase.CANCELLED)
    progress(cell, 0.2, msgspec.structs.replace(item, suspect=True, **crashed))
    resent = submit(cell, 0.3, "r2", fingerprint="print-r")
    assert refusals(resent) == [ErrorKind.REQUEST_QUARANTINED]


def test_a_registered_request_keeps_its_slot():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 1)), ("f",))
    placement = Placement(
        request_id="r", attempt=1, epoch=0, prefill_server="p1", decode_server="d1"
    )
    active = ActiveRequest(
        profile=profile("r"), placement=placement, phase=RequestPhase.DECODING
    )
    cell.handle(m.RequestRegistered(active), 0.1)
    cell.handle(m.FrontRegistered("f", 1), 0.2)
    assert not placements(submit(cell, 0.3, "r2"))
    assert placements(progress(cell, 0.5, step("r", RequestPhase.FINISHED)))


def test_a_leaving_server_gets_nothing_new():
    cell = make_cell()
    cell.handle(m.ServerLeaving("d1"), 0.0)
    cell.handle(m.ServerLeaving("p2"), 0.0)
    for number in range(4):
        placement = placements(submit(cell, 0.1 * number, f"r{number}"))[f"r{number}"]
        assert (placement.prefill_server, placement.decode_server) == ("p1", "d2")


def test_a_service_call_goes_to_the_least_busy_instance():
    cell = make_cell(
        (server("s1", ROLE.SERVICE, 2, 0), server("s2", ROLE.SERVICE, 2, 0))
    )
    placed = [placements(submit(cell, 0.0, f"r{n}")) for n in range(5)]
    names = [p.decode_server for item in placed for p in item.values()]
    assert sorted(names) == ["s1", "s1", "s2", "s2"]


def test_a_flood_slows_only_its_workspace():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 2)))
    running = []
    for number in range(50):
        running += placements(submit(cell, 0.0, f"a{number}"))
    running += placements(submit(cell, 0.01, "b0", space="b"))
    order, now_s = [], 0.01
    for _ in range(10):
        now_s += 0.05
        actions = progress(cell, now_s, step(running.pop(0), RequestPhase.FINISHED))
        order += placements(actions)
        running += placements(actions)
    assert order.index("b0") <= 2


def test_urgent_goes_before_a_long_prompt():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 1)))
    submit(cell, 0.0, "r0")
    submit(cell, 0.1, "long", prompt=8000)
    submit(cell, 0.2, "short")
    actions = progress(cell, 0.5, step("r0", RequestPhase.FINISHED))
    assert list(placements(actions)) == ["short"]


def load(cell, name, free, now_s, age_s=0.0):
    report = LoadReport(0, age_s, 0, 0, free)
    return cell.handle(m.LoadReported(name, report), now_s)


def test_memory_of_stray_requests_is_not_given_away():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 4, 20)))
    load(cell, "d1", 5, 0.0)
    assert not placements(submit(cell, 0.1, "r1"))
    assert placements(load(cell, "d1", 20, 1.0)).keys() == {"r1"}
    # A report from before the end still counts the memory of the ended request.
    progress(cell, 2.0, step("r1", RequestPhase.FINISHED))
    load(cell, "d1", 5, 2.1, age_s=0.5)
    assert placements(submit(cell, 2.2, "r2"))


def test_a_request_as_large_as_an_engine_is_served_among_small_ones():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 4, 300)))
    now_s, ends, placed = 0.0, {}, set()
    for number in range(400):
        now_s += 0.1
        if number == 20:
            submit(cell, now_s, "big", prompt=4600)
        actions = submit(cell, now_s, f"r{number}", space="b")
        for name in [name for name in ends if ends[name] <= number]:
            del ends[name]
            actions += progress(cell, now_s, step(name, RequestPhase.FINISHED))
        placed |= set(placements(actions))
        ends |= dict.fromkeys(set(placements(actions)) - {"big"}, number + 3)
    assert "big" in placed


def test_queued_requests_are_answered_when_all_servers_have_failed():
    cell = make_cell()
    for name in ("d1", "d2"):
        cell.handle(m.ServerFailed(name, 0, False), 0.0)
    submit(cell, 0.1, "r")
    found, now_s = [], 0.1
    while not found and now_s < 10.0:
        now_s += 0.25
        found = [
            a for a in progress(cell, now_s) if isinstance(a, m.SendSubmitResponse)
        ]
    assert 3.0 <= now_s <= 4.0
    assert found[0].reply.failure.kind is ErrorKind.NO_BACKEND_SERVER
    assert found[0].reply.failure.retry_after_s >= 3.0
    cell.handle(m.ServerRecovered("d1"), now_s)
    assert placements(submit(cell, now_s + 0.1, "r2"))


def test_a_server_that_returns_from_leaving_is_used_again():
    cell = make_cell((ENGINES[0], ENGINES[2]))
    cell.handle(m.ServerLeaving("d1"), 0.0)
    cell.handle(m.ServerFailed("d1", 0, False), 0.1)
    cell.handle(m.ServerRecovered("d1"), 0.2)
    assert not placements(submit(cell, 0.3, "r")), "an answer does not end leaving"
    actions = cell.handle(m.ServerLeaveCancelled("d1"), 0.4)
    assert placements(actions).keys() == {"r"}
