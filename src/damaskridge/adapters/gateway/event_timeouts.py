"""Ends the wait for events of a server once another one can go on with the stream."""

import asyncio
from collections.abc import AsyncIterator
from typing import Generic, Protocol, TypeVar

from damaskridge.adapters.gateway.decode_reservations import RESUME_WAIT_S, RoomSearch
from damaskridge.adapters.gateway.outcomes import OpenReply
from damaskridge.adapters.gateway.relayed_stream import RelayedStream
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.timer_delay import was_suspended
from damaskridge.core.gateway.send_account import SendStep

__all__ = ["FIRST_EVENT_TIMEOUT_S", "EventTimeout", "EventTimeouts", "StreamMover"]

# Callers abandon a stream after 2 seconds without an event at the earliest. Resuming on
# another engine has to fit into the rest of that time.
EVENT_TIMEOUT_S = 1.2
# The first event may take longer, because the request may be queued in the engine.
FIRST_EVENT_TIMEOUT_S = 2.5
# Time between two attempts to move a silent stream to another engine.
MOVE_INTERVAL_S = 0.1


StreamT = TypeVar("StreamT", bound=RelayedStream)
StreamT_contra = TypeVar("StreamT_contra", bound=RelayedStream, contravariant=True)


class EventTimeout(Exception):
    """The server has sent no event for too long, and another one can take over."""


class StreamMover(Protocol[StreamT_contra]):
    """Finds the server that a stream moves to."""

    async def reserve_elsewhere(self, stream: StreamT_contra, /) -> RoomSearch:
        """Reserve capacity on a server that has not had the stream, without waiting."""
        ...

    def cancel(self, stream: StreamT_contra, /) -> None:
        """Release what was reserved."""
        ...


class EventTimeouts(Generic[StreamT]):
    """
    Reads the bodies of streams with a timeout for each event.

    Parameters
    ----------
    gate : RetryGate
        Checks whether the retry budget allows a stream to move.
    mover : StreamMover
        Reserves capacity on the server that a stream moves to.
    """

    def __init__(self, gate: RetryGate, mover: StreamMover[StreamT]) -> None:
        self._gate = gate
        self._mover = mover

    async def chunks(
        self, stream: StreamT, server_response: OpenReply
    ) -> AsyncIterator[bytes]:
        """
        Yield the body, with a timeout if another server could resume the stream.

        Only complete events count as progress: a server that stalls may still send
        single bytes. A sound server may be silent for a second or two, so that its
        stream is abandoned only if there is another server, at first for one with room.

        Raises
        ------
        EventTimeout
            No event was complete in time, and another server can take over.
        ConnectionBroken
            The connection ended before the body was complete.
        """
        chunks = server_response.chunks()
        next_move_s = 0.0
        reserved_for_s: float | None = None
        silent_since_s = 0.0
        while True:
            last_progress_s = stream.last_progress_s
            if reserved_for_s is not None and last_progress_s > reserved_for_s:
                # The server has gone on.
                self._mover.cancel(stream)
                reserved_for_s = None
            deadline_s: float | None = None
            if stream.admitted.policy.may_run_again:
                limit_s = (
                    EVENT_TIMEOUT_S
                    if stream.response.has_started
                    else FIRST_EVENT_TIMEOUT_S
                )
                silent_since_s = last_progress_s + limit_s
                deadline_s = max(silent_since_s, next_move_s)
            try:
                async with asyncio.timeout_at(deadline_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError:
                is_late = was_suspended(deadline_s or 0.0, stream.admitted.now_s)
                chunks = server_response.chunks()
                if is_late and server_response.has_unread_data:
                    # The server has sent data meanwhile.
                    stream.last_progress_s = stream.admitted.now_s
                elif reserved_for_s is not None:
                    raise EventTimeout from None
                elif not await self._reserve_move(stream, silent_since_s):
                    next_move_s = stream.admitted.now_s + MOVE_INTERVAL_S
                elif server_response.has_unread_data:
                    # It may hold an event that arrived while capacity was reserved.
                    reserved_for_s = stream.last_progress_s
                else:
                    raise EventTimeout from None
                continue
            yield chunk

    async def _reserve_move(self, stream: StreamT, since_s: float) -> bool:
        """
        Reserve capacity on another server; return whether the stream may move.

        It may also move to a server without room once it has waited for it from
        `since_s` on for as long as a broken stream does.
        """
        admitted = stream.admitted
        if admitted.remaining_s <= 0 or not self._gate.admits(admitted, SendStep.RUN):
            return False
        search = await self._mover.reserve_elsewhere(stream)
        has_waited = admitted.now_s >= since_s + RESUME_WAIT_S
        return search is RoomSearch.DONE or (search is RoomSearch.FULL and has_waited)
