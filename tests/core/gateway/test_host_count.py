"""Guards against budgets that grow while hosts are cut off and still spend theirs."""

from damaskridge.core.gateway.host_count import KEEP_S, HostCount


def test_hosts_that_are_cut_off_keep_their_part():
    count = HostCount()
    assert count.note(65, 0.0) == 65
    # The number did not change for long.
    assert [count.note(30, 100.0), count.note(20, 112.0)] == [65, 65]
    assert count.note(40, 120.0) == 65
    assert count.note(20, 121.0 + KEEP_S) == 40
    assert count.note(20, 122.0 + 2 * KEEP_S) == 20


def test_more_hosts_count_at_once():
    count = HostCount()
    assert [count.note(number, 0.1) for number in (0, 1, 11, 12)] == [1, 1, 11, 12]
