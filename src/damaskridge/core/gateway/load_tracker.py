"""What is in flight on each backend server, and which one gets the next request.

>>> book = LoadTracker(random.Random(1))
>>> servers = [
...     BackendInstance(
...         instance=name, service="s", address="", data_centre="west", slots=2
...     )
...     for name in ("a", "b")
... ]
>>> book.start("r1", "a", InstanceLoad(requests=1))
>>> book.least_loaded(servers, "west").instance
'b'
"""

import random
from collections.abc import Iterable, Mapping, Sequence

from damaskridge.model.control import InstanceLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["LoadTracker"]

# About one long request.
NEAR_TOKENS = 6_000
# Share of an engine's memory that may be promised. Generations grow after an engine has
# admitted them; one for which no memory is left is preempted and read again, and all
# others on the engine wait for that.
PROMISED_SHARE = 0.92


# With more candidates than this, a host chooses among some drawn at random. Hosts with
# the same, slightly old view would else all send to the least loaded one.
MOST_COMPARED = 5
DRAWN = 3


class LoadTracker:
    """
    Requests in flight by backend server.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that hosts with the same view do not choose the same server.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._work: dict[str, dict[str, InstanceLoad]] = {}
        self._others: dict[str, InstanceLoad] = {}
        self._unreported: set[str] = set()

    def start(self, request: str, instance: str, work: InstanceLoad) -> None:
        """Count a request on an instance."""
        self._work.setdefault(instance, {})[request] = work
        self._unreported.add(instance)

    def finish(self, request: str, instance: str) -> None:
        """Stop counting a request."""
        running = self._work.get(instance)
        if running is not None and running.pop(request, None) is not None:
            self._unreported.add(instance)
            if not running:
                del self._work[instance]

    def own(self, instance: str) -> InstanceLoad:
        """Return what this host has in flight on an instance."""
        running = self._work.get(instance, {}).values()
        return InstanceLoad(
            sum(work.requests for work in running),
            sum(work.prompt_tokens for work in running),
            sum(work.memory_tokens for work in running),
        )

    def total(self, instance: str) -> InstanceLoad:
        """Return what all hosts have in flight on an instance, as far as known."""
        own, others = self.own(instance), self._others.get(instance, InstanceLoad())
        return InstanceLoad(
            own.requests + others.requests,
            own.prompt_tokens + others.prompt_tokens,
            own.memory_tokens + others.memory_tokens,
        )

    def update_remote_load(self, load: Mapping[str, InstanceLoad]) -> None:
        """Take over what the other hosts have in flight."""
        self._others.update(load)
        for name, work in load.items():
            if work == InstanceLoad():
                del self._others[name]

    def clear_remote_load(self) -> None:
        """Count this host's requests only, after others were not heard for long."""
        self._others.clear()

    def pop_unreported(self, *, everything: bool) -> dict[str, InstanceLoad]:
        """Return what changed since the last call, or all that is in flight."""
        names = self._unreported | (self._work.keys() if everything else set())
        self._unreported = set()
        return {name: self.own(name) for name in names}

    def least_loaded(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """Return the candidate with the most free slots, the nearest of equals."""
        return min(
            self._shuffled(candidates),
            key=lambda item: (
                self.total(item.instance).requests / max(1, item.slots),
                item.data_centre != data_centre,
            ),
        )

    def shortest_prefill_queue(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """Return a candidate with few prompt tokens to read."""
        return min(
            self._drawn(candidates),
            key=lambda item: (
                self.total(item.instance).prompt_tokens,
                item.data_centre != data_centre,
            ),
        )

    def with_free_memory(
        self, candidates: Sequence[BackendInstance], tokens: int, memory_tokens: int
    ) -> list[BackendInstance]:
        """
        Return the candidates whose generations leave room for another one.

        An engine that runs nothing has room for a generation of any size.

        Parameters
        ----------
        candidates : sequence of BackendInstance
            Engines of one service.
        tokens : int
            Memory that the generation is expected to need.
        memory_tokens : int
            Memory of an engine.
        """
        limit_tokens = PROMISED_SHARE * memory_tokens
        return [
            item
            for item in candidates
            if (used := self.total(item.instance).memory_tokens) <= 0
            or used + tokens <= limit_tokens
        ]

    def least_memory_used(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """
        Return a candidate with little KV cache in use.

        One in the same data centre may hold one request more: a transfer between
        data centres takes twice as long, and every event would cross their link.
        """
        return min(
            self._drawn(candidates),
            key=lambda item: (
                self.total(item.instance).memory_tokens
                + (item.data_centre != data_centre) * NEAR_TOKENS
            ),
        )

    def _drawn(self, items: Sequence[BackendInstance]) -> list[BackendInstance]:
        if len(items) <= MOST_COMPARED:
            return self._shuffled(items)
        return self._rng.sample(items, DRAWN)

    def _shuffled(self, items: Iterable[BackendInstance]) -> list[BackendInstance]:
        shuffled = list(items)
        self._rng.shuffle(shuffled)
        return shuffled
