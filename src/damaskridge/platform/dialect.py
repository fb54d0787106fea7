"""Headers of callers and backend servers on the platform."""

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
from damaskridge.adapters.http.answers import error_body
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["PlatformDialect"]

# The caller's id of one attempt; it is not shared by a caller's retries.
_REQUEST_ID = b"x-attempt-id"
# How long the caller waits from now, not a point in time.
_DEADLINE_MS = b"x-deadline-ms"
# Prompt tokens and the most output tokens, in this order.
_TOKEN_COUNT = b"x-token-count"
_PROMPT_PARTS = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT_ID = b"last-event-id"
_KEY = b"authorization"
_TENANT = b"x-tenant"
_EXPECTED_INSTANCE = b"x-expect-instance"
# Only ``prefill`` is ever sent; a decode is a request without this header.
_STAGE = b"x-stage"
# ``ip:port/handle`` of an exported KV cache.
_KV_SOURCE = b"x-kv-source"
# A reservation of decode room.
_RESERVATION = b"x-kv-hold"
_PRIORITY = b"x-request-priority"
_DID_NOT_RUN = b"x-not-executed"
_SIGNATURE = b"x-response-signature"
_LEAVING = b"server-leaving"
# On a runner's 503 it means that the runner wants nothing from this machine.
_RETRY_AFTER = b"retry-after"

