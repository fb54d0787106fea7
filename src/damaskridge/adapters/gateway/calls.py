"""Forwards calls to plain services."""

import logging

from damaskridge.adapters.gateway.answers import CallerAnswer
from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import NotRun, OpenReply, Sender, Unknown
from damaskridge.adapters.gateway.work import GatewayWork
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.load_tracker import LoadTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.core.gateway.send_policy import Fail, Retry
from damaskridge.model.control import InstanceLoad
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.gateway import BackendInstance

__all__ = ["CallForwarder"]

logger = logging.getLogger(__name__)

ANSWER_LIMIT_BYTES = 4_194_304
# A repeatable call goes to another server after this many times its objective: by then
# its answer would be late in any case.
PATIENCE_OBJECTIVES = 2.5
# Below this a pause of the operating system would pass for a silent server.
LEAST_PATIENCE_S = 0.25


class CallForwarder:
    """
    Sends a call until it is answered, within what its kind allows.

    Parameters
    ----------
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Shared by all forwarders of the host.
    data_centre : str
        Where this host stands.
    gate : RetryGate
        Admits sends against the retry budget.
    refusals : RetryAfterTimes
        When refused callers may come back.
    """

    def __init__(
        self,
        *,
        sender: Sender,
        registry: InstanceRegistry,
        load: LoadTracker,
        data_centre: str,
        gate: RetryGate,
        refusals: RetryAfterTimes,
    ) -> None:
        self._sender = sender
        self._registry = registry
        self._load = load
        self._data_centre = data_centre
        self._gate = gate
        self._refusals = refusals

    async def forward(self, work: GatewayWork, answer: CallerAnswer) -> None:
        """Answer the caller with the service's answer, or with a failure."""
        tried: set[str] = set()
        while True:
            instance, candidates = self._choose(work, frozenset(tried))
            if instance is None:
                await self._give_up_unserved(work, answer)
                return
            tried.add(instance.instance)
            failure = await self._attempt(work, answer, instance, candidates)
            if failure is not None:
                await answer.refuse(failure)
                return
            if answer.is_complete:
                return

    def _choose(
        self, work: GatewayWork, tried: frozenset[str]
    ) -> tuple[BackendInstance | None, int]:
        now_s = work.now_s
        service = work.service.name
        candidates = self._registry.candidates(service, now_s, excluded=tried)
        # With no other server left, one that had no room may have some now.
        candidates = candidates or self._registry.candidates(service, now_s)
        if not candidates:
            return None, 0
        chosen = self._load.least_loaded(candidates, self._data_centre)
        return chosen, len(candidates)

    async def _give_up_unserved(self, work: GatewayWork, answer: CallerAnswer) -> None:
        kind = ErrorKind.NO_BACKEND_SERVER
        if work.policy.runs:
            kind = ErrorKind.BACKEND_SERVER_FAILED
        service = work.service.name
        detail = f"no backend server for {service}"
        retry_after_s = self._refusals.no_server_s(work.left_s)
        pause_s = self._registry.pause_s(service, work.now_s)
        if pause_s:
            detail = f"every backend server for {service} wants no request now"
            retry_after_s = self._refusals.paused_s(pause_s)
        await answer.refuse(Failure(kind, detail, retry_after_s=retry_after_s))

    async def _attempt(
        self,
        work: GatewayWork,
        answer: CallerAnswer,
        instance: BackendInstance,
        candidates: int,
    ) -> Failure | None:
        """Send once; returns the failure to answer, or None to go on or when done."""
        policy, name = work.policy, instance.instance
        policy.record_send()
        answer.attempts = policy.sends
        load = self._load.total(name).requests
        log_event(
            logger,
            EventNumber.REQUEST_SENT,
            request_id=work.request.request_id,
            instance=name,
            step="call",
            attempt=policy.sends,
            load=load,
            candidates=candidates,
            list_age_ms=round((work.now_s - self._registry.confirmed_s) * 1000),
        )
        self._load.start(work.request.request_id, name, InstanceLoad(requests=1))
        try:
            outcome = await self._sender.send(
                instance,
                work,
                answer_s=self._answer_s(work, candidates),
                fresh=not policy.is_repeatable,
            )
            if isinstance(outcome, OpenReply):
                return await self._answer(work, answer, outcome)
        finally:
            self._load.finish(work.request.request_id, name)
        if isinstance(outcome, NotRun):
            may_retry = self._gate.admits(work, SendStep.RUN)
            decision = policy.after_not_run(left_s=work.left_s, may_retry=may_retry)
        else:
            self._sender.note_run(instance, work.fingerprint, is_whole=False)
            decision = self._after_unknown(work, outcome)
        return self._failure(work, decision, outcome.reason)

    def _after_unknown(self, work: GatewayWork, outcome: Unknown) -> Retry | Fail:
        return work.policy.after_unknown(
            left_s=work.left_s,
            may_retry=work.policy.may_run_again
            and self._gate.admits(work, SendStep.RUN),
            timed_out=outcome.timed_out,
        )

    def _failure(
        self, work: GatewayWork, decision: Retry | Fail, reason: str
    ) -> Failure | None:
        if not isinstance(decision, Fail):
            return None
        retry_after_s = None
        if decision.kind is ErrorKind.OVERLOADED:
            retry_after_s = self._refusals.overloaded_s(work.left_s)
        return decision.failure(reason, retry_after_s)

    def _answer_s(self, work: GatewayWork, candidates: int) -> float:
        left_s = max(0.0, work.timeout_s)
        if not work.policy.may_run_again or candidates < 2:
            return left_s
        patience_s = PATIENCE_OBJECTIVES * work.route.objective_ms / 1000
        return min(left_s, max(LEAST_PATIENCE_S, patience_s))

    async def _answer(
        self, work: GatewayWork, answer: CallerAnswer, reply: OpenReply
    ) -> Failure | None:
        try:
            body = await reply.whole(ANSWER_LIMIT_BYTES)
        except ConnectionBroken as error:
            self._sender.note_answer(reply.instance, good=False, reason=str(error))
            self._sender.note_run(reply.instance, work.fingerprint, is_whole=False)
            decision = self._after_unknown(work, Unknown(str(error)))
            return self._failure(work, decision, str(error))
        finally:
            reply.close()
        self._sender.note_run(reply.instance, work.fingerprint, is_whole=True)
        is_failure = reply.head.status >= 500
        self._sender.note_answer(
            reply.instance, good=not is_failure, reason=f"status {reply.head.status}"
        )
        if is_failure:
            may_retry = work.policy.may_run_again and self._gate.admits(
                work, SendStep.RUN
            )
            if work.policy.after_failure(left_s=work.left_s, may_retry=may_retry):
                return None
        await answer.pass_on(reply.head, reply.facts, body)
        return None
