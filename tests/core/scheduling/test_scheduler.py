"""Cell scheduler: duplicate placements, leaked memory, take-overs, early starts."""

import random

import msgspec

from damaskridge.core.scheduling import messages as m
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace
from damaskridge.model.engine import EnginePhase, EngineRequestStatus, LoadReport
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
WORKSPACES = (Workspace("a", 1e6, 1e6), Workspace("b", 1e6, 1e6))


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
    cell.handle(m.CellGained("c", 1, servers, WORKSPACES, fronts), 0.0)
    for item in servers:
        if listed and item.role is not ROLE.SERVICE:
            cell.handle(m.EngineRequestsListed(item.name, (), 0.0), 0.0)
    return cell


def profile(name, attempt=1, front="f", workspace="a", prompt=100, **more):
    fields = dict(
        resource="cell/c",
        epoch=1,
        request_id=name,
        attempt=attempt,
        workspace=workspace,
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
        a.request_id: a.response
        for a in actions
        if isinstance(a, m.SendSubmitResponse) and isinstance(a.response, Placement)
    }


def cancellations(actions):
    found = [a for a in actions if isinstance(a, m.CancelOnEngine)]
    return {(a.backend_server, a.engine_request_id) for a in found}


def report_progress(cell, now_s, *items, front="f"):
    batch = ProgressBatch(
        resource="cell/c", epoch=1, front=front, incarnation=1, items=items
    )
    return cell.handle(m.ProgressReported(batch), now_s)


def progress_item(name, phase, attempt=1, tokens=0):
    return Progress(request_id=name, attempt=attempt, phase=phase, output_tokens=tokens)


def test_an_attempt_is_placed_once_and_a_resubmission_gets_the_same_placement():
    cell = make_cell()
    first = placements(submit(cell, 0.0, "r"))["r"]
    assert placements(submit(cell, 0.1, "r"))["r"] == first
    actions = submit(cell, 0.2, "r", attempt=2, excluded=(first.decode_server,))
    assert placements(actions)["r"].decode_server != first.decode_server
    assert (first.decode_server, "r.1") in cancellations(actions)
    report_progress(cell, 0.3, progress_item("r", RequestPhase.FINISHED, 2))
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
    assert not placements(late.handle(m.SchedulerTimerFired(), 2.9))
    assert placements(late.handle(m.SchedulerTimerFired(), 3.0))


def test_slots_are_reserved_before_prefill_and_freed_when_a_request_finishes():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 1)))
    assert placements(submit(cell, 0.0, "r1"))
    assert not placements(submit(cell, 0.1, "r2"))
    assert placements(
        report_progress(cell, 0.5, progress_item("r1", RequestPhase.FINISHED))
    ).keys() == {"r2"}


def test_requests_of_a_lost_front_are_cancelled_after_lease_and_grace():
    cell = make_cell()
    placement = placements(submit(cell, 0.0, "r"))["r"]
    seen, now_s = set(), 0.0
    while now_s < 6.0:
        now_s += 0.25
        seen |= cancellations(cell.handle(m.SchedulerTimerFired(), now_s))
        assert now_s >= 5.0 or not seen
    assert seen == {(placement.decode_server, "r.1"), (placement.prefill_server, "r.1")}


def test_one_front_takes_over_a_request_and_only_for_its_workspace():
    def request_take_over(front, workspace="a"):
        return m.TakeOverRequested(
            TakeOver(
                resource="cell/c",
                epoch=1,
                request_id="r",
                workspace=workspace,
                front=front,
                incarnation=1,
            )
        )

    cell = make_cell()
    submit(cell, 0.0, "r")
    cell.handle(m.FrontLost("f", 1), 1.0)
    (action,) = cell.handle(request_take_over("g", "b"), 1.1)
    assert action.response.failure.kind is ErrorKind.UNKNOWN_REQUEST
    (action,) = cell.handle(request_take_over("g"), 1.2)
    assert action.response.active.profile.request_id == "r"
    (action,) = cell.handle(request_take_over("h"), 1.3)
    assert action.response.failure.kind is ErrorKind.STREAM_TAKEN_OVER
    report_progress(cell, 2.0, front="g")
    assert not cancellations(cell.handle(m.SchedulerTimerFired(), 3.5))


