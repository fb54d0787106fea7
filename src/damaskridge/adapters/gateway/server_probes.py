"""Finds out whether this host is partitioned from all backend servers."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterator

from damaskridge.adapters.gateway.connections import (
    ConnectLate,
    NotSent,
    open_connection,
)
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.server_reachability import (
    ServerReachability,
    probe_targets,
)
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance

__all__ = ["ServerProbes"]

# A live server accepts a connection within a few milliseconds.
PROBE_TIMEOUT_S = 0.2
CHECK_PERIOD_S = 0.1

logger = logging.getLogger(__name__)


class ServerProbes:
    """
    Connects to a few servers after a failure, and while the host is partitioned.

    Parameters
    ----------
    registry : InstanceRegistry
        The listed servers.
    rng : random.Random
        Chooses the servers to try.
    """

    def __init__(self, registry: InstanceRegistry, rng: random.Random) -> None:
        self._registry = registry
        self._rng = rng
        self._state = ServerReachability()
        self._task: asyncio.Task[None] | None = None
        self._round: asyncio.Task[None] | None = None
        self._partitioned_since_s = 0.0
        self._watchers: set[asyncio.Future[None]] = set()

    @property
    def is_partitioned(self) -> bool:
        """Whether no server accepted a connection when the host last tried."""
        return self._state.is_partitioned

    def record_connect(self, *, accepted: bool) -> None:
        """Record the result of a new connection to a server."""
        if not accepted:
            self.record_failure()
            return
        was_partitioned = self.is_partitioned
        self._state.record_connected(asyncio.get_running_loop().time())
        if was_partitioned:
            self._log_reached_again()

    def record_response(self) -> None:
        """Record that a server has responded."""
        self._state.record_response(asyncio.get_running_loop().time())

    def record_failure(self) -> None:
        """Record a failure of a server, and probe others if that is due."""
        self._state.record_failure()
        if self._task is None or self._task.done():
            now_s = asyncio.get_running_loop().time()
            if self._state.must_probe(now_s):
                self._begin_round()
                self._task = asyncio.ensure_future(self._probe_while_needed())

    async def settle(self) -> None:
        """Wait until it is known whether the host is partitioned."""
        if self._state.is_uncertain(asyncio.get_running_loop().time()):
            round_task = self._begin_round()
            await asyncio.wait({round_task})
            if self.is_partitioned and (self._task is None or self._task.done()):
                self._task = asyncio.ensure_future(self._probe_while_needed())

    @contextlib.contextmanager
    def watch(self) -> Iterator[asyncio.Future[None]]:
        """Provide a future that is done once the host is found to be partitioned."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._watchers.add(future)
        try:
            yield future
        finally:
            self._watchers.discard(future)
            future.cancel()

    def close(self) -> None:
        """Stop probing."""
        for task in (self._task, self._round):
            if task is not None:
                task.cancel()

    async def _probe_while_needed(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self._state.must_probe(loop.time()):
                await asyncio.wait({self._begin_round()})
            if not self.is_partitioned:
                return
            await asyncio.sleep(CHECK_PERIOD_S)

    def _begin_round(self) -> asyncio.Task[None]:
        """Start a round of probes, or return the one that is running."""
        if self._round is None or self._round.done():
            self._round = asyncio.ensure_future(self._probe_once())
        return self._round

    async def _probe_once(self) -> None:
        targets = probe_targets(self._registry.all(), self._rng)
        if not targets:
            self._state.record_connected(asyncio.get_running_loop().time())
            return
        results = await asyncio.gather(*map(self._accepts, targets))
        accepted = results.count(True)
        if not accepted and None in results:
            return
        now_s = asyncio.get_running_loop().time()
        was_partitioned = self.is_partitioned
        self._state.record_probes(accepted, now_s)
        if self.is_partitioned and not was_partitioned:
            self._partitioned_since_s = now_s
            log_event(
                logger,
                EventNumber.SERVERS_UNREACHABLE,
                servers=[item.instance for item in targets],
            )
            for future in self._watchers:
                if not future.done():
                    future.set_result(None)
        elif was_partitioned and not self.is_partitioned:
            self._log_reached_again()

    def _log_reached_again(self) -> None:
        duration_s = asyncio.get_running_loop().time() - self._partitioned_since_s
        log_event(
            logger,
            EventNumber.SERVERS_REACHED_AGAIN,
            partitioned_ms=round(duration_s * 1000),
        )

    async def _accepts(self, instance: BackendInstance) -> bool | None:
        """Tell whether a server accepts a connection; None if that isn't known."""
        try:
            connection = await open_connection(instance.address, PROBE_TIMEOUT_S)
        except ConnectLate:
            return None
        except NotSent:
            return False
        connection.close()
        return True
