"""Tracks the load in flight on each instance and chooses the instance of a request.

>>> tracker = LoadTracker(random.Random(1))
>>> servers = [
...     BackendInstance(
...         instance=name, service="s", address="", data_centre="west", slots=2
...     )
...     for name in ("a", "b")
... ]
>>> tracker.start("r1", "a", InstanceLoad(requests=1))
>>> tracker.least_loaded(servers, "west").instance
'b'
"""

import random
from collections.abc import Iterable, Mapping, Sequence

from damaskridge.core.gateway.placement.room_order import RoomOrder
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["LoadTracker"]

# Memory by which a remote engine must be less used to be preferred; about one long
# request.
REMOTE_PENALTY_TOKENS = 6_000
# With more candidates than this, a host chooses among a random sample. Otherwise hosts
# with the same, slightly stale view would all choose the least loaded one.
MAX_COMPARED = 5
SAMPLE_SIZE = 3


class LoadTracker:
    """
    Load in flight by instance, of this host and as a sum of the other hosts.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that hosts with the same view don't choose the same instance.

    Attributes
    ----------
    speeds : mapping of str to float
        Speeds at which engines prefill, relative to others of their service; 1 for all
        that aren't named.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._own_load: dict[str, dict[str, InstanceLoad]] = {}
        self._remote_load: dict[str, InstanceLoad] = {}
        self._unreported: set[str] = set()
        self.speeds: Mapping[str, float] = {}

    def speed_of(self, instance: str) -> float:
        """Return the relative speed at which an engine prefills."""
        return self.speeds.get(instance, 1.0)

    def start(self, request: str, instance: str, load: InstanceLoad) -> None:
        """Add a request's load to an instance."""
        self._own_load.setdefault(instance, {})[request] = load
        self._unreported.add(instance)

    def finish(self, request: str, instance: str) -> None:
        """Remove a request's load from an instance."""
        requests = self._own_load.get(instance)
        if requests is not None and requests.pop(request, None) is not None:
            self._unreported.add(instance)
            if not requests:
                del self._own_load[instance]

    def own_load_on(self, instance: str) -> InstanceLoad:
        """Return the load of this host's requests on an instance."""
        requests = self._own_load.get(instance, {}).values()
        return InstanceLoad(
            sum(load.requests for load in requests),
            sum(load.prompt_tokens for load in requests),
            sum(load.memory_tokens for load in requests),
        )

    def load_on(self, instance: str) -> InstanceLoad:
        """Return the load of all hosts on an instance, as far as this host knows it."""
        own, remote = (
            self.own_load_on(instance),
            self._remote_load.get(instance, InstanceLoad()),
        )
        return InstanceLoad(
            own.requests + remote.requests,
            own.prompt_tokens + remote.prompt_tokens,
            own.memory_tokens + remote.memory_tokens,
        )

    def update_remote_load(self, load: Mapping[str, InstanceLoad]) -> None:
        """Replace the load of the other hosts on the given instances."""
        self._remote_load.update(load)
        for name, remote in load.items():
            if remote == InstanceLoad():
                del self._remote_load[name]

    def clear_remote_load(self) -> None:
        """Discard the load of the other hosts, for example when it is stale."""
        self._remote_load.clear()

    def pop_unreported(self, *, everything: bool) -> dict[str, InstanceLoad]:
        """
        Return the load of the instances that changed since the last call.

        With `everything`, all other load in flight is included.
        """
        names = self._unreported | (self._own_load.keys() if everything else set())
        self._unreported = set()
        return {name: self.own_load_on(name) for name in names}

    def least_loaded(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """Return the candidate with the lowest slot usage; local ones win ties."""
        return min(
            self._shuffled(candidates),
            key=lambda item: self.call_cost(item, data_centre),
        )

    def call_cost(self, item: BackendInstance, data_centre: str) -> tuple[float, bool]:
        """Return by what servers are compared for a call; the least is chosen."""
        requests = self.load_on(item.instance).requests
        return requests / max(1, item.slots), item.data_centre != data_centre

    def prefill_cost(
        self, item: BackendInstance, data_centre: str, prompt_tokens: int
    ) -> tuple[float, bool]:
        """Return by what engines are compared for a prefill; the least is chosen."""
        queued_tokens = self.load_on(item.instance).prompt_tokens + prompt_tokens
        return (
            queued_tokens / self.speed_of(item.instance),
            item.data_centre != data_centre,
        )

    def decode_cost(self, item: BackendInstance, data_centre: str) -> float:
        """Return by what engines are compared for a decode; the least is chosen."""
        penalty_tokens = (item.data_centre != data_centre) * REMOTE_PENALTY_TOKENS
        return self.load_on(item.instance).memory_tokens + penalty_tokens

    def shortest_prefill(
        self,
        candidates: Sequence[BackendInstance],
        data_centre: str,
        prompt_tokens: int,
    ) -> BackendInstance:
        """
        Return a candidate that would soon have prefilled a prompt.

        Parameters
        ----------
        candidates : sequence of BackendInstance
            Prefill engines of one service.
        data_centre : str
            Data centre of this host; its engines win ties.
        prompt_tokens : int
            Length of the prompt, which is prefilled after those that wait.
        """
        return min(
            self._sampled(candidates),
            key=lambda item: self.prefill_cost(item, data_centre, prompt_tokens),
        )

    def with_free_memory(
        self,
        candidates: Sequence[BackendInstance],
        tokens: int,
        room: RoomOrder,
        level: int = 0,
    ) -> list[BackendInstance]:
        """
        Return the candidates with enough unreserved memory for one more generation.

        Parameters
        ----------
        candidates : sequence of BackendInstance
            Engines of one service.
        tokens : int
            Memory that the generation is expected to need, in tokens.
        room : RoomOrder
            Decides which part of an engine's memory may be used.
        level : int
            How many priorities of the service are more urgent.
        """
        return [
            item
            for item in candidates
            if room.fits(
                tokens,
                used_tokens=self.load_on(item.instance).memory_tokens,
                level=level,
            )
        ]

    def least_memory_used(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """
        Return a candidate with little KV cache memory in use.

        A local engine may hold about one request more, because a transfer between data
        centres takes twice as long and every event would cross the link between them.
        """
        return min(
            self._sampled(candidates),
            key=lambda item: self.decode_cost(item, data_centre),
        )

    @staticmethod
    def compared_count(candidate_count: int) -> int:
        """Return how many of the candidates are compared for one request."""
        return candidate_count if candidate_count <= MAX_COMPARED else SAMPLE_SIZE

    def _sampled(self, items: Sequence[BackendInstance]) -> list[BackendInstance]:
        """Return all items in random order, or a random sample of many."""
        if len(items) <= MAX_COMPARED:
            return self._shuffled(items)
        return self._rng.sample(items, SAMPLE_SIZE)

    def _shuffled(self, items: Iterable[BackendInstance]) -> list[BackendInstance]:
        shuffled = list(items)
        self._rng.shuffle(shuffled)
        return shuffled
