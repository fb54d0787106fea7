"""Limits that servers state in their responses are learned, changed and ended."""

import asyncio

import pytest
from tests.adapters.gateway.standin import StandIn, gateway, not_executed, response

from damaskridge.model.gateway import InstanceId


def run_async(main):
    asyncio.run(main())


def respond_in_turn(*answers):
    """Return a script that gives one answer after another, and then the last again."""
    remaining = list(answers)

    async def script(request, writer):
        answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        writer.write(answer(request))

    return script


def stating(value, status=200):
    """Return an answer that states a limit."""
    extra = b"server-limit: %s\r\n" % value
    return lambda request: response(request, status, extra=extra)


def plain(request):
    return response(request)


async def learned_limits(app, requests):
    """Send requests; return the limit of server `a` after each of them."""
    learned = []
    for number in range(requests):
        await app.send_request("/open/x", attempt=f"a{number}")
        learned.append(app.registry.limits.per_s(InstanceId("a")))
    return learned


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([stating(b"2"), stating(b"2"), stating(b"1.5")], [2.0, 2.0, 1.5]),
        ([stating(b" 0.5 "), stating(b"0")], [0.5, 0.0]),
        ([stating(b"2"), plain], [2.0, None]),
        # Neither names a limit nor ends one.
        ([stating(b"-1"), stating(b"2"), stating(b"many")], [None, 2.0, 2.0]),
        # A failure ends no limit, but may name one.
        ([stating(b"2"), lambda r: response(r, 500)], [2.0, 2.0]),
        ([stating(b"2", status=500), plain], [2.0, None]),
    ],
)
def test_limit_is_learned_changed_and_ended(answers, expected):
    async def main():
        async with gateway(StandIn("a", respond_in_turn(*answers))) as app:
            assert await learned_limits(app, len(expected)) == expected

    run_async(main)


def test_refusal_does_not_end_a_limit():
    async def main():
        standin = StandIn("a", respond_in_turn(stating(b"2"), not_executed))
        async with gateway(standin, budget=0) as app:
            assert await learned_limits(app, 2) == [2.0, 2.0]

    run_async(main)


def test_response_to_a_request_sent_before_the_limit_does_not_end_it():
    async def main():
        limit_stated = asyncio.Event()

        async def script(request, writer):
            if request.attempt == "early":
                await limit_stated.wait()
                writer.write(response(request))
            else:
                writer.write(stating(b"2")(request))

        async with gateway(StandIn("a", script)) as app:
            early = asyncio.ensure_future(app.send_request("/open/x", attempt="early"))
            await asyncio.sleep(0.05)
            await app.send_request("/open/x", attempt="later")
            limit_stated.set()
            status, _, _ = await early
            assert status == 200
            assert app.registry.limits.per_s(InstanceId("a")) == 2.0

    run_async(main)


def test_another_instance_at_the_address_names_no_limit():
    async def main():
        async with gateway(
            StandIn("a", respond_in_turn(stating(b"2", status=421)))
        ) as app:
            await app.send_request("/open/x")
            assert len(app.registry.limits) == 0

    run_async(main)
