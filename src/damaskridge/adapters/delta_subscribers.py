"""Consumers of the deltas that a control node applies."""

from collections.abc import AsyncIterator

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from damaskridge.model.control import FleetDelta

__all__ = ["DeltaSubscribers"]

QUEUED_DELTAS = 10_000


class DeltaSubscribers:
    """Hands every delta to every subscriber; one that misses any is ended."""

    def __init__(self) -> None:
        self._streams: list[MemoryObjectSendStream[FleetDelta]] = []

    def subscribe(self) -> AsyncIterator[FleetDelta]:
        """Return the deltas from now on."""
        send, receive = anyio.create_memory_object_stream[FleetDelta](QUEUED_DELTAS)
        self._streams.append(send)
        return _drain(receive)

    def publish(self, delta: FleetDelta) -> None:
        """Queue a delta; a subscriber that is too slow is ended."""
        for stream in list(self._streams):
            try:
                stream.send_nowait(delta)
            except (anyio.WouldBlock, anyio.BrokenResourceError):
                stream.close()
                self._streams.remove(stream)

    def end_all(self) -> None:
        """End every subscriber, because deltas were skipped."""
        for stream in self._streams:
            stream.close()
        self._streams.clear()


async def _drain(
    receive: MemoryObjectReceiveStream[FleetDelta],
) -> AsyncIterator[FleetDelta]:
    with receive:
        async for delta in receive:
            yield delta
