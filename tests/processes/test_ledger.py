"""Guards promise 7 over real processes: a non-repeatable call that runs twice."""

import threading
import time

import msgspec
import pytest
from tests.processes.fleet import Fleet, bundle, until


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        running.start("service", "--delay-s", "0.4")
        running.roll(bundle(service=running.address("service")), 0)
        running.wait_for_entries(1)
        until(lambda: running.call("e1", "warm", "warm-up")[0] == 200, "a first call")
        yield running


def outcome(answer: tuple[int, bytes]) -> str:
    """Return ``none``, ``answered`` or how the refusal says that the call ran."""
    status, body = answer
    if status == 200:
        return "answered"
    if status == 0:
        return "none"
    return str(msgspec.json.decode(body)["error"]["run"])


def send(
    fleet: Fleet, host: str, body: str, key: str, answers: list
) -> threading.Thread:
    thread = threading.Thread(
        target=lambda: answers.append(fleet.call(host, body, key))
    )
    thread.start()
    return thread


def resend(fleet: Fleet, hosts: tuple[str, ...], body: str) -> tuple[int, bytes]:
    """Send a call again until it is answered for good, as a caller would."""
    end_s = time.monotonic() + 15
    number = 0
    while True:
        answer = fleet.call(hosts[number % len(hosts)], body, body)
        number += 1
        if (
            outcome(answer) in ("answered", "unknown")
            and b"in_progress" not in answer[1]
        ):
            return answer
        assert time.monotonic() < end_s, answer
        time.sleep(0.05)


def test_two_hosts_get_the_same_call_at_the_same_moment(fleet):
    for number in range(5):
        body, answers = f"b{number}", []
        threads = [send(fleet, host, body, body, answers) for host in ("e1", "e2")]
        for thread in threads:
            thread.join()
        first = resend(fleet, ("e3", "e1"), body)
        assert outcome(first) == "answered"
        assert all(item == first for item in answers if item[0] == 200)
        assert fleet.service_calls().count(body) == 1
        status, refusal = fleet.call("e2", "another body", body)
        assert status >= 400 and b"idempotency_conflict" in refusal
    assert "another body" not in fleet.service_calls()


def test_entry_host_killed_between_intent_and_result(fleet):
    answers: list = []
    thread = send(fleet, "e2", "booked", "booked", answers)
    until(lambda: "booked" in fleet.service_calls(), "the call at the service")
    fleet.kill("e2")
    thread.join()
    assert outcome(answers[0]) == "none"
    last = resend(fleet, ("e1", "e3"), "booked")
    assert outcome(last) == "unknown"
    assert fleet.call("e3", "booked", "booked")[0] == last[0]
    assert fleet.service_calls().count("booked") == 1


def test_control_leader_killed_while_calls_run(fleet):
    threads, answers = [], {}
    bodies = [f"c{number}" for number in range(6)]
    leader = until(fleet.leader)
    for body in bodies:
        answers[body] = []
        for host in ("e1", "e3"):
            threads.append(send(fleet, host, body, body, answers[body]))
    until(lambda: set(bodies) & set(fleet.service_calls()), "a call at the service")
    fleet.kill(leader)
    for thread in threads:
        thread.join()
    for body in bodies:
        last = resend(fleet, ("e2", "e1"), body)
        calls = fleet.service_calls().count(body)
        assert calls <= 1
        assert all(item == last for item in answers[body] if item[0] == 200)
        assert outcome(last) == "unknown" or calls == 1
