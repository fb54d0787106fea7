"""Reads the list of backend servers on an entry host while no leader sends it."""

import logging
import random
from collections.abc import Callable

import anyio
from result import Err

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.instance_publisher import InstanceListReader
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import InstanceList

__all__ = ["ListRefresh"]

# A leader sends the list every 0.8 s and is replaced within a second. If no leader
# confirms the list for this long, the host reads it from its source.
LIST_STALE_S = 1.4
CHECK_PERIOD_S = 0.2
# Spreads the reads of hosts that have lost the same leader.
READ_JITTER = 0.2
# Share of the permitted calls that hosts use while no leader sends the list. The rest
# is for the reads of leaders, and for hosts that are not counted.
CALL_SHARE = 0.5

logger = logging.getLogger(__name__)


class ListRefresh:
    """
    Keeps a replica of the list current without a leader.

    Parameters
    ----------
    reader : InstanceListReader
        Reads the list from its source.
    replica : InstanceListReplica
        The host's replica, which also says when the leader has confirmed it.
    calls_per_s : float
        Limit of calls to the source, over all hosts together.
    host_count : callable
        Returns the number of hosts.
    on_read : callable
        Called with the reading after the replica was replaced.
    """

    def __init__(
        self,
        reader: InstanceListReader,
        replica: InstanceListReplica,
        *,
        calls_per_s: float,
        host_count: Callable[[], int],
        on_read: Callable[[InstanceList], None],
    ) -> None:
        self._reader = reader
        self._replica = replica
        self._calls_per_s = calls_per_s
        self._host_count = host_count
        self._on_read = on_read
        self._calls_per_read = 1

    async def run(self) -> None:
        """Read the list whenever it is too old, until cancelled."""
        last_read_s = float("-inf")
        jitter = random.uniform(1.0, 1.0 + READ_JITTER)
        while True:
            confirmed_s = max(self._replica.confirmed_s, last_read_s)
            now_s = anyio.current_time()
            if now_s - confirmed_s > jitter * self._read_interval_s():
                last_read_s = now_s
                jitter = random.uniform(1.0, 1.0 + READ_JITTER)
                await self.read()
            await anyio.sleep(CHECK_PERIOD_S)

    async def read(self) -> None:
        """Read the list once and replace the replica."""
        started_s = anyio.current_time()
        listed = await self._reader.read()
        if isinstance(listed, Err):
            log_event(logger, EventNumber.INSTANCE_LIST_FAILED, reason=listed.err_value)
            return
        self._calls_per_read = listed.ok_value.calls
        # A server may have begun to leave since the read was started.
        self._replica.replace(listed.ok_value.instances, started_s)
        self._on_read(listed.ok_value)

    def _read_interval_s(self) -> float:
        """Return the time between two reads, so that all hosts keep to the limit."""
        calls_per_s = CALL_SHARE * self._calls_per_s
        return max(
            LIST_STALE_S, self._host_count() * self._calls_per_read / calls_per_s
        )
