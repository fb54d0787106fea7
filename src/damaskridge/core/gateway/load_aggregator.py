"""Aggregates the load of all entry hosts and sends each host the sum of the others.

Placement and rate limiting depend on what the other hosts have in flight. Reports and
sums are sent at short intervals and carry only what changed, so that no request waits
for them. A host that receives no update continues with the last values that it has.

The aggregator keeps running totals. The cost of a report is proportional to its entries
and the cost of an update to the number of changes, whatever the number of hosts. A host
with few recent requests receives the rate usage of other hosts but not their load in
flight; a host that becomes active again receives all of it.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp

from damaskridge.model.follow import InstanceLoad, LoadSeen, ReportLoad

__all__ = ["ACTIVITY_TIME_CONSTANT_S", "LoadAggregator"]

# A host whose exponentially weighted request count is below this receives no load of
# other hosts. Callers that cache an old address response, and operators' probes, send a
# request to each host every few seconds; that must not make a host active.
MIN_ACTIVE_REQUESTS = 4.0
# Time constant of the exponential weight.
ACTIVITY_TIME_CONSTANT_S = 5.0
# Initial count of a host that connects; keeps it active for about four time constants.
INITIAL_REQUESTS = 200.0
# Most totals that are kept after they became empty, so that the change is still sent.
MAX_EMPTY_TOTALS = 256
EMPTY_LOAD = InstanceLoad()


@dataclass(slots=True)
class _Host:
    """
    What one host has reported, and what was sent to it.

    `sent_change` is the number of the last change that was sent; 0 if the host has to
    receive everything. Usage is cumulative since the aggregator started, so that the
    difference to `sent_usage` is what remains to be sent.
    """

    load: dict[str, InstanceLoad] = field(default_factory=dict)
    sent_change: int = 0
    weighted_requests: float = 0.0
    weighted_at_s: float = 0.0
    own_usage: dict[str, float] = field(default_factory=dict)
    sent_usage: dict[str, float] = field(default_factory=dict)

    def activity(self, now_s: float) -> float:
        """Return the number of recent requests, weighted exponentially by age."""
        return self.weighted_requests * exp(
            (self.weighted_at_s - now_s) / ACTIVITY_TIME_CONSTANT_S
        )

    def add_requests(self, started: int, now_s: float) -> None:
        """Count requests that the host has started."""
        self.weighted_requests = self.activity(now_s) + started
        self.weighted_at_s = now_s


@dataclass(frozen=True, slots=True)
class _Change:
    """
    The last change of one total.

    `number` counts the changes of all totals, `host` made this one, and
    `number_by_others` is the last change by any other host.
    """

    number: int
    host: Hashable
    number_by_others: int

    def number_for(self, host: Hashable) -> int:
        """Return the number of the last change that another host made."""
        return self.number_by_others if host == self.host else self.number


class LoadAggregator:
    """The load of all connected hosts, and its totals by backend server."""

    def __init__(self) -> None:
        self._hosts: dict[Hashable, _Host] = {}
        self._totals: dict[str, InstanceLoad] = {}
        # In the order of the last change, the latest at the end.
        self._changes: OrderedDict[str, _Change] = OrderedDict()
        self._last_number = 0
        self._usage: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def join(self, host: Hashable, now_s: float) -> None:
        """Add a host as active, so that it first receives all load in flight."""
        self._hosts[host] = _Host(
            weighted_requests=INITIAL_REQUESTS,
            weighted_at_s=now_s,
            sent_usage=dict(self._usage),
        )

    def leave(self, host: Hashable) -> None:
        """Remove a host and subtract its load from the totals."""
        removed = self._hosts.pop(host, None)
        if removed is not None:
            for name, load in removed.load.items():
                self._apply(host, name, load, EMPTY_LOAD)

    def is_active(self, host: Hashable, now_s: float) -> bool:
        """Tell whether a host has enough recent requests to receive load updates."""
        entry = self._hosts.get(host)
        return entry is not None and entry.activity(now_s) >= MIN_ACTIVE_REQUESTS

    def active_count(self, now_s: float) -> int:
        """Return the number of active hosts."""
        return sum(self.is_active(host, now_s) for host in self._hosts)

    def report(self, host: Hashable, message: ReportLoad, now_s: float) -> None:
        """Apply what changed on a host."""
        reporter = self._hosts.get(host)
        if reporter is None:
            return
        started = sum(
            max(0, load.requests - reporter.load.get(name, EMPTY_LOAD).requests)
            for name, load in message.load.items()
        )
        was_active = reporter.activity(now_s) >= MIN_ACTIVE_REQUESTS
        reporter.add_requests(started, now_s)
        if not was_active:
            reporter.sent_change = 0
        for name, load in message.load.items():
            self._apply(host, name, reporter.load.pop(name, EMPTY_LOAD), load)
            if load != EMPTY_LOAD:
                reporter.load[name] = load
        for workspace, used in message.usage.items():
            own = reporter.own_usage
            own[workspace] = own.get(workspace, 0.0) + used
            self._usage[workspace] = self._usage.get(workspace, 0.0) + used

    def next_update(self, host: Hashable, now_s: float) -> LoadSeen | None:
        """
        Return the changes that were not yet sent to a host, or None.

        The update counts as sent. `is_whole` tells the host to discard what it knows of
        the load of other hosts.
        """
        recipient = self._hosts.get(host)
        if recipient is None:
            return None
        usage = self._usage_update(recipient)
        if not self.is_active(host, now_s):
            # The load that was sent is stale from now on: the host discards it and
            # receives everything when it is active again.
            discards, recipient.sent_change = recipient.sent_change > 0, 0
            if not (usage or discards):
                return None
            return LoadSeen(usage=usage, is_whole=discards)
        is_whole = recipient.sent_change == 0
        load = self._load_update(host, recipient)
        if not (load or usage):
            return None
        return LoadSeen(load=load, usage=usage, is_whole=is_whole)

    def total(self) -> dict[str, InstanceLoad]:
        """Return the load in flight of all hosts, by backend server."""
        return dict(self._totals)

    def load_of(self, host: Hashable) -> dict[str, InstanceLoad]:
        """Return the load in flight of one host, by backend server."""
        entry = self._hosts.get(host)
        return dict(entry.load) if entry is not None else {}

    def _apply(
        self, host: Hashable, name: str, old: InstanceLoad, new: InstanceLoad
    ) -> None:
        """Replace one host's load on a backend server in the total."""
        total = _subtract(_add(self._totals.get(name, EMPTY_LOAD), new), old)
        if total == EMPTY_LOAD:
            self._totals.pop(name, None)
        else:
            self._totals[name] = total
        self._last_number += 1
        last = self._changes.get(name)
        by_others = last.number_for(host) if last is not None else 0
        self._changes[name] = _Change(self._last_number, host, by_others)
        self._changes.move_to_end(name)
        if len(self._changes) > len(self._totals) + MAX_EMPTY_TOTALS:
            self._drop_empty()

    def _drop_empty(self) -> None:
        """Drop the changes of the totals that have been empty for longest."""
        empty = [name for name in self._changes if name not in self._totals]
        for name in empty[: MAX_EMPTY_TOTALS // 2]:
            del self._changes[name]

    def _load_update(self, host: Hashable, recipient: _Host) -> dict[str, InstanceLoad]:
        load = {}
        for name, change in reversed(self._changes.items()):
            if change.number <= recipient.sent_change:
                break
            if change.number_for(host) > recipient.sent_change:
                total = self._totals.get(name, EMPTY_LOAD)
                load[name] = _subtract(total, recipient.load.get(name, EMPTY_LOAD))
        recipient.sent_change = self._last_number
        return load

    def _usage_update(self, recipient: _Host) -> dict[str, float]:
        usage = {}
        for workspace, used in self._usage.items():
            others = used - recipient.own_usage.get(workspace, 0.0)
            unsent = others - recipient.sent_usage.get(workspace, 0.0)
            if unsent > 0:
                usage[workspace] = unsent
                recipient.sent_usage[workspace] = others
        return usage


def _add(a: InstanceLoad, b: InstanceLoad) -> InstanceLoad:
    return InstanceLoad(
        a.requests + b.requests,
        a.prompt_tokens + b.prompt_tokens,
        a.memory_tokens + b.memory_tokens,
    )


def _subtract(a: InstanceLoad, b: InstanceLoad) -> InstanceLoad:
    return InstanceLoad(
        a.requests - b.requests,
        a.prompt_tokens - b.prompt_tokens,
        a.memory_tokens - b.memory_tokens,
    )
