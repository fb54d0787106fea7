"""Claims the answer of a request with an idempotency key before its last chunk.

The rate owner and the front remember keys in memory only. When both are lost, a
request that is sent again runs again; the ledger then lets only one run end.
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

# No header can contain it, so keys of calls to plain services stay apart.
_PREFIX = "model\x00"
_ANSWERED_STATUS = 200
_RETRY_S = 0.25


class ResponseClaim:
    """
    The claim of one request; asked for once, whoever waits for it.

    Parameters
    ----------
    context : FrontContext
        The front.
    request_id, workspace, idempotency_key, body_digest : str
        The request.
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
        self._key = _PREFIX + idempotency_key
        self._body_digest = body_digest
        self._intent: RecordIntent | None = None
        self._task: asyncio.Task[Failure | None] | None = None

    async def acquire(self) -> Failure | None:
        """Return why the last chunk may not be delivered, `None` if it may."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._ask())
        # The stream that waits may be replaced by a new one, which waits on.
        return await asyncio.shield(self._task)

    def settle(self, *, answered: bool) -> None:
        """Close the claim once the request has ended."""
        if self._intent is not None:
            self._context.start(self._settle(self._intent, answered))

    async def _ask(self) -> Failure | None:
        session = self._context.control.session
        if session is None:
            return _unknown("no session with the control group")
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
            return _unknown(committed.failure.kind.value)
        if not _is_new(committed):
            return _unknown("a request with this idempotency key was answered before")
        return None

    async def _settle(self, intent: RecordIntent, answered: bool) -> None:
        # Sent again to learn for certain whether it was committed.
        committed = await self._commit(intent, intent.session)
        if committed is None or not _is_new(committed):
            return
        result = RecordResult(
            command_id=f"{intent.command_id}-result",
            workspace=intent.workspace,
            idempotency_key=intent.idempotency_key,
            intent_id=intent.command_id,
            status=_ANSWERED_STATUS if answered else 0,
            not_run=not answered,
        )
        await self._commit(result, intent.session)

    async def _commit(self, command: Command, session: int) -> CommandResult | None:
        """Commit while the session lives; its end closes what is open."""
        held = self._context.control.session
        while held is not None and held.number == session:
            committed = await self._context.control.propose(command)
            if committed.failure is None or committed.index:
                return committed
            await asyncio.sleep(_RETRY_S)
            held = self._context.control.session
        return None


def _is_new(committed: CommandResult) -> bool:
    record = committed.ledger
    return record is not None and record.state is LedgerState.NEW


def _unknown(detail: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail, run_state=RunState.RAN)
