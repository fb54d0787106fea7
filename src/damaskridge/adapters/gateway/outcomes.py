"""What is known of a request after it was sent to a backend server."""

import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass

from damaskridge.adapters.gateway.connections import BackendConnection, ResponseHead
from damaskridge.adapters.gateway.dialect import ResponseMetadata
from damaskridge.adapters.gateway.pool import ConnectionPool
from damaskridge.adapters.observability.events import log_event
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance

__all__ = ["NotRun", "OpenReply", "Outcome", "Unknown"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NotRun:
    """
    The request did not run and never will.

    Parameters
    ----------
    reason : str
        Why the request did not run.
    is_full : bool
        Whether the server refused the request for lack of capacity.
    was_sent : bool
        Whether any part of the request may have reached a server.
    """

    reason: str
    is_full: bool = False
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class Unknown:
    """
    The request may have run, or may still be running.

    Parameters
    ----------
    reason : str
        Why there is no usable response.
    timed_out : bool
        Whether the response did not arrive in time.
    is_broken : bool
        Whether the connection ended.
    """

    reason: str
    timed_out: bool = False
    is_broken: bool = False


class OpenReply:
    """
    A response whose body has not been read yet; `close` must be called.

    Attributes
    ----------
    instance : BackendInstance
        The instance that sent the response.
    head : ResponseHead
        Status and headers.
    metadata : ResponseMetadata
        What the headers state about the request and the server.
    """

    def __init__(
        self,
        instance: BackendInstance,
        connection: BackendConnection,
        pool: ConnectionPool,
        head: ResponseHead,
        metadata: ResponseMetadata,
    ) -> None:
        self.instance = instance
        self.head = head
        self.metadata = metadata
        self._connection = connection
        self._pool = pool
        self._is_open = True

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `ConnectionBroken` if it is incomplete."""
        body_bytes = 0
        async for chunk in self._connection.body():
            body_bytes += len(chunk)
            yield chunk
        self._log_unframed_end(body_bytes)

    @property
    def has_unread_data(self) -> bool:
        """Whether received data of the body is waiting to be read."""
        return self._connection.has_unread_data

    @property
    def was_reset(self) -> bool:
        """Whether the connection was reset, also after the end of the response."""
        return self._connection.was_reset

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the complete body; raises `ConnectionBroken`."""
        body = await self._connection.read_body(limit_bytes)
        self._log_unframed_end(len(body))
        return body

    def _log_unframed_end(self, body_bytes: int) -> None:
        if self.head.ends_with_connection:
            log_event(
                logger,
                EventNumber.UNFRAMED_RESPONSE,
                request_id=self.metadata.request_id,
                backend_server=self.instance.instance,
                status=self.head.status,
                body_bytes=body_bytes,
            )

    def close(self) -> None:
        """Release the connection to the pool if it is reusable, else close it."""
        if self._is_open:
            self._is_open = False
            self._connection.keep_alive_s = self.metadata.keep_alive_s
            if self.metadata.is_leaving:
                self._connection.close()
            else:
                self._pool.release(self.instance, self._connection)


Outcome = OpenReply | NotRun | Unknown
