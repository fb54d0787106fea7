"""Guards against leaked keys, wrong error responses and input that breaks a front."""

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
from damaskridge.adapters.http.credentials import (
    contains_key,
    forwarded_headers,
    strip_query,
)
from damaskridge.model.errors import ERROR_SPECS, ErrorKind, Failure

VALID_BODY = {"model": "m", "prompt": "p", "max_tokens": 2}
CHAT, COMPLETION = "/v1/chat/completions", "/v1/completions"


def bearer_headers(key):
    return [("authorization", f"Bearer {key}")]


REFUSED_REQUESTS = [
    ("GET", COMPLETION, None, {}, ErrorKind.METHOD_NOT_ALLOWED),
    ("GET", "/nothing", None, {}, ErrorKind.UNKNOWN_ROUTE),
    ("GET", "/services/none/x", None, {}, ErrorKind.UNKNOWN_ROUTE),
    ("POST", COMPLETION, VALID_BODY, {"key": None}, ErrorKind.MISSING_KEY),
    ("POST", COMPLETION, VALID_BODY, {"key": "wrong"}, ErrorKind.INVALID_KEY),
    ("POST", COMPLETION, VALID_BODY, {"key": WITHDRAWN_KEY}, ErrorKind.KEY_WITHDRAWN),
    (
        "POST",
        COMPLETION,
        VALID_BODY,
        {"headers": bearer_headers(OTHER_KEY)},
        ErrorKind.MULTIPLE_KEYS,
    ),
    ("POST", COMPLETION, b"{", {}, ErrorKind.INVALID_JSON),
    ("POST", COMPLETION, b'{"x":' + b"[" * 100_000, {}, ErrorKind.INVALID_JSON),
    ("POST", COMPLETION, b'{"model":"\xff"}', {}, ErrorKind.INVALID_ENCODING),
    (
        "POST",
        COMPLETION,
        VALID_BODY,
        {"headers": [("content-encoding", "gzip")]},
        ErrorKind.INVALID_ENCODING,
    ),
    ("POST", COMPLETION, {**VALID_BODY, "prompt": 1}, {}, ErrorKind.INVALID_REQUEST),
    (
        "POST",
        COMPLETION,
        {**VALID_BODY, "max_tokens": 0},
        {},
        ErrorKind.INVALID_REQUEST,
    ),
    (
        "POST",
        COMPLETION,
        {**VALID_BODY, "max_tokens": 5000},
        {},
        ErrorKind.INVALID_REQUEST,
    ),
    ("POST", COMPLETION, {**VALID_BODY, "prompt": KEY}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", CHAT, {"model": "m", "messages": []}, {}, ErrorKind.INVALID_REQUEST),
    ("POST", COMPLETION, {**VALID_BODY, "model": "x"}, {}, ErrorKind.UNKNOWN_MODEL),
    ("POST", COMPLETION, b"x" * 2_000_000, {}, ErrorKind.BODY_TOO_LARGE),
    (
        "POST",
        COMPLETION,
        VALID_BODY,
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


@pytest.mark.parametrize(
    ("method", "path", "body", "options", "kind"), REFUSED_REQUESTS
)
def test_invalid_request_is_refused_with_its_error_kind_and_not_run(
    method, path, body, options, kind
):
    async def main():
        env = start_front()
        caller = Caller(env.app, method, path, body or b"", **options)
        await caller.task
        assert caller.error["kind"] == kind.value
        assert caller.status == ERROR_SPECS[kind].status
        assert caller.error["run"] == ERROR_SPECS[kind].run_state.value
        assert caller.error["request_id"] == caller.headers["x-request-id"]
        assert not env.cells.profiles
        assert not env.services.calls

    run_paused(main())


def test_slow_body_times_out():
    async def main():
        env = start_front()
        caller = Caller(env.app, "POST", COMPLETION, None)
        for _ in range(20):
            part = {"type": "http.request", "body": b" ", "more_body": True}
            caller.parts.put_nowait(part)
            await asyncio.sleep(1)
        assert caller.error["kind"] == "body_timeout"

    run_paused(main())


def test_refusal_has_a_retry_after_header():
    async def main():
        env = start_front()
        env.rates.refusal = Failure(ErrorKind.RATE_EXCEEDED, retry_after_s=1.2)
        caller = Caller(env.app, "POST", COMPLETION, VALID_BODY)
        await caller.task
        assert (caller.status, caller.headers["retry-after"]) == (429, "2")
        assert caller.error["retry_after_s"] == 1.2
        assert caller.error["run"] == "not_run"

    run_paused(main())


def test_backend_server_receives_no_key():
    async def main():
        env = start_front()
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
                env.app,
                "PUT",
                f"/services/desk/{path}",
                b"body",
                headers,
                query=f"a=1&k={KEY}&b=%6bey-one-secret",
            )
            await caller.task
            assert caller.status == 200
        for call in env.services.calls:
            assert dict(call.headers) == {"x-plain": "kept"}
            assert call.path.endswith("?a=1")
            assert (call.method, call.body) == ("PUT", b"body")

    run_paused(main())


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.text("ab-", min_size=1), st.text("ab%61")), max_size=5))
def test_headers_and_query_pairs_with_the_key_are_removed(pairs):
    raw = [(name.encode(), value.encode()) for name, value in pairs]
    kept = forwarded_headers(raw, ["aab"])
    assert not any(contains_key(text, "aab") for item in kept.items() for text in item)
    query = "&".join(f"{name}={value}" for name, value in pairs)
    assert "aab" not in strip_query(query, "aab")


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200) | st.text('{}[]":,mesagprot0-\\u', max_size=80))
def test_every_body_is_decoded_or_refused(body):
    data = body if isinstance(body, bytes) else body.encode()
    for body_type in (ChatBody, CompletionBody):
        try:
            assert decode_body(body_type, data).model
        except RequestError as error:
            assert error.failure.kind.value.startswith("invalid_")


def test_chat_models_and_addresses():
    async def main():
        env = start_front()
        body = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
        chat = Caller(env.app, "POST", CHAT, {**body, "max_tokens": 3})
        await chat.task
        assert chat.json["usage"]["completion_tokens"] == 3
        assert chat.json["id"] == chat.headers["x-request-id"]
        models = Caller(env.app, "GET", "/v1/models")
        addresses = Caller(env.app, "GET", "/v1/addresses", key=None)
        await asyncio.gather(models.task, addresses.task)
        assert [model["id"] for model in models.json["data"]] == ["m"]
        assert addresses.json == {"addresses": ["h1:80"], "keep_s": 5.0}

    run_paused(main())


def test_authorization_header_with_an_encoded_key_is_removed():
    coded = base64.b64encode(KEY.encode()).decode()
    assert forwarded_headers([(b"authorization", coded.encode())], [KEY]) == {}
