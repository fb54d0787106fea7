"""Claim the response to a request with an idempotency key before its last chunk.

The rate owner and the front store idempotency keys in memory only. If both are lost, a
request that the caller retries runs a second time. The ledger of the control group then
lets only one of the runs deliver its last chunk.
"""

import asyncio

from damaskridge.adapters.front_context import FrontContext
from damaskridge.model.control import (
    Command,
    CommandResult,
    LedgerState,
    RecordIntent,
    RecordResult,
)
from damaskridge.model.errors import ErrorKind, Failure, RunState

__all__ = ["ResponseClaim"]

# Separates these keys from those of calls to plain services: no header can contain a
# null character.
_KEY_PREFIX = "model\x00"
_COMPLETED_STATUS = 200
_COMMIT_RETRY_DELAY_S = 0.25


class ResponseClaim:
    """
    The claim of one request, which is acquired at most once.

    Parameters
    ----------
    context : FrontContext
        Shared state of the front.
    request_id, workspace, idempotency_key, body_digest : str
        Identify the request and its body.
    """

    def __init__(
        self,
        context: FrontContext,
        *,
        request_id: str,
        workspace: str,
        idempotency_key: str,
        body_digest: str,
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._workspace = workspace
        self._key = _KEY_PREFIX + idempotency_key
        self._body_digest = body_digest
        self._intent: RecordIntent | None = None
        self._task: asyncio.Task[Failure | None] | None = None

    async def acquire(self) -> Failure | None:
        """
        Return why the last chunk may not be delivered, or `None` if it may.

        Further calls return the result of the first.
        """
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._propose())
        # The step that waits here is cancelled if its engine stream is replaced. The
        # step for the new stream then waits for the same task.
        return await asyncio.shield(self._task)

    def close(self, *, completed: bool) -> None:
        """Record in the ledger how the request ended."""
        if self._intent is not None:
            self._context.start_task(self._close(self._intent, completed))

    async def _propose(self) -> Failure | None:
        session = self._context.control.session
        if session is None:
            return _outcome_unknown("no session with the control group")
        self._intent = RecordIntent(
            command_id=f"{self._request_id}-answer",
            workspace=self._workspace,
            idempotency_key=self._key,
            body_digest=self._body_digest,
            host=self._context.host,
            session=session.number,
        )
        committed = await self._context.control.propose(self._intent)
        if committed.failure is not None:
            return _outcome_unknown(committed.failure.kind.value)
        if not _is_new(committed):
            return _outcome_unknown(
                "a request with this idempotency key was answered before"
            )
        return None

    async def _close(self, intent: RecordIntent, completed: bool) -> None:
        # The intent may have been committed although its first proposal failed. As
        # commands are deduplicated by id, proposing it a second time shows the
        # outcome.
        committed = await self._commit(intent, intent.session)
        if committed is None or not _is_new(committed):
            return
        result = RecordResult(
            command_id=f"{intent.command_id}-result",
            workspace=intent.workspace,
            idempotency_key=intent.idempotency_key,
            intent_id=intent.command_id,
            status=_COMPLETED_STATUS if completed else 0,
            not_run=not completed,
        )
        await self._commit(result, intent.session)

    async def _commit(self, command: Command, session: int) -> CommandResult | None:
        """
        Retry a command until it is committed or the session has ended.

        When a session ends, the control group closes its open intents itself.
        """
        current = self._context.control.session
        while current is not None and current.number == session:
            committed = await self._context.control.propose(command)
            if committed.failure is None or committed.index:
                return committed
            await asyncio.sleep(_COMMIT_RETRY_DELAY_S)
            current = self._context.control.session
        return None


def _is_new(committed: CommandResult) -> bool:
    record = committed.ledger
    return record is not None and record.state is LedgerState.NEW


def _outcome_unknown(detail: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail, run_state=RunState.RAN)
