"""A pool of idle connections to backend servers, by address and instance."""

import asyncio
from collections import defaultdict

from damaskridge.adapters.gateway.connections import (
    BackendConnection,
    NotSent,
    open_connection,
)
from damaskridge.adapters.gateway.server_probes import ServerProbes
from damaskridge.core.gateway.buffer_budget import BufferBudget
from damaskridge.model.gateway import BackendInstance

__all__ = ["ConnectionPool"]

# Used if a server does not announce how long it keeps idle connections.
DEFAULT_KEEP_ALIVE_S = 2.0
# A request that is sent while the server closes the connection is lost, so a connection
# is retired this long before the server would close it.
KEEP_ALIVE_MARGIN_S = 0.7
# A connection that has been idle for longer may be dead without notice.
MAX_IDLE_S = 4.0
# Limit of all response bodies that are buffered at one time, a tenth of the memory of
# the smallest machines.
MAX_BUFFERED_BYTES = 16_777_216


class ConnectionPool:
    """
    Opens connections to backend servers and keeps the reusable ones.

    Parameters
    ----------
    probes : ServerProbes or None
        Is told which servers accept connections, and which fail.
    """

    def __init__(self, probes: ServerProbes | None = None) -> None:
        self._probes = probes
        self._budget = BufferBudget(MAX_BUFFERED_BYTES)
        self._idle: dict[tuple[str, str], list[BackendConnection]] = defaultdict(list)

    async def acquire(
        self,
        instance: BackendInstance,
        connect_timeout_s: float,
        *,
        fresh: bool = False,
    ) -> BackendConnection:
        """
        Return an idle connection, or open a new one.

        Parameters
        ----------
        instance : BackendInstance
            The instance to connect to.
        connect_timeout_s : float
            Time limit for establishing a new connection.
        fresh : bool
            Whether to open a new connection in any case. A request that must run at
            most once cannot be retried if an idle connection turns out to be dead.

        Raises
        ------
        NotSent
            The connection could not be established.
        """
        key = (instance.address, instance.instance)
        while self._idle[key] and not fresh:
            connection = self._idle[key].pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return await self._open(instance, connect_timeout_s)

    def record_response(self) -> None:
        """Record that a server has responded."""
        if self._probes is not None:
            self._probes.record_response()

    def record_silence(self) -> None:
        """Record that a server did not respond in time."""
        if self._probes is not None:
            self._probes.record_failure()

    def release(self, instance: BackendInstance, connection: BackendConnection) -> None:
        """Keep a connection if it is reusable, else close it."""
        if self._is_usable(connection):
            self._idle[instance.address, instance.instance].append(connection)
        else:
            connection.close()

    def close_idle(self, instance: BackendInstance) -> None:
        """Close the idle connections of an instance."""
        for connection in self._idle.pop((instance.address, instance.instance), []):
            connection.close()

    def prune(self) -> None:
        """Close connections that are no longer usable; to be called periodically."""
        for key, connections in list(self._idle.items()):
            usable = [item for item in connections if self._is_usable(item)]
            for connection in connections:
                if connection not in usable:
                    connection.close()
            if usable:
                self._idle[key] = usable
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _open(
        self, instance: BackendInstance, connect_timeout_s: float
    ) -> BackendConnection:
        try:
            connection = await open_connection(
                instance.address, connect_timeout_s, self._budget
            )
        except NotSent:
            self._record_connect(accepted=False)
            raise
        self._record_connect(accepted=True)
        return connection

    def _record_connect(self, *, accepted: bool) -> None:
        if self._probes is not None:
            self._probes.record_connect(accepted=accepted)

    @staticmethod
    def _is_usable(connection: BackendConnection) -> bool:
        keep_alive_s = connection.keep_alive_s
        limit_s = (
            DEFAULT_KEEP_ALIVE_S
            if keep_alive_s is None
            else keep_alive_s - KEEP_ALIVE_MARGIN_S
        )
        idle_s = asyncio.get_running_loop().time() - connection.idle_since_s
        return connection.is_reusable and idle_s < min(limit_s, MAX_IDLE_S)
