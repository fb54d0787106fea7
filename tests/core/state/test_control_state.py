"""
Tests of the replicated control state.

They guard against two outcomes of one decision: concurrent commands that both succeed,
retries that run again, and replicas whose states diverge.
"""

import random

import pytest
from tests.core.state.fleet import Fleet, bundle, digest

from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.fleet_queries import workspace_of_key
from damaskridge.core.state.ledger import (
    LEDGER_RETENTION_MS,
    MAX_BODY_BYTES,
    MAX_WORKSPACE_BYTES,
)
from damaskridge.core.state.ownership import rebalance
from damaskridge.core.state.session_tracker import SessionTracker
from damaskridge.core.state.view import FleetView
from damaskridge.model.control import (
    AdvanceTime,
    AllocateFencingNumber,
    CloseSession,
    DrainTarget,
    ExpireSession,
    FingerprintState,
    LedgerState,
    OpenSession,
    ProposeBundle,
    RecordIntent,
    RecordResult,
    ReleaseOwnership,
    ReportCrash,
    RollBackBundle,
    RollBundle,
    SetDrain,
    SetHostDraining,
    SignOffBundle,
    SuspectCleared,
    WithdrawKey,
)
from damaskridge.model.errors import ErrorKind


def failure_kind(result):
    return result.failure.kind if result.failure else None


def roll(fleet, proposal, expected, operator="ada"):
    return fleet.run(
        RollBundle, operator=operator, proposal=proposal, expected_version=expected
    )


def roll_back(fleet, to, expected):
    return fleet.run(
        RollBackBundle, operator="bob", to_version=to, expected_version=expected
    )


def test_concurrent_rolls_have_one_winner_and_a_retry_gets_the_first_result():
    """Both commands expect the same version, so only the first may be applied."""
    fleet = Fleet()
    first, second = fleet.signed(bundle("a")), fleet.signed(bundle("b"))
    command = RollBundle(
        command_id="roll", operator="ada", proposal=first, expected_version=1
    )
    winning_result = fleet.apply(command)
    assert (winning_result.failure, winning_result.value) == (None, "2")
    assert failure_kind(roll(fleet, second, 1, "bob")) is ErrorKind.VERSION_CONFLICT
    assert fleet.apply(command) == winning_result
    assert fleet.data.version == 2
    reused_id = fleet.run(
        RollBackBundle, "roll", operator="ada", to_version=1, expected_version=2
    )
    assert failure_kind(reused_id) is ErrorKind.INVALID_REQUEST


def test_bundle_change_needs_two_known_operators():
    fleet = Fleet()
    name = fleet.run(ProposeBundle, operator="ada", bundle=bundle("a")).value
    assert failure_kind(roll(fleet, name, 1)) is ErrorKind.NOT_SIGNED_OFF
    self_sign_off = fleet.run(SignOffBundle, operator="ada", proposal=name)
    assert failure_kind(self_sign_off) is ErrorKind.SELF_SIGN_OFF
    for operator in ("eve", ""):
        unknown = fleet.run(SignOffBundle, operator=operator, proposal=name)
        assert failure_kind(unknown) is ErrorKind.UNKNOWN_OPERATOR
    without_version = Fleet(state=ControlState())
    name = without_version.run(ProposeBundle, operator="ada", bundle=bundle()).value
    assert failure_kind(roll(without_version, name, 0)) is ErrorKind.NOT_SIGNED_OFF
    assert without_version.data.version == 0


def test_roll_back_restores_the_bundle_but_not_withdrawn_keys():
    fleet = Fleet()
    view = FleetView()
    fleet.roll(bundle("w1", "new", keys=("k1", "k2"), cells=("c9",)))
    fleet.run(WithdrawKey, operator="ada", key_digest=digest("k1"))
    assert roll_back(fleet, 1, 2).value == "3"
    assert failure_kind(roll_back(fleet, 9, 3)) is ErrorKind.UNKNOWN_VERSION
    for delta in fleet.deltas:
        assert view.apply_delta(delta)
    assert view.version == 3
    assert view.bundle == fleet.data.bundle
    assert {item.name for item in view.bundle.workspaces} == {"w1", "w2", "w3"}
    assert workspace_of_key(view, digest("k1")).err().kind is ErrorKind.KEY_WITHDRAWN


