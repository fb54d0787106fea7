"""Retries must not amplify an overload."""

import random

import pytest

from damaskridge.core.gateway.retry_bucket import RetryBucket, host_retry_share


def test_retries_of_any_window_stay_within_the_budget_of_the_fleet():
    rng = random.Random(3)
    ratio, allowance, window_s, hosts = 0.2, 60.0, 10.0, 11
    share = host_retry_share(
        allowance, hosts=hosts, selected_hosts=hosts, is_selected=True
    )
    buckets = [RetryBucket(ratio, window_s, 0.0) for _ in range(hosts)]
    requests, retries, now_s = [], [], 0.0
    while now_s < 60.0:
        now_s += 0.01
        bucket = rng.choice(buckets)
        if rng.random() < 0.5:
            requests.append(now_s)
            bucket.earn(share, now_s)
        while bucket.spend(share, now_s):
            retries.append(now_s)
    for start_s in range(50):
        end_s = start_s + window_s
        request_count = sum(start_s <= at_s < end_s for at_s in requests)
        retry_count = sum(start_s <= at_s < end_s for at_s in retries)
        assert retry_count <= ratio * request_count + allowance


def test_idle_host_can_retry_several_requests_at_once():
    share = host_retry_share(60.0, hosts=11, selected_hosts=11, is_selected=True)
    bucket = RetryBucket(0.2, 10.0, 0.0)
    # Three windows after the process started the bucket is full.
    assert sum(bucket.spend(share, 30.0) for _ in range(10)) >= 3


def max_in_window(retries, window_s):
    return max(
        sum(start_s <= at_s < start_s + window_s for at_s in retries)
        for start_s in retries
    )


def test_restart_within_a_window_does_not_renew_the_budget():
    allowance, window_s, hosts = 60.0, 10.0, 11
    retries, now_s = [], 0.0
    share = host_retry_share(
        allowance, hosts=hosts, selected_hosts=hosts, is_selected=True
    )
    buckets = [RetryBucket(0.2, window_s, 0.0) for _ in range(hosts)]
    while now_s < 30.0:
        now_s += 0.1
        if round(now_s, 1) == 20.0:
            buckets = [RetryBucket(0.2, window_s, now_s) for _ in range(hosts)]
        for bucket in buckets:
            # No host spends anything for the first 19 s, so that the buckets are full.
            while now_s >= 19.0 and bucket.spend(share, now_s):
                retries.append(now_s)
    assert max_in_window(retries, window_s) <= allowance


def test_standby_hosts_stay_within_the_allowance():
    allowance, window_s, used, standby = 158.0, 10.0, 16, 52
    hosts = used + standby
    shares = [
        host_retry_share(
            allowance, hosts=hosts, selected_hosts=used, is_selected=number < used
        )
        for number in range(hosts)
    ]
    buckets = [RetryBucket(0.18, window_s, 0.0) for _ in shares]
    retries, requests, now_s = [], [], 0.0
    while now_s < 60.0:
        now_s += 0.1
        for share, bucket in zip(shares, buckets, strict=True):
            # Every host earns from requests for 40 s, then spends all it can.
            if now_s < 40.0 and round(now_s * 10) % 20 == 0:
                bucket.earn(share, now_s)
                requests.append(now_s)
            while now_s >= 40.0 and bucket.spend(share, now_s):
                retries.append(now_s)
    assert max_in_window(retries, window_s) <= allowance


@pytest.mark.parametrize(
    ("allowance", "hosts", "used"), [(55.8, 11, 11), (396.0, 200, 20), (30.0, 390, 120)]
)
def test_shares_of_all_hosts_add_up_to_the_allowance(allowance, hosts, used):
    shares = [
        host_retry_share(
            allowance, hosts=hosts, selected_hosts=used, is_selected=number < used
        )
        for number in range(hosts)
    ]
    assert sum(
        share.fixed_per_window + share.max_earned for share in shares
    ) == pytest.approx(allowance)


def test_standby_host_retries_only_what_its_requests_have_earned():
    share = host_retry_share(158.0, hosts=68, selected_hosts=16, is_selected=False)
    bucket = RetryBucket(0.2, 10.0, 0.0)
    assert not bucket.spend(share, 100.0)
    for _ in range(5):
        bucket.earn(share, 101.0)
    assert bucket.spend(share, 101.0)
    assert not bucket.spend(share, 101.0)
