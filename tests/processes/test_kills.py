"""Guards against requests lost, answered twice or left on engines after kills."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from examples import demo_caller as caller
from examples.demo_settings import CONTROLS, ENTRIES
from examples.standins.engine import expected_output
from tests.processes.loaded_fleet import API_KEY, Fleet, LoadGenerator, failed_responses

STREAM_COUNT = 6
TOKEN_COUNT = 80
CELL_RESOURCE = "cell/notes-fukuoka"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as started_fleet:
        yield started_fleet


def test_streams_of_a_killed_entry_host_resume_completely(fleet):
    name = ENTRIES[2]
    other_addresses = [fleet.address(item) for item in ENTRIES[:2]]
    started = threading.Semaphore(0)

    def on_token(response):
        if len(response.tokens) == 3:
            started.release()

    def stream(number):
        prompt = f"{number} inspection of the upper gallery"
        address = fleet.address(name)
        response = caller.generate(address, API_KEY, prompt, TOKEN_COUNT, on_token)
        was_interrupted = not response.finished
        caller.resume(other_addresses, API_KEY, response)
        return prompt, response, was_interrupted

    with ThreadPoolExecutor(STREAM_COUNT) as pool:
        jobs = [pool.submit(stream, number) for number in range(STREAM_COUNT)]
        for _ in jobs:
            assert started.acquire(timeout=20)
        fleet.processes.kill(name)
        results = [job.result() for job in jobs]
    for prompt, response, was_interrupted in results:
        assert was_interrupted and response.whole and not response.error_kind
        text = "".join(response.tokens[number] for number in range(TOKEN_COUNT))
        assert text == expected_output(prompt, TOKEN_COUNT)
    fleet.wait_for(lambda: fleet.engine_requests() == [], "engine memory free")
    fleet.processes.start_entry(name)
    fleet.wait_ready([name])


def test_requests_are_answered_once_while_the_cell_owner_is_suspended(fleet):
    owner = fleet.owner_of(CELL_RESOURCE)
    other_hosts = [name for name in ENTRIES if name != owner]
    process = fleet.processes.running[owner]
    started = threading.Event()

    def stream():
        address = fleet.address(owner)
        response = caller.generate(
            address, API_KEY, "s", TOKEN_COUNT, lambda _: started.set()
        )
        caller.resume([fleet.address(name) for name in other_hosts], API_KEY, response)
        return response

    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(stream)
        assert started.wait(20)
        load = LoadGenerator(fleet, caller_count=4, entry_hosts=other_hosts)
        try:
            process.send_signal(signal.SIGSTOP)
            # Longer than the lease, which has expired when the process continues.
            time.sleep(6.0)
            fleet.wait_for(
                lambda: fleet.owner_of(CELL_RESOURCE) != owner, "new cell owner"
            )
        finally:
            process.send_signal(signal.SIGCONT)
        fleet.wait_ready([owner])
        responses = [*load.stop(), job.result()]
    assert failed_responses(responses) == []
    assert len({item.request_id for item in responses}) == len(responses)
    fleet.wait_for(lambda: fleet.engine_requests() == [], "engine memory free")


def test_requests_are_answered_while_the_control_leader_is_killed(fleet):
    elections = [
        (event["time_s"], name)
        for name in CONTROLS
        for event in fleet.events(name, "LEADER_ELECTED")
    ]
    leader = max(elections)[1]
    load = LoadGenerator(fleet)
    fleet.processes.kill(leader)

    def has_new_leader():
        return any(
            event["time_s"] > max(elections)[0]
            for name in CONTROLS
            for event in fleet.events(name, "LEADER_ELECTED")
        )

    fleet.wait_for(has_new_leader, "new leader")
    fleet.processes.start_control(leader)
    fleet.wait_ready(ENTRIES)
    responses = load.stop()
    assert failed_responses(responses) == []
    assert len(responses) > 10
