"""Claims the answer of a request with an idempotency key before its last chunk.

The rate owner and the front remember keys in memory only. When both are lost, a
request that is sent again runs again; the ledger then lets only one run end.
"""

from damaskridge.adapters.front_context import FrontContext
from damaskridge.model.control import LedgerState, RecordIntent, RecordResult
from damaskridge.model.errors import ErrorKind, Failure, RunState

__all__ = ["claim_answer"]

# No header can contain it, so keys of calls to plain services stay apart.
_PREFIX = "model\x00"
_ANSWERED_STATUS = 200


async def claim_answer(
    context: FrontContext,
    *,
    request_id: str,
    workspace: str,
    idempotency_key: str,
    body_digest: str,
) -> Failure | None:
    """
    Return why the last chunk may not be delivered, `None` if it may.

    The call may be repeated; the control group answers it as it did first.
    """
    session = context.control.session
    if session is None:
        return _unknown("no session with the control group")
    intent = RecordIntent(
        command_id=f"{request_id}-answer-{session.number}",
        workspace=workspace,
        idempotency_key=_PREFIX + idempotency_key,
        body_digest=body_digest,
        host=context.host,
        session=session.number,
    )
    committed = await context.control.propose(intent)
    if committed.failure is not None:
        return _unknown(committed.failure.kind.value)
    if committed.ledger is None or committed.ledger.state is not LedgerState.NEW:
        return _unknown("a request with this idempotency key was answered before")
    result = RecordResult(
        command_id=f"{intent.command_id}-result",
        workspace=workspace,
        idempotency_key=intent.idempotency_key,
        intent_id=intent.command_id,
        status=_ANSWERED_STATUS,
    )
    context.start(_record(context, result))
    return None


async def _record(context: FrontContext, result: RecordResult) -> None:
    # If it is lost, the end of the session closes the record.
    await context.control.propose(result)


def _unknown(detail: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail, run_state=RunState.RAN)
