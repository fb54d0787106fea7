"""Requests lost, answered twice or left on engines after processes are killed."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from examples import demo_caller as caller
from examples.demo_settings import CONTROLS, ENTRIES
from examples.standins.engine import expected_output
from tests.processes.loaded_fleet import KEY, Fleet, Load, problems

STREAMS = 6
TOKENS = 80
CELL = "cell/notes-fukuoka"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as running:
        yield running


def test_streams_of_a_killed_entry_host_resume_whole(fleet):
    name = ENTRIES[2]
    others = [fleet.address(item) for item in ENTRIES[:2]]
    started = threading.Semaphore(0)

    def on_token(answer):
        if len(answer.tokens) == 3:
            started.release()

    def stream(number):
        prompt = f"{number} inspection of the upper gallery"
        address = fleet.address(name)
        answer = caller.generate(address, KEY, prompt, TOKENS, on_token)
        cut = not answer.finished
        caller.resume(others, KEY, answer)
        return prompt, answer, cut

    with ThreadPoolExecutor(STREAMS) as pool:
        jobs = [pool.submit(stream, number) for number in range(STREAMS)]
        for _ in jobs:
            assert started.acquire(timeout=20)
        fleet.processes.kill(name)
        results = [job.result() for job in jobs]
    for prompt, answer, cut in results:
        assert cut and answer.whole and not answer.error_kind
        text = "".join(answer.tokens[number] for number in range(TOKENS))
        assert text == expected_output(prompt, TOKENS)
    fleet.wait_for(lambda: fleet.engine_requests() == [], "engine memory free")
    fleet.processes.start_entry(name)
    fleet.wait_ready([name])


def test_requests_are_answered_once_while_the_cell_owner_is_stopped(fleet):
    owner = fleet.owner_of(CELL)
    others = [name for name in ENTRIES if name != owner]
    process = fleet.processes.running[owner]
    started = threading.Event()

    def stream():
        address = fleet.address(owner)
        answer = caller.generate(address, KEY, "s", TOKENS, lambda _: started.set())
        caller.resume([fleet.address(name) for name in others], KEY, answer)
        return answer

    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(stream)
        assert started.wait(20)
        load = Load(fleet, callers=4, names=others)
        try:
            process.send_signal(signal.SIGSTOP)
            # Longer than the lease, so that it wakes with one that has ended.
            time.sleep(6.0)
            fleet.wait_for(lambda: fleet.owner_of(CELL) != owner, "new cell owner")
        finally:
            process.send_signal(signal.SIGCONT)
        fleet.wait_ready([owner])
        answers = [*load.stop(), job.result()]
    assert problems(answers) == []
    assert len({item.request_id for item in answers}) == len(answers)
    fleet.wait_for(lambda: fleet.engine_requests() == [], "engine memory free")


def test_requests_are_answered_while_the_control_leader_is_killed(fleet):
    elected = [
        (event["time_s"], name)
        for name in CONTROLS
        for event in fleet.events(name, "LEADER_ELECTED")
    ]
    leader = max(elected)[1]
    load = Load(fleet)
    fleet.processes.kill(leader)

    def new_leader():
        return any(
            event["time_s"] > max(elected)[0]
            for name in CONTROLS
            for event in fleet.events(name, "LEADER_ELECTED")
        )

    fleet.wait_for(new_leader, "new leader")
    fleet.processes.start_control(leader)
    fleet.wait_ready(ENTRIES)
    answers = load.stop()
    assert problems(answers) == []
    assert len(answers) > 10