def test_pruned_versions_are_unknown():
    fleet = Fleet()
    for _ in range(200):
        roll_back(fleet, fleet.data.version, fleet.data.version)
    assert fleet.data.version == 201
    assert failure_kind(roll_back(fleet, 1, 201)) is ErrorKind.UNKNOWN_VERSION
    assert roll_back(fleet, 2, 201).value == "202"


def test_ownership_transfer_has_one_owner_and_keeps_the_bucket_level():
    fleet = Fleet("h1")
    before = dict(fleet.data.owners)
    second = fleet.open("h2")
    moving = [item for item in fleet.data.owners.values() if item.moving_to]
    assert moving and all(item.host == "h1" for item in fleet.data.owners.values())
    owner = moving[0]
    fields = {"host": "h1", "session": owner.session, "resource": owner.resource}
    stale = fleet.run(ReleaseOwnership, **fields, epoch=owner.epoch - 1)
    assert failure_kind(stale) is ErrorKind.EPOCH_CONFLICT
    fleet.run(ReleaseOwnership, **fields, epoch=owner.epoch, level_tokens=4.5)
    new_owner = fleet.data.owners[owner.resource]
    assert (new_owner.host, new_owner.session, new_owner.level_tokens) == (
        "h2",
        second,
        4.5,
    )
    assert new_owner.epoch > before[owner.resource].epoch
    repeated = fleet.run(ReleaseOwnership, **fields, epoch=owner.epoch)
    assert failure_kind(repeated) is ErrorKind.EPOCH_CONFLICT
    fleet.run(ExpireSession, host="h2", session=second)
    last = fleet.data.owners[owner.resource]
    assert (last.host, last.level_tokens, last.moving_to) == ("h1", 0.0, "")
    assert last.epoch > new_owner.epoch


def test_lost_host_moves_only_its_resources_and_cells_prefer_their_data_centre():
    fleet = Fleet("h1", "h2", "h3")
    east_session = fleet.open("h4", "east")
    names = tuple(f"x{number}" for number in range(60))
    fleet.roll(bundle(*names))
    cells = [fleet.data.owners[f"cell/{name}"] for name in ("c1", "c2")]
    assert all(item.host != "h4" for item in cells)
    before = dict(fleet.data.owners)
    assert {item.host for item in before.values()} == {"h1", "h2", "h3", "h4"}
    fleet.run(CloseSession, host="h4", session=east_session)
    for resource, owner in before.items():
        is_unchanged = fleet.data.owners[resource].epoch == owner.epoch
        assert is_unchanged == (owner.host != "h4")


