"""Run calls to plain services; the ledger guards calls that must not run twice."""

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.front_context import (
    FrontContext,
    request_placement,
    reserve_rate,
    send_progress,
)
from damaskridge.adapters.front_events import RequestEventLogger
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import ServiceCall, ServiceResponse
from damaskridge.core.state.fleet_queries import workspace_resource
from damaskridge.model.bundle import Route
from damaskridge.model.control import (
    Command,
    CommandResult,
    LedgerState,
    RecordIntent,
    RecordResult,
)
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import (
    Placement,
    Progress,
    RateGrant,
    RateRequest,
    Refund,
    RequestPhase,
    RequestProfile,
    Withdraw,
)

__all__ = ["RouteCall", "RunningServiceCall"]

_logger = logging.getLogger(__name__)
_MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteCall:
    """
    A validated request to a plain service.

    Attributes
    ----------
    request_id, workspace, key_digest : str
        The request, its workspace, and the digest of the caller's key. Workspace and
        digest are empty for a route that is open to all.
    route : Route
        The configured route.
    call : ServiceCall
        The HTTP request to send to an instance of the service.
    idempotency_key, body_digest : str
        The idempotency key, if any, and a digest by which another body with the same
        key is refused.
    """

    request_id: str
    workspace: str
    key_digest: str
    route: Route
    call: ServiceCall
    idempotency_key: str = ""
    body_digest: str = ""


