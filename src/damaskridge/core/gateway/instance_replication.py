"""Replication of the list of backend servers from the leader to the entry hosts.

The leader reads the list for the whole fleet. The other hosts hold replicas that are
updated by differences and replaced completely after a gap.
"""

from collections.abc import Iterable

from damaskridge.model.follow import InstancesSeen
from damaskridge.model.gateway import BackendInstance

__all__ = ["InstanceListDiffer", "InstanceListReplica"]


class InstanceListDiffer:
    """
    Converts successive readings of the list into numbered differences.

    Parameters
    ----------
    source : str
        Identifier of the reader; unique for each time that it begins to read, because
        revisions start again.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._revision = 0
        self._items: dict[str, BackendInstance] = {}
        self._is_partial = False

    def add(
        self, instances: Iterable[BackendInstance], *, is_partial: bool = False
    ) -> InstancesSeen:
        """
        Return the difference between this reading and the previous one.

        Parameters
        ----------
        instances : iterable of BackendInstance
            The entries to publish.
        is_partial : bool
            Whether entries that were read are left out.
        """
        items = {item.instance: item for item in instances}
        changed = tuple(
            item for name, item in items.items() if self._items.get(name) != item
        )
        removed = tuple(name for name in self._items if name not in items)
        base = self._revision
        self._items = items
        self._is_partial = is_partial
        if changed or removed or not base:
            self._revision += 1
        return InstancesSeen(
            source=self._source,
            revision=self._revision,
            base_revision=base,
            changed=changed,
            removed=removed,
            is_partial=is_partial,
        )

    def snapshot(self) -> InstancesSeen | None:
        """Return the complete list as a message, or None before the first reading."""
        if not self._revision:
            return None
        return InstancesSeen(
            source=self._source,
            revision=self._revision,
            changed=tuple(self._items.values()),
            is_partial=self._is_partial,
        )


class InstanceListReplica:
    """
    A host's replica of the list.

    Attributes
    ----------
    confirmed_s : float
        When the replica was last known to match the list.
    is_complete : bool
        Whether the replica holds all entries of the list.
    """

    def __init__(self) -> None:
        self._source = ""
        self._revision = 0
        self._items: dict[str, BackendInstance] = {}
        self._published_versions: set[tuple[str, str]] = set()
        # A reading by this host itself. Kept separately, so that the next difference of
        # the leader still applies.
        self._own_listing: tuple[BackendInstance, ...] | None = None
        self.confirmed_s = float("-inf")
        self.is_complete = False

    @property
    def items(self) -> tuple[BackendInstance, ...]:
        """Return every entry."""
        return (
            tuple(self._items.values())
            if self._own_listing is None
            else self._own_listing
        )

    def apply(self, message: InstancesSeen, now_s: float) -> bool:
        """Apply a message; return `False` if its base revision is missing."""
        if message.base_revision:
            known = (self._source, self._revision)
            if known != (message.source, message.base_revision):
                return False
        else:
            self._items = {}
        self._source, self._revision = message.source, message.revision
        self._items.update({item.instance: item for item in message.changed})
        for name in message.removed:
            self._items.pop(name, None)
        self._published_versions = set(map(_version_of, self._items.values()))
        self._own_listing = None
        self.confirmed_s = now_s
        self.is_complete = not message.is_partial
        return True

    def has_published(self, instance: BackendInstance) -> bool:
        """
        Return whether the leader lists the service at the instance's version.

        A leader of a build that knows no versions lists the service without one.
        """
        published = self._published_versions
        without_version = instance.service, ""
        return _version_of(instance) in published or without_version in published

    def replace(self, instances: Iterable[BackendInstance], now_s: float) -> None:
        """Use a list read by this host itself until the leader's next message."""
        self._own_listing = tuple(instances)
        self.confirmed_s = now_s
        self.is_complete = True


def _version_of(instance: BackendInstance) -> tuple[str, str]:
    return instance.service, instance.software_version
