"""Guards against budgets that grow while hosts are cut off and still spend theirs."""

from damaskridge.core.gateway.host_count import KEEP_S, PeakHostCount


def test_hosts_that_are_cut_off_keep_their_part():
    count = PeakHostCount()
    assert count.update(65, 0.0) == 65
    # The number did not change for long.
    assert [count.update(30, 100.0), count.update(20, 112.0)] == [65, 65]
    assert count.update(40, 120.0) == 65
    assert count.update(20, 121.0 + KEEP_S) == 40
    assert count.update(20, 122.0 + 2 * KEEP_S) == 20


def test_more_hosts_count_at_once():
    count = PeakHostCount()
    assert [count.update(number, 0.1) for number in (0, 1, 11, 12)] == [1, 1, 11, 12]
