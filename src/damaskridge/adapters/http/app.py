"""The ASGI application for callers; `docs/callers.md` describes its interface."""

import asyncio
import hashlib
import logging
from typing import Any
from urllib.parse import parse_qs, quote

import msgspec
from result import Err

from damaskridge.adapters.front import Front
from damaskridge.adapters.front_call import ModelCall, RunningModelCall
from damaskridge.adapters.front_services import RouteCall
from damaskridge.adapters.http.bodies import (
    ChatBody,
    CompletionBody,
    RequestError,
    check_encoding,
    decode_body,
    output_limit,
)
from damaskridge.adapters.http.credentials import (
    bearer_key,
    contains_key,
    forwarded_headers,
    key_digest,
    strip_query,
)
from damaskridge.adapters.http.exchange import (
    CallerGone,
    Exchange,
    ExchangeLimits,
    Receive,
    Scope,
    Send,
)
from damaskridge.adapters.http.relay import (
    run_while_connected,
    send_complete,
    send_events,
)
from damaskridge.adapters.http.responses import ResponseFormat, error_event
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import ServiceCall, StreamFailed
from damaskridge.core.requests.messages import RequestParameters
from damaskridge.core.state.fleet_queries import caller_addresses_for
from damaskridge.model.engine import estimate_tokens
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber

__all__ = ["CallerApp"]

_logger = logging.getLogger(__name__)
_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_UNEXPECTED_ERROR_EVENT = {"event_number": EventNumber.UNEXPECTED_ERROR}


