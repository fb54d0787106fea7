"""A connection that is lost during connection setup must not end the process.

grpclib raises `AttributeError` for such a connection instead of an `OSError`.
"""

import asyncio

import pytest
from grpclib.client import UnaryUnaryMethod
from grpclib.server import Server

from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.rpc import channels


class ChannelLosingConnection(channels.RpcChannel):
    """Loses its connection before the caller that waits for it resumes."""

    async def _create_connection(self):
        protocol = await super()._create_connection()
        protocol.connection_lost(ConnectionResetError())
        return protocol


def test_connection_lost_during_setup_raises_connection_reset_error():
    async def main():
        server = Server([], codec=MsgpackCodec())
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        channel = ChannelLosingConnection("127.0.0.1", port)
        call = UnaryUnaryMethod(channel, "/service/Method", bytes, bytes)
        with pytest.raises(ConnectionResetError):
            await call(b"")
        channel.close()
        server.close()
        await server.wait_closed()

    asyncio.run(main())
