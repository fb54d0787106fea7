"""Streams between the members of the control group.

Every member opens a stream to every other member and sends its messages on it. The
opposite direction carries only responses to probes. A stream whose probes get no
response is replaced, because an open connection can stay silent for ever while new
connections work.
"""

import logging
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
from grpclib.client import Stream, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream as ServerStream

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.cancellation import (
    CONNECTION_ERRORS,
    uncancel_on_connection_error,
)
from damaskridge.adapters.rpc.channels import RpcChannel
from damaskridge.adapters.rpc.isolated_tasks import run_isolated
from damaskridge.model.consensus import (
    AnyMessage,
    InstallSnapshot,
    VoteReply,
    VoteRequest,
)
from damaskridge.model.events import EventNumber

__all__ = ["ControlGroupService", "MemberFrame", "MemberStream", "ProbeResponse"]

EXCHANGE_PATH = "/damaskridge.ControlGroup/Exchange"
PROBE_INTERVAL_S = 0.3
# With the probe interval, a silent stream is replaced within 0.8 s. In the meantime the
# other members form a quorum, and pre-vote prevents the isolated member from disrupting
# them.
SILENCE_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
SERVER_IDLE_TIMEOUT_S = 5.0
BACKOFF_RANGE_S = (0.05, 1.0)
MAX_QUEUED_FRAMES = 256
# For how long a message of an election waits for a connection. Members that start
# together connect to each other within this time; a candidate then asks again.
ELECTION_MESSAGE_LIFETIME_S = 0.3
# Larger than a batch of log entries. Longer messages would delay heartbeats and probes.
MAX_PART_BYTES = 256 * 1024

_encode = msgspec.msgpack.Encoder().encode
_log = logging.getLogger("damaskridge.control_group")