def test_ledger_allows_a_call_at_most_once_across_session_loss():
    fleet = Fleet("h1")
    session = fleet.data.sessions["h1"].number

    def record_intent(command_id="", body="b", key="k", number=session):
        return fleet.run(
            RecordIntent,
            command_id,
            workspace="w1",
            idempotency_key=key,
            body_digest=body,
            host="h1",
            session=number,
        )

    def record_result(intent_id, key="k", **fields):
        return fleet.run(
            RecordResult,
            workspace="w1",
            idempotency_key=key,
            intent_id=intent_id,
            **fields,
        )

    first = record_intent("i1")
    assert first.ledger.state is LedgerState.NEW
    assert record_intent("i1") == first
    assert record_intent().ledger.state is LedgerState.IN_PROGRESS
    assert failure_kind(record_intent(body="x")) is ErrorKind.IDEMPOTENCY_CONFLICT
    assert record_result("i1", not_run=True).failure is None
    assert record_intent("i2").ledger.state is LedgerState.NEW
    assert failure_kind(record_result("i1", status=200)) is ErrorKind.UNKNOWN_REQUEST
    record_result("i2", status=201, content_type="t", body=b"done")
    replay = record_intent("i3").ledger
    assert (replay.state, replay.body) == (LedgerState.FINISHED, b"done")
    assert record_intent("i3").ledger == replay
    record_intent("big", key="big")
    record_result("big", key="big", status=200, body=b"x" * (MAX_BODY_BYTES + 1))
    assert record_intent(key="big").ledger.body == b""
    assert record_intent("i4", key="k2").ledger.state is LedgerState.NEW
    fleet.open("h1")
    for late in ({"status": 200}, {"not_run": True}):
        assert (
            failure_kind(record_result("i4", key="k2", **late))
            is ErrorKind.SESSION_ENDED
        )
    assert record_intent(key="k2").ledger.state is LedgerState.UNKNOWN
    assert failure_kind(record_intent(key="k3")) is ErrorKind.SESSION_ENDED
    fleet.run(AdvanceTime, at_ms=LEDGER_RETENTION_MS + 1)
    data = fleet.data
    assert not data.ledger and not data.open_intents and not data.ledger_bytes


def test_full_ledger_refuses_new_calls_and_keeps_all_records():
    fleet = Fleet("h1")
    session = fleet.data.sessions["h1"].number

    def call(workspace, key):
        call = {"workspace": workspace, "idempotency_key": key}
        intent = {"body_digest": "b", "host": "h1", "session": session}
        result = fleet.run(RecordIntent, f"i{key}", **intent, **call)
        body = b"x" * MAX_BODY_BYTES
        fleet.run(RecordResult, intent_id=f"i{key}", status=200, body=body, **call)
        return result

    results = [call("w1", str(number)) for number in range(25_000)]
    accepted = next(i for i, item in enumerate(results) if item.failure is not None)
    refusal = results[accepted].failure
    assert (refusal.kind, refusal.final_run_state.value) == (
        ErrorKind.OVERLOADED,
        "not_run",
    )
    assert refusal.retry_after_s > 0
    assert len(fleet.data.ledger) == accepted
    assert fleet.data.ledger_bytes["w1"] <= MAX_WORKSPACE_BYTES
    fields = {"idempotency_key": "0", "body_digest": "b", "host": "h1"}
    retry = fleet.run(RecordIntent, workspace="w1", session=session, **fields).ledger
    assert (retry.state, len(retry.body)) == (LedgerState.FINISHED, MAX_BODY_BYTES)
    assert call("w2", "other").failure is None
    fleet.run(AdvanceTime, at_ms=LEDGER_RETENTION_MS + 1)
    assert call("w1", "new").failure is None


def test_only_a_new_workspace_starts_with_a_full_bucket():
    fleet = Fleet()
    fleet.open("h1")

    def levels():
        owners = fleet.data.owners.values()
        return {item.resource: item.level_tokens for item in owners}

    assert levels()["workspace/w1"] == 10.0 and levels()["cell/c1"] == 0.0
    fleet.roll(bundle("w1", "w4"))
    assert levels()["workspace/w4"] == 10.0
    fleet.roll(bundle("w1", "w2", "w4"))
    assert levels()["workspace/w2"] == 0.0
    fleet.open("h1")
    assert set(levels().values()) == {0.0}


