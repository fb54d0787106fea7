"""Idle connections to backend servers, kept by address and instance."""

import asyncio
from collections import defaultdict

from damaskridge.adapters.gateway.connections import BackendConnection, open_connection
from damaskridge.model.gateway import BackendInstance

__all__ = ["ConnectionPool"]

# Where a server does not say how long it keeps an idle connection.
KEEP_ALIVE_S = 2.0
# A request that crosses the server's close is lost, so that a connection is given up
# this much before the server would close it.
KEEP_ALIVE_MARGIN_S = 0.7
# A connection that has been idle for longer may have gone silent.
LONGEST_IDLE_S = 4.0


class ConnectionPool:
    """Opens connections and keeps those that may be used again."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, str], list[BackendConnection]] = defaultdict(list)

    async def take(
        self, instance: BackendInstance, connect_s: float, *, fresh: bool = False
    ) -> BackendConnection:
        """
        Return an idle connection, or a new one; raises `ConnectionBroken`.

        `fresh` asks for a new one, because a request that must not be repeated is
        lost on a connection that has gone silent.
        """
        key = (instance.address, instance.instance)
        while self._idle[key] and not fresh:
            connection = self._idle[key].pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return await open_connection(instance.address, connect_s)

    def give_back(
        self, instance: BackendInstance, connection: BackendConnection
    ) -> None:
        """Keep a connection if its last answer was whole, else close it."""
        if self._is_usable(connection):
            self._idle[instance.address, instance.instance].append(connection)
        else:
            connection.close()

    def close_idle(self, instance: BackendInstance) -> None:
        """Close the idle connections of an instance."""
        for connection in self._idle.pop((instance.address, instance.instance), []):
            connection.close()

    def prune(self) -> None:
        """Close connections that are too old to be used; call it regularly."""
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

    @staticmethod
    def _is_usable(connection: BackendConnection) -> bool:
        kept_s = connection.keep_alive_s
        limit_s = KEEP_ALIVE_S if kept_s is None else kept_s - KEEP_ALIVE_MARGIN_S
        age_s = asyncio.get_running_loop().time() - connection.idle_since_s
        return connection.is_reusable and age_s < min(limit_s, LONGEST_IDLE_S)