class MemberFrame(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    A message to a member, a part of a large frame, or a probe if all fields are empty.

    Parameters
    ----------
    recipient : str
        Name of the member that the message is for.
    message : AnyMessage or None
        A Raft message.
    part : bytes
        A part of an encoded frame that is too large to be sent at once.
    is_last : bool
        Whether `part` is the last one of its frame.
    """

    recipient: str = ""
    message: AnyMessage | None = None
    part: bytes = b""
    is_last: bool = False


_decode = msgspec.msgpack.Decoder(MemberFrame).decode


class ProbeResponse(msgspec.Struct, frozen=True):
    """The response to a probe."""


def split_frame(frame: MemberFrame) -> list[MemberFrame]:
    """Return a list of the frame alone, or of its parts if its snapshot is large."""
    message = frame.message
    if not isinstance(message, InstallSnapshot):
        return [frame]
    if len(message.snapshot.state) <= MAX_PART_BYTES:
        return [frame]
    data = _encode(frame)
    starts = range(0, len(data), MAX_PART_BYTES)
    return [
        MemberFrame(
            part=data[start : start + MAX_PART_BYTES],
            is_last=start + MAX_PART_BYTES >= len(data),
        )
        for start in starts
    ]


class FrameAssembler:
    """Reassembles large frames from their parts; parts of frames must not mix."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, frame: MemberFrame) -> MemberFrame | None:
        """Return the complete frame, or None while parts are missing."""
        if not frame.part:
            return frame
        self._parts.append(frame.part)
        if not frame.is_last:
            return None
        data, self._parts = b"".join(self._parts), []
        return _decode(data)


class MemberStream:
    """
    The outgoing stream to another member; reconnects when it is lost.

    Parameters
    ----------
    host : str
        Name of the other member's host.
    address : str
        Its RPC address, ``<ip>:<port>``.
    rng : random.Random
        Source of the jitter of reconnection waits.
    on_refused : callable
        Called when the host refuses a connection.

    Attributes
    ----------
    host : str
        Name of the other member's host.
    """

    def __init__(
        self,
        host: str,
        address: str,
        rng: random.Random,
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        self.host = host
        self._on_refused = on_refused
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._rng = rng
        self._queue_sender, self._queue_receiver = anyio.create_memory_object_stream[
            MemberFrame
        ](MAX_QUEUED_FRAMES)
        self._last_response_s = 0.0
        self._is_connected = False
        self._election_frame: MemberFrame | None = None
        self._election_frame_s = 0.0
        self._attempt = anyio.CancelScope()
        self._retry_now = anyio.Event()
        self._last_heard_s = float("-inf")

    @property
    def is_connected(self) -> bool:
        """Whether the stream is open."""
        return self._is_connected

    @property
    def last_heard_s(self) -> float:
        """Event loop time at which the last message of the member arrived."""
        return self._last_heard_s

    def send(self, frame: MemberFrame) -> None:
        """
        Queue a frame; drop it if there is no connection or the queue is full.

        The last message of an election is sent if a connection is made soon after.
        Without it, members that start together lose their first election.
        """
        if not self._is_connected:
            if isinstance(frame.message, VoteRequest | VoteReply):
                self._election_frame = frame
                self._election_frame_s = anyio.current_time()
            return
        try:
            self._queue_sender.send_nowait(frame)
        except anyio.WouldBlock:
            return

    def record_message(self) -> None:
        """
        Record that a message of the member has arrived.

        If it is the first one for some time, the member may have just started. An
        attempt to connect that began before may hang, so that a new one is made.
        """
        now_s = anyio.current_time()
        was_silent = now_s - self._last_heard_s > SILENCE_TIMEOUT_S
        self._last_heard_s = now_s
        if was_silent and not self._is_connected:
            self._retry_now.set()
            self._attempt.cancel()

    async def run(self) -> None:
        """Keep a stream to the member open until cancelled."""
        backoff_s = BACKOFF_RANGE_S[0]
        with self._queue_sender, self._queue_receiver:
            while True:
                started_s = anyio.current_time()
                self._retry_now = anyio.Event()
                with anyio.CancelScope() as self._attempt:
                    await self._run_stream()
                if anyio.current_time() - started_s > BACKOFF_RANGE_S[1]:
                    backoff_s = BACKOFF_RANGE_S[0]
                with anyio.move_on_after(backoff_s * self._rng.uniform(0.5, 1.0)):
                    await self._retry_now.wait()
                backoff_s = min(backoff_s * 2, BACKOFF_RANGE_S[1])

    async def _run_stream(self) -> None:
        channel = RpcChannel(self._ip, self._port)
        try:
            await run_isolated(self._exchange(channel))
        except* CONNECTION_ERRORS as errors:
            _log.debug("stream to %s ended: %r", self.host, errors.exceptions)
            if errors.subgroup(ConnectionRefusedError) is not None:
                self._on_refused()
        except* Exception as errors:
            # An error of one peer, such as a message of an incompatible version, must
            # not end the process.
            _log.warning("stream to %s failed: %r", self.host, errors.exceptions)
        finally:
            was_connected = self._is_connected
            self._is_connected = False
            channel.close()
        if was_connected:
            log_event(_log, EventNumber.PEER_LOST, peer=self.host)

    async def _exchange(self, channel: RpcChannel) -> None:
        method: StreamStreamMethod[MemberFrame, ProbeResponse] = StreamStreamMethod(
            channel, EXCHANGE_PATH, MemberFrame, ProbeResponse
        )
        async with method.open() as stream:
            with anyio.fail_after(CONNECT_TIMEOUT_S), uncancel_on_connection_error():
                await stream.send_message(MemberFrame())
                await stream.recv_message()
            self._last_response_s = anyio.current_time()
            self._is_connected = True
            log_event(_log, EventNumber.PEER_CONNECTED, peer=self.host)
            self._send_election_frame()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_frames, stream)
                tasks.start_soon(self._receive_responses, stream)
                tasks.start_soon(self._send_probes)

    def _send_election_frame(self) -> None:
        frame, self._election_frame = self._election_frame, None
        age_s = anyio.current_time() - self._election_frame_s
        if frame is not None and age_s <= ELECTION_MESSAGE_LIFETIME_S:
            self.send(frame)

    async def _send_frames(self, stream: Stream[MemberFrame, ProbeResponse]) -> None:
        pending_parts: deque[MemberFrame] = deque()
        while True:
            if not pending_parts:
                frame = await self._queue_receiver.receive()
            else:
                # Send queued frames between the parts, so that a large snapshot
                # doesn't delay heartbeats.
                await stream.send_message(pending_parts.popleft())
                try:
                    frame = self._queue_receiver.receive_nowait()
                except anyio.WouldBlock:
                    continue
            parts = split_frame(frame)
            if len(parts) == 1:
                await stream.send_message(frame)
            elif not pending_parts:
                # While a snapshot is being sent, a further one is a duplicate.
                pending_parts.extend(parts)

    async def _receive_responses(
        self, stream: Stream[MemberFrame, ProbeResponse]
    ) -> None:
        while await stream.recv_message() is not None:
            self._last_response_s = anyio.current_time()
        raise StreamTerminatedError("the peer closed the stream")

    async def _send_probes(self) -> None:
        while anyio.current_time() < self._last_response_s + SILENCE_TIMEOUT_S:
            self.send(MemberFrame())
            await anyio.sleep(PROBE_INTERVAL_S)
        raise TimeoutError("no response to probes")


class ControlGroupService:
    """
    The gRPC service for the incoming streams of the other members.

    Parameters
    ----------
    deliver : callable
        Called with the recipient and the message of each frame.
    """

    def __init__(self, deliver: Callable[[str, AnyMessage], None]) -> None:
        self._deliver = deliver

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self._exchange, Cardinality.STREAM_STREAM, MemberFrame, ProbeResponse
        )
        return {EXCHANGE_PATH: handler}

    async def _exchange(self, stream: ServerStream[Any, Any]) -> None:
        assembler = FrameAssembler()
        with anyio.move_on_after(SERVER_IDLE_TIMEOUT_S) as idle_scope:
            while (received := await stream.recv_message()) is not None:
                idle_scope.deadline = anyio.current_time() + SERVER_IDLE_TIMEOUT_S
                frame = assembler.add(received)
                if frame is None:
                    continue
                if frame.message is None:
                    await stream.send_message(ProbeResponse())
                else:
                    self._deliver(frame.recipient, frame.message)
