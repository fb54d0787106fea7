"""Silent streams must be replaced, and large snapshots must not block heartbeats."""

import random

import anyio
from grpclib.server import Server

from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.rpc import control_group
from damaskridge.adapters.rpc.control_group import (
    ControlGroupService,
    MemberFrame,
    MemberStream,
)
from damaskridge.model.consensus import (
    InstallSnapshot,
    Membership,
    Snapshot,
    TimeoutNow,
)


class FreezableRelay:
    """
    A TCP relay that can stop forwarding on open connections without closing them.

    Connections up to number `frozen_connections` are silent.
    """

    def __init__(self, port: int) -> None:
        self.port, self.connection_count, self.frozen_connections = port, 0, 0

    async def serve(self, client) -> None:
        self.connection_count += 1
        number = self.connection_count
        server = await anyio.connect_tcp("127.0.0.1", self.port)
        async with client, server, anyio.create_task_group() as tasks:
            tasks.start_soon(self.forward, number, client, server)
            await self.forward(number, server, client)
            tasks.cancel_scope.cancel()

    async def forward(self, number: int, source, sink) -> None:
        try:
            async for data in source:
                if number > self.frozen_connections:
                    await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


async def check_silent_stream_is_replaced() -> None:
    received: list[int] = []
    service = ControlGroupService(
        lambda recipient, message: received.append(message.term)
    )
    server = Server([service], codec=MsgpackCodec())
    await server.start("127.0.0.1", 0)
    relay = FreezableRelay(server._server.sockets[0].getsockname()[1])
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    member_stream = MemberStream("c2", f"127.0.0.1:{port}", random.Random(1))

    async def send_until_received(term: int) -> None:
        with anyio.fail_after(30):
            while term not in received:
                member_stream.send(
                    MemberFrame("c2#1", TimeoutNow(sender="c1#1", term=term))
                )
                await anyio.sleep(0.02)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, relay.serve)
        tasks.start_soon(member_stream.run)
        await send_until_received(1)
        relay.frozen_connections = relay.connection_count
        await send_until_received(2)
        assert relay.connection_count > relay.frozen_connections
        tasks.cancel_scope.cancel()
    await listener.aclose()
    server.close()
    await server.wait_closed()


def test_large_snapshot_is_split_and_heartbeats_pass_between_its_parts():
    state = random.Random(1).randbytes(3 * control_group.MAX_PART_BYTES)
    snapshot = Snapshot(7, 2, Membership(("a",)), state)
    message = InstallSnapshot(sender="a", term=2, snapshot=snapshot, round=1)
    frame = control_group.MemberFrame("b", message)
    parts = control_group.split_frame(frame)
    size_bytes = [len(MsgpackCodec().encode(part, MemberFrame)) for part in parts]
    assert len(parts) > 3 and max(size_bytes) < control_group.MAX_PART_BYTES + 100
    assembler, heartbeat = control_group.FrameAssembler(), MemberFrame()
    for part in parts[:-1]:
        assert assembler.add(part) is None and assembler.add(heartbeat) is heartbeat
    assert assembler.add(parts[-1]) == frame
    assert control_group.split_frame(heartbeat) == [heartbeat]


def test_silent_stream_is_replaced():
    anyio.run(check_silent_stream_is_replaced)
