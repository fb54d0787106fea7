"""Guards against repeats that multiply an overload."""

import random

from damaskridge.core.gateway.retry_share import RetryShare


def test_any_window_stays_within_the_budget_of_all_hosts():
    rng = random.Random(3)
    ratio, allowance, window_s, hosts = 0.2, 60.0, 10.0, 11
    shares = [RetryShare(ratio, allowance, window_s) for _ in range(hosts)]
    requests, repeats, now_s = [], [], 0.0
    while now_s < 60.0:
        now_s += 0.01
        share = rng.choice(shares)
        if rng.random() < 0.5:
            requests.append(now_s)
            share.earn(1 / hosts, now_s)
        while share.spend(1 / hosts, now_s):
            repeats.append(now_s)
    for start_s in range(50):
        end_s = start_s + window_s
        asked = sum(start_s <= at_s < end_s for at_s in requests)
        again = sum(start_s <= at_s < end_s for at_s in repeats)
        assert again <= ratio * asked + allowance


def test_a_quiet_host_can_repeat_several_requests_at_once():
    share = RetryShare(0.2, 60.0, 10.0)
    assert sum(share.spend(1 / 11, 5.0) for _ in range(10)) >= 3
