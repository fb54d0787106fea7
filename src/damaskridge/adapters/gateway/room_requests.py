"""Asks the leader for room on the engines of crowded services."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from damaskridge.adapters.gateway.leader_questions import LeaderQuestions
from damaskridge.model.room_requests import RoomAnswer, RoomDecided, RoomWanted

__all__ = ["RoomRequests"]

# The leader answers within milliseconds, if only that a generation has to wait, and
# decides within milliseconds of the end of its time. A host that waits for longer loses
# the time in which it could find room by itself.
ANSWER_TIMEOUT_S = 0.15
DECISION_MARGIN_S = 0.1
# Time until the leader is asked again after it has not answered.
NO_ANSWER_WAIT_S = 1.0


class RoomRequests:
    """
    The requests of one host for room.

    Parameters
    ----------
    request_report : callable
        Called when there is something that the leader has to know at once.

    Attributes
    ----------
    crowded : frozenset of str
        Services that the leader has called crowded.
    """

    def __init__(self, request_report: Callable[[], None] = lambda: None) -> None:
        self.crowded: frozenset[str] = frozenset()
        self._ask_from_s = float("-inf")
        self._questions: LeaderQuestions[RoomWanted, RoomDecided] = LeaderQuestions(
            request_report
        )

    def must_ask(self, service: str) -> bool:
        """Tell whether to ask the leader for the engines of a service."""
        now_s = asyncio.get_running_loop().time()
        return service in self.crowded and now_s >= self._ask_from_s

    def search_level(self, service: str, level: int) -> int:
        """
        Return the level at which this host searches for room by itself.

        Less urgent generations leave room only where the leader assigns it; elsewhere
        all of them may use the same part of an engine's memory.

        Parameters
        ----------
        service : str
            Name of the service.
        level : int
            How many priorities of the service are more urgent.
        """
        return level if service in self.crowded else 0

    async def find(self, wanted: RoomWanted) -> str | None:
        """
        Return an engine with room for a generation.

        Parameters
        ----------
        wanted : RoomWanted
            What the generation needs; its number is chosen here.

        Returns
        -------
        str or None
            Name of the engine; empty if there is no room in time, None without a
            decision.
        """
        try:
            decided = await self._questions.ask(
                lambda number: msgspec.structs.replace(wanted, sequence=number),
                ANSWER_TIMEOUT_S,
                is_interim=lambda decided: decided.answer is RoomAnswer.WAITING,
                final_timeout_s=wanted.wait_s + DECISION_MARGIN_S,
            )
        except TimeoutError:
            decided = None
        if decided is None or decided.answer is RoomAnswer.UNDECIDED:
            now_s = asyncio.get_running_loop().time()
            self._ask_from_s = now_s + NO_ANSWER_WAIT_S
            return None
        return decided.instance

    def on_decisions(self, decisions: Iterable[RoomDecided]) -> None:
        """Accept the leader's decisions."""
        for decision in decisions:
            self._questions.answer(decision.sequence, decision)

    def pop_wanted(self) -> tuple[RoomWanted, ...]:
        """Return the requests to send to the leader."""
        return self._questions.pop_unsent()
