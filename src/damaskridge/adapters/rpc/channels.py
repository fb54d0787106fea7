"""A grpclib channel that copes with connections lost during connection setup."""

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

from damaskridge.adapters.codec import MsgpackCodec

__all__ = ["RpcChannel"]


class RpcChannel(Channel):
    """
    A grpclib channel that raises an `OSError` if a new connection is lost at once.

    grpclib raises `AttributeError` for such a connection. Callers don't handle that as
    a connection error, so it would end the process.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        Its TCP port.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, codec=MsgpackCodec())

    async def __connect__(self) -> H2Protocol:
        """Return an open connection; raise `ConnectionResetError` if it was lost."""
        protocol = await super().__connect__()
        if protocol.processor.connection.is_closing():
            raise ConnectionResetError("connection lost during setup")
        return protocol
