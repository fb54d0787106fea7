"""Guards against an absence of the leader that is reported late, or again and again."""

from damaskridge.core.consensus.leader_absence import (
    FIRST_REPORT_S,
    REPORT_INTERVAL_S,
    LeaderAbsence,
)


def test_absence_is_reported_once_an_interval():
    absence = LeaderAbsence(now_s=10.0)
    steps = [(10.0 + 0.5 * n) for n in range(30)]
    reports = [now_s for now_s in steps if absence.update(False, now_s) is not None]
    first_s = 10.0 + FIRST_REPORT_S
    assert reports == [first_s, first_s + REPORT_INTERVAL_S, first_s + 10.0]


def test_time_counts_from_the_end_of_the_last_leader():
    absence = LeaderAbsence(now_s=0.0)
    assert absence.update(True, now_s=100.0) is None
    assert absence.update(False, now_s=101.0) is None
    assert absence.update(False, now_s=102.5) == 2.5
