"""The ledger of calls that must not be repeated."""

from damaskridge.core.state.data import Intent, StateData, refused
from damaskridge.core.state.ownership import is_live
from damaskridge.model.control import (
    CommandResult,
    LedgerRecord,
    LedgerState,
    RecordIntent,
    RecordResult,
)
from damaskridge.model.errors import ErrorKind

__all__ = [
    "KEPT_BODY_BYTES",
    "RETENTION_MS",
    "end_session_intents",
    "find_intent",
    "ledger_key",
    "prune_ledger",
    "record_intent",
    "record_of",
    "record_result",
]

RETENTION_MS = 24 * 3600 * 1000
# A larger body would stand in every snapshot of the log. The record then says
# finished without a body, and the replay has only the status.
KEPT_BODY_BYTES = 256 * 1024


def ledger_key(workspace: str, idempotency_key: str) -> str:
    """Return a name that no other pair shares, whatever the characters."""
    return f"{len(workspace)}/{workspace}/{idempotency_key}"


def find_intent(data: StateData, workspace: str, idempotency_key: str) -> Intent | None:
    """Return the ledger's entry of a call."""
    return data.ledger.get(ledger_key(workspace, idempotency_key))


def record_of(intent: Intent) -> LedgerRecord:
    """Return the answer to a repeated call."""
    return LedgerRecord(intent.state, intent.status, intent.content_type, intent.body)


def record_intent(data: StateData, command: RecordIntent) -> CommandResult:
    """Allow the call once; later callers learn what became of it."""
    intent = find_intent(data, command.workspace, command.idempotency_key)
    if intent is not None:
        if intent.body_digest != command.body_digest:
            return refused(ErrorKind.IDEMPOTENCY_CONFLICT)
        return CommandResult(ledger=record_of(intent))
    if not is_live(data, command.host, command.session):
        return refused(ErrorKind.SESSION_ENDED, command.host)
    key = ledger_key(command.workspace, command.idempotency_key)
    data.ledger[key] = Intent(
        intent_id=command.command_id,
        body_digest=command.body_digest,
        host=command.host,
        session=command.session,
        at_ms=data.now_ms,
    )
    return CommandResult(ledger=LedgerRecord(LedgerState.NEW))


def record_result(data: StateData, command: RecordResult) -> CommandResult:
    """Store the result of a call in progress, or remove a call that never left."""
    intent = find_intent(data, command.workspace, command.idempotency_key)
    if intent is None or intent.intent_id != command.intent_id:
        return refused(ErrorKind.UNKNOWN_REQUEST)
    if intent.state is LedgerState.UNKNOWN:
        return refused(ErrorKind.SESSION_ENDED, intent.host)
    if intent.state is LedgerState.FINISHED:
        return CommandResult(ledger=record_of(intent))
    if command.not_run:
        del data.ledger[ledger_key(command.workspace, command.idempotency_key)]
        return CommandResult()
    intent.state = LedgerState.FINISHED
    intent.at_ms = data.now_ms
    intent.status = command.status
    intent.content_type = command.content_type
    if len(command.body) <= KEPT_BODY_BYTES:
        intent.body = command.body
    return CommandResult()


def end_session_intents(data: StateData, host: str, session: int) -> None:
    """Mark what a session left without a result as unknown for good."""
    for intent in data.ledger.values():
        if intent.state is not LedgerState.IN_PROGRESS:
            continue
        if (intent.host, intent.session) == (host, session):
            intent.state = LedgerState.UNKNOWN
            intent.at_ms = data.now_ms


def prune_ledger(data: StateData) -> None:
    """Remove entries past their retention, but none still in progress."""
    oldest_ms = data.now_ms - RETENTION_MS
    data.ledger = {
        key: intent
        for key, intent in data.ledger.items()
        if intent.at_ms >= oldest_ms or intent.state is LedgerState.IN_PROGRESS
    }
