"""Guards against prompts that wait for a prefill engine while others are idle."""

import random

from damaskridge.core.gateway.prefill_choice import EventPace, PrefillEstimator


def test_an_idle_prefill_engine_reads():
    speed = PrefillEstimator()
    assert not speed.prefers_decode(
        prompt_tokens=5000, prefill_pending=0, decode_pending=0
    )


def test_the_speed_follows_what_is_seen():
    speed = PrefillEstimator()
    for _ in range(100):
        speed.observe(5000, 0.05)
    assert speed.prefill_s(prompt_tokens=5000, pending_tokens=0) < 0.06


def waits(rate_per_s, *, may_share, engines=2, speed_per_s=50_000.0):
    """Return the reading times of a burst of prompts on two prefill engines."""
    rng, speed = random.Random(5), PrefillEstimator()
    prefill_free_s = [0.0] * engines
    decode_free_s = [0.0] * 3
    now_s, found = 0.0, []
    for _ in range(400):
        now_s += rng.expovariate(rate_per_s)
        tokens = rng.randint(1000, 11000)
        pending = [max(0.0, free - now_s) * speed_per_s for free in prefill_free_s]
        reading = [
            max(0.0, free - now_s) * speed_per_s * 0.45 for free in decode_free_s
        ]
        at = pending.index(min(pending))
        to = reading.index(min(reading))
        if may_share and speed.prefers_decode(
            prompt_tokens=tokens,
            prefill_pending=int(pending[at]),
            decode_pending=int(reading[to]),
        ):
            took_s = tokens / speed_per_s / 0.45
            decode_free_s[to] = max(now_s, decode_free_s[to]) + took_s
            found.append(decode_free_s[to] - now_s)
        else:
            prefill_free_s[at] = max(now_s, prefill_free_s[at]) + tokens / speed_per_s
            found.append(prefill_free_s[at] - now_s)
    return sorted(found)


def test_a_burst_beyond_the_prefill_engines_is_read_in_time():
    alone, shared = (waits(22.0, may_share=share) for share in (False, True))
    assert alone[int(0.9 * len(alone))] > 0.9
    assert shared[int(0.9 * len(shared))] < 0.6


def prefers_decode(pace, tokens=5000, **fields):
    fields = {"prefill_pending": 15_000, "decode_pending": 0, **fields}
    return PrefillEstimator().prefers_decode(prompt_tokens=tokens, pace=pace, **fields)


def test_streams_whose_events_cover_many_steps_are_not_held_up_by_a_prompt():
    """One event would take in the reading of the whole prompt."""
    pace = EventPace(steps_per_event=76, event_gap_s=0.3)
    assert not prefers_decode(pace)
    assert prefers_decode(None)
    assert prefers_decode(pace, tokens=2000)
    assert not prefers_decode(pace, tokens=2000, decode_pending=4000)


def test_streams_whose_events_cover_few_steps_hardly_notice_a_prompt():
    pace = EventPace(steps_per_event=7, event_gap_s=0.3)
    assert prefers_decode(pace)
    assert prefers_decode(pace, tokens=11_000, prefill_pending=30_000)


def test_a_prompt_that_no_prefill_engine_reads_in_time_is_read_all_the_same():
    pace = EventPace(steps_per_event=76, event_gap_s=0.3)
    assert prefers_decode(pace, prefill_pending=60_000)


def test_a_route_without_a_limit_for_gaps_has_prompts_read_where_it_is_sooner():
    assert prefers_decode(EventPace(steps_per_event=76, event_gap_s=0.0))
