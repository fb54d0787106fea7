"""What is in flight on each backend server, and which one gets the next request.

>>> book = LoadBook(random.Random(1))
>>> servers = [
...     BackendInstance(
...         instance=name, service="s", address="", data_centre="west", slots=2
...     )
...     for name in ("a", "b")
... ]
>>> book.start("r1", "a", Work(requests=1))
>>> book.least_loaded(servers, "west").instance
'b'
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from damaskridge.model.gateway import BackendInstance

__all__ = ["LoadBook", "Work"]


@dataclass(frozen=True, slots=True)
class Work:
    """
    What one request takes of a backend server.

    Parameters
    ----------
    requests : int
        Slots.
    prompt_tokens : int
        Prompt tokens that are still to be read.
    memory_tokens : int
        KV cache, in tokens.
    """

    requests: int = 0
    prompt_tokens: int = 0
    memory_tokens: int = 0


class LoadBook:
    """
    Requests in flight by backend server.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that hosts with the same view do not choose the same server.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._work: dict[str, dict[str, Work]] = {}

    def start(self, request: str, instance: str, work: Work) -> None:
        """Count a request on an instance."""
        self._work.setdefault(instance, {})[request] = work

    def finish(self, request: str, instance: str) -> None:
        """Stop counting a request."""
        running = self._work.get(instance)
        if running is not None:
            running.pop(request, None)
            if not running:
                del self._work[instance]

    def total(self, instance: str) -> Work:
        """Return the sum of what is in flight on an instance."""
        running = self._work.get(instance, {}).values()
        return Work(
            sum(work.requests for work in running),
            sum(work.prompt_tokens for work in running),
            sum(work.memory_tokens for work in running),
        )

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

    def shortest_prefill(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """Return the candidate with the fewest prompt tokens to read."""
        return min(
            self._shuffled(candidates),
            key=lambda item: (
                self.total(item.instance).prompt_tokens,
                item.data_centre != data_centre,
            ),
        )

    def most_memory(
        self, candidates: Sequence[BackendInstance], data_centre: str
    ) -> BackendInstance:
        """Return the candidate with the least KV cache in use."""
        return min(
            self._shuffled(candidates),
            key=lambda item: (
                self.total(item.instance).memory_tokens,
                item.data_centre != data_centre,
            ),
        )

    def _shuffled(self, items: Iterable[BackendInstance]) -> list[BackendInstance]:
        shuffled = list(items)
        self._rng.shuffle(shuffled)
        return shuffled
