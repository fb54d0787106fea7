"""Guards against wrong single-server changes and against late acknowledgements."""

import pytest

from damaskridge.core.consensus.membership_changes import (
    VOTER_DEMOTION_TIMEOUT_S,
    CommitRule,
    MembershipChanges,
)
from damaskridge.core.consensus.replication import Progress
from damaskridge.model.consensus import Membership

NOW_S = 100.0
COMMIT_INDEX = 50
# c#1 and d#1 share a data centre.
DATA_CENTRES = {"a#1": "x", "b#1": "y", "c#1": "z", "d#1": "z"}


def new_changes(tolerated_losses=1, elected_s=0.0, **fields_by_member):
    """Return the changes of the leader a#1, and the progress of the other members."""
    progress = {
        member: Progress(
            next_index=COMMIT_INDEX + 1,
            tracked_since_s=elected_s,
            last_contact_s=NOW_S,
            match_index=COMMIT_INDEX,
            data_centre=data_centre,
        )
        for member, data_centre in DATA_CENTRES.items()
        if member != "a#1"
    }
    for host, fields in fields_by_member.items():
        for name, value in fields.items():
            setattr(progress[f"{host}#1"], name, value)
    return MembershipChanges("a#1", progress, "x", tolerated_losses, elected_s)


def next_change(changes, membership, late_index=0):
    return changes.next_change(membership, COMMIT_INDEX, late_index, NOW_S)


FOUR = Membership(("a#1", "b#1", "c#1", "d#1"), (), ("d#1",))
SPARE = Membership(("a#1", "b#1", "d#1"), ("c#1",), ("d#1",))
SILENT = {"last_contact_s": NOW_S - VOTER_DEMOTION_TIMEOUT_S - 0.1}


def test_successor_takes_the_vote_of_the_host_beside_it():
    assert next_change(new_changes(), FOUR) == SPARE


def test_spare_that_has_caught_up_stays_a_learner():
    assert next_change(new_changes(), SPARE) is None


def test_spare_votes_instead_of_a_lost_voter():
    changes = new_changes(b=SILENT)
    without_lost = next_change(changes, SPARE)
    assert without_lost.voters == ("a#1", "d#1")
    assert next_change(changes, without_lost).voters == ("a#1", "d#1", "c#1")


@pytest.mark.parametrize("other", ["c", "d"])
def test_lost_voter_keeps_its_vote_if_the_smaller_group_could_not_commit(other):
    """Guards against two hosts that wait for a third one which is gone."""
    changes = new_changes(b=SILENT, **{other: SILENT})
    assert next_change(changes, SPARE) is None


def test_voter_that_responds_but_does_not_sync_loses_its_vote():
    """Guards against acknowledgements that wait for a stalled disk for ever."""
    unknown = {"data_centre": ""}
    changes = new_changes(b={"match_index": 10}, c=unknown, d=unknown)
    assert next_change(changes, FOUR) is None
    assert next_change(changes, FOUR, late_index=20).voters == ("a#1", "c#1", "d#1")


def test_no_vote_is_taken_if_the_data_centre_has_several_other_hosts():
    changes = new_changes(b={"data_centre": "z"})
    assert next_change(changes, FOUR) is None


def test_first_hosts_of_a_large_group_keep_their_votes():
    """Guards against a deployment of an even size that is taken for a replacement."""
    membership = Membership(("a#1", "b#1", "c#1", "d#1"))
    changes = new_changes(tolerated_losses=None)
    assert next_change(changes, membership) is None
    rule = changes.commit_rule(membership, COMMIT_INDEX, NOW_S)
    assert rule is CommitRule.QUORUM


def test_group_that_tolerates_more_losses_than_it_has_votes_for_keeps_them():
    """Guards against a vote that is taken and given again without an end."""
    assert next_change(new_changes(tolerated_losses=2), FOUR) is None


@pytest.mark.parametrize(
    ("membership", "rule"),
    [
        (FOUR, CommitRule.ALL_VOTERS),
        (SPARE, CommitRule.ALL_VOTERS),
        (Membership(("a#1", "d#1"), ("c#1",), ("d#1",)), CommitRule.NONE),
        (Membership(("a#1", "b#1", "d#1"), (), ("d#1",)), CommitRule.QUORUM),
    ],
)
def test_entries_wait_for_all_voters_while_a_replaced_host_may_go(membership, rule):
    changes = new_changes()
    assert changes.commit_rule(membership, COMMIT_INDEX, NOW_S) is rule


def test_new_leader_commits_nothing_until_it_knows_who_is_there():
    """Guards against an acknowledgement before the leader knows of a spare."""
    unknown = {"last_contact_s": None, "data_centre": ""}
    for elected_s, rule in ((NOW_S, CommitRule.NONE), (0.0, CommitRule.QUORUM)):
        changes = new_changes(elected_s=elected_s, c=unknown)
        assert changes.commit_rule(SPARE, COMMIT_INDEX, NOW_S) is rule
