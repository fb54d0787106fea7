"""Test that every request beyond the first is charged to the retry budget."""

import asyncio

from tests.adapters.gateway.standin import StandIn, gateway
from tests.adapters.gateway.test_streams import decode_script, engines, refuse

from damaskridge.model.gateway import EngineStage


def run_async(main):
    asyncio.run(main())


def request_count(*standins):
    return sum(len(standin.received) for standin in standins)


def test_without_budget_no_decode_follows_a_refused_prefill():
    async def main():
        servers = engines(decode_script(), prefill=refuse)
        async with gateway(*servers, budget=0) as app:
            status, headers, _ = await app.generate("/gen/x")
        assert request_count(*servers) == 1
        assert status == 503
        assert float(headers["retry-after"]) > 0

    run_async(main)


def test_with_budget_for_one_retry_no_decode_follows_two_refused_prefills():
    async def main():
        servers = engines(decode_script(), prefill=refuse)
        servers.append(StandIn("p1", refuse, EngineStage.PREFILL, "llm"))
        async with gateway(*servers, budget=1) as app:
            status, _, _ = await app.generate("/gen/x")
        assert request_count(*servers) == 2
        assert status == 503

    run_async(main)


def test_retries_during_an_overload_stay_within_the_budget():
    async def main():
        requests, budget = 20, 5
        servers = engines(decode_script(), prefill=refuse)
        servers.append(StandIn("p1", refuse, EngineStage.PREFILL, "llm"))
        async with gateway(*servers, budget=budget) as app:
            for number in range(requests):
                await app.generate("/res/x", attempt=f"a{number}")
        assert request_count(*servers) - requests <= budget

    run_async(main)
