"""The ledger of calls that must not be repeated."""

from damaskridge.core.state.data import Intent, StateData, refused
from damaskridge.core.state.ownership import is_live_session
from damaskridge.model.control import (
    CommandResult,
    LedgerRecord,
    LedgerState,
    RecordIntent,
    RecordResult,
)
from damaskridge.model.errors import ErrorKind, Failure

__all__ = [
    "KEPT_BODY_BYTES",
    "RETENTION_MS",
    "WORKSPACE_BYTES",
    "end_session_intents",
    "find_intent",
    "ledger_key",
    "prune_ledger",
    "record_intent",
    "to_ledger_record",
    "record_result",
]

RETENTION_MS = 24 * 3600 * 1000
# A larger body would stand in every snapshot of the log. The record then says
# finished without a body, and the replay has only the status.
KEPT_BODY_BYTES = 256 * 1024
# Some 4,000 calls a day with results of 1 KB. A record is never dropped before its
# retention has passed, because its call could then run again.
WORKSPACE_BYTES = 4 * 1024 * 1024
# Bounds the snapshots of the log.
TOTAL_BYTES = 128 * 1024 * 1024
RECORD_BYTES = 200
# The ledger is pruned once a minute.
FULL_RETRY_S = 60.0


def ledger_key(workspace: str, idempotency_key: str) -> str:
    """Return a name that no other pair shares, whatever the characters."""
    return f"{len(workspace)}/{workspace}/{idempotency_key}"


def find_intent(data: StateData, workspace: str, idempotency_key: str) -> Intent | None:
    """Return the ledger's entry of a call."""
    return data.ledger.get(ledger_key(workspace, idempotency_key))


def to_ledger_record(intent: Intent) -> LedgerRecord:
    """Return the answer to a repeated call."""
    return LedgerRecord(intent.state, intent.status, intent.content_type, intent.body)


def record_intent(data: StateData, command: RecordIntent) -> CommandResult:
    """Allow the call once; later callers learn what became of it."""
    intent = find_intent(data, command.workspace, command.idempotency_key)
    if intent is not None:
        if intent.body_digest != command.body_digest:
            return refused(ErrorKind.IDEMPOTENCY_CONFLICT)
        return CommandResult(ledger=to_ledger_record(intent))
    if not is_live_session(data, command.host, command.session):
        return refused(ErrorKind.SESSION_ENDED, command.host)
    key = ledger_key(command.workspace, command.idempotency_key)
    intent = Intent(
        intent_id=command.command_id,
        body_digest=command.body_digest,
        host=command.host,
        session=command.session,
        at_ms=data.now_ms,
    )
    if not _fits(data, key, _size_bytes(key, intent)):
        detail = f"the ledger of {command.workspace} is full"
        return CommandResult(
            Failure(ErrorKind.OVERLOADED, detail, retry_after_s=FULL_RETRY_S)
        )
    data.ledger[key] = intent
    _count(data, key, _size_bytes(key, intent))
    data.open_intents.setdefault(str(command.session), {})[key] = True
    return CommandResult(ledger=LedgerRecord(LedgerState.NEW))


def record_result(data: StateData, command: RecordResult) -> CommandResult:
    """Store the result of a call in progress, or remove a call that never left."""
    intent = find_intent(data, command.workspace, command.idempotency_key)
    if intent is None or intent.intent_id != command.intent_id:
        return refused(ErrorKind.UNKNOWN_REQUEST)
    if intent.state is LedgerState.UNKNOWN:
        return refused(ErrorKind.SESSION_ENDED, intent.host)
    if intent.state is LedgerState.FINISHED:
        return CommandResult(ledger=to_ledger_record(intent))
    key = ledger_key(command.workspace, command.idempotency_key)
    _close(data, key, intent)
    if command.not_run:
        _remove(data, key)
        return CommandResult()
    _change(data, key, intent, LedgerState.FINISHED)
    intent.status = command.status
    kept_bytes = len(command.content_type) + len(command.body)
    # A call that has run cannot be refused any more; its record loses its body.
    if len(command.body) <= KEPT_BODY_BYTES and _fits(data, key, kept_bytes):
        intent.content_type = command.content_type
        intent.body = command.body
        _count(data, key, kept_bytes)
    return CommandResult()


def end_session_intents(data: StateData, session: int) -> None:
    """Mark what a session left without a result as unknown for good."""
    for key in data.open_intents.pop(str(session), {}):
        _change(data, key, data.ledger[key], LedgerState.UNKNOWN)


def prune_ledger(data: StateData) -> None:
    """Remove entries past their retention, but none still in progress."""
    oldest_ms = data.now_ms - RETENTION_MS
    expired = []
    for key, intent in data.ledger.items():
        if intent.at_ms >= oldest_ms:
            break
        if intent.state is not LedgerState.IN_PROGRESS:
            expired.append(key)
    for key in expired:
        _remove(data, key)


def _change(data: StateData, key: str, intent: Intent, state: LedgerState) -> None:
    """Change an entry's state and move it to the end of the order by time."""
    del data.ledger[key]
    data.ledger[key] = intent
    intent.state, intent.at_ms = state, data.now_ms


def _close(data: StateData, key: str, intent: Intent) -> None:
    session = str(intent.session)
    data.open_intents[session].pop(key)
    if not data.open_intents[session]:
        del data.open_intents[session]


def _remove(data: StateData, key: str) -> None:
    _count(data, key, -_size_bytes(key, data.ledger.pop(key)))


def _size_bytes(key: str, intent: Intent) -> int:
    return RECORD_BYTES + len(key) + len(intent.content_type) + len(intent.body)


def _workspace(key: str) -> str:
    length, _, rest = key.partition("/")
    return rest[: int(length)]


def _fits(data: StateData, key: str, size_bytes: int) -> bool:
    used_bytes = data.ledger_bytes.get(_workspace(key), 0)
    if used_bytes + size_bytes > WORKSPACE_BYTES:
        return False
    return sum(data.ledger_bytes.values()) + size_bytes <= TOTAL_BYTES


def _count(data: StateData, key: str, size_bytes: int) -> None:
    workspace = _workspace(key)
    used_bytes = data.ledger_bytes.get(workspace, 0) + size_bytes
    assert used_bytes >= 0, "a ledger below its empty size"
    if used_bytes:
        data.ledger_bytes[workspace] = used_bytes
    else:
        data.ledger_bytes.pop(workspace, None)
