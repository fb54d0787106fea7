"""The open `Follow` streams of a leader and what each of them is still to get."""

from collections import deque
from collections.abc import Callable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from damaskridge.core.state.commands import ControlState
from damaskridge.model.control import AnyFollowReply, FleetDelta

__all__ = ["Follower", "FollowerSet"]

# A follower that lags by more messages reconnects and gets a snapshot instead.
QUEUED_MESSAGES = 512
# Lets hosts that reconnect after a change of leader catch up without a snapshot.
KEPT_DELTAS = 512


class Follower:
    """
    The queue of one stream.

    Parameters
    ----------
    overflowed : callable
        Called when the host reads too slowly. The stream must then be ended by
        force, because its writer may wait for a silent connection.
    """

    def __init__(self, overflowed: Callable[[], None]) -> None:
        self._overflowed = overflowed
        self._send: MemoryObjectSendStream[AnyFollowReply]
        self.messages: MemoryObjectReceiveStream[AnyFollowReply]
        self._send, self.messages = anyio.create_memory_object_stream[AnyFollowReply](
            QUEUED_MESSAGES
        )

    def push(self, message: AnyFollowReply) -> None:
        """Queue a message; a full queue ends the stream."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            self._overflowed()
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    def end(self) -> None:
        """End the stream once the queue is empty."""
        self._send.close()

    def close(self) -> None:
        """Drop the queue."""
        self._send.close()
        self.messages.close()


class FollowerSet:
    """Hands every delta to every open stream, in the order of the log."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        # In the order in which the streams were opened, so that runs can be repeated.
        self._followers: dict[Follower, None] = {}
        self._recent: deque[FleetDelta] = deque(maxlen=KEPT_DELTAS)

    def add(self, follower: Follower, index: int) -> None:
        """Add a stream whose host has seen everything up to `index`."""
        self._followers[follower] = None
        for message in self._missing(index):
            follower.push(message)

    def open(self) -> list[Follower]:
        """Return every open stream."""
        return list(self._followers)

    def remove(self, follower: Follower) -> None:
        """Forget a stream."""
        self._followers.pop(follower, None)
        follower.close()

    def publish(self, delta: FleetDelta) -> None:
        """Hand on a delta; one without changes is not sent."""
        if not delta.changes:
            return
        if self._recent and self._recent[-1].index != delta.base_index:
            # The state was restored from a snapshot in between.
            self._recent.clear()
        self._recent.append(delta)
        for follower in self._followers:
            follower.push(delta)

    def notify(self, message: AnyFollowReply) -> None:
        """Send a message that is no part of the log on every stream."""
        for follower in self._followers:
            follower.push(message)

    def end_all(self, last: AnyFollowReply) -> None:
        """Send `last` on every stream and end it."""
        for follower in self._followers:
            follower.push(last)
            follower.end()

    def _missing(self, index: int) -> list[AnyFollowReply]:
        current = self._state.data.fleet_index
        if index >= current:
            return []
        recent = self._recent
        if recent and recent[-1].index == current and recent[0].base_index <= index:
            return [delta for delta in recent if delta.index > index]
        return [self._state.fleet_snapshot()]
