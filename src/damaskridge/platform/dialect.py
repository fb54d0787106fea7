"""HTTP headers and engine calls of the platform."""

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import ResponseHead
from damaskridge.adapters.gateway.dialect import (
    CallerRequest,
    EngineCall,
    EngineStep,
    Headers,
    PrefillResponse,
    Refusal,
    ResponseMetadata,
    SendOptions,
)
from damaskridge.adapters.http.responses import error_body
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.platform.json_documents import HeaderText, Int64, decode_json

__all__ = ["PlatformDialect"]

# Identifies one attempt of the caller; each retry by the caller has a new one.
_REQUEST_ID = b"x-attempt-id"
# Remaining time for the response, relative to the arrival of the request.
_DEADLINE_MS = b"x-deadline-ms"
# ``prompt,output``: prompt tokens and maximum number of output tokens.
_TOKEN_COUNT = b"x-token-count"
# ``id:tokens,...``: leading parts of the prompt, which other requests may share.
_PROMPT_PREFIX = b"x-prompt-prefix"
# The caller's estimate of the number of output tokens.
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT_ID = b"last-event-id"
# The attempt id of the caller's attempt that brought the first event of the stream.
_RESUMES = b"resumes"
_AUTHORIZATION = b"authorization"
_TENANT = b"x-tenant"
_EXPECT_INSTANCE = b"x-expect-instance"
# The only value that is sent is ``prefill``; decode requests have no such header.
_STAGE = b"x-stage"
# ``ip:port/handle`` of the exported KV cache to import.
_KV_SOURCE = b"x-kv-source"
# Identifier of a reservation on a decode engine.
_KV_RESERVATION = b"x-kv-hold"
_PRIORITY = b"x-request-priority"
_NOT_EXECUTED = b"x-not-executed"
_RESPONSE_SIGNATURE = b"x-response-signature"
_SERVER_LEAVING = b"server-leaving"
# In a 503 response of a backend server: time for which it accepts no requests from
# this host.
_RETRY_AFTER = b"retry-after"
# Requests a second that a backend server in trouble takes from all hosts together, as a
# decimal number. Each of its responses has the header for as long as the limit holds.
_SERVER_LIMIT = b"server-limit"

# Set only by the system, and dropped from the requests of callers.
_SYSTEM_HEADERS = frozenset(
    {
        _TENANT,
        _EXPECT_INSTANCE,
        _STAGE,
        _KV_SOURCE,
        _KV_RESERVATION,
        _PRIORITY,
        b"x-expect-version",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-fetch",
    }
)
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Not sent to another host, which drops the system headers of callers itself.
_NOT_HANDED_OVER = _HOP_BY_HOP_HEADERS | {_DEADLINE_MS}
# Not sent to backend servers: set anew for every send, or hop-by-hop headers.
_NOT_FORWARDED = _SYSTEM_HEADERS | _HOP_BY_HOP_HEADERS | {_AUTHORIZATION, _DEADLINE_MS}
_SINGLE_VALUED = (
    _REQUEST_ID,
    _DEADLINE_MS,
    _TOKEN_COUNT,
    _AUTHORIZATION,
    _LAST_EVENT_ID,
    _RESUMES,
    b"host",
)
# ``x-request-priority`` is 0 to 9; less urgent priorities are sent as 9.
_PRIORITY_LEVELS = 10


class _PrefillBody(msgspec.Struct, rename="pascal"):
    handle_id: HeaderText
    tokens: Int64 = 0


class _ReservationBody(msgspec.Struct, rename="pascal"):
    # Identifier of the reservation.
    hold: HeaderText


_decode_prefill = msgspec.json.Decoder(_PrefillBody).decode
_decode_reservation = msgspec.json.Decoder(_ReservationBody).decode