class RunningServiceCall:
    """
    One call to a plain service, with all its attempts.

    Attributes
    ----------
    is_sent : bool
        Whether the current attempt may have been sent to an instance. A call that may
        have been sent isn't cancelled any more.
    cancel_kind : ErrorKind
        The reason to report if the call is cancelled while it is queued.
    task : asyncio.Task or None
        The task that runs the call.
    """

    def __init__(self, context: FrontContext, call: RouteCall) -> None:
        self._context = context
        self._loop = asyncio.get_running_loop()
        self.call = call
        self.accepted_s = self._loop.time()
        self.events = RequestEventLogger(
            call.request_id, call.workspace, self._loop.time, "service"
        )
        self.is_sent = False
        self.cancel_kind = ErrorKind.CANCELLED
        self.task: asyncio.Task[None] | None = None
        self.profile: RequestProfile | None = None
        self.placement: Placement | None = None
        self._attempt = 0
        self._output_tokens = 0
        self._grant: RateGrant | None = None
        self._is_intent_proposed = False
        self._may_have_run = False

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.call.request_id

    def progress(self) -> Progress:
        """Return the progress to report to the cell owner."""
        return self._progress(RequestPhase.DECODING if self.is_sent else _QUEUED)

    def cancel_for_withdrawn_key(self) -> None:
        """Cancel the call, because its key was withdrawn, if it is still queued."""
        self.cancel_kind = ErrorKind.KEY_WITHDRAWN
        self.cancel_if_queued()

    def cancel_if_queued(self) -> None:
        """Cancel the call if it is queued; a call that was placed is completed."""
        queued = self.placement is None and not self._is_intent_proposed
        if self.task is not None and queued and not self._may_have_run:
            self.task.cancel()

    async def run(self) -> Result[ServiceResponse, Failure]:
        """Return the response of the service, or why there is none."""
        route = self.call.route
        if not route.repeatable and not self.call.idempotency_key:
            return Err(Failure(ErrorKind.IDEMPOTENCY_KEY_MISSING))
        if not route.open_to_all:
            failure = await self._reserve_rate()
            if failure is not None:
                return Err(failure)
        try:
            result = await self._run_attempts()
        except asyncio.CancelledError:
            self._context.start_task(self._release_reservations())
            raise
        if (
            isinstance(result, Err)
            and result.err_value.final_run_state is RunState.NOT_RUN
        ):
            await self._refund()
        return result

    async def _reserve_rate(self) -> Failure | None:
        call = self.call
        request = RateRequest(
            resource=workspace_resource(call.workspace),
            epoch=0,
            workspace=call.workspace,
            request_id=call.request_id,
            front=self._context.host,
            cost_tokens=call.route.cost_tokens,
            wait_s=self._context.settings.rate_wait_s,
        )
        response = await reserve_rate(self._context, request)
        if isinstance(response, RateGrant):
            self._grant = response
            self.events.log_granted(response.waited_s)
            return None
        return getattr(response, "failure", Failure(ErrorKind.IDEMPOTENCY_IN_PROGRESS))

    async def _refund(self) -> None:
        if self._grant is None:
            return
        refund = Refund(
            resource=workspace_resource(self.call.workspace),
            epoch=self._grant.epoch,
            workspace=self.call.workspace,
            request_id=self.request_id,
            tokens=self.call.route.cost_tokens,
        )
        await self._context.owners.send_best_effort(self._context.rates.refund(refund))

    async def _release_reservations(self) -> None:
        """Return the tokens, and withdraw the request from the cell owner."""
        await self._refund()
        profile = self.profile
        if profile is None:
            return
        context = self._context
        withdraw = Withdraw(
            resource=profile.resource, epoch=profile.epoch, request_id=self.request_id
        )
        await context.owners.send_best_effort(context.cells.withdraw(withdraw))
        progress = self._progress(RequestPhase.CANCELLED)
        await send_progress(context, profile.resource, (progress,))

    async def _run_attempts(self) -> Result[ServiceResponse, Failure]:
        excluded: tuple[str, ...] = ()
        while True:
            self._attempt += 1
            self.events.log_placement_requested(self._attempt)
            placement = await self._request_placement(excluded)
            if isinstance(placement, Failure):
                return Err(_correct_run_state(placement, self._may_have_run))
            result = await self._run_attempt(placement)
            if isinstance(result, Ok):
                return result
            self._may_have_run |= (
                result.err_value.final_run_state is not RunState.NOT_RUN
            )
            if not self.call.route.repeatable or self._attempt >= _MAX_ATTEMPTS:
                return Err(_correct_run_state(result.err_value, self._may_have_run))
            if result.err_value.kind not in _RETRIED_KINDS:
                return Err(_correct_run_state(result.err_value, self._may_have_run))
            excluded = (*excluded, placement.decode_server)

    async def _request_placement(
        self, excluded: tuple[str, ...]
    ) -> Placement | Failure:
        call = self.call
        profile = RequestProfile(
            resource="",
            epoch=0,
            request_id=call.request_id,
            attempt=self._attempt,
            workspace=call.workspace,
            front=self._context.host,
            incarnation=self._context.incarnation,
            route=call.call.path,
            model=call.route.service,
            prompt_tokens=0,
            max_output_tokens=0,
            waited_s=self._loop.time() - self.accepted_s,
            excluded=excluded,
        )
        response = await request_placement(self._context, profile, self._set_profile)
        if not isinstance(response, Placement):
            return response.failure
        self.placement = response
        self.events.log_placed(response)
        return response

    def _set_profile(self, profile: RequestProfile) -> None:
        self.profile = profile

    async def _run_attempt(
        self, placement: Placement
    ) -> Result[ServiceResponse, Failure]:
        failed_server = ""
        try:
            if self.call.route.repeatable:
                result = await self._send(placement)
            else:
                result = await self._send_with_ledger(placement)
            if isinstance(result, Err) and result.err_value.kind in _RETRIED_KINDS:
                failed_server = placement.decode_server
            return result
        finally:
            self.is_sent = False
            await self._report_attempt_end(failed_server)

    async def _send(self, placement: Placement) -> Result[ServiceResponse, Failure]:
        if not self.call.route.open_to_all:
            # The key may have been withdrawn while the call was queued.
            await self._context.wait_for_lease()
            failure = self._context.check_key(self.call.key_digest)
            if failure is not None:
                return Err(failure)
        self.is_sent = True
        call = self._context.services.call(placement.decode_address, self.call.call)
        try:
            return await asyncio.wait_for(
                call, self._context.settings.service_timeout_s
            )
        except TimeoutError:
            return Err(Failure(ErrorKind.BACKEND_SERVER_TIMEOUT))

    async def _send_with_ledger(
        self, placement: Placement
    ) -> Result[ServiceResponse, Failure]:
        """Send a call that must not run twice, after its intent is committed."""
        call = self.call
        session = self._context.control.session
        if session is None:
            return Err(Failure(ErrorKind.LEASE_EXPIRED, retry_after_s=1.0))
        intent = RecordIntent(
            command_id=f"{self.request_id}-intent",
            workspace=call.workspace,
            idempotency_key=call.idempotency_key,
            body_digest=call.body_digest,
            host=self._context.host,
            session=session.number,
        )
        self._is_intent_proposed = True
        committed = await self._propose(intent)
        if committed.failure is not None:
            return Err(committed.failure)
        record = committed.ledger
        assert record is not None, "a committed intent returns a ledger record"
        self._log(EventNumber.LEDGER_INTENT, state=record.state.value)
        if record.state is LedgerState.FINISHED:
            self._log(EventNumber.LEDGER_REPLAYED, status=record.status)
            return Ok(ServiceResponse(record.status, record.content_type, record.body))
        if record.state is not LedgerState.NEW:
            return Err(Failure(_LEDGER_REFUSALS[record.state]))
        current = self._context.control.session
        if current is None or current.number != session.number:
            result: Result[ServiceResponse, Failure] = Err(
                Failure(ErrorKind.SESSION_ENDED, retry_after_s=1.0)
            )
        else:
            result = await self._send(placement)
        return await self._record_result(intent, result)

    async def _record_result(
        self, intent: RecordIntent, result: Result[ServiceResponse, Failure]
    ) -> Result[ServiceResponse, Failure]:
        not_run = (
            isinstance(result, Err)
            and result.err_value.final_run_state is RunState.NOT_RUN
        )
        response = (
            result.ok_value
            if isinstance(result, Ok)
            else _outcome_unknown_response(self)
        )
        record = RecordResult(
            command_id=f"{self.request_id}-result",
            workspace=intent.workspace,
            idempotency_key=intent.idempotency_key,
            intent_id=intent.command_id,
            status=0 if not_run else response.status,
            content_type="" if not_run else response.content_type,
            body=b"" if not_run else response.body,
            not_run=not_run,
        )
        committed = await self._propose(record)
        if committed.failure is None:
            self._log(EventNumber.LEDGER_RESULT, status=record.status)
        if committed.failure is not None and not not_run:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the result is not recorded"))
        if isinstance(result, Err) and not not_run:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, result.err_value.kind.value))
        return result

    def log_end(
        self, result: Result[ServiceResponse, Failure], cancelled: bool
    ) -> None:
        """Log the outcome of the call."""
        failure = result.err_value if isinstance(result, Err) else None
        self.events.log_ended(failure, cancelled, self._output_tokens, self._attempt)

    def _log(self, number: EventNumber, **fields: Any) -> None:
        log_event(_logger, number, request_id=self.request_id, **fields)

    async def _propose(self, command: Command) -> CommandResult:
        return await self._context.control.propose(command)

    async def _report_attempt_end(self, failed_server: str) -> None:
        if self.profile is None:
            return
        self._output_tokens = 1
        progress = self._progress(RequestPhase.FINISHED, failed_server)
        await send_progress(self._context, self.profile.resource, (progress,))
        self.placement = None

    def _progress(self, phase: RequestPhase, failed_server: str = "") -> Progress:
        return Progress(
            request_id=self.request_id,
            attempt=max(1, self._attempt),
            phase=phase,
            output_tokens=self._output_tokens,
            failed_server=failed_server,
        )


_QUEUED = RequestPhase.QUEUED
_RETRIED_KINDS = frozenset(
    {ErrorKind.BACKEND_SERVER_FAILED, ErrorKind.BACKEND_SERVER_TIMEOUT}
)
_LEDGER_REFUSALS = {
    LedgerState.IN_PROGRESS: ErrorKind.IDEMPOTENCY_IN_PROGRESS,
    LedgerState.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
}


def _correct_run_state(failure: Failure, may_have_run: bool) -> Failure:
    """Return the failure, not claiming "not run" if an earlier attempt may have run."""
    if may_have_run and failure.final_run_state is RunState.NOT_RUN:
        return msgspec.structs.replace(failure, run_state=RunState.UNKNOWN)
    return failure


def _outcome_unknown_response(run: RunningServiceCall) -> ServiceResponse:
    # Stored in the ledger, and sent for each later call with the same key, which is
    # never sent to an instance.
    error = {
        "kind": ErrorKind.OUTCOME_UNKNOWN.value,
        "message": "the connection broke after the call had left",
        "run": RunState.UNKNOWN.value,
        "request_id": run.request_id,
        "retry_after_s": None,
    }
    body = msgspec.json.encode({"error": error})
    return ServiceResponse(502, "application/json", body)
