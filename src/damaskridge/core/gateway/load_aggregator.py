"""Adds up what the entry hosts report of their load, and hands each the sum of others.

Placing and rates need to know what other hosts have in flight. Reports and sums are
sent at short intervals, and only what changed, so that no request waits for them. A
host that hears nothing goes on with what it last knew.

The board keeps running totals: a report costs what it names, and news cost what has
changed, whatever the number of hosts. Hosts that have reported few requests of late are
told what others admitted, but not what these have in flight; a host that becomes active
is told everything.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp

from damaskridge.model.control import InstanceLoad, LoadSeen, ReportLoad

__all__ = ["ACTIVE_S", "LoadAggregator"]

# A host that reported fewer requests than this in the last seconds, weighted by their
# age, is not told what others have in flight. Callers that keep an old answer, and
# operators' tests, send a request to each host every few seconds.
ACTIVE_REQUESTS = 4.0
# Time constant of that weight.
ACTIVE_S = 5.0
# A host that has just connected counts as active for about four time constants.
JOINED_REQUESTS = 200.0
# Totals that are nothing are kept for news of the change, up to so many.
KEPT_EMPTY = 256
NOTHING = InstanceLoad()


@dataclass(slots=True)
class _Member:
    """
    What one host has reported, and what it was told.

    `told` is the number of the last change that it was told of. Usage is counted from
    the start of the board, so that a difference is what was not told yet.
    """

    load: dict[str, InstanceLoad] = field(default_factory=dict)
    told: int = 0
    recent_requests: float = 0.0
    recent_s: float = 0.0
    own_usage: dict[str, float] = field(default_factory=dict)
    told_usage: dict[str, float] = field(default_factory=dict)

    def requests(self, now_s: float) -> float:
        """Return the requests of late, weighted by their age."""
        return self.recent_requests * exp((self.recent_s - now_s) / ACTIVE_S)

    def count(self, requests: int, now_s: float) -> None:
        """Count requests that a host reports."""
        self.recent_requests = self.requests(now_s) + requests
        self.recent_s = now_s


@dataclass(frozen=True, slots=True)
class _Change:
    """The last change of a total, and the last one that another host made."""

    number: int
    member: Hashable
    number_of_another: int

    def number_for(self, member: Hashable) -> int:
        """Return the number of the last change that is news for a host."""
        return self.number_of_another if member == self.member else self.number


class LoadAggregator:
    """The reports of all hosts that are connected."""

    def __init__(self) -> None:
        self._members: dict[Hashable, _Member] = {}
        self._totals: dict[str, InstanceLoad] = {}
        # The total that changed last stands last.
        self._changes: OrderedDict[str, _Change] = OrderedDict()
        self._number = 0
        self._usage: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def join(self, member: Hashable, now_s: float) -> None:
        """Add a host; at first it is told what others have in flight."""
        self._members[member] = _Member(
            recent_requests=JOINED_REQUESTS,
            recent_s=now_s,
            told_usage=dict(self._usage),
        )

    def leave(self, member: Hashable) -> None:
        """Remove a host with all that it had in flight."""
        left = self._members.pop(member, None)
        if left is not None:
            for name, load in left.load.items():
                self._change(member, name, load, NOTHING)

    def is_active(self, member: Hashable, now_s: float) -> bool:
        """Tell whether a host has reported enough requests of late."""
        found = self._members.get(member)
        return found is not None and found.requests(now_s) >= ACTIVE_REQUESTS

    def active_count(self, now_s: float) -> int:
        """Return how many hosts have reported enough requests of late."""
        return sum(self.is_active(member, now_s) for member in self._members)

    def report(self, member: Hashable, message: ReportLoad, now_s: float) -> None:
        """Take over what changed on a host."""
        reporter = self._members.get(member)
        if reporter is None:
            return
        started = sum(
            max(0, load.requests - reporter.load.get(name, NOTHING).requests)
            for name, load in message.load.items()
        )
        was_active = reporter.requests(now_s) >= ACTIVE_REQUESTS
        reporter.count(started, now_s)
        if not was_active:
            reporter.told = 0
        for name, load in message.load.items():
            self._change(member, name, reporter.load.pop(name, NOTHING), load)
            if load != NOTHING:
                reporter.load[name] = load
        for workspace, used in message.usage.items():
            own = reporter.own_usage
            own[workspace] = own.get(workspace, 0.0) + used
            self._usage[workspace] = self._usage.get(workspace, 0.0) + used

    def next_update(self, member: Hashable, now_s: float) -> LoadSeen | None:
        """Return what a host has not been told yet, or None."""
        reader = self._members.get(member)
        if reader is None:
            return None
        usage = self._usage_news(reader)
        if not self.is_active(member, now_s):
            # What it was told of the load grows old; it is told everything again later.
            forgets, reader.told = reader.told > 0, 0
            if not (usage or forgets):
                return None
            return LoadSeen(usage=usage, is_whole=forgets)
        is_whole = reader.told == 0
        load = self._load_news(member, reader)
        if not (load or usage):
            return None
        return LoadSeen(load=load, usage=usage, is_whole=is_whole)

    def total(self) -> dict[str, InstanceLoad]:
        """Return what all hosts together have in flight, by backend server."""
        return dict(self._totals)

    def load_of(self, member: Hashable) -> dict[str, InstanceLoad]:
        """Return what one host has in flight, by backend server."""
        found = self._members.get(member)
        return dict(found.load) if found is not None else {}

    def _change(
        self, member: Hashable, name: str, old: InstanceLoad, new: InstanceLoad
    ) -> None:
        total = _minus(_plus(self._totals.get(name, NOTHING), new), old)
        if total == NOTHING:
            self._totals.pop(name, None)
        else:
            self._totals[name] = total
        self._number += 1
        last = self._changes.get(name)
        of_another = last.number_for(member) if last is not None else 0
        self._changes[name] = _Change(self._number, member, of_another)
        self._changes.move_to_end(name)
        if len(self._changes) > len(self._totals) + KEPT_EMPTY:
            self._drop_empty()

    def _drop_empty(self) -> None:
        """Drop the older half of the totals that are nothing."""
        empty = [name for name in self._changes if name not in self._totals]
        for name in empty[: KEPT_EMPTY // 2]:
            del self._changes[name]

    def _load_news(self, member: Hashable, reader: _Member) -> dict[str, InstanceLoad]:
        load = {}
        for name, change in reversed(self._changes.items()):
            if change.number <= reader.told:
                break
            if change.number_for(member) > reader.told:
                total = self._totals.get(name, NOTHING)
                load[name] = _minus(total, reader.load.get(name, NOTHING))
        reader.told = self._number
        return load

    def _usage_news(self, reader: _Member) -> dict[str, float]:
        usage = {}
        for workspace, used in self._usage.items():
            others = used - reader.own_usage.get(workspace, 0.0)
            untold = others - reader.told_usage.get(workspace, 0.0)
            if untold > 0:
                usage[workspace] = untold
                reader.told_usage[workspace] = others
        return usage


def _plus(a: InstanceLoad, b: InstanceLoad) -> InstanceLoad:
    return InstanceLoad(
        a.requests + b.requests,
        a.prompt_tokens + b.prompt_tokens,
        a.memory_tokens + b.memory_tokens,
    )


def _minus(a: InstanceLoad, b: InstanceLoad) -> InstanceLoad:
    return InstanceLoad(
        a.requests - b.requests,
        a.prompt_tokens - b.prompt_tokens,
        a.memory_tokens - b.memory_tokens,
    )
