"""Relays output chunks to a caller until it disconnects or loses its key."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from damaskridge.adapters.front_context import closing_stream
from damaskridge.adapters.http.exchange import CallerGone, Exchange
from damaskridge.adapters.http.responses import ResponseFormat
from damaskridge.adapters.ports import StreamFailed
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure, RunState

__all__ = ["run_while_connected", "send_complete", "send_events"]

# Interval of the checks for a withdrawn key and for a stalled caller.
_CHECK_INTERVAL_S = 1.0
_EVENT_STREAM = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


async def run_while_connected(
    exchange: Exchange,
    work: Coroutine[Any, Any, None],
    is_key_valid: Callable[[], bool],
) -> None:
    """
    Run `work`, and cancel it if the caller leaves or its key is withdrawn.

    Raises `CallerGone` if the caller disconnects or stops reading, and `StreamFailed`
    if the key is withdrawn.
    """
    async with exchange.watch_disconnect() as disconnect:
        task = asyncio.ensure_future(work)
        exchange.has_external_timeout = True
        try:
            while not task.done():
                pending: set[asyncio.Future[Any]] = {task, disconnect}
                await asyncio.wait(
                    pending,
                    timeout=_CHECK_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not task.done():
                    _check_caller(exchange, disconnect, is_key_valid)
        finally:
            exchange.has_external_timeout = False
            task.cancel()
            await asyncio.wait({task})
        await task


def _check_caller(
    exchange: Exchange, disconnect: asyncio.Task[None], is_key_valid: Callable[[], bool]
) -> None:
    if disconnect.done():
        raise CallerGone
    if exchange.is_stalled():
        raise CallerGone(too_slow=True)
    if not is_key_valid():
        run_state = RunState.RAN if exchange.started else RunState.UNKNOWN
        raise StreamFailed(Failure(ErrorKind.KEY_WITHDRAWN, run_state=run_state))


async def send_events(
    exchange: Exchange,
    chunks: AsyncIterator[DecodeChunk],
    response_format: ResponseFormat,
    adopt_request_id: Callable[[], None],
) -> None:
    """
    Send chunks as server-sent events, as they arrive.

    `adopt_request_id` is called before the request id is sent: only the first chunk
    shows whether the output is that of an earlier request with the same idempotency
    key.
    """
    async with closing_stream(chunks):
        async for chunk in chunks:
            if not exchange.started:
                adopt_request_id()
                await exchange.start(200, _EVENT_STREAM)
            is_last = chunk.finish_reason is not None
            await exchange.write(
                response_format.event(chunk, exchange.request_id), more=not is_last
            )
            if is_last:
                return


async def send_complete(
    exchange: Exchange,
    chunks: AsyncIterator[DecodeChunk],
    response_format: ResponseFormat,
    prompt_tokens: int,
    adopt_request_id: Callable[[], None],
) -> None:
    """Send the response as one JSON body once the output is complete."""
    texts: list[str] = []
    async with closing_stream(chunks):
        async for chunk in chunks:
            if chunk.finish_reason is None:
                texts.append(chunk.text)
                continue
            adopt_request_id()
            body = response_format.complete_body(
                texts, chunk.finish_reason, prompt_tokens, exchange.request_id
            )
            await exchange.respond(200, body)
            return
