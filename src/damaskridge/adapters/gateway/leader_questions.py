"""Asks the leader for decisions that requests wait for."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["LeaderQuestions"]

Question = TypeVar("Question")
Answer = TypeVar("Answer")


class LeaderQuestions(Generic[Question, Answer]):
    """
    The questions of a host that the leader has not decided yet.

    Parameters
    ----------
    request_report : callable
        Called when there is a question that the leader has to get at once.
    """

    def __init__(self, request_report: Callable[[], None]) -> None:
        self._request_report = request_report
        self._sequence = 0
        self._open: dict[int, Question] = {}
        self._unsent: dict[int, Question] = {}
        self._answers: dict[int, asyncio.Queue[Answer]] = {}

    async def ask(
        self,
        question_of: Callable[[int], Question],
        timeout_s: float,
        *,
        is_interim: Callable[[Answer], bool] = lambda answer: False,
        final_timeout_s: float = 0.0,
    ) -> Answer:
        """
        Return the leader's answer.

        Parameters
        ----------
        question_of : callable
            Returns the question with a given sequence number.
        timeout_s : float
            For how long to wait.
        is_interim : callable
            Returns whether an answer only says that another one follows.
        final_timeout_s : float
            For how long to wait for the answer that follows.

        Raises
        ------
        TimeoutError
            No leader has answered in time.
        """
        self._sequence += 1
        number = self._sequence
        answers = self._answers[number] = asyncio.Queue()
        self._open[number] = self._unsent[number] = question_of(number)
        self._request_report()
        try:
            async with asyncio.timeout(timeout_s):
                answer = await answers.get()
            if is_interim(answer):
                async with asyncio.timeout(final_timeout_s):
                    answer = await answers.get()
            return answer
        finally:
            del self._answers[number], self._open[number]
            self._unsent.pop(number, None)

    def answer(self, number: int, value: Answer) -> None:
        """Accept an answer; one that comes too late is ignored."""
        answers = self._answers.get(number)
        if answers is not None:
            answers.put_nowait(value)

    def pop_unsent(self, *, everything: bool = False) -> tuple[Question, ...]:
        """Return the questions to send; all open ones with `everything`."""
        questions = self._open if everything else self._unsent
        sent, self._unsent = tuple(questions.values()), {}
        return sent
