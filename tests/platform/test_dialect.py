"""Guards against headers that callers forge, and answers that are misread."""

import pytest

from damaskridge.adapters.gateway.connections import ResponseHead
from damaskridge.adapters.gateway.dialect import EngineStep, SendOptions
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.platform.dialect import PlatformDialect

DIALECT = PlatformDialect()
BASE = [
    (b"host", b"h.example"),
    (b"x-attempt-id", b"a1"),
    (b"x-deadline-ms", b"1500"),
    (b"authorization", b"Bearer key"),
]
FORGED = [
    b"x-tenant",
    b"x-expect-instance",
    b"x-expect-version",
    b"x-stage",
    b"x-kv-source",
    b"x-kv-hold",
    b"x-kv-backup",
    b"x-pin-ms",
    b"x-request-priority",
    b"kv-fetch",
]


def request(*extra, base=BASE):
    return DIALECT.decode_request("POST", b"/a/b?q=1", [*base, *extra])


def sent(found, **options):
    options = {"instance": "i1", "remaining_s": 1.2, "workspace": "w", **options}
    return DIALECT.encode_headers(found, SendOptions(**options))


def test_a_request_is_decoded():
    found = request(
        (b"x-token-count", b"1460,80"),
        (b"x-prompt-prefix", b"5c:800,91:410, e4:250"),
        (b"x-length-hint", b"33"),
        (b"last-event-id", b"12"),
    ).unwrap()
    assert (found.request_id, found.host_name, found.path) == (
        "a1",
        "h.example",
        "/a/b",
    )
    assert (found.key, found.caller_timeout_s) == ("key", 1.5)
    assert (found.prompt_tokens, found.max_output_tokens) == (1460, 80)
    assert found.prompt_parts == (("5c", 800), ("91", 410), ("e4", 250))
    assert (found.expected_output_tokens, found.last_event_id) == (33, 12)


@pytest.mark.parametrize("name", FORGED)
def test_headers_of_the_system_are_dropped(name):
    found = request((name, b"forged")).unwrap()
    headers = sent(found)
    assert (name, b"forged") not in headers
    assert (b"x-tenant", b"w") in headers


def test_no_backend_server_sees_the_key_or_a_longer_deadline():
    headers = dict(sent(request().unwrap()))
    assert b"authorization" not in headers
    assert headers[b"x-deadline-ms"] == b"1200"
    assert headers[b"x-expect-instance"] == b"i1"
    assert headers[b"x-attempt-id"] == b"a1"


def test_a_caller_cannot_have_its_identity_dropped_on_the_way():
    listed = b"x-attempt-id, x-token-count, x-mine"
    found = request(
        (b"connection", listed), (b"x-token-count", b"5,1"), (b"x-mine", b"1")
    ).unwrap()
    names = [name for name, _ in found.headers]
    assert b"x-attempt-id" in names
    assert b"x-token-count" in names
    assert b"x-mine" not in names


@pytest.mark.parametrize("name", [b"x-attempt-id", b"x-deadline-ms", b"authorization"])
def test_ambiguous_headers_are_refused(name):
    assert request((name, b"second")).unwrap_err().kind is ErrorKind.INVALID_REQUEST


def test_a_request_without_an_id_is_refused():
    assert request(base=BASE[:1]).is_err()


def test_the_steps_of_a_generation():
    found = request().unwrap()
    prefill = dict(sent(found, step=EngineStep(is_prefill=True)))
    assert prefill[b"x-stage"] == b"prefill"
    step = EngineStep(
        source_address="1.2.3.4:5", source_handle="ab", reservation="r", priority=12
    )
    decode = dict(sent(found, step=step, last_event_id=4))
    assert decode[b"x-kv-source"] == b"1.2.3.4:5/ab"
    assert decode[b"x-kv-hold"] == b"r"
    assert decode[b"x-request-priority"] == b"9"
    assert decode[b"last-event-id"] == b"4"
    assert b"x-stage" not in decode


@pytest.mark.parametrize(
    ("status", "headers", "did_not_run"),
    [
        (503, [(b"x-not-executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (500, [], False),
    ],
)
def test_only_a_statement_means_not_run(status, headers, did_not_run):
    assert (
        DIALECT.decode_response_head(ResponseHead(status, headers)).did_not_run
        is did_not_run
    )


def test_the_time_of_idle_connections_is_read():
    head = ResponseHead(200, [(b"keep-alive", b"max=9, timeout=4")])
    assert DIALECT.decode_response_head(head).keep_alive_s == 4.0
    assert DIALECT.decode_response_head(ResponseHead(200, [])).keep_alive_s is None


def test_a_server_says_that_it_leaves():
    head = ResponseHead(200, [(b"server-leaving", b"1")])
    assert DIALECT.decode_response_head(head).is_leaving
    assert not DIALECT.decode_response_head(ResponseHead(200, [])).is_leaving


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"2.5", 2.5),
        (503, b"3", 3.0),
        (503, b"-1", None),
        (503, b"1e9", None),
        (503, b"soon", None),
        (503, b"", None),
        (200, b"2", None),
        (429, b"2", None),
    ],
)
def test_a_server_that_turns_a_request_away_may_ask_for_a_pause(status, value, pause_s):
    head = ResponseHead(status, [(b"retry-after", value)])
    assert DIALECT.decode_response_head(head).pause_s == pause_s


@pytest.mark.parametrize("body", [b"", b"{}", b"\xff", b'{"HandleId":3}'])
def test_a_prefill_without_a_handle_is_no_prefill(body):
    assert DIALECT.decode_prefill_response(body).is_err()


def test_a_refusal_says_when_to_come_back():
    failure = Failure(ErrorKind.OVERLOADED, retry_after_s=0.25)
    refusal = DIALECT.refusal(failure)
    assert refusal.status == 503
    assert (b"retry-after", b"0.250") in refusal.headers