def test_second_crash_quarantines_the_common_request_only():
    """
    The other requests stay suspects, but the crashes no longer count against them.

    Otherwise they would be quarantined for a crash that another request caused.
    """
    fleet = Fleet("h1")

    def crash(name, *fingerprints, incarnation=1):
        fleet.run(
            ReportCrash,
            backend_server=name,
            incarnation=incarnation,
            fingerprints=fingerprints,
        )

    def states():
        return {name: item.state for name, item in fleet.data.fingerprints.items()}

    suspect, quarantined = FingerprintState.SUSPECT, FingerprintState.QUARANTINED
    crash("s1", "bad", "a", "b")
    crash("s1", "bad", "a")
    assert states() == dict.fromkeys(("bad", "a", "b"), suspect)
    fleet.run(SuspectCleared, fingerprint="a")
    crash("s2", "bad", "a", "c")
    assert states() == {"bad": quarantined, "b": suspect}
    fleet.run(SuspectCleared, fingerprint="bad")
    crash("s2", "b", "d", incarnation=2)
    assert states() == {"bad": quarantined, "b": suspect, "d": suspect}
    fleet.run(AdvanceTime, at_ms=3_600_001)
    assert states() == {} and not fleet.data.crashes


def test_suspect_that_ran_alone_on_a_crashed_server_is_quarantined():
    """
    Two requests that crash servers may run on the same server when it first crashes.

    Once one of them has been quarantined for that crash, the crash no longer counts
    against the other. First seen with seed 63.
    """
    fleet = Fleet("h1")
    for name, fingerprints in (
        ("s1", ("bad", "worse", "a")),
        ("s2", ("worse", "c")),
        ("s3", ("bad",)),
        ("s4", ("d",)),
    ):
        fleet.run(
            ReportCrash, backend_server=name, incarnation=1, fingerprints=fingerprints
        )
    states = {name: item.state for name, item in fleet.data.fingerprints.items()}
    suspect, quarantined = FingerprintState.SUSPECT, FingerprintState.QUARANTINED
    assert states == dict(bad=quarantined, worse=quarantined, a=suspect, d=suspect)


def test_fencing_numbers_increase_after_a_cell_is_removed_and_added_again():
    fleet = Fleet("h1")

    def allocate(epoch=None):
        owner = fleet.data.owners["cell/c1"]
        return fleet.run(
            AllocateFencingNumber,
            resource="cell/c1",
            epoch=owner.epoch if epoch is None else epoch,
            host="h1",
        )

    assert [allocate().value, allocate().value] == ["1", "2"]
    assert failure_kind(allocate(epoch=0)) is ErrorKind.EPOCH_CONFLICT
    epoch = fleet.data.owners["cell/c1"].epoch
    fleet.roll(bundle(cells=("c2",)))
    fleet.roll(bundle())
    assert int(allocate().value) > 2
    assert fleet.data.owners["cell/c1"].epoch > epoch


def test_session_returned_as_expired_is_not_renewed():
    tracker = SessionTracker()
    fleet = Fleet("h1", "h2")
    tracker.reset_leases(10.0, fleet.data.sessions.values())
    assert tracker.record_renewal("h2", 2, 12.0)
    assert tracker.expired_sessions(13.05) == []
    assert tracker.expired_sessions(13.07) == [("h1", 1)]
    assert not tracker.record_renewal("h1", 1, 13.08)
    tracker.remove_session("h1", 1)
    assert tracker.expired_sessions(13.1) == []


