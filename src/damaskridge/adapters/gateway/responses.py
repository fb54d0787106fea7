"""The answer to one caller: a backend server's, or the gateway's own."""

import logging

from damaskridge.adapters.gateway.connections import Headers, ResponseHead
from damaskridge.adapters.gateway.dialect import Dialect, ResponseMetadata
from damaskridge.adapters.http.exchange import Exchange
from damaskridge.adapters.observability.events import log_event
from damaskridge.model.errors import Failure
from damaskridge.model.events import EventNumber

__all__ = ["CallerAnswer"]

logger = logging.getLogger(__name__)

# They concern one connection only. The length is set anew.
_CONNECTION_HEADERS = frozenset(
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


class CallerAnswer:
    """
    Writes the answer to one request and logs it.

    Parameters
    ----------
    exchange : Exchange
        The caller's connection.
    dialect : Dialect
        Encodes refusals.
    arrived_s : float
        Loop time at which the request arrived.
    close_connection : bool
        Whether the caller is asked to open a new connection for its next request.

    Attributes
    ----------
    is_complete : bool
        Whether nothing more is to be sent.
    attempts : int
        Sends so far, for the log.
    """

    def __init__(
        self,
        exchange: Exchange,
        dialect: Dialect,
        arrived_s: float,
        *,
        close_connection: bool = False,
    ) -> None:
        self._exchange = exchange
        self._dialect = dialect
        self._arrived_s = arrived_s
        self._close_connection = close_connection
        self._first_s = 0.0
        self._written_s = 0.0
        self._longest_gap_s = 0.0
        self._status = 0
        self.is_complete = False
        self.attempts = 0

    @property
    def has_started(self) -> bool:
        """Whether the caller has the head of the answer."""
        return self._exchange.started

    async def pass_on(
        self, head: ResponseHead, facts: ResponseMetadata, body: bytes
    ) -> None:
        """Send a backend server's whole answer."""
        if head.status in _PROMISES_NOT_RUN and not facts.is_signed:
            # Only a backend server that says so has not run the request, and this
            # one did not.
            await self._send(502, [], b"")
        else:
            headers = _end_to_end(head.headers)
            # An answer to HEAD names the length of a body that is not sent.
            length = head.value(b"content-length")
            if self._exchange.method != "HEAD" or length is None:
                length = b"%d" % len(body)
            await self._send(head.status, [*headers, (b"content-length", length)], body)
        self._log_answered()

    async def refuse(self, failure: Failure) -> None:
        """Send an answer of the gateway itself."""
        refusal = self._dialect.refusal(failure)
        self._log_failed(failure)
        await self._send(refusal.status, refusal.headers, refusal.body)

    async def start_stream(self, head: ResponseHead) -> None:
        """Send the head of a stream."""
        self._first_s = self._now_s()
        self._status = head.status
        await self._exchange.start(
            head.status, [*_end_to_end(head.headers), *self._closing()]
        )

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        now_s = self._now_s()
        if self._written_s:
            self._longest_gap_s = max(self._longest_gap_s, now_s - self._written_s)
        self._written_s = now_s
        await self._exchange.write(data)

    async def end_stream(self) -> None:
        """End a stream that is complete."""
        self.is_complete = True
        await self._exchange.write(b"", more=False)
        self._log_answered()

    def break_off(self, failure: Failure) -> None:
        """End an answer that has begun and cannot be completed; it looks cut."""
        self.is_complete = True
        self._log_failed(failure)
        self._exchange.abort()

    async def _send(self, status: int, headers: Headers, body: bytes) -> None:
        self.is_complete = True
        self._status = status
        self._first_s = self._now_s()
        if not any(name == b"content-length" for name, _ in headers):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        await self._exchange.start(status, [*headers, *self._closing()])
        sent = b"" if self._exchange.method == "HEAD" else body
        await self._exchange.write(sent, more=False)

    def _closing(self) -> Headers:
        return [(b"connection", b"close")] if self._close_connection else []

    def _now_s(self) -> float:
        return self._exchange.now_s()

    def _log_answered(self) -> None:
        log_event(
            logger,
            EventNumber.REQUEST_ANSWERED,
            request_id=self._exchange.request_id,
            status=self._status,
            attempts=self.attempts,
            elapsed_ms=round((self._now_s() - self._arrived_s) * 1000),
            first_ms=round((self._first_s - self._arrived_s) * 1000),
            longest_gap_ms=round(self._longest_gap_s * 1000),
        )

    def _log_failed(self, failure: Failure) -> None:
        log_event(
            logger,
            EventNumber.REQUEST_FAILED,
            request_id=self._exchange.request_id,
            error_kind=failure.kind.value,
            run=failure.ran.value,
            reason=failure.detail,
            elapsed_ms=round((self._now_s() - self._arrived_s) * 1000),
            attempts=self.attempts,
        )


# Statuses by which a client takes it that the request never runs.
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


def _end_to_end(headers: Headers) -> Headers:
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = _CONNECTION_HEADERS | named
    return [(name, value) for name, value in headers if name not in dropped]
