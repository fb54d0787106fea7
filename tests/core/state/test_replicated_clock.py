"""Guards against a leader whose wall clock jumps and ends retentions too early."""

import random

from damaskridge.core.state.replicated_clock import MAX_CLOCK_RATE, ReplicatedClock

START_MS = 1_700_000_000_000
DAY_MS = 24 * 3600 * 1000


def test_timestamps_follow_a_steady_clock_and_limit_jumps():
    for seed in range(20):
        rng = random.Random(seed)
        clock, now_s, previous_ms = ReplicatedClock(0.0), 0.0, START_MS
        clock.next_timestamp_ms(START_MS, 0.0)
        jump_ms = 0
        for step in range(2000):
            now_s += rng.choice((0.0003, 0.002, 0.5))
            jump_ms = rng.choice((0, -DAY_MS, 30 * DAY_MS)) if step >= 1000 else 0
            wall_ms = START_MS + int(now_s * 1000) + jump_ms
            timestamp_ms = clock.next_timestamp_ms(wall_ms, now_s)
            assert (
                previous_ms
                <= timestamp_ms
                <= START_MS + now_s * 1000 * MAX_CLOCK_RATE + 1
            )
            if step < 1000:
                assert timestamp_ms == wall_ms
            previous_ms = timestamp_ms


def test_new_leader_continues_from_the_log_and_catches_up_after_an_outage():
    clock = ReplicatedClock(0.0)
    clock.observe_timestamp(START_MS, 0.0)
    assert clock.next_timestamp_ms(START_MS + DAY_MS, 10.0) == START_MS + 11_000
    wall_ms = START_MS + 3600_000
    timestamps = [
        clock.next_timestamp_ms(wall_ms + s * 1000, 10.0 + s)
        for s in range(0, 60_000, 60)
    ]
    assert timestamps == sorted(timestamps) and timestamps[-1] == wall_ms + 59_940_000
