"""A single request must not crash one backend server after another."""

from damaskridge.core.gateway.crash_tracker import (
    CONFIRMATION_TIMEOUT_S,
    CRASH_RETENTION_S,
    MAX_REMEMBERED_RESPONSES,
    MIN_CRASHES,
    CrashTracker,
    fingerprint_of,
)
from damaskridge.model.gateway import InstanceId


def crash(tracker, fingerprint, name, now_s=0.0, delay_s=0.5):
    """Interrupt a run and lose the instance shortly after."""
    tracker.record_interrupted_run(fingerprint, InstanceId(name), now_s)
    tracker.record_lost_server(InstanceId(name), now_s + delay_s)


def test_request_is_refused_after_three_crashes_observed_by_different_hosts():
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


def test_request_is_not_refused_after_fewer_crashes():
    tracker = CrashTracker()
    for number in range(MIN_CRASHES - 1):
        crash(tracker, "f", f"s{number}")
    # A crash that two hosts report counts once.
    tracker.on_report(tracker.recent_crashes(1.0), 1.0)
    assert not tracker.is_suspect("f", 1.0)


def test_lost_response_without_lost_server_is_not_a_crash():
    tracker = CrashTracker()
    for number in range(9):
        tracker.record_interrupted_run("f", InstanceId(f"s{number}"), 0.0)
    assert not tracker.is_suspect("f", 1.0)
    for number in range(9):
        tracker.record_lost_server(
            InstanceId(f"s{number}"), CONFIRMATION_TIMEOUT_S + 1.0
        )
    assert not tracker.is_suspect("f", CONFIRMATION_TIMEOUT_S + 1.0)


def test_restarts_under_one_name_count_as_separate_crashes():
    tracker = CrashTracker()
    for started_ms in range(MIN_CRASHES):
        start = InstanceId("s", started_ms)
        tracker.record_interrupted_run("f", start, 0.0)
        tracker.record_lost_server(start, 0.5)
    assert tracker.is_suspect("f", 1.0)


def test_request_that_completed_is_not_refused():
    """Calls without a body and with the same path share a fingerprint."""
    tracker = CrashTracker()
    tracker.record_response("f", 0.0)
    for number in range(MIN_CRASHES):
        crash(tracker, "f", f"s{number}")
    assert not tracker.is_suspect("f", 1.0)


def test_suspicion_expires():
    tracker = CrashTracker()
    for number in range(MIN_CRASHES):
        crash(tracker, "f", f"s{number}")
    assert tracker.is_suspect("f", CRASH_RETENTION_S / 2)
    assert not tracker.is_suspect("f", 2 * CRASH_RETENTION_S)
    tracker.on_report((), 2 * CRASH_RETENTION_S)
    assert tracker.recent_crashes(2 * CRASH_RETENTION_S) == ()


def test_number_of_remembered_responses_is_bounded():
    tracker = CrashTracker()
    for number in range(2 * MAX_REMEMBERED_RESPONSES):
        tracker.record_response(f"f{number}", 0.0)
    assert len(tracker._last_response_s) == MAX_REMEMBERED_RESPONSES


def test_crash_is_reported_once():
    tracker = CrashTracker()
    crash(tracker, "f", "s")
    assert len(tracker.pop_unreported()) == 1
    assert tracker.pop_unreported() == ()


def test_fingerprint_depends_on_workspace_path_and_body():
    parts = [("w", "/a", b"b"), ("w", "/ab", b""), ("wa", "/", b"b"), ("w", "/a", b"c")]
    assert len({fingerprint_of(*item) for item in parts}) == len(parts)
