"""Peer RPC over loopback: epoch conflicts, failed streams and silent connections."""

import anyio
import pytest
from grpclib.server import Server
from tests.fakes import FakeControl, profile, rate_request

from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.ports import StreamFailed
from damaskridge.adapters.rpc.peer_channels import PeerChannels
from damaskridge.adapters.rpc.peer_client import CellClient, FrontClient, RateClient
from damaskridge.adapters.rpc.peer_messages import ActiveKey
from damaskridge.adapters.rpc.peer_server import PeerService
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import Placement, RateGrant


class FakeOwners:
    async def reserve(self, request):
        return RateGrant(request_id=request.request_id, epoch=1, valid_for_s=1.0)

    async def submit(self, item):
        return Placement(request_id=item.request_id, attempt=1, epoch=1)

    async def take_over(self, take_over):
        raise AssertionError("not called")


class FakeFront:
    def active_requests(self, resource):
        return ()

    def active_keys(self, workspace):
        return (ActiveKey("r1", "k", "d"),)

    async def stream_local(self, request_id, workspace, offset):
        yield DecodeChunk(offset, "x")
        raise StreamFailed(Failure(ErrorKind.CANCELLED))

    def handle_take_over(self, request_id):
        return None


async def run_with_peer_server(scenario):
    owners = FakeOwners()
    service = PeerService(incarnation=7, rates=owners, cells=owners, front=FakeFront())
    server = Server([service], codec=MsgpackCodec())
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    control = FakeControl("h2", f"127.0.0.1:{port}")
    channels = PeerChannels()
    try:
        await scenario(control, channels)
    finally:
        channels.close()
        server.close()
        await server.wait_closed()


def test_calls_reach_the_owner_and_streams_end_with_their_failure():
    async def scenario(control, channels):
        control.own("workspace/w", host="h2")
        control.own("cell/chat", host="h2")
        rates = RateClient("h1", control, channels, None)
        cells = CellClient("h1", control, channels, None)
        fronts = FrontClient("h1", 1, control, channels)
        assert (await rates.reserve(rate_request())).valid_for_s == 1.0
        conflict = await rates.reserve(rate_request(epoch=9))
        assert conflict.failure.kind is ErrorKind.EPOCH_CONFLICT
        assert isinstance(await cells.submit(profile()), Placement)
        keys = await fronts.active_keys("h2", "w")
        assert keys.ok_value == (ActiveKey("r1", "k", "d"),)
        chunks = []
        with pytest.raises(StreamFailed, match="cancelled"):
            async for chunk in fronts.resume_stream("h2", "r1", "w", 4):
                chunks.append(chunk)
        assert chunks == [DecodeChunk(4, "x")]

    anyio.run(run_with_peer_server, scenario)


def test_silent_connection_is_replaced_and_its_calls_fail():
    async def main():
        accepted = []

        async def read_nothing(stream):
            accepted.append(stream)
            await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        control = FakeControl("h2", f"127.0.0.1:{port}")
        control.own("cell/chat", host="h2")
        channels = PeerChannels()
        cells = CellClient("h1", control, channels, None)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, read_nothing)
            group.start_soon(channels.run)
            for _ in range(2):
                response = await cells.submit(profile())
                assert response.failure.kind is ErrorKind.OWNER_UNAVAILABLE
            assert len(accepted) == 2
            group.cancel_scope.cancel()
        channels.close()

    anyio.run(main)
