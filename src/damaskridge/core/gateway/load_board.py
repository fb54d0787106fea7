"""Adds up what the entry hosts report of their load, and hands each the sum of others.

Placing and rates need to know what other hosts have in flight. Reports and sums are
sent at short intervals, and only what changed, so that no request waits for them. A
host that hears nothing goes on with what it last knew.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

from damaskridge.model.control import InstanceLoad, LoadSeen, ReportLoad

__all__ = ["LoadBoard"]


@dataclass(slots=True)
class _Member:
    """What one host has reported, and what it has not been told yet."""

    load: dict[str, InstanceLoad] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    usage: dict[str, float] = field(default_factory=dict)


class LoadBoard:
    """The reports of all hosts that are connected."""

    def __init__(self) -> None:
        self._members: dict[Hashable, _Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def join(self, member: Hashable) -> None:
        """Add a host; it is told everything that the others have in flight."""
        changed = {name for item in self._members.values() for name in item.load}
        self._members[member] = _Member(changed=changed)

    def leave(self, member: Hashable) -> None:
        """Remove a host with all that it had in flight."""
        left = self._members.pop(member, None)
        if left is not None:
            for other in self._members.values():
                other.changed |= left.load.keys()

    def report(self, member: Hashable, message: ReportLoad) -> None:
        """Take over what changed on a host."""
        reporter = self._members.get(member)
        if reporter is None:
            return
        reporter.load.update(message.load)
        for name, load in message.load.items():
            if load == InstanceLoad():
                del reporter.load[name]
        for other in self._members.values():
            if other is reporter:
                continue
            other.changed |= message.load.keys()
            for workspace, used in message.usage.items():
                other.usage[workspace] = other.usage.get(workspace, 0.0) + used

    def news(self, member: Hashable) -> LoadSeen | None:
        """Return what a host has not been told yet, or None."""
        reader = self._members.get(member)
        if reader is None or not (reader.changed or reader.usage):
            return None
        load = {name: self._others(reader, name) for name in reader.changed}
        usage, reader.usage = reader.usage, {}
        reader.changed = set()
        return LoadSeen(load=load, usage=usage)

    def total(self) -> dict[str, InstanceLoad]:
        """Return what all hosts together have in flight, by backend server."""
        names = {name for member in self._members.values() for name in member.load}
        everyone = list(self._members.values())
        return {name: _sum(everyone, name) for name in names}

    def _others(self, reader: _Member, name: str) -> InstanceLoad:
        others = [item for item in self._members.values() if item is not reader]
        return _sum(others, name)


def _sum(members: list[_Member], name: str) -> InstanceLoad:
    loads = [member.load[name] for member in members if name in member.load]
    return InstanceLoad(
        requests=sum(load.requests for load in loads),
        prompt_tokens=sum(load.prompt_tokens for load in loads),
        memory_tokens=sum(load.memory_tokens for load in loads),
    )
