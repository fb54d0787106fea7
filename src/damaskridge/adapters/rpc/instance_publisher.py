"""Reads the list of backend servers on the leader and sends it to all entry hosts."""

import logging
import secrets
from collections.abc import Callable
from typing import Protocol

import anyio
import msgspec
from result import Err, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.instance_replication import InstanceListDiffer
from damaskridge.core.gateway.server_notices import ServerNotices
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance, InstanceList

__all__ = ["InstanceListReader", "InstancePublisher"]

# A leaving server must get no requests from three seconds after the list shows that it
# leaves. This period allows for one failed read and for the delay to the hosts.
READ_PERIOD_S = 0.8
# Hosts use no engine of a new version before the first reading of a new leader.
LEADER_POLL_S = 0.1

AdjustInstances = Callable[[tuple[BackendInstance, ...]], tuple[BackendInstance, ...]]

_log = logging.getLogger("damaskridge.instances")


class InstanceListReader(Protocol):
    """Reads the list of backend servers."""

    async def read(self) -> Result[InstanceList, str]:
        """Return all usable entries, or the reason why the list cannot be read."""
        ...


class InstancePublisher:
    """
    Polls the list and publishes its changes, while this host is the leader.

    Parameters
    ----------
    reader : InstanceListReader
        Reads the list.
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    adjust_instances : callable
        Returns the entries to publish for the entries that were read.
    on_read : callable
        Called with each reading of the list before it is published.

    Attributes
    ----------
    notices : ServerNotices
        Reports of entry hosts that instances are leaving.
    """

    def __init__(
        self,
        reader: InstanceListReader,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        adjust_instances: AdjustInstances = tuple,
        on_read: Callable[[InstanceList], None] = lambda listed: None,
    ) -> None:
        self._on_read = on_read
        self._adjust_instances = adjust_instances
        self.notices = ServerNotices()
        self._reader = reader
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._list_differ: InstanceListDiffer | None = None
        self._last_instances: tuple[BackendInstance, ...] = ()
        self._published: tuple[BackendInstance, ...] = ()
        self._read_failed = False
        self._begun = anyio.Event()

    @property
    def instances(self) -> tuple[BackendInstance, ...]:
        """The entries of the last reading."""
        return self._last_instances

    @property
    def published(self) -> tuple[BackendInstance, ...]:
        """The entries as they were published last."""
        return self._published

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send all entries to a new subscriber."""
        snapshot = (
            self._list_differ.snapshot() if self._list_differ is not None else None
        )
        if snapshot is not None:
            subscriber.push(snapshot)

    def begin(self) -> None:
        """Read the list without delay, as this host has become the leader."""
        self._begun.set()

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            self._begun = anyio.Event()
            if self._is_leading():
                await self._read()
                await anyio.sleep(READ_PERIOD_S)
            else:
                self._list_differ = None
                with anyio.move_on_after(LEADER_POLL_S):
                    await self._begun.wait()

    async def _read(self) -> None:
        read_result = await self._reader.read()
        if isinstance(read_result, Err):
            if not self._read_failed:
                log_event(
                    _log, EventNumber.INSTANCE_LIST_FAILED, reason=read_result.err_value
                )
            self._read_failed = True
            return
        self._read_failed = False
        if not self._is_leading():
            return
        if self._list_differ is None:
            self._list_differ = InstanceListDiffer(secrets.token_hex(4))
        self._last_instances = read_result.ok_value.instances
        self._on_read(read_result.ok_value)
        self.notices.retain_only(self._last_instances)
        self._publish_update(self._list_differ)

    def republish(self) -> None:
        """Publish the last entries again, after the result of adjusting has changed."""
        if self._list_differ is not None and self._is_leading():
            self._publish_update(self._list_differ)

    def _publish_update(self, list_differ: InstanceListDiffer) -> None:
        listed = tuple(map(self._apply_leave_notice, self._last_instances))
        published = self._published = self._adjust_instances(listed)
        update = list_differ.add(published, is_partial=len(published) < len(listed))
        self._subscribers.broadcast(update)
        if update.changed or update.removed:
            log_event(
                _log,
                EventNumber.INSTANCES_CHANGED,
                revision=update.revision,
                changed=[item.instance for item in update.changed],
                removed=update.removed,
                source=update.source,
            )

    def _apply_leave_notice(self, item: BackendInstance) -> BackendInstance:
        """Mark an instance as leaving if a host has reported it before the list."""
        if item.is_leaving or not self.notices.has_announced_leaving(item):
            return item
        return msgspec.structs.replace(item, is_leaving=True)
