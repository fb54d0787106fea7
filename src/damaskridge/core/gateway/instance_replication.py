"""Copies of the list of backend servers: what changed, and how old a copy is.

One host reads the list for the whole fleet. The others hold copies that are kept up to
date by differences and are replaced whole after a gap.
"""

from collections.abc import Iterable

from damaskridge.model.control import InstancesSeen
from damaskridge.model.gateway import BackendInstance

__all__ = ["InstanceListReplica", "InstanceListDiffer"]


class InstanceListDiffer:
    """
    The reader's side: turns readings of the list into differences.

    Parameters
    ----------
    source : str
        Name of the reader; a new one for each time that it starts to read.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._revision = 0
        self._items: dict[str, BackendInstance] = {}

    def add(self, instances: Iterable[BackendInstance]) -> InstancesSeen:
        """Return the difference between this reading and the last."""
        items = {item.instance: item for item in instances}
        changed = tuple(
            item for name, item in items.items() if self._items.get(name) != item
        )
        removed = tuple(name for name in self._items if name not in items)
        base = self._revision
        self._items = items
        if changed or removed or not base:
            self._revision += 1
        return InstancesSeen(
            source=self._source,
            revision=self._revision,
            base_revision=base,
            changed=changed,
            removed=removed,
        )

    def snapshot(self) -> InstancesSeen | None:
        """Return all entries, or None before the first reading."""
        if not self._revision:
            return None
        return InstancesSeen(
            source=self._source,
            revision=self._revision,
            changed=tuple(self._items.values()),
        )


class InstanceListReplica:
    """
    A copy of the list.

    Attributes
    ----------
    confirmed_s : float
        When the list was last known to be as the copy says.
    """

    def __init__(self) -> None:
        self._source = ""
        self._revision = 0
        self._items: dict[str, BackendInstance] = {}
        # A reading of this host's own, which must not break the leader's sequence.
        self._own: tuple[BackendInstance, ...] | None = None
        self.confirmed_s = float("-inf")

    @property
    def items(self) -> tuple[BackendInstance, ...]:
        """Return every entry."""
        return tuple(self._items.values()) if self._own is None else self._own

    def apply(self, message: InstancesSeen, now_s: float) -> bool:
        """Apply a difference; `False` if what it leads on from is missing."""
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
        self._own = None
        self.confirmed_s = now_s
        return True

    def replace(self, instances: Iterable[BackendInstance], now_s: float) -> None:
        """Take over a reading of this host's own."""
        self._own = tuple(instances)
        self.confirmed_s = now_s
