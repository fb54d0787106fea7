"""Guards against an accepted bundle that processes apply late or lose."""

import random
import shutil
import threading
import time

import msgspec
import pytest
from tests.processes.fleet import (
    CONTROL_HOSTS,
    Fleet,
    VersionWatch,
    digest,
    make_bundle,
    wait_until,
)

from damaskridge.model.bundle import Bundle, KeyRecord
from damaskridge.model.control import RollBundle
from damaskridge.model.errors import ErrorKind


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as started_fleet, VersionWatch(started_fleet):
        assert started_fleet.roll(make_bundle(), 0) == 1
        started_fleet.wait_for_entries(1)
        yield started_fleet


def roll_in_force(fleet: Fleet, number: int, expected_version: int) -> int:
    version = fleet.roll(make_bundle(number), expected_version)
    fleet.assert_in_force(version, time.monotonic())
    return version


def large_bundle(number: int) -> Bundle:
    keys = tuple(KeyRecord(digest(f"{number}/{key}"), "w1") for key in range(1200))
    return msgspec.structs.replace(make_bundle(number), keys=keys)


def wait_for_version(fleet: Fleet, host: str, version: int) -> None:
    wait_until(lambda: fleet.metric(host, "bundle_version") == version, host)


def wait_for_other_leader(fleet: Fleet, failed: str) -> None:
    wait_until(lambda: fleet.leader() not in ("", failed), "another leader")


def bundle_number_in_force(fleet: Fleet) -> int:
    """Return the number of the bundle in force, confirmed by a quorum."""
    (workspace,) = fleet.status().bundle.workspaces
    return int(workspace.rate_tokens_per_s - 10_000)


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_leader_fails_right_after_its_response(fleet, fault):
    version = 1
    for number in range(2, 4):
        leader = wait_until(fleet.leader, "a leader")
        proposal = fleet.propose_and_sign_off(make_bundle(number))
        result = fleet.commit(RollBundle, proposal=proposal, expected_version=version)
        getattr(fleet, fault)(leader)
        accepted_s = time.monotonic()
        version = int(result.value)
        fleet.assert_in_force(version, accepted_s)
        wait_for_other_leader(fleet, leader)
        fleet.start(leader) if fault == "kill" else fleet.resume(leader)
        wait_for_version(fleet, leader, version)
    assert (bundle_number_in_force(fleet), version) == (3, 3)


def test_control_host_resumes_after_missing_many_changes(fleet):
    leader = wait_until(fleet.leader)
    paused = next(name for name in CONTROL_HOSTS if name != leader)
    fleet.pause(paused)
    # Enough log for a snapshot, which the host needs when it resumes.
    fleet.propose_many([large_bundle(number) for number in range(40)])
    version = fleet.roll(make_bundle(2), 1)
    fleet.resume(paused)
    wait_until(
        lambda: '"SNAPSHOT_INSTALLED"' in fleet.read_log(paused),
        "installation of a snapshot",
    )
    while leader != paused:
        fleet.kill(leader)
        fleet.start(leader)
        wait_for_version(fleet, leader, version)
        leader = wait_until(fleet.leader)
    assert roll_in_force(fleet, 3, version) == version + 1


def test_one_of_two_conflicting_rolls_wins_and_retries_return_the_first_result(fleet):
    proposals = [fleet.propose_and_sign_off(make_bundle(number)) for number in (2, 3)]
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
    fleet.kill(wait_until(fleet.leader))
    for index in range(2):
        retried = fleet.commit(
            RollBundle,
            ("ada", "bob")[index],
            f"roll/{index}",
            proposal=proposals[index],
            expected_version=1,
        )
        assert retried == results[index]
    assert bundle_number_in_force(fleet) == winner + 2


def test_second_host_is_killed_right_after_an_empty_one_is_repaired(fleet):
    leader = wait_until(fleet.leader)
    emptied, second = (name for name in CONTROL_HOSTS if name != leader)
    fleet.kill(emptied)
    shutil.rmtree(fleet.data_folder(emptied))
    version = roll_in_force(fleet, 2, 1)
    fleet.start(emptied)
    wait_for_version(fleet, emptied, version)
    wait_until(lambda: is_voter(fleet, emptied), "a vote for the repaired host")
    fleet.kill(second)
    assert roll_in_force(fleet, 3, version) == 3
    fleet.kill(leader)
    fleet.start(second)
    assert roll_in_force(fleet, 4, 3) == 4
    assert bundle_number_in_force(fleet) == 4


def is_voter(fleet: Fleet, host: str) -> bool:
    """Tell whether the host is a voter under the member id on its current disk."""
    lines = [
        x for x in fleet.read_log(host).splitlines() if '"MEMBERSHIP_CHANGED"' in x
    ]
    member = (fleet.data_folder(host) / "member").read_bytes()
    membership = msgspec.json.decode(lines[-1]) if lines else {"voters": []}
    return any(voter.split("#")[1].encode() in member for voter in membership["voters"])


def test_entry_host_restarts_after_500_changes(fleet):
    fleet.kill("e1")
    version = fleet.roll_back_many(500, fleet.roll(make_bundle(2), 1))
    fleet.start("e1")
    fleet.wait_for_entries(version)
    assert roll_in_force(fleet, 1, version) == 503


def test_full_restart_of_the_control_group(fleet):
    version = roll_in_force(fleet, 2, 1)
    proposal = fleet.propose_and_sign_off(make_bundle(3))
    result = fleet.commit(RollBundle, proposal=proposal, expected_version=version)
    for name in CONTROL_HOSTS:
        fleet.kill(name)
    for name in CONTROL_HOSTS:
        fleet.start(name)
    wait_until(fleet.leader, "a leader")
    assert fleet.status().version == int(result.value) == 3
    fleet.wait_for_entries(3)
    assert roll_in_force(fleet, 4, 3) == 4


@pytest.mark.parametrize("damage", ["torn tail", "flipped bit"])
def test_damaged_log_of_one_control_host(fleet, damage):
    roll_in_force(fleet, 2, 1)
    leader = wait_until(fleet.leader)
    host = next(name for name in CONTROL_HOSTS if name != leader)
    fleet.kill(host)
    segment = max(fleet.data_folder(host).glob("log-*"))
    content = bytearray(segment.read_bytes())
    rng = random.Random(host)
    if damage == "torn tail":
        del content[-rng.randrange(3, 40) :]
    else:
        content[rng.randrange(len(content) // 2)] ^= 1 << rng.randrange(8)
    segment.write_bytes(content)
    version = roll_in_force(fleet, 3, 2)
    fleet.start(host)
    wait_until(
        lambda: '"LOG_DAMAGED"' in fleet.read_log(host), "detection of the damage"
    )
    wait_until(lambda: is_voter(fleet, host), "a vote for the repaired host")
    wait_for_version(fleet, host, version)
    fleet.kill(leader)
    assert roll_in_force(fleet, 4, version) == 4
    assert bundle_number_in_force(fleet) == 4
