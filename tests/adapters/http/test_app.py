"""Guards against keys that leak, untrue refusals and input that breaks a front."""

import asyncio
import base64

import pytest
from hypothesis import given, settings, strategies as st
from tests.adapters.front_fakes import (
    KEY,
    OTHER_KEY,
    WITHDRAWN_KEY,
    Caller,
    start_front,
)
from tests.paused import run_paused

from damaskridge.adapters.http.bodies import (
    ChatBody,
    CompletionBody,
    RequestError,
    decode_body,
)
from damaskridge.adapters.http.credentials import mentions, strip_query, stripped
from damaskridge.model.errors import ERROR_SPECS, ErrorKind, Failure

GOOD = {"model": "m", "prompt": "p", "max_tokens": 2}
CHAT, COMPLETION = "/v1/chat/completions", "/v1/completions"


def two_keys(key):
    return [("authorization", f"Bearer {key}")]


BAD = [
    ("GET", COMPLETION, None, {}, ErrorKind.METHOD_NOT_ALLOWED),
    ("GET", "/nothing", None, {}, ErrorKind.UNKNOWN_ROUTE),
    ("GET", "/services/none/x", None, {}, ErrorKind.UNKNOWN_ROUTE),
    ("POST", COMPLETION, GOOD, {"key": None}, ErrorKind.MISSING_KEY),
    ("POST", COMPLETION, GOOD, {"key": "wrong"}, ErrorKind.INVALID_KEY),
    ("POST", COMPLETION, GOOD, {"key": WITHDRAWN_KEY}, ErrorKind.KEY_WITHDRAWN),
    (
        "POST",
        COMPLETION,
        GOOD,
        {"headers": two_keys(OTHER_KEY)},
        ErrorKind.MULTIPLE_KEYS,
    ),
    ("POST", COMPLETION, b"{", {}, ErrorKind.INVALID_JSON),
    ("POST", COMPLETION, b'{"x":' + b"[" * 100_000, {}, ErrorKind.INVALID_JSON),
    ("POST", COMPLETION, b'{"model":"\xff"}', {}, ErrorKind.INVALID_ENCODING),
    (
        "POST",
        COMPLETION,
        GOOD,
        {"headers": [("content-encoding", "gzip")]},
        ErrorKind.INVALID_ENCODING,
    ),
    ("POST", COMPLETION, {**GOOD, "prompt": 1}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", COMPLETION, {**GOOD, "max_tokens": 0}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", COMPLETION, {**GOOD, "max_tokens": 5000}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", COMPLETION, {**GOOD, "prompt": KEY}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", CHAT, {"model": "m", "messages": []}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", COMPLETION, {**GOOD, "model": "x"}, {}, ErrorKind.UNKNOWN_MODEL),
    ("POST", COMPLETION, b"x" * 2_000_000, {}, ErrorKind.BODY_TOO_LARGE),
    (
        "POST",
        COMPLETION,
        GOOD,
        {"headers": [("x", "y" * 40_000)]},
        ErrorKind.HEADERS_TOO_LARGE,
    ),
    ("GET", "/v1/requests/req-h1-1-99/stream", None, {}, ErrorKind.UNKNOWN_REQUEST),
    ("GET", "/v1/requests/%0d/stream", None, {}, ErrorKind.UNKNOWN_REQUEST),
    (
        "GET",
        "/v1/requests/req-h1-1-99/stream",
        None,
        {"query": "offset=-1"},
        ErrorKind.INVALID_OFFSET,
    ),
    ("POST", "/services/desk/x", KEY.encode(), {}, ErrorKind.INVALID_REQUEST),
]


@pytest.mark.parametrize(("method", "path", "body", "options", "kind"), BAD)
def test_bad_input_has_its_own_kind_and_runs_nothing(method, path, body, options, kind):
    async def main():
        found = start_front()
        caller = Caller(found.app, method, path, body or b"", **options)
        await caller.task
        assert caller.error["kind"] == kind.value
        assert caller.status == ERROR_SPECS[kind].status
        assert caller.error["run"] == ERROR_SPECS[kind].run_state.value
        assert caller.error["request_id"] == caller.headers["x-request-id"]
        assert not found.cells.profiles
        assert not found.services.calls

    run_paused(main())


def test_a_body_of_one_byte_a_second_is_given_up():
    async def main():
        found = start_front()
        caller = Caller(found.app, "POST", COMPLETION, None)
        for _ in range(20):
            part = {"type": "http.request", "body": b" ", "more_body": True}
            caller.parts.put_nowait(part)
            await asyncio.sleep(1)
        assert caller.error["kind"] == "body_timeout"

    run_paused(main())


def test_a_refusal_says_when_to_retry():
    async def main():
        found = start_front()
        found.rates.refusal = Failure(ErrorKind.RATE_EXCEEDED, retry_after_s=1.2)
        caller = Caller(found.app, "POST", COMPLETION, GOOD)
        await caller.task
        assert (caller.status, caller.headers["retry-after"]) == (429, "2")
        assert caller.error["retry_after_s"] == 1.2
        assert caller.error["run"] == "not_run"

    run_paused(main())


def test_no_key_reaches_a_backend_server():
    async def main():
        found = start_front()
        headers = [
            ("cookie", "a=b"),
            ("proxy-authorization", "Basic x"),
            ("x-api-key", "other"),
            ("x-copy", f"see {KEY}"),
            ("x-coded", KEY.replace("-", "%2D")),
            ("x-plain", "kept"),
        ]
        for path in ("list", "open"):
            caller = Caller(
                found.app,
                "PUT",
                f"/services/desk/{path}",
                b"body",
                headers,
                query=f"a=1&k={KEY}&b=%6bey-one-secret",
            )
            await caller.task
            assert caller.status == 200
        for call in found.services.calls:
            assert dict(call.headers) == {"x-plain": "kept"}
            assert call.path.endswith("?a=1")
            assert (call.method, call.body) == ("PUT", b"body")

    run_paused(main())


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.text("ab-", min_size=1), st.text("ab%61")), max_size=5))
def test_no_header_or_query_value_with_the_key_is_kept(pairs):
    raw = [(name.encode(), value.encode()) for name, value in pairs]
    kept = stripped(raw, ["aab"])
    assert not any(mentions(text, "aab") for item in kept.items() for text in item)
    query = "&".join(f"{name}={value}" for name, value in pairs)
    assert "aab" not in strip_query(query, "aab")


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200) | st.text('{}[]":,mesagprot0-\\u', max_size=80))
def test_any_body_is_decoded_or_refused(body):
    data = body if isinstance(body, bytes) else body.encode()
    for kind in (ChatBody, CompletionBody):
        try:
            assert decode_body(kind, data).model
        except RequestError as error:
            assert error.failure.kind.value.startswith("invalid_")


def test_chat_models_and_addresses():
    async def main():
        found = start_front()
        body = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
        chat = Caller(found.app, "POST", CHAT, {**body, "max_tokens": 3})
        await chat.task
        assert chat.json["usage"]["completion_tokens"] == 3
        assert chat.json["id"] == chat.headers["x-request-id"]
        models = Caller(found.app, "GET", "/v1/models")
        addresses = Caller(found.app, "GET", "/v1/addresses", key=None)
        await asyncio.gather(models.task, addresses.task)
        assert [model["id"] for model in models.json["data"]] == ["m"]
        assert addresses.json == {"addresses": ["h1:80"], "keep_s": 5.0}

    run_paused(main())


def test_keys_in_unusual_spelling_do_not_pass():
    coded = base64.b64encode(KEY.encode()).decode()
    assert stripped([(b"authorization", coded.encode())], [KEY]) == {}