# Only the system may set these; what a client sends of them is dropped.
_SYSTEM_HEADERS = frozenset(
    {
        _TENANT,
        _EXPECTED_INSTANCE,
        _STAGE,
        _KV_SOURCE,
        _RESERVATION,
        _PRIORITY,
        b"x-expect-version",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-fetch",
    }
)
# Set anew for every send, or no matter of the next hop.
_NOT_PASSED_ON = _SYSTEM_HEADERS | frozenset(
    {
        _KEY,
        _DEADLINE_MS,
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
_SINGLE = (_REQUEST_ID, _DEADLINE_MS, _TOKEN_COUNT, _KEY, _LAST_EVENT_ID, b"host")
_URGENT_PRIORITIES = 10


class _PrefillBody(msgspec.Struct, rename="pascal"):
    handle_id: str
    tokens: int = 0


class _ReservationBody(msgspec.Struct, rename="pascal"):
    # The name of the reservation.
    hold: str


_decode_prefill = msgspec.json.Decoder(_PrefillBody).decode
_decode_reservation = msgspec.json.Decoder(_ReservationBody).decode


class PlatformDialect:
    """Implements `Dialect` for the platform's headers."""

    def decode_request(
        self, method: str, target: bytes, headers: Headers
    ) -> Result[CallerRequest, Failure]:
        """Decode a caller's request."""
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            if name in values and name in _SINGLE:
                return Err(_invalid(f"{name.decode()}: sent twice"))
            values[name] = value
        request_id = values.get(_REQUEST_ID, b"").decode("latin-1")
        if not request_id:
            return Err(_invalid("x-attempt-id: missing"))
        key = values.get(_KEY, b"").decode("latin-1")
        scheme, _, secret = key.partition(" ")
        tokens = _numbers(values.get(_TOKEN_COUNT, b""))
        deadline_ms = _number(values.get(_DEADLINE_MS, b""))
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
                expected_output_tokens=_number(values.get(_LENGTH_HINT, b"")) or 0,
                last_event_id=_number(values.get(_LAST_EVENT_ID, b"")),
                prompt_parts=_parts(values.get(_PROMPT_PARTS, b"")),
                headers=_passed_on(headers),
            )
        )

    def encode_headers(self, request: CallerRequest, options: SendOptions) -> Headers:
        """Return the headers of one send."""
        headers = request.headers
        if options.last_event_id != request.last_event_id:
            headers = [pair for pair in headers if pair[0] != _LAST_EVENT_ID]
            if options.last_event_id is not None:
                headers = [*headers, (_LAST_EVENT_ID, b"%d" % options.last_event_id)]
        left_ms = max(1, int(options.remaining_s * 1000))
        sent = [
            *headers,
            (_DEADLINE_MS, b"%d" % left_ms),
            (_EXPECTED_INSTANCE, options.instance.encode("latin-1")),
        ]
        if options.workspace:
            sent.append((_TENANT, options.workspace.encode("latin-1")))
        if options.step is not None:
            sent += _step_headers(options.step)
        return sent

    def decode_response_head(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the head of a backend server's answer."""
        return ResponseMetadata(
            request_id=(head.value(_REQUEST_ID) or b"").decode("latin-1"),
            did_not_run=head.value(_DID_NOT_RUN) is not None or head.status == 421,
            is_signed=head.value(_SIGNATURE) is not None,
            is_other_instance=head.status == 421,
            is_leaving=(head.value(_LEAVING) or b"").strip() == b"1",
            keep_alive_s=_keep_alive_s(head.value(b"keep-alive")),
            pause_s=_seconds(head.value(_RETRY_AFTER)) if head.status == 503 else None,
        )

    def decode_prefill_response(self, body: bytes) -> Result[PrefillResponse, str]:
        """Decode the answer to a prefill."""
        try:
            decoded = _decode_prefill(body)
        except msgspec.DecodeError as error:
            return Err(str(error))
        return Ok(PrefillResponse(handle=decoded.handle_id, tokens=decoded.tokens))

    def release_handle_call(self, handle: str) -> EngineCall:
        """Return the call that frees an exported KV cache."""
        return EngineCall("DELETE", f"/api/kv-handle/{handle}".encode("latin-1"))

    def reserve_call(self, tokens: int, duration_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory of a decode engine."""
        body = {"Tokens": tokens, "ttl_ms": int(duration_s * 1000)}
        return EngineCall("POST", b"/api/hold-take", msgspec.json.encode(body))

    def decode_reservation_response(self, body: bytes) -> Result[str, str]:
        """Decode the answer to a reservation."""
        try:
            return Ok(_decode_reservation(body).hold)
        except msgspec.DecodeError as error:
            return Err(str(error))

    def cancel_reservation_call(self, reservation: str) -> EngineCall:
        """Return the call that gives a reservation up."""
        target = f"/api/hold-drop/{reservation}".encode("latin-1")
        return EngineCall("DELETE", target)

    def refusal(self, failure: Failure) -> Refusal:
        """Encode an answer of the gateway itself."""
        headers: Headers = [(b"content-type", b"application/json")]
        if failure.retry_after_s is not None:
            retry_after = b"%.3f" % failure.retry_after_s
            headers.append((b"retry-after", retry_after))
        if failure.kind in (ErrorKind.BODY_TOO_LARGE, ErrorKind.BODY_TIMEOUT):
            # The rest of a body that was not read must not pass for a request.
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
        headers.append((_RESERVATION, step.reservation.encode("latin-1")))
    if step.priority is not None:
        priority = min(max(0, step.priority), _URGENT_PRIORITIES - 1)
        headers.append((_PRIORITY, b"%d" % priority))
    return headers


def _passed_on(headers: Headers) -> Headers:
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    # A client cannot have the headers dropped that say who it is and what it asks.
    named -= {b"host", _REQUEST_ID, _TOKEN_COUNT, _PROMPT_PARTS, b"x-model"}
    dropped = _NOT_PASSED_ON | named
    return [(name, value) for name, value in headers if name not in dropped]


def _number(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


def _numbers(text: bytes) -> list[int]:
    numbers = [_number(part) for part in text.split(b",")]
    return [number for number in numbers if number is not None]


def _parts(text: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in text.split(b","):
        name, _, tokens = part.strip().partition(b":")
        number = _number(tokens)
        if name and number is not None:
            parts.append((name.decode("latin-1"), number))
    return tuple(parts)


def _keep_alive_s(value: bytes | None) -> float | None:
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        seconds = _number(number)
        if name.lower() == b"timeout" and seconds is not None:
            return float(seconds)
    return None


def _seconds(value: bytes | None) -> float | None:
    """Return a number of seconds, fractions included, or None."""
    text = (value or b"").strip().decode("latin-1")
    if len(text) >= 16 or not text.replace(".", "", 1).isdecimal():
        return None
    return float(text)


def _invalid(detail: str) -> Failure:
    return Failure(ErrorKind.INVALID_REQUEST, detail)
