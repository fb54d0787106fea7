"""Reads the list of backend servers on the leader and hands it to all hosts."""

import logging
import secrets
from collections.abc import Callable
from typing import Protocol

import anyio
import msgspec
from result import Err, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.followers import Follower, FollowerSet
from damaskridge.core.gateway.instance_replication import InstanceListDiffer
from damaskridge.core.gateway.server_notices import ServerNotices
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance, InstanceList

__all__ = ["InstanceListReader", "InstancePublisher"]

# A server that leaves may get no request three seconds after the list shows it. One
# reading, its way to the hosts and one lost reading fit in.
READ_PERIOD_S = 0.8

Adjust = Callable[[tuple[BackendInstance, ...]], tuple[BackendInstance, ...]]

_log = logging.getLogger("damaskridge.instances")


class InstanceListReader(Protocol):
    """The list of backend servers."""

    async def read(self) -> Result[InstanceList, str]:
        """Return every usable entry, or why the list could not be read."""
        ...


class InstancePublisher:
    """
    Reads while this host leads.

    Parameters
    ----------
    reader : InstanceListReader
        The list.
    followers : FollowerSet
        The open streams of the hosts.
    leads : callable
        Whether this host leads.
    adjust : callable
        Changes what is handed on of a reading.

    Attributes
    ----------
    notices : ServerNotices
        What hosts have reported of servers that leave.
    """

    def __init__(
        self,
        reader: InstanceListReader,
        followers: FollowerSet,
        leads: Callable[[], bool],
        adjust: Adjust = tuple,
    ) -> None:
        self._adjust = adjust
        self.notices = ServerNotices()
        self._reader = reader
        self._followers = followers
        self._leads = leads
        self._readings: InstanceListDiffer | None = None
        self._listed: tuple[BackendInstance, ...] = ()
        self._failed = False

    def greet(self, follower: Follower) -> None:
        """Send a new stream all entries."""
        snapshot = self._readings.snapshot() if self._readings is not None else None
        if snapshot is not None:
            follower.push(snapshot)

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if self._leads():
                await self._read()
            else:
                self._readings = None
            await anyio.sleep(READ_PERIOD_S)

    async def _read(self) -> None:
        listed = await self._reader.read()
        if isinstance(listed, Err):
            if not self._failed:
                log_event(
                    _log, EventNumber.INSTANCE_LIST_FAILED, reason=listed.err_value
                )
            self._failed = True
            return
        self._failed = False
        if not self._leads():
            return
        if self._readings is None:
            self._readings = InstanceListDiffer(secrets.token_hex(4))
        self._listed = listed.ok_value.instances
        self.notices.retain_only(self._listed)
        self._notify(self._readings)

    def publish_again(self) -> None:
        """Hand the last reading on again, after what is changed in it has changed."""
        if self._readings is not None and self._leads():
            self._notify(self._readings)

    def _notify(self, readings: InstanceListDiffer) -> None:
        instances = tuple(map(self._with_notice, self._listed))
        seen = readings.add(self._adjust(instances))
        self._followers.notify(seen)
        if seen.changed or seen.removed:
            log_event(
                _log,
                EventNumber.INSTANCES_CHANGED,
                revision=seen.revision,
                changed=[item.instance for item in seen.changed],
                removed=seen.removed,
                source=seen.source,
            )

    def _with_notice(self, item: BackendInstance) -> BackendInstance:
        """Mark an instance that a host knows to be leaving before the list does."""
        if item.is_leaving or not self.notices.has_announced_leaving(item):
            return item
        return msgspec.structs.replace(item, is_leaving=True)