def test_unregistered_requests_on_engines_are_cancelled_after_the_lease():
    cell = make_cell()
    listed = (EngineRequestStatus("req-x-1-1.1", EnginePhase.DECODING, 5, 1),)
    assert not cancellations(
        cell.handle(m.EngineRequestsListed("d1", listed, 1.0), 1.0)
    )
    actions = cell.handle(m.EngineRequestsListed("d1", listed, 4.0), 4.0)
    assert cancellations(actions) == {("d1", "req-x-1-1.1")}


def test_a_crash_is_reported_with_what_ran_and_suspects_do_not_share_engines():
    cell = make_cell()
    submit(cell, 0.0, "r1")
    cell.handle(m.SchedulerTimerFired(), 0.5)
    name = placements(submit(cell, 0.6, "r1"))["r1"].decode_server
    actions = cell.handle(m.ServerFailed(name, 0, True), 1.0)
    (report,) = [a for a in actions if isinstance(a, m.ReportCrashedRequests)]
    assert "print-r1" in report.fingerprints
    retried = placements(submit(cell, 1.1, "r1", attempt=2))["r1"]
    assert retried.decode_server != name
    # The only remaining decode engine already runs a suspect.
    assert not placements(submit(cell, 1.2, "r3", suspect=True))
    actions = report_progress(cell, 2.0, progress_item("r1", RequestPhase.FINISHED, 2))
    assert m.ReportSuspectCleared("print-r1") in actions
    assert "r3" in placements(actions)


def refusal_kinds(actions):
    return [
        a.response.failure.kind
        for a in actions
        if isinstance(a, m.SendSubmitResponse) and isinstance(a.response, Refused)
    ]


def test_a_crash_named_by_a_retry_counts_before_the_report_of_it_arrives():
    """The progress report of the failed attempt is sent separately and may be late."""
    cell = make_cell()
    first = placements(submit(cell, 0.0, "r", suspect=True))["r"]
    retried = submit(
        cell,
        0.1,
        "r",
        attempt=2,
        suspect=True,
        excluded=(first.prefill_server,),
        crashed_server=first.prefill_server,
    )
    assert refusal_kinds(retried) == [ErrorKind.REQUEST_QUARANTINED]


def test_a_crash_named_by_a_retry_and_by_a_late_report_counts_once():
    cell = make_cell()
    server = placements(submit(cell, 0.0, "r"))["r"].prefill_server
    more = dict(suspect=True, excluded=(server,), crashed_server=server)
    assert placements(submit(cell, 0.1, "r", attempt=2, **more))
    crashed = dict(failed_server=server, crashed=True, fingerprint="print-r")
    late = msgspec.structs.replace(
        progress_item("r", RequestPhase.CANCELLED), **crashed
    )
    report_progress(cell, 0.2, late)
    assert placements(submit(cell, 0.3, "r", attempt=3, suspect=True))


def test_a_crash_reported_after_the_request_was_withdrawn_counts():
    """The withdrawal of a request can overtake the progress report with its crash."""
    cell = make_cell()
    server = placements(submit(cell, 0.0, "r", suspect=True))["r"].prefill_server
    cell.handle(m.RequestWithdrawn("r"), 0.1)
    crashed = dict(failed_server=server, crashed=True, fingerprint="print-r")
    item = progress_item("r", RequestPhase.CANCELLED)
    report_progress(cell, 0.2, msgspec.structs.replace(item, suspect=True, **crashed))
    resent = submit(cell, 0.3, "r2", fingerprint="print-r")
    assert refusal_kinds(resent) == [ErrorKind.REQUEST_QUARANTINED]


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
    assert placements(
        report_progress(cell, 0.5, progress_item("r", RequestPhase.FINISHED))
    )


def test_a_leaving_server_gets_no_new_requests():
    cell = make_cell()
    cell.handle(m.ServerLeaving("d1"), 0.0)
    cell.handle(m.ServerLeaving("p2"), 0.0)
    for number in range(4):
        placement = placements(submit(cell, 0.1 * number, f"r{number}"))[f"r{number}"]
        assert (placement.prefill_server, placement.decode_server) == ("p1", "d2")


