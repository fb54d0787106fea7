"""Guards against repeats that multiply an overload."""

import random

import pytest

from damaskridge.core.gateway.retry_bucket import RetryShare, part_of


def test_any_window_stays_within_the_budget_of_all_hosts():
    rng = random.Random(3)
    ratio, allowance, window_s, hosts = 0.2, 60.0, 10.0, 11
    part = part_of(allowance, hosts=hosts, used_hosts=hosts, is_used=True)
    shares = [RetryShare(ratio, window_s, 0.0) for _ in range(hosts)]
    requests, repeats, now_s = [], [], 0.0
    while now_s < 60.0:
        now_s += 0.01
        share = rng.choice(shares)
        if rng.random() < 0.5:
            requests.append(now_s)
            share.earn(part, now_s)
        while share.spend(part, now_s):
            repeats.append(now_s)
    for start_s in range(50):
        end_s = start_s + window_s
        asked = sum(start_s <= at_s < end_s for at_s in requests)
        again = sum(start_s <= at_s < end_s for at_s in repeats)
        assert again <= ratio * asked + allowance


def test_a_quiet_host_can_repeat_several_requests_at_once():
    part = part_of(60.0, hosts=11, used_hosts=11, is_used=True)
    share = RetryShare(0.2, 10.0, 0.0)
    # The host has run for three windows.
    assert sum(share.spend(part, 30.0) for _ in range(10)) >= 3


def most_in_a_window(repeats, window_s):
    return max(
        sum(start_s <= at_s < start_s + window_s for at_s in repeats)
        for start_s in repeats
    )


def test_hosts_that_start_again_within_a_window_have_no_second_budget():
    allowance, window_s, hosts = 60.0, 10.0, 11
    repeats, now_s = [], 0.0
    part = part_of(allowance, hosts=hosts, used_hosts=hosts, is_used=True)
    shares = [RetryShare(0.2, window_s, 0.0) for _ in range(hosts)]
    while now_s < 30.0:
        now_s += 0.1
        if round(now_s, 1) == 20.0:
            shares = [RetryShare(0.2, window_s, now_s) for _ in range(hosts)]
        for share in shares:
            # All hosts are quiet at first, so that their buckets are full.
            while now_s >= 19.0 and share.spend(part, now_s):
                repeats.append(now_s)
    assert most_in_a_window(repeats, window_s) <= allowance


def test_hosts_that_stand_by_hold_no_more_than_the_allowance_leaves():
    allowance, window_s, used, standing_by = 158.0, 10.0, 16, 52
    hosts = used + standing_by
    parts = [
        part_of(allowance, hosts=hosts, used_hosts=used, is_used=number < used)
        for number in range(hosts)
    ]
    shares = [RetryShare(0.18, window_s, 0.0) for _ in parts]
    repeats, requests, now_s = [], [], 0.0
    while now_s < 60.0:
        now_s += 0.1
        for part, share in zip(parts, shares, strict=True):
            # Every host has requests before all of them fail.
            if now_s < 40.0 and round(now_s * 10) % 20 == 0:
                share.earn(part, now_s)
                requests.append(now_s)
            while now_s >= 40.0 and share.spend(part, now_s):
                repeats.append(now_s)
    assert most_in_a_window(repeats, window_s) <= allowance


@pytest.mark.parametrize(
    ("allowance", "hosts", "used"), [(55.8, 11, 11), (396.0, 200, 20), (30.0, 390, 120)]
)
def test_the_parts_of_all_hosts_add_up_to_the_allowance(allowance, hosts, used):
    parts = [
        part_of(allowance, hosts=hosts, used_hosts=used, is_used=number < used)
        for number in range(hosts)
    ]
    assert sum(part.fixed + part.held for part in parts) == pytest.approx(allowance)


def test_a_host_that_stands_by_repeats_what_its_requests_have_earned():
    part = part_of(158.0, hosts=68, used_hosts=16, is_used=False)
    share = RetryShare(0.2, 10.0, 0.0)
    assert not share.spend(part, 100.0)
    for _ in range(5):
        share.earn(part, 101.0)
    assert share.spend(part, 101.0)
    assert not share.spend(part, 101.0)
