"""Guards promise 10 over real processes: an accepted bundle that is late or lost."""

import random
import shutil
import threading
import time

import msgspec
import pytest
from tests.processes.fleet import CONTROLS, Fleet, Watch, bundle, digest, until

from damaskridge.model.bundle import Bundle, KeyRecord
from damaskridge.model.control import RollBundle
from damaskridge.model.errors import ErrorKind


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running, Watch(running):
        assert running.roll(bundle(), 0) == 1
        running.wait_for_entries(1)
        yield running


def roll_in_force(fleet: Fleet, number: int, expected: int) -> int:
    version = fleet.roll(bundle(number), expected)
    fleet.assert_in_force(version, time.monotonic())
    return version


def large_bundle(number: int) -> Bundle:
    keys = tuple(KeyRecord(digest(f"{number}/{key}"), "w1") for key in range(1200))
    return msgspec.structs.replace(bundle(number), keys=keys)


def wait_for_version(fleet: Fleet, host: str, version: int) -> None:
    until(lambda: fleet.metric(host, "bundle_version") == version, host)


def wait_for_other_leader(fleet: Fleet, lost: str) -> None:
    until(lambda: fleet.leader() not in ("", lost), "another leader")


def rate(fleet: Fleet) -> int:
    """Return the number of the bundle in force, as a quorum confirms it."""
    (workspace,) = fleet.status().bundle.workspaces
    return int(workspace.rate_tokens_per_s - 10_000)


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_leader_lost_right_after_the_answer(fleet, fault):
    version = 1
    for number in range(2, 4):
        leader = until(fleet.leader, "a leader")
        proposal = fleet.signed(bundle(number))
        result = fleet.commit(RollBundle, proposal=proposal, expected_version=version)
        getattr(fleet, fault)(leader)
        accepted_s = time.monotonic()
        version = int(result.value)
        fleet.assert_in_force(version, accepted_s)
        wait_for_other_leader(fleet, leader)
        fleet.start(leader) if fault == "kill" else fleet.resume(leader)
        wait_for_version(fleet, leader, version)
    assert (rate(fleet), version) == (3, 3)


def test_control_host_that_missed_many_changes_comes_back(fleet):
    leader = until(fleet.leader)
    cut_off = next(name for name in CONTROLS if name != leader)
    fleet.pause(cut_off)
    # Enough for a snapshot of the log, which the host needs when it is back.
    fleet.propose_many([large_bundle(number) for number in range(40)])
    version = fleet.roll(bundle(2), 1)
    fleet.resume(cut_off)
    until(lambda: '"SNAPSHOT_INSTALLED"' in fleet.log(cut_off), "a snapshot")
    while leader != cut_off:
        fleet.kill(leader)
        fleet.start(leader)
        wait_for_version(fleet, leader, version)
        leader = until(fleet.leader)
    assert roll_in_force(fleet, 3, version) == version + 1


def test_equal_versions_have_one_winner_and_a_resend_the_first_answer(fleet):
    proposals = [fleet.signed(bundle(number)) for number in (2, 3)]
    barrier, results = threading.Barrier(2), {}

    def roll(index: int) -> None:
        barrier.wait()
        results[index] = fleet.commit(
            RollBundle,
            ("ada", "bob")[index],
            f"roll/{index}",
            proposal=proposals[index],
            expected_version=1,
        )

    threads = [threading.Thread(target=roll, args=(index,)) for index in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted_s = time.monotonic()
    (winner,) = [index for index, item in results.items() if item.failure is None]
    assert results[1 - winner].failure.kind is ErrorKind.VERSION_CONFLICT
    fleet.assert_in_force(2, accepted_s)
    fleet.kill(until(fleet.leader))
    for index in range(2):
        again = fleet.commit(
            RollBundle,
            ("ada", "bob")[index],
            f"roll/{index}",
            proposal=proposals[index],
            expected_version=1,
        )
        assert again == results[index]
    assert rate(fleet) == winner + 2


def test_second_host_killed_right_after_the_repair_of_an_empty_one(fleet):
    leader = until(fleet.leader)
    lost, second = (name for name in CONTROLS if name != leader)
    fleet.kill(lost)
    shutil.rmtree(fleet.data(lost))
    version = roll_in_force(fleet, 2, 1)
    fleet.start(lost)
    wait_for_version(fleet, lost, version)
    until(lambda: is_voter(fleet, lost), "a vote for the repaired host")
    fleet.kill(second)
    assert roll_in_force(fleet, 3, version) == 3
    fleet.kill(leader)
    fleet.start(second)
    assert roll_in_force(fleet, 4, 3) == 4
    assert rate(fleet) == 4


def is_voter(fleet: Fleet, host: str) -> bool:
    """Tell whether the host votes under the id of its present disk."""
    lines = [x for x in fleet.log(host).splitlines() if '"MEMBERSHIP_CHANGED"' in x]
    member = (fleet.data(host) / "member").read_bytes()
    last = msgspec.json.decode(lines[-1]) if lines else {"voters": []}
    return any(voter.split("#")[1].encode() in member for voter in last["voters"])


def test_entry_host_that_restarts_after_500_changes(fleet):
    fleet.kill("e1")
    version = fleet.roll_many(500, fleet.roll(bundle(2), 1))
    fleet.start("e1")
    fleet.wait_for_entries(version)
    assert roll_in_force(fleet, 1, version) == 503


def test_full_restart_of_the_control_group(fleet):
    version = roll_in_force(fleet, 2, 1)
    proposal = fleet.signed(bundle(3))
    result = fleet.commit(RollBundle, proposal=proposal, expected_version=version)
    for name in CONTROLS:
        fleet.kill(name)
    for name in CONTROLS:
        fleet.start(name)
    until(fleet.leader, "a leader")
    assert fleet.status().version == int(result.value) == 3
    fleet.wait_for_entries(3)
    assert roll_in_force(fleet, 4, 3) == 4


@pytest.mark.parametrize("damage", ["torn tail", "flipped bit"])
def test_damaged_log_of_one_control_host(fleet, damage):
    roll_in_force(fleet, 2, 1)
    leader = until(fleet.leader)
    host = next(name for name in CONTROLS if name != leader)
    fleet.kill(host)
    segment = max(fleet.data(host).glob("log-*"))
    content = bytearray(segment.read_bytes())
    rng = random.Random(host)
    if damage == "torn tail":
        del content[-rng.randrange(3, 40) :]
    else:
        content[rng.randrange(len(content) // 2)] ^= 1 << rng.randrange(8)
    segment.write_bytes(content)
    version = roll_in_force(fleet, 3, 2)
    fleet.start(host)
    until(lambda: '"LOG_DAMAGED"' in fleet.log(host), "the damage")
    until(lambda: is_voter(fleet, host), "a vote for the repaired host")
    wait_for_version(fleet, host, version)
    fleet.kill(leader)
    assert roll_in_force(fleet, 4, version) == 4
    assert rate(fleet) == 4
