"""Guards against a request that takes down one backend server after the other."""

from damaskridge.core.gateway.crash_tracker import (
    CONFIRM_S,
    KEEP_S,
    MOST_CRASHES,
    REMEMBERED,
    CrashTracker,
    fingerprint_of,
)
from damaskridge.model.gateway import ServerStart


def crash(watch, fingerprint, name, now_s=0.0, delay_s=0.5):
    watch.record_interrupted_run(fingerprint, ServerStart(name), now_s)
    watch.record_lost_server(ServerStart(name), now_s + delay_s)


def test_a_request_is_refused_after_three_crashes_on_any_hosts():
    hosts = [CrashTracker() for _ in range(3)]
    for number, host in enumerate(hosts):
        crash(host, "f", f"s{number}")
        for other in hosts:
            if other is not host:
                other.on_report(host.pop_unreported() if other is hosts[0] else (), 1.0)
    first = hosts[0]
    for host in hosts[1:]:
        first.on_report(host.recent_crashes(1.0), 1.0)
    assert first.is_suspect("f", 1.0)
    assert not first.is_suspect("g", 1.0)


def test_fewer_crashes_do_not_refuse_a_request():
    watch = CrashTracker()
    for number in range(MOST_CRASHES - 1):
        crash(watch, "f", f"s{number}")
    # A crash that two hosts report counts once.
    watch.on_report(watch.recent_crashes(1.0), 1.0)
    assert not watch.is_suspect("f", 1.0)


def test_an_answer_that_is_lost_is_no_crash():
    watch = CrashTracker()
    for number in range(9):
        watch.record_interrupted_run("f", ServerStart(f"s{number}"), 0.0)
    assert not watch.is_suspect("f", 1.0)
    for number in range(9):
        watch.record_lost_server(ServerStart(f"s{number}"), CONFIRM_S + 1.0)
    assert not watch.is_suspect("f", CONFIRM_S + 1.0)


def test_a_restart_under_the_same_name_counts_as_a_crash_of_its_own():
    watch = CrashTracker()
    for started_ms in range(MOST_CRASHES):
        start = ServerStart("s", started_ms)
        watch.record_interrupted_run("f", start, 0.0)
        watch.record_lost_server(start, 0.5)
    assert watch.is_suspect("f", 1.0)


def test_a_request_that_is_answered_is_not_refused():
    """Calls without a body and with a common path share a fingerprint."""
    watch = CrashTracker()
    watch.record_response("f", 0.0)
    for number in range(MOST_CRASHES):
        crash(watch, "f", f"s{number}")
    assert not watch.is_suspect("f", 1.0)


def test_a_suspicion_ends():
    watch = CrashTracker()
    for number in range(MOST_CRASHES):
        crash(watch, "f", f"s{number}")
    assert watch.is_suspect("f", KEEP_S / 2)
    assert not watch.is_suspect("f", 2 * KEEP_S)
    watch.on_report((), 2 * KEEP_S)
    assert watch.recent_crashes(2 * KEEP_S) == ()


def test_what_is_remembered_is_bounded():
    watch = CrashTracker()
    for number in range(2 * REMEMBERED):
        watch.record_response(f"f{number}", 0.0)
    assert len(watch._answered_s) == REMEMBERED


def test_a_crash_is_reported_once():
    watch = CrashTracker()
    crash(watch, "f", "s")
    assert len(watch.pop_unreported()) == 1
    assert watch.pop_unreported() == ()


def test_fingerprints_tell_workspace_path_and_body_apart():
    parts = [("w", "/a", b"b"), ("w", "/ab", b""), ("wa", "/", b"b"), ("w", "/a", b"c")]
    assert len({fingerprint_of(*item) for item in parts}) == len(parts)
