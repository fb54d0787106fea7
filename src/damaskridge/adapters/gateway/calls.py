"""Forwards calls to plain services, that is, to servers that are not engines."""

import logging

from damaskridge.adapters.gateway.admitted_request import AdmittedRequest
from damaskridge.adapters.gateway.connections import ConnectionBroken
from damaskridge.adapters.gateway.crash_monitor import CrashMonitor
from damaskridge.adapters.gateway.outcomes import NotRun, OpenReply, Unknown
from damaskridge.adapters.gateway.responses import CallerResponse
from damaskridge.adapters.gateway.retry_gate import RetryGate
from damaskridge.adapters.gateway.sender import Sender
from damaskridge.adapters.gateway.server_choice import ServerChoice
from damaskridge.adapters.gateway.server_permits import ServerPermits
from damaskridge.adapters.observability.events import log_event
from damaskridge.core.gateway.instances import InstanceRegistry
from damaskridge.core.gateway.placement.load_tracker import LoadTracker
from damaskridge.core.gateway.retry_after import RetryAfterTimes
from damaskridge.core.gateway.send_account import SendStep
from damaskridge.core.gateway.send_policy import Fail, Retry
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance

__all__ = ["CallForwarder"]

logger = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 4_194_304
# A repeatable call is sent to another server if there is no response after this
# multiple of the route's objective. By then the response would be late in any case.
RESPONSE_TIMEOUT_OBJECTIVES = 2.5
# With a shorter timeout, a pause of the operating system would look like a server that
# doesn't respond.
MIN_RESPONSE_TIMEOUT_S = 0.25


class CallForwarder:
    """
    Sends a call to one server after another until one responds.

    How often a call may be sent depends on its kind and on the retry budget.

    Parameters
    ----------
    sender, registry, load : Sender, InstanceRegistry, LoadTracker
        Objects that all forwarders of the host share.
    data_centre : str
        Data centre of this host.
    gate : RetryGate
        Checks requests against the retry budget before they are sent.
    refusals : RetryAfterTimes
        Computes after what time refused callers may retry.
    permits : ServerPermits
        Obtains permits for requests to servers with a limit.
    crashes : CrashMonitor
        Decides which requests are refused because they crash servers.
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
        permits: ServerPermits,
        crashes: CrashMonitor,
    ) -> None:
        self._sender = sender
        self._registry = registry
        self._load = load
        self._gate = gate
        self._refusals = refusals
        self._crashes = crashes
        self._choice = ServerChoice(
            registry=registry,
            load=load,
            data_centre=data_centre,
            permits=permits,
            refusals=refusals,
        )

    async def forward(
        self, admitted: AdmittedRequest, response: CallerResponse
    ) -> None:
        """Forward a call and send the caller the service's response, or a failure."""
        tried: set[str] = set()
        while True:
            quarantined = self._crashes.failure(admitted)
            if quarantined is not None:
                await response.refuse(quarantined)
                return
            instance, candidates = await self._choice.choose(admitted, tried)
            if instance is None:
                await response.refuse(self._choice.no_server_failure(admitted))
                return
            tried.add(instance.instance)
            failure = await self._send_once(admitted, response, instance, candidates)
            if failure is not None:
                await response.refuse(failure)
                return
            if response.is_complete:
                return

    async def _send_once(
        self,
        admitted: AdmittedRequest,
        response: CallerResponse,
        instance: BackendInstance,
        candidates: int,
    ) -> Failure | None:
        """
        Send the call to one server.

        Returns
        -------
        Failure or None
            The failure to respond with. None if the response is complete, or if the
            call is to be sent to another server.
        """
        policy, name = admitted.policy, instance.instance
        policy.record_send()
        response.attempts = policy.sends
        load = self._load.load_on(name).requests
        log_event(
            logger,
            EventNumber.REQUEST_SENT,
            request_id=admitted.request.request_id,
            instance=name,
            software_version=instance.software_version,
            step="call",
            attempt=policy.sends,
            load=load,
            candidates=candidates,
            list_age_ms=round((admitted.now_s - self._registry.confirmed_s) * 1000),
        )
        self._load.start(admitted.request.request_id, name, InstanceLoad(requests=1))
        try:
            outcome = await self._sender.send(
                instance,
                admitted,
                response_timeout_s=self._response_timeout_s(admitted, candidates),
                fresh=not policy.is_repeatable,
            )
            if isinstance(outcome, OpenReply):
                return await self._forward_response(admitted, response, outcome)
        finally:
            self._load.finish(admitted.request.request_id, name)
        if isinstance(outcome, NotRun):
            may_retry = self._gate.admits(admitted, SendStep.RUN)
            decision = policy.after_not_run(
                left_s=admitted.remaining_s, may_retry=may_retry
            )
        else:
            await self._sender.record_interrupted_run(instance, admitted, outcome)
            decision = self._decide_after_unknown(admitted, outcome)
        return self._failure_of(admitted, decision, outcome.reason)

    def _decide_after_unknown(
        self, admitted: AdmittedRequest, outcome: Unknown
    ) -> Retry | Fail:
        return admitted.policy.after_unknown(
            left_s=admitted.remaining_s,
            may_retry=admitted.policy.may_run_again
            and self._gate.admits(admitted, SendStep.RUN),
            timed_out=outcome.timed_out,
        )

    def _failure_of(
        self, admitted: AdmittedRequest, decision: Retry | Fail, reason: str
    ) -> Failure | None:
        """Return the failure to respond with; None if the call is to be retried."""
        if not isinstance(decision, Fail):
            return None
        retry_after_s = None
        if decision.kind is ErrorKind.OVERLOADED:
            retry_after_s = self._refusals.overloaded_s(admitted.remaining_s)
        return decision.failure(reason, retry_after_s)

    def _response_timeout_s(self, admitted: AdmittedRequest, candidates: int) -> float:
        """Return the time limit for the response of one server."""
        remaining_s = max(0.0, admitted.route_remaining_s)
        if not admitted.policy.may_run_again or candidates < 2:
            return remaining_s
        response_timeout_s = (
            RESPONSE_TIMEOUT_OBJECTIVES * admitted.route.objective_ms / 1000
        )
        return min(remaining_s, max(MIN_RESPONSE_TIMEOUT_S, response_timeout_s))

    async def _forward_response(
        self,
        admitted: AdmittedRequest,
        response: CallerResponse,
        server_response: OpenReply,
    ) -> Failure | None:
        """Forward the response; the result has the same meaning as in `_send_once`."""
        try:
            body = await server_response.read_body(MAX_RESPONSE_BYTES)
            await self._sender.check_complete(server_response)
        except ConnectionBroken as error:
            self._sender.record_response(
                server_response.instance, good=False, reason=str(error)
            )
            outcome = Unknown(str(error), is_broken=True)
            await self._sender.record_interrupted_run(
                server_response.instance, admitted, outcome
            )
            decision = self._decide_after_unknown(admitted, outcome)
            return self._failure_of(admitted, decision, str(error))
        finally:
            server_response.close()
        self._sender.record_complete_run(admitted, server_response)
        is_failure = server_response.head.status >= 500
        self._sender.record_response(
            server_response.instance,
            good=not is_failure,
            reason=f"status {server_response.head.status}",
        )
        if is_failure:
            may_retry = admitted.policy.may_run_again and self._gate.admits(
                admitted, SendStep.RUN
            )
            if admitted.policy.after_failure(
                left_s=admitted.remaining_s, may_retry=may_retry
            ):
                return None
        await response.forward(server_response.head, server_response.metadata, body)
        return None
