"""Probes the other entry hosts while no leader tells which of them are gone."""

import random
from collections.abc import Callable, Sequence

import anyio

from damaskridge.adapters.gateway.connections import NotSent, open_connection
from damaskridge.core.gateway.host_presence import HostPresence
from damaskridge.model.control import Session

__all__ = ["HostProbes"]

PROBE_PERIOD_S = 1.0
# A live host accepts a connection within milliseconds.
PROBE_TIMEOUT_S = 0.5
# Limits the connections that a large fleet opens.
MAX_PROBES = 64


class HostProbes:
    """
    Connects to the callers' addresses of the hosts that callers may be sent to.

    Parameters
    ----------
    presence : HostPresence
        Decides when to probe, and keeps the results.
    sessions : callable
        Returns the sessions of the other hosts.
    """

    def __init__(
        self, presence: HostPresence, sessions: Callable[[], Sequence[Session]]
    ) -> None:
        self._presence = presence
        self._sessions = sessions

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            if self._presence.must_probe(anyio.current_time()):
                await self._probe_all()
            else:
                self._presence.clear()
            await anyio.sleep(PROBE_PERIOD_S * random.uniform(0.8, 1.0))

    async def _probe_all(self) -> None:
        sessions = self._sessions()
        chosen = random.sample(sessions, min(MAX_PROBES, len(sessions)))
        async with anyio.create_task_group() as group:
            for session in chosen:
                group.start_soon(self._probe, session)

    async def _probe(self, session: Session) -> None:
        try:
            connection = await open_connection(session.caller_address, PROBE_TIMEOUT_S)
        except NotSent:
            is_present = False
        else:
            connection.close()
            is_present = True
        self._presence.record_probe(session.host, is_present=is_present)
