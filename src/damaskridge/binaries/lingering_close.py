"""Closes a connection whose other side is still sending, without losing the response.

A close with unread data resets the connection, and the other side may lose what it has
not read yet.
"""

import asyncio
from collections.abc import Callable
from typing import Any

__all__ = ["LINGER_S", "LingeringTransport"]

# Longest time for which the rest of a request is read and discarded.
LINGER_S = 1.0


class LingeringTransport:
    """
    A transport that can read on after it has sent everything.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection.
    is_request_incomplete : callable
        Returns whether the other side has yet to send the rest of a request.

    Attributes
    ----------
    is_lingering : bool
        Whether `close` was called and received data is to be discarded.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        is_request_incomplete: Callable[[], bool],
    ) -> None:
        self._transport = transport
        self._is_request_incomplete = is_request_incomplete
        self.is_lingering = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether the connection is closed, or is about to be."""
        return self.is_lingering or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection, if need be once the other side has closed it."""
        if self.is_closing():
            return
        if not self._is_request_incomplete():
            self._transport.close()
            return
        self.is_lingering = True
        try:
            self._transport.write_eof()
        except OSError:
            # The other side has reset the connection.
            self._transport.abort()
            return
        self._transport.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)
