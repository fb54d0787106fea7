"""Message queues of the `Follow` streams that are open on the leader."""

from collections import deque
from collections.abc import Callable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from damaskridge.core.state.control_state import ControlState
from damaskridge.model.follow import AnyFollowResponse, FleetDelta

__all__ = ["Subscriber", "SubscriberSet"]

# A subscriber that lags further behind is disconnected; it reconnects and receives a
# snapshot instead.
MAX_QUEUED_MESSAGES = 512
# Allows hosts that reconnect after a change of leader to catch up without a snapshot.
MAX_RECENT_DELTAS = 512


class Subscriber:
    """
    The queue of messages to one entry host.

    Parameters
    ----------
    on_overflow : callable
        Called when the queue is full because the host reads too slowly. It must cancel
        the stream, because the stream's writer may be blocked on a silent connection.

    Attributes
    ----------
    messages : MemoryObjectReceiveStream
        The receiving end of the queue, for the stream's writer.
    """

    def __init__(self, on_overflow: Callable[[], None]) -> None:
        self._on_overflow = on_overflow
        self._send: MemoryObjectSendStream[AnyFollowResponse]
        self.messages: MemoryObjectReceiveStream[AnyFollowResponse]
        self._send, self.messages = anyio.create_memory_object_stream[
            AnyFollowResponse
        ](MAX_QUEUED_MESSAGES)

    def push(self, message: AnyFollowResponse) -> None:
        """Queue a message; call `on_overflow` if the queue is full."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            self._on_overflow()
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    def end(self) -> None:
        """Accept no more messages; the stream ends once the queue is empty."""
        self._send.close()

    def close(self) -> None:
        """Close the queue and discard its messages."""
        self._send.close()
        self.messages.close()


class SubscriberSet:
    """
    Sends every delta to every subscriber, in the order of the log.

    Parameters
    ----------
    state : ControlState
        Source of snapshots for subscribers that can't catch up by deltas.
    """

    def __init__(self, state: ControlState) -> None:
        self._state = state
        # A dict as an ordered set: iteration in the order of insertion keeps simulated
        # runs deterministic.
        self._subscribers: dict[Subscriber, None] = {}
        self._recent_deltas: deque[FleetDelta] = deque(maxlen=MAX_RECENT_DELTAS)

    def add(self, subscriber: Subscriber, index: int) -> None:
        """Add a subscriber that has everything up to `index`, and send it the rest."""
        self._subscribers[subscriber] = None
        for message in self._messages_since(index):
            subscriber.push(message)

    def open_subscribers(self) -> list[Subscriber]:
        """Return the subscribers whose streams are open."""
        return list(self._subscribers)

    def remove(self, subscriber: Subscriber) -> None:
        """Remove a subscriber and close its queue."""
        self._subscribers.pop(subscriber, None)
        subscriber.close()

    def publish(self, delta: FleetDelta) -> None:
        """Send a delta to all subscribers; a delta without changes is skipped."""
        if delta.is_empty:
            return
        if self._recent_deltas and self._recent_deltas[-1].index != delta.base_index:
            # The state was restored from a snapshot in the meantime.
            self._recent_deltas.clear()
        self._recent_deltas.append(delta)
        for subscriber in self._subscribers:
            subscriber.push(delta)

    def broadcast(self, message: AnyFollowResponse) -> None:
        """Send all subscribers a message that isn't derived from the log."""
        for subscriber in self._subscribers:
            subscriber.push(message)

    def end_all(self, last_message: AnyFollowResponse) -> None:
        """End every stream after sending `last_message` on it."""
        for subscriber in self._subscribers:
            subscriber.push(last_message)
            subscriber.end()

    def _messages_since(self, index: int) -> list[AnyFollowResponse]:
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
