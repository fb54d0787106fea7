"""Streams between the members of the control group.

Every member opens one stream to every other one and sends its messages there. The
other direction carries only answers to probes: a stream whose probes stay
unanswered is replaced, because an open connection can go silent for good while new
ones work.
"""

import logging
import random
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream as ServerStream

from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.cancellation import CONNECTION_ERRORS, own_cancellation
from damaskridge.adapters.rpc.confined import confined
from damaskridge.model.consensus import AnyMessage
from damaskridge.model.events import EventNumber

__all__ = ["ControlGroupService", "PeerFrame", "PeerLink", "ProbeAnswer"]

EXCHANGE_PATH = "/damaskridge.ControlGroup/Exchange"
PROBE_INTERVAL_S = 0.3
# A silent stream is replaced within 0.8 s. Meanwhile the other members are a quorum,
# and pre-vote keeps the member behind the stream from disturbing them.
SILENCE_S = 0.5
CONNECT_TIMEOUT_S = 0.5
SERVER_IDLE_S = 5.0
BACKOFF_S = (0.05, 1.0)
QUEUE_FRAMES = 256

_logger = logging.getLogger("damaskridge.control_group")


class PeerFrame(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message for the member `recipient`, or a probe."""

    recipient: str = ""
    message: AnyMessage | None = None


class ProbeAnswer(msgspec.Struct, frozen=True):
    """Answers a probe."""


class PeerLink:
    """
    The outgoing stream to one member.

    Parameters
    ----------
    host : str
        Name of the other host.
    address : str
        Its RPC address, ``<ip>:<port>``.
    rng : random.Random
        Source of the jitter between attempts to connect.
    """

    def __init__(self, host: str, address: str, rng: random.Random) -> None:
        self._host = host
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._rng = rng
        self._frames, self._queue = anyio.create_memory_object_stream[PeerFrame](
            QUEUE_FRAMES
        )
        self._answered_s = 0.0
        self._connected = False

    def send(self, frame: PeerFrame) -> None:
        """Send a frame, or drop it while the member cannot be reached."""
        if not self._connected:
            return
        try:
            self._frames.send_nowait(frame)
        except anyio.WouldBlock:
            return

    async def run(self) -> None:
        """Keep a stream open until cancelled."""
        backoff_s = BACKOFF_S[0]
        with self._frames, self._queue:
            while True:
                started_s = anyio.current_time()
                await self._connect()
                if anyio.current_time() - started_s > BACKOFF_S[1]:
                    backoff_s = BACKOFF_S[0]
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, BACKOFF_S[1])

    async def _connect(self) -> None:
        channel = Channel(self._ip, self._port, codec=MsgpackCodec())
        try:
            await confined(self._exchange(channel))
        except* CONNECTION_ERRORS as errors:
            _logger.debug("stream to %s ended: %r", self._host, errors.exceptions)
        except* Exception as errors:
            # One peer's fault, such as a message of another version, must not end
            # the process.
            _logger.warning("stream to %s failed: %r", self._host, errors.exceptions)
        finally:
            was_connected = self._connected
            self._connected = False
            channel.close()
        if was_connected:
            log_event(_logger, EventNumber.PEER_LOST, peer=self._host)

    async def _exchange(self, channel: Channel) -> None:
        method: StreamStreamMethod[PeerFrame, ProbeAnswer] = StreamStreamMethod(
            channel, EXCHANGE_PATH, PeerFrame, ProbeAnswer
        )
        async with method.open() as stream:
            with anyio.fail_after(CONNECT_TIMEOUT_S), own_cancellation():
                await stream.send_message(PeerFrame())
                await stream.recv_message()
            self._answered_s = anyio.current_time()
            self._connected = True
            log_event(_logger, EventNumber.PEER_CONNECTED, peer=self._host)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, stream)
                tasks.start_soon(self._read, stream)
                tasks.start_soon(self._probe)

    async def _write(self, stream: Stream[PeerFrame, ProbeAnswer]) -> None:
        async for frame in self._queue:
            await stream.send_message(frame)

    async def _read(self, stream: Stream[PeerFrame, ProbeAnswer]) -> None:
        while await stream.recv_message() is not None:
            self._answered_s = anyio.current_time()
        raise StreamTerminatedError("closed by the other side")

    async def _probe(self) -> None:
        while anyio.current_time() < self._answered_s + SILENCE_S:
            self.send(PeerFrame())
            await anyio.sleep(PROBE_INTERVAL_S)
        raise TimeoutError("no answer to probes")


class ControlGroupService:
    """
    The incoming streams of the other members.

    Parameters
    ----------
    deliver : callable
        Receives the recipient and the message of each frame.
    """

    def __init__(self, deliver: Callable[[str, AnyMessage], None]) -> None:
        self._deliver = deliver

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self._exchange, Cardinality.STREAM_STREAM, PeerFrame, ProbeAnswer
        )
        return {EXCHANGE_PATH: handler}

    async def _exchange(self, stream: ServerStream[Any, Any]) -> None:
        while True:
            frame: PeerFrame | None = None
            with anyio.move_on_after(SERVER_IDLE_S):
                frame = await stream.recv_message()
            if frame is None:
                return
            if frame.message is None:
                await stream.send_message(ProbeAnswer())
            else:
                self._deliver(frame.recipient, frame.message)
