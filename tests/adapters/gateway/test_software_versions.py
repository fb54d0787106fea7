"""Test that a stream goes on only at the software version that began it."""

import asyncio

import pytest
from tests.adapters.gateway.standin import StandIn, events, gateway
from tests.adapters.gateway.test_streams import decode_script, run_async, run_prefill

from damaskridge.adapters.gateway import stream_versions
from damaskridge.model.gateway import EngineStage


def engine(name, version, script, stage=EngineStage.DECODE):
    return StandIn(name, script, stage, "llm", software_version=version)


def prefill_engine(version):
    return engine(f"p-{version}", version, run_prefill, EngineStage.PREFILL)


def breaking(after=3):
    """Return a script that breaks off each stream that it begins."""

    async def script(request, writer):
        if "last-event-id" in request.headers:
            return await decode_script()(request, writer)
        return await decode_script(disconnect_after=after)(request, writer)

    return script


def take_up(first_attempt, last_event_id):
    """Return the headers of a caller that goes on with a stream."""
    return [
        "x-token-count: 100,50",
        f"last-event-id: {last_event_id}",
        f"resumes: {first_attempt}",
    ]


def test_stream_that_breaks_off_goes_on_at_its_version():
    async def main():
        old = [engine(name, "v1", breaking()) for name in ("a", "b")]
        new = [engine(name, "v2", decode_script()) for name in ("c", "d", "e", "f")]
        servers = [prefill_engine("v1"), prefill_engine("v2"), *old, *new]
        async with gateway(*servers, budget=99) as app:
            for number in range(24):
                status, _, body = await app.generate(attempt=f"a{number}")
                assert (status, body) == (200, events(1, 9))
        resumed = [
            request.headers.get("last-event-id")
            for server in new
            for request in server.received
        ]
        assert any(server.received for server in old)
        assert not any(resumed)

    run_async(main)


def test_stream_without_an_engine_of_its_version_is_truncated():
    async def main():
        async def crash(request, writer):
            await decode_script(disconnect_after=3)(request, writer)
            old.crash()
            return True

        old = engine("a", "v1", crash)
        new = engine("b", "v2", decode_script())
        async with gateway(prefill_engine("v1"), old, new) as app:
            for number in range(16):
                status, _, body = await app.generate(attempt=f"a{number}")
                began_at_old = any(r.attempt == f"a{number}" for r in old.received)
                assert (status, body) == (200, None if began_at_old else events(1, 9))
        assert len(old.received) == 1

    run_async(main)


def test_prompt_is_read_by_an_engine_of_the_version_that_decodes():
    async def main():
        decoders = [engine(f"d-{v}", v, decode_script()) for v in ("v1", "v2", "v3")]
        prefillers = [prefill_engine(version) for version in ("v1", "v2")]
        async with gateway(*prefillers, *decoders) as app:
            for number in range(24):
                status, _, _ = await app.generate(attempt=f"a{number}")
                assert status == 200
        for decoder in decoders:
            sources = {
                request.headers.get("x-kv-source", "").partition("/")[0]
                for request in decoder.received
            }
            readers = [p for p in prefillers if p.address in sources]
            assert decoder.received
            assert {p.software_version for p in readers} <= {decoder.software_version}

    run_async(main)


@pytest.mark.parametrize("has_old", [True, False])
def test_stream_that_is_taken_up_goes_on_at_its_version(has_old):
    async def main():
        old = engine("a", "v1", decode_script(disconnect_after=3))
        new = [engine(name, "v2", decode_script()) for name in ("b", "c", "d")]
        async with gateway(prefill_engine("v1"), old) as app:
            _, _, body = await app.generate("/res/x", attempt="a1")
            assert body is None
            listed = [server for server in (old, *new)][0 if has_old else 1 :]
            for server in new:
                server.listener = await asyncio.start_server(
                    server.serve, "127.0.0.1", 0
                )
                port = server.listener.sockets[0].getsockname()[1]
                server.address = f"127.0.0.1:{port}"
            app.registry.replace([server.instance() for server in listed])
            old.script = decode_script()
            for number in range(8):
                status, _, body = await app.send_request(
                    "/res/x", take_up("a1", 3), b"prompt", attempt=f"b{number}"
                )
                if has_old:
                    assert (status, body) == (200, events(4, 9))
                else:
                    assert status == 503
            for server in new:
                server.listener.close()
                assert not server.received

    run_async(main)


@pytest.mark.parametrize(("origin", "status"), [("v1", 200), ("v2", 503), (None, 503)])
@pytest.mark.parametrize("header", ["resumes: a0", "last-event-id: 3"])
def test_stream_that_began_at_another_host_goes_on_as_the_leader_says(
    origin, status, header
):
    async def main():
        server = engine("a", "v1", decode_script())
        async with gateway(prefill_engine("v1"), server) as app:
            app.leader.origin = origin
            seen, _, _ = await app.send_request(
                "/res/x", ["x-token-count: 100,50", header], b"prompt"
            )
            assert seen == status
            assert len(server.received) == (status == 200)

    run_async(main)


def test_stream_is_refused_if_no_leader_answers(monkeypatch):
    async def main():
        server = engine("a", "v1", decode_script())
        async with gateway(prefill_engine("v1"), server) as app:
            monkeypatch.setattr(stream_versions, "DECISION_TIMEOUT_S", 0.05)
            monkeypatch.setattr(app.leader.versions, "on_decisions", lambda _: None)
            status, headers, _ = await app.send_request(
                "/res/x", take_up("a0", 3), b"prompt"
            )
            assert status == 503
            assert float(headers["retry-after"]) > 0
            assert not server.received

    run_async(main)


def test_stream_goes_on_at_a_leaving_engine_if_no_other_one_is_left():
    async def main():
        servers = [engine(name, "v1", breaking()) for name in ("a", "b")]
        new = engine("c", "v2", decode_script())
        async with gateway(prefill_engine("v1"), *servers, new, drain_s=60) as app:
            app.registry.confirmed_s = asyncio.get_running_loop().time()
            for server in servers:
                server.is_leaving = True
            app.registry.replace([item.instance() for item in (*servers, new)])
            status, _, body = await app.send_request(
                "/res/x", take_up("a0", 3), b"prompt"
            )
            assert (status, body) == (200, events(4, 9))
            status, _, _ = await app.generate(attempt="a2")
            assert status == 200
        assert [request.attempt for request in new.received] == ["a2"]

    run_async(main)
