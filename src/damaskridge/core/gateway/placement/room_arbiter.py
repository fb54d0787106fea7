"""Assigns room on the engines of a crowded service to the generations of all hosts.

It answers bursts through many hosts. Each host has one or two generations that wait,
and hears of the others' placements a report late: several fill the engine that looks
emptiest, which then has to stop one of them, and whose timer comes first gets what
becomes free. The leader knows the load of all engines and adds what it has just
assigned.

Waiting generations are served in the order in which a delay costs their callers least:
streams that have begun, then by level of priority, then by the time until which they
can wait. Waiting raises the level, so that none is starved. Others may overtake one
that fits nowhere; once that has waited for half of its time, one engine is kept for it.
One that would wait for long at the present pace is refused at once: with a long queue
all would begin late.

>>> arbiter = RoomArbiter(RoomOrder(memory_tokens=10_000))
>>> engine = BackendInstance(
...     instance="e", service="s", address="", data_centre="west", slots=8
... )
>>> for name, level in (("patient", 1), ("urgent", 0)):
...     _ = arbiter.add(Waiting(name, 4_000, level, since_s=0.0, wait_s=0.5), now_s=0.0)
>>> [(item.key, found) for item, found in arbiter.decide([engine], {"e": 5_000}, 0.0)]
[('urgent', 'e')]
>>> arbiter.decide([engine], {"e": 9_000}, 0.4)
[]
>>> [(item.key, found) for item, found in arbiter.decide([engine], {"e": 9_000}, 0.5)]
[('patient', None)]
"""

from collections.abc import Hashable, Mapping, Sequence
from dataclasses import dataclass, field
from math import exp

from damaskridge.core.gateway.placement.room_order import RoomOrder
from damaskridge.model.gateway import BackendInstance

__all__ = ["RoomArbiter", "Waiting"]

# Waiting for this long raises a generation by one level of priority.
LEVEL_WAIT_S = 1.0
# Share of its time after which an engine is kept for a generation that fits nowhere.
OVERTAKEN_SHARE = 0.5
# Time after which an assignment shows in the load that its host reports.
REPORTED_AFTER_S = 0.1
# Memory by which an engine in another data centre must be less used to be chosen; about
# one long generation. Its events would cross the link between the data centres.
REMOTE_PENALTY_TOKENS = 6_000
# Time constant of the average pace of assignments.
PACE_AVERAGING_S = 1.0
# A generation is refused at once if the ones before it take more than this share of its
# time. In an overload the queue has this length, and those that are served begin early.
MAX_QUEUE_SHARE = 0.4
# Generations hold their room for some seconds, so that the room in use says which pace
# is possible even if few have been assigned lately.
RESIDENCE_S = 5.0


@dataclass(frozen=True, slots=True)
class Waiting:
    """
    A generation that waits for room.

    Parameters
    ----------
    key : hashable
        Identifies the generation and its host.
    tokens : int
        Memory that it is expected to need, in tokens.
    level : int
        How many priorities are more urgent; -1 for a stream that has begun.
    since_s, wait_s : float
        When it began to wait, and for how long it can.
    data_centre : str
        Data centre of its host.
    software_version : str
        Version at which it has to go on; empty for any.
    excluded : frozenset of str
        Engines that it can't use.
    """

    key: Hashable
    tokens: int
    level: int
    since_s: float
    wait_s: float
    data_centre: str = ""
    software_version: str = ""
    excluded: frozenset[str] = field(default=frozenset())

    @property
    def until_s(self) -> float:
        """The time until which it can wait."""
        return self.since_s + self.wait_s

    def level_at(self, now_s: float) -> int:
        """Return its level, which falls as it waits."""
        if self.level <= 0:
            return self.level
        return max(0, self.level - int((now_s - self.since_s) / LEVEL_WAIT_S))

    def may_use(self, engine: BackendInstance) -> bool:
        """Tell whether an engine is one that it can use."""
        version = self.software_version
        return engine.instance not in self.excluded and version in (
            "",
            engine.software_version,
        )


