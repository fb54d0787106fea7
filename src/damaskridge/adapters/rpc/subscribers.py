"""The open `Follow` streams of a leader and what each of them is still to get."""

from collections import deque
from collections.abc import Callable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from damaskridge.core.state.commands import ControlState
from damaskridge.model.control import AnyFollowReply, FleetDelta

__all__ = ["Subscriber", "SubscriberSet"]

# A follower that lags by more messages reconnects and gets a snapshot instead.
MAX_QUEUED_MESSAGES = 512
# Lets hosts that reconnect after a change of leader catch up without a snapshot.
MAX_RECENT_DELTAS = 512


class Subscriber:
    """
    The queue of one stream.

    Parameters
    ----------
    overflowed : callable
        Called when the host reads too slowly. The stream must then be ended by
        force, because its writer may wait for a silent connection.
    """

    def __init__(self, on_overflow: Callable[[], None]) -> None:
        self._on_overflow = on_overflow
        self._send: MemoryObjectSendStream[AnyFollowReply]
        self.messages: MemoryObjectReceiveStream[AnyFollowReply]
        self._send, self.messages = anyio.create_memory_object_stream[AnyFollowReply](
            MAX_QUEUED_MESSAGES
        )

    def push(self, message: AnyFollowReply) -> None:
        """Queue a message; a full queue ends the stream."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            self._on_overflow()
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    def end(self) -> None:
        """End the stream once the queue is empty."""
        self._send.close()

    def close(self) -> None:
        """Drop the queue."""
        self._send.close()
        self.messages.close()


class SubscriberSet:
    """Hands every delta to every open stream, in the order of the log."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        # In the order in which the streams were opened, so that runs can be repeated.
        self._subscribers: dict[Subscriber, None] = {}
        self._recent_deltas: deque[FleetDelta] = deque(maxlen=MAX_RECENT_DELTAS)

    def add(self, subscriber: Subscriber, index: int) -> None:
        """Add a stream whose host has seen everything up to `index`."""
        self._subscribers[subscriber] = None
        for message in self._messages_since(index):
            subscriber.push(message)

    def open_streams(self) -> list[Subscriber]:
        """Return every open stream."""
        return list(self._subscribers)

    def remove(self, subscriber: Subscriber) -> None:
        """Forget a stream."""
        self._subscribers.pop(subscriber, None)
        subscriber.close()

    def publish(self, delta: FleetDelta) -> None:
        """Hand on a delta; one without changes is not sent."""
        if not delta.changes:
            return
        if self._recent_deltas and self._recent_deltas[-1].index != delta.base_index:
            # The state was restored from a snapshot in between.
            self._recent_deltas.clear()
        self._recent_deltas.append(delta)
        for subscriber in self._subscribers:
            subscriber.push(delta)

    def broadcast(self, message: AnyFollowReply) -> None:
        """Send a message that is no part of the log on every stream."""
        for subscriber in self._subscribers:
            subscriber.push(message)

    def end_all(self, last_message: AnyFollowReply) -> None:
        """Send `last_message` on every stream and end it."""
        for subscriber in self._subscribers:
            subscriber.push(last_message)
            subscriber.end()

    def _messages_since(self, index: int) -> list[AnyFollowReply]:
        current_index = self._state.data.fleet_index
        if index >= current_index:
            return []
        recent_deltas = self._recent_deltas
        if (
            recent_deltas
            and recent_deltas[-1].index == current_index
            and recent_deltas[0].base_index <= index
        ):
            return [delta for delta in recent_deltas if delta.index > index]
        return [self._state.fleet_snapshot()]
