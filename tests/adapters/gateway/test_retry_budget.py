"""Guards against arrivals at servers that nobody took from the retry budget."""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway
from tests.adapters.gateway.test_streams import decode_script, engines, refuse

from damaskridge.model.gateway import EngineStage


def play(main):
    asyncio.run(main())


def arrivals(*standins):
    return sum(len(standin.received) for standin in standins)


def test_no_run_follows_a_refused_prompt_reading_without_budget():
    async def main():
        found = engines(decode_script(), prefill=refuse)
        async with gateway(*found, budget=0) as app:
            status, headers, _ = await app.generate("/gen/x")
        assert arrivals(*found) == 1
        assert status == 503
        assert float(headers["retry-after"]) > 0

    play(main)


def test_no_run_follows_two_refused_prompt_readings_with_budget_for_one():
    async def main():
        found = engines(decode_script(), prefill=refuse)
        found.append(StandIn("p1", refuse, EngineStage.PREFILL, "llm"))
        async with gateway(*found, budget=1) as app:
            status, _, _ = await app.generate("/gen/x")
        assert arrivals(*found) == 2
        assert status == 503

    play(main)


def test_repeats_of_an_overload_stay_within_the_budget():
    async def main():
        requests, budget = 20, 5
        found = engines(decode_script(), prefill=refuse)
        found.append(StandIn("p1", refuse, EngineStage.PREFILL, "llm"))
        async with gateway(*found, budget=budget) as app:
            for number in range(requests):
                await app.generate("/res/x", attempt=f"a{number}")
        assert arrivals(*found) - requests <= budget

    play(main)
