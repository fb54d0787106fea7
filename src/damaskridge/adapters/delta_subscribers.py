"""Subscriptions to the deltas of the commands that a control node applies."""

from collections.abc import AsyncIterator

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from damaskridge.model.follow import FleetDelta

__all__ = ["DeltaSubscribers"]

MAX_QUEUED_DELTAS = 10_000


class DeltaSubscribers:
    """Sends every delta to every subscriber and closes those that would miss one."""

    def __init__(self) -> None:
        self._send_streams: list[MemoryObjectSendStream[FleetDelta]] = []

    def subscribe(self) -> AsyncIterator[FleetDelta]:
        """Return an iterator over the deltas from now on."""
        send, receive = anyio.create_memory_object_stream[FleetDelta](MAX_QUEUED_DELTAS)
        self._send_streams.append(send)
        return _iterate(receive)

    def publish(self, delta: FleetDelta) -> None:
        """Queue a delta for every subscriber; close those whose queue is full."""
        for stream in list(self._send_streams):
            try:
                stream.send_nowait(delta)
            except (anyio.WouldBlock, anyio.BrokenResourceError):
                stream.close()
                self._send_streams.remove(stream)

    def close_all(self) -> None:
        """Close every subscriber, because deltas were skipped."""
        for stream in self._send_streams:
            stream.close()
        self._send_streams.clear()


async def _iterate(
    receive: MemoryObjectReceiveStream[FleetDelta],
) -> AsyncIterator[FleetDelta]:
    with receive:
        async for delta in receive:
            yield delta