def random_command(rng, fleet, number):
    data = fleet.data
    host = f"h{rng.randrange(4)}"
    live = data.sessions.get(host)
    session = live.number if live else 0
    current = rng.choice(list(data.owners.values())) if data.owners else None
    operator = rng.choice(("ada", "bob", "eve"))
    proposal = f"p{rng.randrange(data.last_proposal + 2)}"
    name, data_centre = rng.choice("abcd"), rng.choice(("west", "east"))
    names = rng.sample(("a", "b", "c", "d"), 2)
    content = bundle(*names, keys=names, cells=rng.sample(("c1", "c2", "c3"), 2))
    options = [
        (OpenSession, {"host": host, "incarnation": 1, "data_centre": data_centre,
                       "caller_address": "", "peer_address": ""}),
        (rng.choice((ExpireSession, CloseSession, SetHostDraining)),
         {"host": host, "session": session}),
        (ProposeBundle, {"operator": operator, "bundle": content}),
        (SignOffBundle, {"operator": operator, "proposal": proposal}),
        (RollBundle, {"operator": operator, "proposal": proposal,
                      "expected_version": data.version - rng.randrange(2)}),
        (RollBackBundle, {"operator": operator, "expected_version": data.version,
                          "to_version": rng.randrange(data.version + 2)}),
        (WithdrawKey, {"operator": operator, "key_digest": digest(name)}),
        (SetDrain, {"operator": operator, "target": rng.choice(list(DrainTarget)),
                    "name": host, "draining": rng.random() < 0.5}),
        (RecordIntent, {"workspace": name, "idempotency_key": str(rng.randrange(5)),
                        "body_digest": rng.choice("xy"), "host": host,
                        "session": session}),
        (RecordResult, {"workspace": name, "idempotency_key": str(rng.randrange(5)),
                        "intent_id": f"r{rng.randrange(number + 1)}", "body": b"z",
                        "not_run": rng.random() < 0.3}),
        (ReportCrash, {"backend_server": name, "incarnation": rng.randrange(9),
                       "fingerprints": tuple(names)}),
        (SuspectCleared, {"fingerprint": name}),
        (AdvanceTime, {}),
    ]  # fmt: skip
    if current is not None:
        epoch = current.epoch - (rng.random() < 0.2)
        owned = {"host": current.host, "resource": current.resource, "epoch": epoch}
        options.append((ReleaseOwnership, {**owned, "session": current.session}))
        options.append((AllocateFencingNumber, owned))
    kind, fields = rng.choice(options)
    at_ms = data.now_ms + rng.choice((-5, 10, 60_000, 900_000))
    return kind(command_id=f"r{number}", at_ms=at_ms, **fields)


@pytest.mark.parametrize("seed", range(8))
def test_replicas_stay_equal_after_a_restore_from_a_snapshot(seed):
    rng = random.Random(seed)
    fleet, view = Fleet("h0"), FleetView()
    replica, epochs, fencing, withdrawn = ControlState(), {}, {}, set()
    replica.restore(fleet.state.encode())
    assert view.restore(replica.fleet_snapshot())
    new_intents, proposed_commands = {}, []
    for number in range(1500):
        command = random_command(rng, fleet, number)
        proposed_commands.append(
            command if rng.random() < 0.9 else rng.choice([*proposed_commands, command])
        )
        command = proposed_commands[-1]
        result = fleet.apply(command)
        if number == 700:
            replica.restore(fleet.state.encode())
        elif number % 500 == 250:
            replica.restore(replica.encode())
        if number != 700:
            replica.apply(fleet.index, command)
        if number % 10 == 0:
            # Reassigning every resource must not find a change that the updates for
            # single hosts missed.
            copy, missed = ControlState(), []
            copy.restore(replica.encode())
            rebalance(copy.data, missed)
            assert missed == []
        version = view.version
        assert view.apply_delta(fleet.deltas[-1])
        assert view.version >= version
        for name, owner in fleet.data.owners.items():
            assert owner.epoch >= epochs.get(name, 0)
            epochs[name] = owner.epoch
        if isinstance(command, AllocateFencingNumber) and not result.failure:
            first_value = fencing.setdefault(command.command_id, int(result.value))
            assert first_value == int(result.value)
        if result.ledger and result.ledger.state is LedgerState.NEW:
            new_intents.setdefault(command.command_id, result)
            assert new_intents[command.command_id] == result
        assert withdrawn <= fleet.data.withdrawn_keys
        withdrawn = set(fleet.data.withdrawn_keys)
    assert replica.digest() == fleet.state.digest()
    assert replica.data == fleet.data
    rebuilt, snapshot = FleetView(), fleet.state.fleet_snapshot()
    rebuilt.restore(snapshot)
    assert vars(rebuilt) == vars(view)
    assert len(set(fencing.values())) > 3 and len(new_intents) > 10 and view.version > 3
