"""Admits requests within the rates of their workspaces."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from damaskridge.adapters.gateway.leader_questions import LeaderQuestions
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.limits.leaderless_rate import LeaderlessRates
from damaskridge.core.gateway.limits.quota import FleetQuota
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import GatewayWorkspace
from damaskridge.model.rate_admissions import AdmissionDecided, AdmissionWanted

__all__ = ["RateAdmission"]

logger = logging.getLogger(__name__)

# The leader decides within milliseconds. Without a decision the host goes on by itself,
# so that no workspace is blocked by a leader that is gone.
DECISION_TIMEOUT_S = 0.15
# Time until the leader is asked again after it has not decided.
NO_DECISION_WAIT_S = 0.25
# After this time without a decision, what the leader said of contention is outdated: a
# flood has ended, or every host knows of it from its own bucket.
CONTENTION_MEMORY_S = 5.0


class RateAdmission:
    """
    The rates of all workspaces, as one host applies them.

    Parameters
    ----------
    quota : FleetQuota
        The host's view of the buckets.
    request_report : callable
        Called when there is something that the leader has to know at once.
    host_count : callable
        Returns the number of hosts that share the rates.
    rng : random.Random
        Selects the requests that the host admits by itself.

    Attributes
    ----------
    contended : frozenset of str
        Workspaces for each of whose requests the leader is asked.
    """

    def __init__(
        self,
        quota: FleetQuota,
        request_report: Callable[[], None] = lambda: None,
        host_count: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        self.contended: frozenset[str] = frozenset()
        self._host_count = host_count
        self._rng = rng or random.Random()
        self._leaderless = LeaderlessRates()
        # By workspace, as the leader has said last.
        self._admitted_shares: dict[str, float] = {}
        self._undecided_since_s: float | None = None
        self._ask_from_s = float("-inf")
        self._quota = quota
        self._questions: LeaderQuestions[AdmissionWanted, AdmissionDecided] = (
            LeaderQuestions(request_report)
        )

    async def acquire(
        self, request_id: str, workspace: GatewayWorkspace, cost: float, priority: int
    ) -> float:
        """
        Admit a request if the rate of its workspace allows it.

        Parameters
        ----------
        request_id : str
            Identifier of the request, for the log.
        workspace : GatewayWorkspace
            Workspace whose rate is charged.
        cost : float
            Cost of the request, in the unit of the rate.
        priority : int
            Priority of the request; 0 is the most urgent.

        Returns
        -------
        float
            0 if the request was admitted, else the seconds until it may be.
        """
        if not self._is_contended(workspace.name):
            return self._quota.acquire(workspace, cost, _now_s())
        wait_s = await self._ask_leader(workspace.name, cost, priority)
        if wait_s is None:
            log_event(
                logger,
                EventNumber.ADMISSION_UNDECIDED,
                request_id=request_id,
                workspace=workspace.name,
            )
            wait_s = self._leaderless.acquire(
                workspace,
                cost,
                hosts=self._host_count(),
                admitted_share=self._admitted_shares.get(workspace.name, 1.0),
                draw=self._rng.random(),
                now_s=_now_s(),
            )
        if wait_s <= 0:
            self._quota.charge(workspace, cost, _now_s())
        return wait_s

    def on_decisions(self, decisions: Iterable[AdmissionDecided]) -> None:
        """Accept the leader's decisions."""
        for decision in decisions:
            if not decision.is_undecided:
                self._undecided_since_s = None
            self._questions.answer(decision.sequence, decision)

    def pop_wanted(self, *, everything: bool) -> tuple[AdmissionWanted, ...]:
        """Return the admissions to ask the leader for."""
        return self._questions.pop_unsent(everything=everything)

    def _is_contended(self, name: str) -> bool:
        since_s = self._undecided_since_s
        is_outdated = since_s is not None and _now_s() > since_s + CONTENTION_MEMORY_S
        return name in self.contended and not is_outdated

    async def _ask_leader(self, name: str, cost: float, priority: int) -> float | None:
        """Return the time to wait, 0 for an admission, None without a decision."""
        if _now_s() < self._ask_from_s:
            return None
        try:
            decision = await self._questions.ask(
                lambda number: AdmissionWanted(number, name, cost, priority),
                DECISION_TIMEOUT_S,
            )
        except TimeoutError:
            decision = None
        if decision is None or decision.is_undecided:
            now_s = _now_s()
            self._ask_from_s = now_s + NO_DECISION_WAIT_S
            if self._undecided_since_s is None:
                self._undecided_since_s = now_s
            return None
        self._admitted_shares[name] = decision.admitted_share
        return decision.wait_s


def _now_s() -> float:
    return asyncio.get_running_loop().time()
