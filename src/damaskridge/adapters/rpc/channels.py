"""Channels to other processes of the system."""

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

from damaskridge.adapters.codec import MsgpackCodec

__all__ = ["RpcChannel"]


class RpcChannel(Channel):
    """
    A grpclib channel that reports a connection that is lost as soon as it is open.

    grpclib fails with `AttributeError` on such a connection, which no caller expects of
    a lost connection, so that the process would end.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, codec=MsgpackCodec())

    async def __connect__(self) -> H2Protocol:
        """Return an open connection; raises `ConnectionResetError` if it is lost."""
        protocol = await super().__connect__()
        if protocol.processor.connection.is_closing():
            raise ConnectionResetError("the connection was lost at once")
        return protocol
