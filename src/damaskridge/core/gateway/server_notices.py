"""What backend servers have asked of this host in their answers.

A server that leaves says so before the list of backend servers shows it, and a server
that turns requests away may ask for a pause. Load answered: planned replacements under
load, and servers that are overloaded by all hosts together.

>>> notices = ServerNotices()
>>> notices.record_pause("a", until_s=12.0)
>>> notices.remaining_pause_s("a", now_s=10.5)
1.5
>>> notices.remaining_pause_s("b", now_s=10.5)
0.0
"""

from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance, ServerStart

__all__ = ["ServerNotices"]


class ServerNotices:
    """Requests of servers to be left alone, for good or for a while."""

    def __init__(self) -> None:
        self._leaving: dict[str, ServerStart] = {}
        self._paused_until_s: dict[str, float] = {}

    def record_leaving(self, item: BackendInstance) -> bool:
        """Note that an instance leaves; `False` if that was known."""
        return self.add(item.start)

    def add(self, notice: ServerStart) -> bool:
        """Take over a notice of another host; `False` if it was known."""
        is_new = self._leaving.get(notice.instance) != notice
        self._leaving[notice.instance] = notice
        return is_new

    def has_announced_leaving(self, item: BackendInstance) -> bool:
        """Tell whether this start of an instance has said that it leaves."""
        return self._leaving.get(item.instance) == item.start

    def leaving(self) -> tuple[ServerStart, ...]:
        """Return all instances that said that they leave."""
        return tuple(self._leaving.values())

    def record_pause(self, instance: str, until_s: float) -> None:
        """Note that an instance wants nothing until then; a pause never shrinks."""
        known_s = self._paused_until_s.get(instance, until_s)
        self._paused_until_s[instance] = max(known_s, until_s)

    def remaining_pause_s(self, instance: str, now_s: float) -> float:
        """Return for how long an instance still wants nothing; 0 if it takes work."""
        return max(0.0, self._paused_until_s.get(instance, now_s) - now_s)

    def retain_only(self, listed: Iterable[BackendInstance]) -> None:
        """Drop notices of instances that are gone or have started anew."""
        present = {item.instance: item.start for item in listed}
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