class CallerApp:
    """
    Serves the requests of callers.

    Parameters
    ----------
    front : Front
        Runs the requests.
    """

    def __init__(self, front: Front) -> None:
        self._front = front
        settings = front.settings
        self._limits = ExchangeLimits(
            body_limit_bytes=settings.body_limit_bytes,
            body_wait_s=settings.body_wait_s,
            write_timeout_s=settings.write_timeout_s,
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
        elif scope["type"] == "http":
            front = self._front
            request_id = front.next_request_id()
            exchange = Exchange(scope, receive, send, request_id, self._limits)
            await self._serve(exchange)
        else:
            await send({"type": "websocket.close", "code": 1000})

    async def _serve(self, exchange: Exchange) -> None:
        try:
            try:
                exchange.check_headers()
                await self._route(exchange)
            except RequestError as error:
                _log_refusal(exchange, error.failure)
                await self._refuse(exchange, error.failure)
            except StreamFailed as error:
                # The front has already logged the end of the request.
                await self._refuse(exchange, error.failure)
            except CallerGone:
                raise
            except Exception:
                _logger.exception("UNEXPECTED_ERROR", extra=_UNEXPECTED_ERROR_EVENT)
                await self._refuse(exchange, Failure(ErrorKind.INTERNAL))
        except CallerGone as gone:
            if gone.too_slow:
                exchange.abort()
            log_event(
                _logger,
                EventNumber.CALLER_LOST,
                request_id=exchange.request_id,
                too_slow=gone.too_slow,
            )

    async def _refuse(self, exchange: Exchange, failure: Failure) -> None:
        if exchange.started:
            event = error_event(failure, exchange.request_id)
            await exchange.write(event, more=False)
        else:
            await exchange.refuse(failure)

    async def _route(self, exchange: Exchange) -> None:
        path = exchange.path
        if path == "/v1/chat/completions":
            _require_method(exchange, "POST")
            await self._handle_model_call(exchange, ChatBody)
        elif path == "/v1/completions":
            _require_method(exchange, "POST")
            await self._handle_model_call(exchange, CompletionBody)
        elif path == "/v1/models":
            _require_method(exchange, "GET")
            await self._list_models(exchange)
        elif path == "/v1/addresses":
            _require_method(exchange, "GET")
            await self._list_addresses(exchange)
        elif path.startswith("/v1/requests/") and path.endswith("/stream"):
            _require_method(exchange, "GET")
            await self._handle_resume(exchange)
        elif path.startswith("/services/"):
            await self._handle_service_call(exchange)
        else:
            raise RequestError(Failure(ErrorKind.UNKNOWN_ROUTE))

    async def _authorize(self, exchange: Exchange) -> tuple[str, str]:
        key = bearer_key(exchange.raw_headers)
        if isinstance(key, Err):
            raise RequestError(key.err_value)
        await self._front.wait_for_lease()
        workspace = self._front.authorize(key_digest(key.ok_value))
        if isinstance(workspace, Err):
            raise RequestError(workspace.err_value)
        return workspace.ok_value, key.ok_value

    async def _list_addresses(self, exchange: Exchange) -> None:
        front = self._front
        addresses = caller_addresses_for(front.fleet, front.context.data_centre)
        session = front.fleet.sessions.get(front.context.host)
        if front.draining and session is not None:
            addresses = [item for item in addresses if item != session.caller_address]
        body = {"addresses": addresses, "keep_s": front.settings.keep_s}
        await exchange.respond(200, msgspec.json.encode(body))

    async def _list_models(self, exchange: Exchange) -> None:
        await self._authorize(exchange)
        data = [
            {
                "id": model.name,
                "object": "model",
                "context_tokens": model.context_tokens,
            }
            for model in self._front.fleet.bundle.models
        ]
        body = {"object": "list", "data": data}
        await exchange.respond(200, msgspec.json.encode(body))

    async def _handle_model_call(
        self, exchange: Exchange, body_type: type[ChatBody] | type[CompletionBody]
    ) -> None:
        workspace, key = await self._authorize(exchange)
        check_encoding(exchange.headers)
        raw = await exchange.body()
        body: ChatBody | CompletionBody = decode_body(body_type, raw)
        # The key may have been withdrawn while the body was received.
        await self._authorize(exchange)
        model = self._front.context.bundle_index.model(self._front.fleet, body.model)
        if model is None:
            raise RequestError(Failure(ErrorKind.UNKNOWN_MODEL))
        text = body.text
        if contains_key(text, key):
            raise RequestError(Failure(ErrorKind.INVALID_REQUEST, "contains the key"))
        spec = RequestParameters(
            request_id=exchange.request_id,
            model=model.name,
            prompt=text,
            prompt_tokens=estimate_tokens(text),
            max_output_tokens=output_limit(
                model,
                text,
                body.requested_output_tokens,
                self._front.settings.default_output_tokens,
            ),
        )
        call = ModelCall(
            workspace=workspace,
            key_digest=key_digest(key),
            route=exchange.path,
            streaming=body.stream,
            spec=spec,
            fingerprint=_digest(model.name, text),
            idempotency_key=_idempotency_key(exchange, key),
            body_digest=_digest(exchange.path, raw),
        )
        accepted = self._front.accept(call)
        if isinstance(accepted, Err):
            raise RequestError(accepted.err_value)
        chat = body_type is ChatBody
        response_format = ResponseFormat(
            chat=chat, completion=not chat, model=model.name
        )
        await self._send_model_response(exchange, accepted.ok_value, response_format)

    async def _send_model_response(
        self,
        exchange: Exchange,
        running: RunningModelCall,
        response_format: ResponseFormat,
    ) -> None:
        def adopt_request_id() -> None:
            if running.duplicate_of is not None:
                exchange.request_id = running.duplicate_of.request_id

        def is_key_valid() -> bool:
            # The front ends the requests that it runs itself when their key is
            # withdrawn, since it knows whether they have run.
            is_own_request = running.duplicate_of is None
            return is_own_request or self._front.is_key_valid(running.call.key_digest)

        chunks = self._front.read_output(running)
        if running.call.streaming:
            work = send_events(exchange, chunks, response_format, adopt_request_id)
        else:
            tokens = running.call.spec.prompt_tokens
            work = send_complete(
                exchange, chunks, response_format, tokens, adopt_request_id
            )
        try:
            await run_while_connected(exchange, work, is_key_valid)
        except CallerGone as gone:
            if gone.too_slow:
                running.cancel(Failure(ErrorKind.CALLER_TOO_SLOW))
            raise
        except StreamFailed:
            adopt_request_id()
            raise

    async def _handle_resume(self, exchange: Exchange) -> None:
        workspace, key = await self._authorize(exchange)
        request_id = exchange.path.removeprefix("/v1/requests/")
        request_id = request_id.removesuffix("/stream")
        exchange.request_id = request_id[:200].encode("ascii", "replace").decode()
        if not exchange.request_id.isprintable():
            raise RequestError(Failure(ErrorKind.UNKNOWN_REQUEST))
        offset = _requested_offset(exchange)
        stream = self._front.resume(request_id, workspace, offset)
        digest = key_digest(key)
        response_format = ResponseFormat(chat=True, completion=True)
        work = send_events(exchange, stream, response_format, lambda: None)
        try:
            await run_while_connected(
                exchange, work, lambda: self._front.is_key_valid(digest)
            )
        except CallerGone as gone:
            if gone.too_slow:
                self._front.cancel(request_id)
            raise
        except StreamFailed as error:
            if exchange.started:
                raise
            raise RequestError(error.failure) from None

    async def _handle_service_call(self, exchange: Exchange) -> None:
        _, _, rest = exchange.path.partition("/services/")
        name, _, path = rest.partition("/")
        route = self._front.context.bundle_index.route(self._front.fleet, name, path)
        if route is None or ".." in path.split("/"):
            raise RequestError(Failure(ErrorKind.UNKNOWN_ROUTE))
        workspace, key = "", ""
        if not route.open_to_all:
            workspace, key = await self._authorize(exchange)
        keys = _authorization_keys(exchange)
        raw = await exchange.body()
        if any(
            contains_key(path, item) or item.encode("latin-1") in raw for item in keys
        ):
            raise RequestError(Failure(ErrorKind.INVALID_REQUEST, "contains the key"))
        if not route.open_to_all:
            await self._authorize(exchange)
        query = strip_query(exchange.query, *keys)
        quoted = "/" + quote(path, safe="/:@!$&'()*+,;=-._~")
        call = ServiceCall(
            method=exchange.method,
            path=quoted + (f"?{query}" if query else ""),
            headers=forwarded_headers(exchange.raw_headers, keys),
            body=raw,
        )
        route_call = RouteCall(
            request_id=exchange.request_id,
            workspace=workspace,
            key_digest=key_digest(key) if key else "",
            route=route,
            call=call,
            idempotency_key=_idempotency_key(exchange, *keys),
            body_digest=_digest(call.method, call.path, raw),
        )
        await self._send_service_response(exchange, route_call)

    async def _send_service_response(self, exchange: Exchange, call: RouteCall) -> None:
        async with exchange.watch_disconnect() as disconnect:
            work = asyncio.ensure_future(self._front.call_service(call))
            try:
                pending: set[asyncio.Future[Any]] = {work, disconnect}
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    raise CallerGone
            finally:
                work.cancel()
        result = work.result()
        if isinstance(result, Err):
            raise StreamFailed(result.err_value)
        response = result.ok_value
        content_type = response.content_type.encode("latin-1", "replace")
        await exchange.respond(response.status, response.body, content_type)


def _log_refusal(exchange: Exchange, failure: Failure) -> None:
    log_event(
        _logger,
        EventNumber.REQUEST_REFUSED,
        request_id=exchange.request_id,
        kind="service" if exchange.path.startswith("/services/") else "model",
        error_kind=failure.kind.value,
        run=failure.final_run_state.value,
    )


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _require_method(exchange: Exchange, method: str) -> None:
    if exchange.method != method:
        raise RequestError(Failure(ErrorKind.METHOD_NOT_ALLOWED, f"use {method}"))


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode("utf-8", "surrogatepass") if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


def _authorization_keys(exchange: Exchange) -> list[str]:
    keys: list[str] = []
    for name, value in exchange.raw_headers:
        if name.lower() == b"authorization":
            keys.append(value.decode("latin-1").strip().partition(" ")[2].strip())
    return [key for key in keys if key]


def _idempotency_key(exchange: Exchange, *keys: str) -> str:
    value = exchange.headers.get("idempotency-key", "").strip()
    if len(value) > _MAX_IDEMPOTENCY_KEY_LENGTH or any(
        contains_key(value, key) for key in keys
    ):
        raise RequestError(Failure(ErrorKind.INVALID_REQUEST, "idempotency-key"))
    return value


def _requested_offset(exchange: Exchange) -> int:
    """Return the offset to resume at: after ``Last-Event-ID``, else ``offset``."""
    last_event_id = exchange.headers.get("last-event-id", "")
    values = parse_qs(exchange.query).get("offset", [])
    text = last_event_id or (values[0] if values else "0")
    if not (text.isascii() and text.isdecimal() and len(text) < 10):
        raise RequestError(Failure(ErrorKind.INVALID_OFFSET))
    return int(text) + 1 if last_event_id else int(text)
