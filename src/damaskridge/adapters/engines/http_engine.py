"""Client of model engines over HTTP; see docs/engines.md."""

from collections.abc import AsyncIterator
from typing import Any

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.http_client import (
    BackendClient,
    HttpResponse,
    backend_failure,
)
from damaskridge.adapters.ports import StreamFailed
from damaskridge.model.engine import (
    CacheEventPage,
    DecodeChunk,
    DecodeRequest,
    EngineRequestStatus,
    LoadReport,
    Order,
    PrefillRequest,
    PrefillResult,
)
from damaskridge.model.errors import Failure

__all__ = ["HttpEngine"]

_REQUEST_TIMEOUT_S = 1.0
_PREFILL_TIMEOUT_S = 30.0
_MAX_RESPONSE_BYTES = 4_194_304
_MAX_LINE_BYTES = 65_536


class HttpEngine:
    """
    Client of one model engine; implements `EnginePort`.

    Parameters
    ----------
    client : BackendClient
        HTTP client, shared by all engines.
    address : str
        Address of the engine, ``ip:port``.
    """

    def __init__(self, client: BackendClient, address: str) -> None:
        self._client = client
        self._base = f"http://{address}/v1"

    async def prefill(self, request: PrefillRequest) -> Result[PrefillResult, Failure]:
        """Prefill a prompt and hold its KV cache on the engine."""
        return await self._call(
            "POST",
            "/prefill",
            PrefillResult,
            request,
            read_timeout_s=_PREFILL_TIMEOUT_S,
        )

    async def decode(self, request: DecodeRequest) -> AsyncIterator[DecodeChunk]:
        """Import a KV cache and stream the output; raises `StreamFailed`."""
        body = msgspec.json.encode(request)
        async for chunk in self._stream_chunks("POST", "/decode", body):
            yield chunk

    async def resume(
        self, engine_request_id: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """Stream the output again from `offset`, on a new connection."""
        path = f"/requests/{engine_request_id}/stream?offset={offset}"
        async for chunk in self._stream_chunks("GET", path, b"", new_connection=True):
            yield chunk

    async def cancel(self, engine_request_id: str) -> Result[None, Failure]:
        """Cancel a request and free all its memory."""
        path = f"/requests/{engine_request_id}"
        return await self._call("DELETE", path, None, retry=True)

    async def list_requests(self) -> Result[tuple[EngineRequestStatus, ...], Failure]:
        """Return all requests that wait or hold memory."""
        return await self._call(
            "GET", "/requests", tuple[EngineRequestStatus, ...], retry=True
        )

    async def load(self) -> Result[LoadReport, Failure]:
        """Return the latest load report."""
        return await self._call("GET", "/load", LoadReport, retry=True)

    async def cache_events(self, after: int) -> Result[CacheEventPage, Failure]:
        """Return the cache events after a sequence number."""
        path = f"/cache-events?after={after}"
        return await self._call("GET", path, CacheEventPage, retry=True)

    async def order(self, order: Order) -> Result[None, Failure]:
        """Send an order to the engine."""
        return await self._call("POST", "/orders", None, order)

    async def _call(
        self,
        method: str,
        path: str,
        response_type: Any,
        body: msgspec.Struct | None = None,
        *,
        read_timeout_s: float = _REQUEST_TIMEOUT_S,
        retry: bool = False,
    ) -> Result[Any, Failure]:
        """Send a request; with `retry`, send it once more if it fails."""
        result = await self._send_once(
            method, path, response_type, body, read_timeout_s, new_connection=False
        )
        if isinstance(result, Err) and retry:
            # The pooled connection may have been stale; the retry uses a new one.
            return await self._send_once(
                method, path, response_type, body, read_timeout_s, new_connection=True
            )
        return result

    async def _send_once(
        self,
        method: str,
        path: str,
        response_type: Any,
        body: msgspec.Struct | None,
        read_timeout_s: float,
        new_connection: bool,
    ) -> Result[Any, Failure]:
        try:
            response = await self._client.call(
                method,
                self._base + path,
                body=msgspec.json.encode(body) if body is not None else b"",
                read_timeout_s=read_timeout_s,
                max_bytes=_MAX_RESPONSE_BYTES,
                new_connection=new_connection,
            )
            if response.status // 100 != 2:
                return Err(_engine_failure(response))
            if response_type is None:
                return Ok(None)
            return Ok(_decode_json(response.body, response_type))
        except StreamFailed as error:
            return Err(error.failure)

    async def _stream_chunks(
        self, method: str, path: str, body: bytes, new_connection: bool = False
    ) -> AsyncIterator[DecodeChunk]:
        url = self._base + path
        # No read timeout: a timer for every read would be costly, and the state
        # machine of the request detects silence.
        opened = self._client.stream(
            method, url, body=body, read_timeout_s=None, new_connection=new_connection
        )
        async with opened as response:
            lines = self._client.lines(response, _MAX_LINE_BYTES)
            if response.status != 200:
                data = b"".join([line async for line in lines])
                raise StreamFailed(
                    _engine_failure(HttpResponse(response.status, "", data))
                )
            async for line in lines:
                chunk = _decode_json(line, DecodeChunk)
                yield chunk
                if chunk.finish_reason is not None:
                    return


def _decode_json(data: bytes, response_type: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise backend_failure("answer is not of the protocol") from None


def _engine_failure(response: HttpResponse) -> Failure:
    """Return the failure that the engine sent, else one with the status."""
    try:
        return msgspec.json.decode(response.body, type=Failure)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return backend_failure(f"status {response.status}").failure
