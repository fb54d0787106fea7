"""Relays chunks to a caller while watching the caller and its key."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from damaskridge.adapters.front_context import closing
from damaskridge.adapters.http.exchange import CallerGone, Exchange
from damaskridge.adapters.http.responses import AnswerForm
from damaskridge.adapters.ports import StreamFailed
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure, RunState

__all__ = ["send_events", "send_whole", "while_watched"]

_KEY_CHECK_S = 1.0
_EVENT_STREAM = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


async def while_watched(
    exchange: Exchange,
    work: Coroutine[Any, Any, None],
    key_works: Callable[[], bool],
) -> None:
    """Run `work` until the caller disconnects or its key is withdrawn."""
    async with exchange.watch_disconnect() as gone:
        task = asyncio.ensure_future(work)
        exchange.has_external_timeout = True
        try:
            while not task.done():
                waits: set[asyncio.Future[Any]] = {task, gone}
                await asyncio.wait(
                    waits, timeout=_KEY_CHECK_S, return_when=asyncio.FIRST_COMPLETED
                )
                if not task.done():
                    _check(exchange, gone, key_works)
        finally:
            exchange.has_external_timeout = False
            task.cancel()
            await asyncio.wait({task})
        await task


def _check(
    exchange: Exchange, gone: asyncio.Task[None], key_works: Callable[[], bool]
) -> None:
    if gone.done():
        raise CallerGone
    if exchange.stalled():
        raise CallerGone(too_slow=True)
    if not key_works():
        run_state = RunState.RAN if exchange.started else RunState.UNKNOWN
        raise StreamFailed(Failure(ErrorKind.KEY_WITHDRAWN, run_state=run_state))


async def send_events(
    exchange: Exchange,
    chunks: AsyncIterator[DecodeChunk],
    form: AnswerForm,
    named: Callable[[], None],
) -> None:
    """Send chunks as events; `named` is called before the id is used."""
    async with closing(chunks):
        async for chunk in chunks:
            if not exchange.started:
                named()
                await exchange.start(200, _EVENT_STREAM)
            last = chunk.finish_reason is not None
            await exchange.write(form.event(chunk, exchange.request_id), more=not last)
            if last:
                return


async def send_whole(
    exchange: Exchange,
    chunks: AsyncIterator[DecodeChunk],
    form: AnswerForm,
    prompt_tokens: int,
    named: Callable[[], None],
) -> None:
    """Send the answer in one piece once it is complete."""
    texts: list[str] = []
    async with closing(chunks):
        async for chunk in chunks:
            if chunk.finish_reason is None:
                texts.append(chunk.text)
                continue
            named()
            body = form.whole(
                texts, chunk.finish_reason, prompt_tokens, exchange.request_id
            )
            await exchange.answer(200, body)
            return
