"""
The ledger of calls that must run at most once.

Before an entry host makes such a call it records an intent. A retry with the same
idempotency key receives the recorded state instead of running the call again.
"""

from damaskridge.core.state.data import Intent, StateData, refusal
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
    "LEDGER_RETENTION_MS",
    "MAX_BODY_BYTES",
    "MAX_WORKSPACE_BYTES",
    "end_session_intents",
    "find_intent",
    "ledger_key",
    "prune_ledger",
    "record_intent",
    "record_result",
    "to_ledger_record",
]

LEDGER_RETENTION_MS = 24 * 3600 * 1000
# Every snapshot of the log contains the bodies. The record of a call with a larger
# body is finished without one, so a replay has only the status.
MAX_BODY_BYTES = 256 * 1024
# Enough for some 4,000 calls a day with results of 1 KB. A full ledger refuses calls
# and does not remove records before their retention, because a retry would then run
# the call again.
MAX_WORKSPACE_BYTES = 4 * 1024 * 1024
# Limits the size of snapshots of the log.
MAX_TOTAL_BYTES = 128 * 1024 * 1024
RECORD_OVERHEAD_BYTES = 200
# Expired records are removed once a minute.
FULL_LEDGER_RETRY_S = 60.0


def ledger_key(workspace: str, idempotency_key: str) -> str:
    """Return a unique key for the pair, whatever characters the names contain."""
    return f"{len(workspace)}/{workspace}/{idempotency_key}"


def find_intent(data: StateData, workspace: str, idempotency_key: str) -> Intent | None:
    """Return the ledger entry of a call, or None."""
    return data.ledger.get(ledger_key(workspace, idempotency_key))


def to_ledger_record(intent: Intent) -> LedgerRecord:
    """Return the record that a retry of the call receives."""
    return LedgerRecord(intent.state, intent.status, intent.content_type, intent.body)


def record_intent(data: StateData, command: RecordIntent) -> CommandResult:
    """Allow the call if it is new; otherwise return the record of the first one."""
    intent = find_intent(data, command.workspace, command.idempotency_key)
    if intent is not None:
        if intent.body_digest != command.body_digest:
            return refusal(ErrorKind.IDEMPOTENCY_CONFLICT)
        return CommandResult(ledger=to_ledger_record(intent))
    if not is_live_session(data, command.host, command.session):
        return refusal(ErrorKind.SESSION_ENDED, command.host)
    key = ledger_key(command.workspace, command.idempotency_key)
    intent = Intent(
        intent_id=command.command_id,
        body_digest=command.body_digest,
        host=command.host,
        session=command.session,
        at_ms=data.now_ms,
    )
    if not _fits_limits(data, key, _entry_size_bytes(key, intent)):
        detail = f"the ledger of {command.workspace} is full"
        return CommandResult(
            Failure(ErrorKind.OVERLOADED, detail, retry_after_s=FULL_LEDGER_RETRY_S)
        )
    data.ledger[key] = intent
    _add_used_bytes(data, key, _entry_size_bytes(key, intent))
    data.open_intents.setdefault(str(command.session), {})[key] = True
    return CommandResult(ledger=LedgerRecord(LedgerState.NEW))


def record_result(data: StateData, command: RecordResult) -> CommandResult:
    """Store the result of a call in progress, or remove a call that was not sent."""
    intent = find_intent(data, command.workspace, command.idempotency_key)
    if intent is None or intent.intent_id != command.intent_id:
        return refusal(ErrorKind.UNKNOWN_REQUEST)
    if intent.state is LedgerState.UNKNOWN:
        return refusal(ErrorKind.SESSION_ENDED, intent.host)
    if intent.state is LedgerState.FINISHED:
        return CommandResult(ledger=to_ledger_record(intent))
    key = ledger_key(command.workspace, command.idempotency_key)
    _remove_open_intent(data, key, intent)
    if command.not_run:
        _remove_entry(data, key)
        return CommandResult()
    _set_state(data, key, intent, LedgerState.FINISHED)
    intent.status = command.status
    kept_bytes = len(command.content_type) + len(command.body)
    # The call has already run, so a result that does not fit cannot be refused. It is
    # stored without its body.
    if len(command.body) <= MAX_BODY_BYTES and _fits_limits(data, key, kept_bytes):
        intent.content_type = command.content_type
        intent.body = command.body
        _add_used_bytes(data, key, kept_bytes)
    return CommandResult()


def end_session_intents(data: StateData, session: int) -> None:
    """Set the calls in progress of an ended session to unknown, permanently."""
    for key in data.open_intents.pop(str(session), {}):
        _set_state(data, key, data.ledger[key], LedgerState.UNKNOWN)


def prune_ledger(data: StateData) -> None:
    """Remove expired entries, except those in progress."""
    oldest_ms = data.now_ms - LEDGER_RETENTION_MS
    expired = []
    for key, intent in data.ledger.items():
        if intent.at_ms >= oldest_ms:
            break
        if intent.state is not LedgerState.IN_PROGRESS:
            expired.append(key)
    for key in expired:
        _remove_entry(data, key)


def _set_state(data: StateData, key: str, intent: Intent, state: LedgerState) -> None:
    """Set the state of an entry and move it to the end, to keep the order by time."""
    del data.ledger[key]
    data.ledger[key] = intent
    intent.state, intent.at_ms = state, data.now_ms


def _remove_open_intent(data: StateData, key: str, intent: Intent) -> None:
    session = str(intent.session)
    data.open_intents[session].pop(key)
    if not data.open_intents[session]:
        del data.open_intents[session]


def _remove_entry(data: StateData, key: str) -> None:
    _add_used_bytes(data, key, -_entry_size_bytes(key, data.ledger.pop(key)))


def _entry_size_bytes(key: str, intent: Intent) -> int:
    return (
        RECORD_OVERHEAD_BYTES + len(key) + len(intent.content_type) + len(intent.body)
    )


def _workspace_of_key(key: str) -> str:
    length, _, rest = key.partition("/")
    return rest[: int(length)]


def _fits_limits(data: StateData, key: str, size_bytes: int) -> bool:
    used_bytes = data.ledger_bytes.get(_workspace_of_key(key), 0)
    if used_bytes + size_bytes > MAX_WORKSPACE_BYTES:
        return False
    return sum(data.ledger_bytes.values()) + size_bytes <= MAX_TOTAL_BYTES


def _add_used_bytes(data: StateData, key: str, size_bytes: int) -> None:
    workspace = _workspace_of_key(key)
    used_bytes = data.ledger_bytes.get(workspace, 0) + size_bytes
    assert used_bytes >= 0, "ledger size must not be negative"
    if used_bytes:
        data.ledger_bytes[workspace] = used_bytes
    else:
        data.ledger_bytes.pop(workspace, None)