class PlatformDialect:
    """Implements `Dialect` for the platform's headers."""

    def decode_request(
        self, method: str, target: bytes, headers: Headers
    ) -> Result[CallerRequest, Failure]:
        """Decode the head of a caller's request; refuses a malformed one."""
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            if name in values and name in _SINGLE_VALUED:
                return Err(_invalid_request(f"{name.decode()}: sent twice"))
            values[name] = value
        request_id = values.get(_REQUEST_ID, b"").decode("latin-1")
        if not request_id:
            return Err(_invalid_request("x-attempt-id: missing"))
        key = values.get(_AUTHORIZATION, b"").decode("latin-1")
        scheme, _, secret = key.partition(" ")
        tokens = _parse_ints(values.get(_TOKEN_COUNT, b""))
        deadline_ms = _parse_int(values.get(_DEADLINE_MS, b""))
        return Ok(
            CallerRequest(
                request_id=request_id,
                method=method,
                target=target,
                host_name=values.get(b"host", b"").decode("latin-1"),
                path=target.partition(b"?")[0].decode("latin-1"),
                key=secret.strip() if scheme.lower() == "bearer" else None,
                caller_timeout_s=None if deadline_ms is None else deadline_ms / 1000,
                prompt_tokens=tokens[0] if len(tokens) == 2 else 0,
                max_output_tokens=tokens[1] if len(tokens) == 2 else 0,
                expected_output_tokens=_parse_int(values.get(_LENGTH_HINT, b"")) or 0,
                last_event_id=_parse_int(values.get(_LAST_EVENT_ID, b"")),
                first_attempt_id=values.get(_RESUMES, b"").decode("latin-1"),
                prompt_parts=_parse_prompt_parts(values.get(_PROMPT_PREFIX, b"")),
                headers=_forwarded_headers(headers),
            )
        )

    def encode_headers(self, request: CallerRequest, options: SendOptions) -> Headers:
        """Return the headers of one send to a backend server."""
        headers = request.headers
        if options.last_event_id != request.last_event_id:
            headers = [pair for pair in headers if pair[0] != _LAST_EVENT_ID]
            if options.last_event_id is not None:
                headers = [*headers, (_LAST_EVENT_ID, b"%d" % options.last_event_id)]
        left_ms = max(1, int(options.remaining_s * 1000))
        sent = [
            *headers,
            (_DEADLINE_MS, b"%d" % left_ms),
            (_EXPECT_INSTANCE, options.instance.encode("latin-1")),
        ]
        if options.workspace:
            sent.append((_TENANT, options.workspace.encode("latin-1")))
        if options.step is not None:
            sent += _step_headers(options.step)
        return sent

    def handover_headers(self, headers: Headers, remaining_s: float) -> Headers:
        """Return a caller's headers for another host, with the time that is left."""
        left_ms = max(1, int(remaining_s * 1000))
        dropped = _NOT_HANDED_OVER | (_connection_options(headers) - {_AUTHORIZATION})
        kept = [pair for pair in headers if pair[0] not in dropped]
        return [*kept, (_DEADLINE_MS, b"%d" % left_ms)]

    def decode_response_head(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the head of a backend server's response."""
        return ResponseMetadata(
            request_id=(head.value(_REQUEST_ID) or b"").decode("latin-1"),
            did_not_run=head.value(_NOT_EXECUTED) is not None or head.status == 421,
            is_signed=head.value(_RESPONSE_SIGNATURE) is not None,
            is_other_instance=head.status == 421,
            is_leaving=(head.value(_SERVER_LEAVING) or b"").strip() == b"1",
            keep_alive_s=_parse_keep_alive_s(head.value(b"keep-alive")),
            pause_s=_parse_decimal(head.value(_RETRY_AFTER))
            if head.status == 503
            else None,
            states_limit=head.value(_SERVER_LIMIT) is not None,
            limit_per_s=_parse_decimal(head.value(_SERVER_LIMIT)),
        )

    def decode_prefill_response(self, body: bytes) -> Result[PrefillResponse, str]:
        """Decode the response to a prefill."""
        return decode_json(_decode_prefill, body).map(
            lambda decoded: PrefillResponse(
                handle=decoded.handle_id, tokens=decoded.tokens
            )
        )

    def release_handle_call(self, handle: str) -> EngineCall:
        """Return the call that releases an exported KV cache."""
        return EngineCall("DELETE", f"/api/kv-handle/{handle}".encode("latin-1"))

    def reserve_call(self, tokens: int, duration_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory on a decode engine."""
        body = {"Tokens": tokens, "ttl_ms": int(duration_s * 1000)}
        return EngineCall("POST", b"/api/hold-take", msgspec.json.encode(body))

    def decode_reservation_response(self, body: bytes) -> Result[str, str]:
        """Decode the response to a reservation."""
        return decode_json(_decode_reservation, body).map(lambda item: item.hold)

    def cancel_reservation_call(self, reservation: str) -> EngineCall:
        """Return the call that cancels a reservation."""
        target = f"/api/hold-drop/{reservation}".encode("latin-1")
        return EngineCall("DELETE", target)

    def refusal(self, failure: Failure) -> Refusal:
        """Encode a refusal by the gateway itself."""
        headers: Headers = [(b"content-type", b"application/json")]
        if failure.retry_after_s is not None:
            retry_after = b"%.3f" % failure.retry_after_s
            headers.append((b"retry-after", retry_after))
        if failure.kind in (ErrorKind.BODY_TOO_LARGE, ErrorKind.BODY_TIMEOUT):
            # The unread rest of the body must not be parsed as the next request.
            headers.append((b"connection", b"close"))
        return Refusal(failure.status, headers, error_body(failure, ""))


def _step_headers(step: EngineStep) -> Headers:
    headers: Headers = []
    if step.is_prefill:
        headers.append((_STAGE, b"prefill"))
    if step.source_handle:
        source = f"{step.source_address}/{step.source_handle}"
        headers.append((_KV_SOURCE, source.encode("latin-1")))
    if step.reservation:
        headers.append((_KV_RESERVATION, step.reservation.encode("latin-1")))
    if step.priority is not None:
        priority = min(max(0, step.priority), _PRIORITY_LEVELS - 1)
        headers.append((_PRIORITY, b"%d" % priority))
    return headers


def _forwarded_headers(headers: Headers) -> Headers:
    dropped = _NOT_FORWARDED | _connection_options(headers)
    return [(name, value) for name, value in headers if name not in dropped]


def _connection_options(headers: Headers) -> set[bytes]:
    """Return the names of headers that concern only the caller's connection."""
    options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    # A caller must not remove headers that identify its request through `Connection`.
    return options - {
        b"host",
        _REQUEST_ID,
        _TOKEN_COUNT,
        _PROMPT_PREFIX,
        b"x-model",
    }


def _parse_int(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


def _parse_ints(text: bytes) -> list[int]:
    numbers = [_parse_int(part) for part in text.split(b",")]
    return [number for number in numbers if number is not None]


def _parse_prompt_parts(text: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in text.split(b","):
        name, _, tokens = part.strip().partition(b":")
        number = _parse_int(tokens)
        if name and number is not None:
            parts.append((name.decode("latin-1"), number))
    return tuple(parts)


def _parse_keep_alive_s(value: bytes | None) -> float | None:
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        seconds = _parse_int(number)
        if name.lower() == b"timeout" and seconds is not None:
            return float(seconds)
    return None


def _parse_decimal(value: bytes | None) -> float | None:
    """Parse a decimal number without a sign; returns None if it is malformed."""
    text = (value or b"").strip().decode("latin-1")
    if len(text) >= 16 or not text.replace(".", "", 1).isdecimal():
        return None
    return float(text)


def _invalid_request(detail: str) -> Failure:
    return Failure(ErrorKind.INVALID_REQUEST, detail)
