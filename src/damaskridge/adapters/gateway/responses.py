"""The response to a caller, from a backend server or from the gateway itself."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable

from damaskridge.adapters.gateway.connections import Headers, ResponseHead
from damaskridge.adapters.gateway.dialect import Dialect, ResponseMetadata
from damaskridge.adapters.http.exchange import REQUEST_ID_HEADER, Exchange
from damaskridge.adapters.observability.events import log_event
from damaskridge.model.errors import Failure
from damaskridge.model.events import EventNumber

__all__ = ["CallerResponse", "no_added_headers"]

logger = logging.getLogger(__name__)

# Hop-by-hop headers, and the length, which is set anew.
_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class CallerResponse:
    """
    Writes the response to a request and logs it.

    Parameters
    ----------
    exchange : Exchange
        The connection to the caller.
    dialect : Dialect
        Encodes refusals.
    arrived_s : float
        Event loop time at which the request arrived.
    close_connection : bool
        Whether to ask the caller to open a new connection for its next request.

    Attributes
    ----------
    is_complete : bool
        Whether the response has ended, in full or by an abort.
    attempts : int
        How often the request has been sent to a backend server, for the log.
    before_refusal : callable
        Called before a refusal; returns headers to add to it, or raises to prevent it.
    """

    def __init__(
        self,
        exchange: Exchange,
        dialect: Dialect,
        arrived_s: float,
        *,
        close_connection: bool = False,
    ) -> None:
        self.before_refusal: Callable[[Failure], Awaitable[Headers]]
        self._exchange = exchange
        self._dialect = dialect
        self._arrived_s = arrived_s
        self._close_connection = close_connection
        self._head_sent_s = 0.0
        self._last_write_s = 0.0
        self._longest_gap_s = 0.0
        self._status = 0
        self.is_complete = False
        self.attempts = 0
        self.before_refusal = no_added_headers

    @property
    def has_started(self) -> bool:
        """Whether the head of the response has been sent to the caller."""
        return self._exchange.started

    async def forward(
        self, head: ResponseHead, metadata: ResponseMetadata, body: bytes
    ) -> None:
        """Send the complete response of a backend server."""
        if head.status in _NOT_RUN_STATUSES and not metadata.is_signed:
            # The status would tell the caller that the request did not run, but the
            # backend server has not stated that.
            await self._send(502, [], b"")
        else:
            headers = _end_to_end_headers(head.headers)
            # The response to HEAD carries the length of a body that is not sent.
            length = head.value(b"content-length")
            if self._exchange.method != "HEAD" or length is None:
                length = b"%d" % len(body)
            if not head.ends_with_connection:
                headers.append((b"content-length", length))
            await self._send(
                head.status,
                headers,
                body,
                ends_with_connection=head.ends_with_connection,
            )
        self._log_response()

    async def refuse(self, failure: Failure) -> None:
        """Send a failure as the gateway's own response."""
        added_headers = await self.before_refusal(failure)
        refusal = self._dialect.refusal(failure)
        self._log_failure(failure)
        headers = [*refusal.headers, *added_headers]
        await self._send(refusal.status, headers, refusal.body)

    async def forward_stream(
        self, head: ResponseHead, body: AsyncIterator[bytes]
    ) -> None:
        """Send a response of another host, part by part."""
        self._head_sent_s = self._now_s()
        self._status = head.status
        headers = [
            (name, value)
            for name, value in _end_to_end_headers(head.headers)
            if name != REQUEST_ID_HEADER
        ]
        length = head.value(b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
        await self._exchange.start(
            head.status,
            [*headers, *self._connection_headers()],
            ends_with_connection=head.ends_with_connection,
        )
        async for part in body:
            await self.write(part)
        await self.end_stream()

    async def start_stream(self, head: ResponseHead) -> None:
        """Send the head of a streamed response."""
        self._head_sent_s = self._now_s()
        self._status = head.status
        await self._exchange.start(
            head.status,
            [*_end_to_end_headers(head.headers), *self._connection_headers()],
        )

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        now_s = self._now_s()
        if self._last_write_s:
            self._longest_gap_s = max(self._longest_gap_s, now_s - self._last_write_s)
        self._last_write_s = now_s
        await self._exchange.write(data)

    async def end_stream(self) -> None:
        """End a streamed response that is complete."""
        self.is_complete = True
        await self._exchange.write(b"", more=False)
        self._log_response()

    def abort(self, failure: Failure) -> None:
        """
        Close the connection of a response that has begun and can't be completed.

        The caller sees a truncated response.
        """
        self.is_complete = True
        self._log_failure(failure)
        self._exchange.abort()

    async def _send(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        self.is_complete = True
        self._status = status
        self._head_sent_s = self._now_s()
        has_length = any(name == b"content-length" for name, _ in headers)
        if not (has_length or ends_with_connection):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        await self._exchange.start(
            status,
            [*headers, *self._connection_headers()],
            ends_with_connection=ends_with_connection,
        )
        sent_body = b"" if self._exchange.method == "HEAD" else body
        await self._exchange.write(sent_body, more=False)

    def _connection_headers(self) -> Headers:
        return [(b"connection", b"close")] if self._close_connection else []

    def _now_s(self) -> float:
        return self._exchange.now_s()

    def _log_response(self) -> None:
        log_event(
            logger,
            EventNumber.REQUEST_ANSWERED,
            request_id=self._exchange.request_id,
            status=self._status,
            attempts=self.attempts,
            elapsed_ms=round((self._now_s() - self._arrived_s) * 1000),
            first_ms=round((self._head_sent_s - self._arrived_s) * 1000),
            longest_gap_ms=round(self._longest_gap_s * 1000),
        )

    def _log_failure(self, failure: Failure) -> None:
        log_event(
            logger,
            EventNumber.REQUEST_FAILED,
            request_id=self._exchange.request_id,
            error_kind=failure.kind.value,
            run=failure.final_run_state.value,
            reason=failure.detail,
            elapsed_ms=round((self._now_s() - self._arrived_s) * 1000),
            attempts=self.attempts,
        )


async def no_added_headers(failure: Failure) -> Headers:
    """Return no headers, for refusals that get none."""
    return []


# Statuses from which a client concludes that the request did not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def _end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the caller."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = _DROPPED_HEADERS | connection_options
    return [(name, value) for name, value in headers if name not in dropped]