def test_a_service_call_is_placed_on_the_least_loaded_instance():
    cell = make_cell(
        (server("s1", ROLE.SERVICE, 2, 0), server("s2", ROLE.SERVICE, 2, 0))
    )
    placed = [placements(submit(cell, 0.0, f"r{n}")) for n in range(5)]
    names = [p.decode_server for item in placed for p in item.values()]
    assert sorted(names) == ["s1", "s1", "s2", "s2"]


def test_a_flood_of_requests_delays_only_its_own_workspace():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 2)))
    running = []
    for number in range(50):
        running += placements(submit(cell, 0.0, f"a{number}"))
    running += placements(submit(cell, 0.01, "b0", workspace="b"))
    order, now_s = [], 0.01
    for _ in range(10):
        now_s += 0.05
        actions = report_progress(
            cell, now_s, progress_item(running.pop(0), RequestPhase.FINISHED)
        )
        order += placements(actions)
        running += placements(actions)
    assert order.index("b0") <= 2


def test_an_urgent_request_is_placed_before_a_long_prompt():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 1)))
    submit(cell, 0.0, "r0")
    submit(cell, 0.1, "long", prompt=8000)
    submit(cell, 0.2, "short")
    actions = report_progress(cell, 0.5, progress_item("r0", RequestPhase.FINISHED))
    assert list(placements(actions)) == ["short"]


def report_load(cell, name, free, now_s, age_s=0.0):
    report = LoadReport(0, age_s, 0, 0, free)
    return cell.handle(m.LoadReported(name, report), now_s)


def test_memory_of_unknown_requests_on_an_engine_is_not_reserved():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 4, 20)))
    report_load(cell, "d1", 5, 0.0)
    assert not placements(submit(cell, 0.1, "r1"))
    assert placements(report_load(cell, "d1", 20, 1.0)).keys() == {"r1"}
    # A report measured before the request ended still counts its memory as used.
    report_progress(cell, 2.0, progress_item("r1", RequestPhase.FINISHED))
    report_load(cell, "d1", 5, 2.1, age_s=0.5)
    assert placements(submit(cell, 2.2, "r2"))


def test_a_request_as_large_as_an_engine_does_not_starve_among_small_ones():
    cell = make_cell((ENGINES[0], server("d1", ROLE.DECODE, 4, 300)))
    now_s, ends, placed = 0.0, {}, set()
    for number in range(400):
        now_s += 0.1
        if number == 20:
            submit(cell, now_s, "big", prompt=4600)
        actions = submit(cell, now_s, f"r{number}", workspace="b")
        for name in [name for name in ends if ends[name] <= number]:
            del ends[name]
            actions += report_progress(
                cell, now_s, progress_item(name, RequestPhase.FINISHED)
            )
        placed |= set(placements(actions))
        ends |= dict.fromkeys(set(placements(actions)) - {"big"}, number + 3)
    assert "big" in placed


def test_queued_requests_are_refused_when_all_servers_have_failed():
    cell = make_cell()
    for name in ("d1", "d2"):
        cell.handle(m.ServerFailed(name, 0, False), 0.0)
    submit(cell, 0.1, "r")
    found, now_s = [], 0.1
    while not found and now_s < 10.0:
        now_s += 0.25
        found = [
            a
            for a in report_progress(cell, now_s)
            if isinstance(a, m.SendSubmitResponse)
        ]
    assert 3.0 <= now_s <= 4.0
    assert found[0].response.failure.kind is ErrorKind.NO_BACKEND_SERVER
    assert found[0].response.failure.retry_after_s >= 3.0
    cell.handle(m.ServerRecovered("d1"), now_s)
    assert placements(submit(cell, now_s + 0.1, "r2"))


def test_a_server_whose_leaving_was_cancelled_is_used_again():
    cell = make_cell((ENGINES[0], ENGINES[2]))
    cell.handle(m.ServerLeaving("d1"), 0.0)
    cell.handle(m.ServerFailed("d1", 0, False), 0.1)
    cell.handle(m.ServerRecovered("d1"), 0.2)
    assert not placements(submit(cell, 0.3, "r")), "a response does not cancel leaving"
    actions = cell.handle(m.ServerLeaveCancelled("d1"), 0.4)
    assert placements(actions).keys() == {"r"}
