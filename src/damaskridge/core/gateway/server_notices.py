"""Notices that instances attach to their responses: that they leave, or need a pause.

An instance that is shutting down announces it before the list of backend servers shows
it, and an instance that refuses requests may ask for a pause. Respecting both avoids
failed requests during planned replacements under load, and relieves servers that are
overloaded by all hosts together.

>>> notices = ServerNotices()
>>> notices.record_pause("a", until_s=12.0)
>>> notices.remaining_pause_s("a", now_s=10.5)
1.5
>>> notices.remaining_pause_s("b", now_s=10.5)
0.0
"""

from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance, InstanceId

__all__ = ["ServerNotices"]


class ServerNotices:
    """The instances that leave or are paused, as known to one host."""

    def __init__(self) -> None:
        self._leaving: dict[str, InstanceId] = {}
        self._paused_until_s: dict[str, float] = {}

    def record_leaving(self, item: BackendInstance) -> bool:
        """Record that a listed instance leaves; return `False` if it was known."""
        return self.add(item.instance_id)

    def add(self, notice: InstanceId) -> bool:
        """Record the run of an instance that leaves; return `False` if it was known."""
        is_new = self._leaving.get(notice.instance) != notice
        self._leaving[notice.instance] = notice
        return is_new

    def has_announced_leaving(self, item: BackendInstance) -> bool:
        """Tell whether this run of the instance has announced that it leaves."""
        return self._leaving.get(item.instance) == item.instance_id

    def leaving(self) -> tuple[InstanceId, ...]:
        """Return the runs of instances that have announced that they leave."""
        return tuple(self._leaving.values())

    def record_pause(self, instance: str, until_s: float) -> None:
        """Record that an instance is paused; a later notice never shortens a pause."""
        known_s = self._paused_until_s.get(instance, until_s)
        self._paused_until_s[instance] = max(known_s, until_s)

    def remaining_pause_s(self, instance: str, now_s: float) -> float:
        """Return the time until an instance accepts requests; 0 if it isn't paused."""
        return max(0.0, self._paused_until_s.get(instance, now_s) - now_s)

    def retain_only(self, listed: Iterable[BackendInstance]) -> None:
        """Drop the notices of instances that are no longer listed or have restarted."""
        present = {item.instance: item.instance_id for item in listed}
        self._leaving = {
            name: notice
            for name, notice in self._leaving.items()
            if present.get(name) == notice
        }
        self._paused_until_s = {
            name: until_s
            for name, until_s in self._paused_until_s.items()
            if name in present
        }
