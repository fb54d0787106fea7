"""Shares must not grow while partitioned hosts still spend theirs."""

from damaskridge.core.gateway.host_count import PEAK_WINDOW_S, PeakHostCount


def test_smaller_count_takes_effect_after_the_window():
    count = PeakHostCount()
    assert count.update(65, 0.0) == 65
    # The count of 65 was current until the next update.
    assert [count.update(30, 100.0), count.update(20, 112.0)] == [65, 65]
    assert count.update(40, 120.0) == 65
    assert count.update(20, 121.0 + PEAK_WINDOW_S) == 40
    assert count.update(20, 122.0 + 2 * PEAK_WINDOW_S) == 20


def test_larger_count_takes_effect_at_once():
    count = PeakHostCount()
    assert [count.update(number, 0.1) for number in (0, 1, 11, 12)] == [1, 1, 11, 12]