class RoomArbiter:
    """
    The generations of all hosts that wait for engines of one service.

    Parameters
    ----------
    room : RoomOrder
        Decides which part of an engine's memory may be used.
    """

    def __init__(self, room: RoomOrder) -> None:
        self.room = room
        self._waiting: list[Waiting] = []
        # Assignments that the load doesn't show yet: until when, engine, tokens.
        self._assigned: list[tuple[float, str, int]] = []
        self._pace_tokens_per_s = 0.0
        self._paced_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def is_waiting(self, key: Hashable) -> bool:
        """Tell whether a generation waits."""
        return any(waiting.key == key for waiting in self._waiting)

    def add(self, waiting: Waiting, now_s: float, used_tokens: int = 0) -> bool:
        """
        Add a generation; return `False` if it would wait for long.

        Parameters
        ----------
        waiting : Waiting
            The generation.
        now_s : float
            Current time.
        used_tokens : int
            Memory in use on all engines, which their generations will free.
        """
        pace = max(self._pace(now_s), used_tokens / RESIDENCE_S)
        ahead = sum(
            other.tokens
            for other in self._waiting
            if _order(other, now_s) <= _order(waiting, now_s)
        )
        if pace > 0 and ahead > pace * waiting.wait_s * MAX_QUEUE_SHARE:
            return False
        self._waiting.append(waiting)
        return True

    def decide(
        self,
        engines: Sequence[BackendInstance],
        used_tokens: Mapping[str, int],
        now_s: float,
    ) -> list[tuple[Waiting, str | None]]:
        """
        Assign the room that there is.

        Parameters
        ----------
        engines : sequence of BackendInstance
            Decode engines of the service that may be used.
        used_tokens : mapping of str to int
            Memory in use as hosts have reported it, by engine.
        now_s : float
            Current time.

        Returns
        -------
        list of (Waiting, str or None)
            Generations that wait no longer, with their engines; None for those that
            can't wait any longer.
        """
        self._assigned = [item for item in self._assigned if item[0] > now_s]
        used = {item.instance: used_tokens.get(item.instance, 0) for item in engines}
        for _, instance, tokens in self._assigned:
            if instance in used:
                used[instance] += tokens
        decided: list[tuple[Waiting, str | None]] = []
        still_waiting: list[Waiting] = []
        open_engines = list(engines)
        for waiting in sorted(self._waiting, key=lambda item: _order(item, now_s)):
            engine = self._choose(waiting, open_engines, used, now_s)
            if engine is not None:
                used[engine] += waiting.tokens
                self._record(engine, waiting.tokens, now_s)
                decided.append((waiting, engine))
            elif now_s >= waiting.until_s:
                decided.append((waiting, None))
            else:
                still_waiting.append(waiting)
                if now_s >= waiting.since_s + OVERTAKEN_SHARE * waiting.wait_s:
                    _keep_one(open_engines, waiting, used)
        self._waiting = still_waiting
        return decided

    def _choose(
        self,
        waiting: Waiting,
        engines: Sequence[BackendInstance],
        used: Mapping[str, int],
        now_s: float,
    ) -> str | None:
        """Return the engine with most room for a generation, if it fits on one."""
        level = max(0, waiting.level_at(now_s))
        fitting = [
            item
            for item in engines
            if waiting.may_use(item)
            and self.room.fits(
                waiting.tokens, used_tokens=used[item.instance], level=level
            )
        ]
        if not fitting:
            return None
        chosen = min(
            fitting,
            key=lambda item: (
                used[item.instance]
                + (item.data_centre != waiting.data_centre) * REMOTE_PENALTY_TOKENS
            ),
        )
        return chosen.instance

    def _record(self, engine: str, tokens: int, now_s: float) -> None:
        self._assigned.append((now_s + REPORTED_AFTER_S, engine, tokens))
        self._pace_tokens_per_s = self._pace(now_s) + tokens / PACE_AVERAGING_S
        self._paced_s = now_s

    def _pace(self, now_s: float) -> float:
        """Return the average of assigned tokens a second."""
        elapsed_s = now_s - self._paced_s
        return self._pace_tokens_per_s * exp(-elapsed_s / PACE_AVERAGING_S)


def _keep_one(
    open_engines: list[BackendInstance], waiting: Waiting, used: Mapping[str, int]
) -> None:
    """Take the engine with most room from those that others may be assigned."""
    usable = [item for item in open_engines if waiting.may_use(item)]
    if usable:
        open_engines.remove(min(usable, key=lambda item: used[item.instance]))


def _order(waiting: Waiting, now_s: float) -> tuple[int, float]:
    return waiting.level_at(now_s), waiting.until_s
