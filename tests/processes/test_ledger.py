"""Guards against a non-repeatable call that runs twice when processes fail."""

import threading
import time

import msgspec
import pytest
from tests.processes.fleet import Fleet, make_bundle, wait_until


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as started_fleet:
        started_fleet.start("service", "--delay-s", "0.4")
        started_fleet.roll(
            make_bundle(service_address=started_fleet.address("service")), 0
        )
        started_fleet.wait_for_entries(1)
        wait_until(
            lambda: started_fleet.send_call("e1", "warm", "warm-up")[0] == 200,
            "a first completed call",
        )
        yield started_fleet


def outcome(response: tuple[int, bytes]) -> str:
    """Return ``none``, ``completed`` or the run state that a refusal reports."""
    status, body = response
    if status == 200:
        return "completed"
    if status == 0:
        return "none"
    return str(msgspec.json.decode(body)["error"]["run"])


def send_in_thread(
    fleet: Fleet, host: str, body: str, key: str, responses: list
) -> threading.Thread:
    thread = threading.Thread(
        target=lambda: responses.append(fleet.send_call(host, body, key))
    )
    thread.start()
    return thread


def retry_until_final(
    fleet: Fleet, hosts: tuple[str, ...], body: str
) -> tuple[int, bytes]:
    """Retry a call on the hosts in turn until its outcome is final, as callers do."""
    deadline_s = time.monotonic() + 15
    attempts = 0
    while True:
        response = fleet.send_call(hosts[attempts % len(hosts)], body, body)
        attempts += 1
        if (
            outcome(response) in ("completed", "unknown")
            and b"in_progress" not in response[1]
        ):
            return response
        assert time.monotonic() < deadline_s, response
        time.sleep(0.05)


def test_two_hosts_receive_the_same_call_concurrently(fleet):
    for number in range(5):
        body, responses = f"b{number}", []
        threads = [
            send_in_thread(fleet, host, body, body, responses) for host in ("e1", "e2")
        ]
        for thread in threads:
            thread.join()
        first = retry_until_final(fleet, ("e3", "e1"), body)
        assert outcome(first) == "completed"
        assert all(item == first for item in responses if item[0] == 200)
        assert fleet.service_calls().count(body) == 1
        status, refusal = fleet.send_call("e2", "another body", body)
        assert status >= 400 and b"idempotency_conflict" in refusal
    assert "another body" not in fleet.service_calls()


def test_entry_host_is_killed_between_intent_and_result(fleet):
    responses: list = []
    thread = send_in_thread(fleet, "e2", "booked", "booked", responses)
    wait_until(lambda: "booked" in fleet.service_calls(), "the call at the service")
    fleet.kill("e2")
    thread.join()
    assert outcome(responses[0]) == "none"
    final = retry_until_final(fleet, ("e1", "e3"), "booked")
    assert outcome(final) == "unknown"
    assert fleet.send_call("e3", "booked", "booked")[0] == final[0]
    assert fleet.service_calls().count("booked") == 1


def test_control_leader_is_killed_while_calls_run(fleet):
    threads, responses = [], {}
    bodies = [f"c{number}" for number in range(6)]
    leader = wait_until(fleet.leader)
    for body in bodies:
        responses[body] = []
        for host in ("e1", "e3"):
            threads.append(send_in_thread(fleet, host, body, body, responses[body]))
    wait_until(
        lambda: set(bodies) & set(fleet.service_calls()), "a call at the service"
    )
    fleet.kill(leader)
    for thread in threads:
        thread.join()
    for body in bodies:
        final = retry_until_final(fleet, ("e2", "e1"), body)
        calls = fleet.service_calls().count(body)
        assert calls <= 1
        assert all(item == final for item in responses[body] if item[0] == 200)
        assert outcome(final) == "unknown" or calls == 1
