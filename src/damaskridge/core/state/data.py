"""
Values of the replicated control state.

Snapshots of the log contain these records, so names of fields must not change.
"""

import msgspec

from damaskridge.model.bundle import Bundle
from damaskridge.model.control import (
    CommandResult,
    FingerprintState,
    FleetChange,
    LedgerState,
    Owner,
    Session,
)
from damaskridge.model.crashes import RecordedCrash
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.gateway import RoutingTable

__all__ = [
    "Changes",
    "CrashRecord",
    "EvacuationRecord",
    "FingerprintRecord",
    "Intent",
    "OriginRecord",
    "Proposal",
    "StateData",
    "StoredResult",
    "UndoRecord",
    "refusal",
]

Changes = list[FleetChange]


class Proposal(msgspec.Struct):
    """A proposed bundle; `signed_off_by` is empty until an operator approves it."""

    proposer: str
    bundle: Bundle
    signed_off_by: str = ""


class UndoRecord(msgspec.Struct, frozen=True):
    """The delta from a bundle version to the version before it."""

    upserted: Bundle
    removed: tuple[str, ...]


class Intent(msgspec.Struct):
    """
    A ledger entry: a call that must run at most once, and its result.

    Parameters
    ----------
    intent_id : str
        Command id of the `RecordIntent` that allowed the call.
    host, session
        The entry host that makes the call.
    at_ms : int
        Time of the last change of state.
    status, content_type, body
        The response, once the call has finished.
    """

    intent_id: str
    body_digest: str
    host: str
    session: int
    at_ms: int
    state: LedgerState = LedgerState.IN_PROGRESS
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class CrashRecord(msgspec.Struct):
    """The fingerprints of requests that ran on an engine when it crashed."""

    fingerprints: tuple[str, ...]
    at_ms: int


class FingerprintRecord(msgspec.Struct):
    """The state of a request fingerprint, entered at `at_ms`."""

    state: FingerprintState
    at_ms: int


class OriginRecord(msgspec.Struct, array_like=True):
    """The software version at which a stream began, recorded at `at_ms`."""

    service: str
    software_version: str
    at_ms: int


class EvacuationRecord(msgspec.Struct):
    """Whether a data centre is evacuated, and the time of the last change."""

    is_evacuated: bool
    at_ms: int


class StoredResult(msgspec.Struct):
    """The result that retries of a command receive, and the command's digest."""

    digest: bytes
    result: CommandResult
    at_ms: int


class StateData(msgspec.Struct):
    """
    All replicated values.

    Attributes
    ----------
    index : int
        Index of the last applied log entry.
    fleet_index : int
        Index of the last entry that changed the view of entry hosts.
    now_ms : int
        Largest timestamp of any applied command; the clock of all retentions.
    undo : dict[str, UndoRecord]
        By version, the delta to the version before it. Storing whole bundles of
        1,700 backend servers instead would take 100 MB.
    proposals : dict[str, Proposal]
        By id, oldest first.
    last_proposal, last_session : int
        Numbers of the last proposal and the last session.
    withdrawn_keys : set[str]
        Digests of keys that no bundle can make valid again.
    sessions : dict[str, Session]
        Live sessions by host.
    owners : dict[str, Owner]
        Owners by resource.
    last_epoch : int
        Largest epoch of any owner. Epochs increase across all resources, so a
        resource that is removed and added again never reuses one.
    crashes : dict[str, CrashRecord]
        By ``<incarnation>/<backend server>``.
    gateway_crashes : tuple[RecordedCrash, ...]
        The crashes that explain the quarantines of the gateway.
    software_versions : dict[str, tuple[str, ...]]
        By service, the software versions at which streams that callers may still take
        up have begun.
    stream_origins : dict[str, OriginRecord]
        By the caller's attempt that brought the first event, oldest first; only of
        services that have had several versions.
    fencing : dict[str, int]
        By cell resource, the last fencing number that was allocated.
    fencing_floor : int
        Largest fencing number of any removed cell; new cells start above it.
    known_workspaces : dict[str, bool]
        Resources of workspaces that have had a rate bucket, oldest first; an
        ordered set. A workspace that is added again does not get a second burst.
    ledger : dict[str, Intent]
        By `ledger.ledger_key`, in order of `Intent.at_ms`.
    open_intents : dict[str, dict[str, bool]]
        By session number, the ledger keys of its calls in progress.
    ledger_bytes : dict[str, int]
        By workspace, the size of its ledger entries.
    answers : dict[str, StoredResult]
        By command id, oldest first.
    routing_source : bytes
        The document from which the routing table in force was decoded.
    evacuations : dict[str, EvacuationRecord]
        By data centre, for each that was ever evacuated.
    """

    index: int = 0
    fleet_index: int = 0
    now_ms: int = 0
    version: int = 0
    bundle: Bundle = Bundle()
    undo: dict[str, UndoRecord] = {}
    proposals: dict[str, Proposal] = {}
    last_proposal: int = 0
    withdrawn_keys: set[str] = set()
    sessions: dict[str, Session] = {}
    last_session: int = 0
    owners: dict[str, Owner] = {}
    last_epoch: int = 0
    draining_hosts: set[str] = set()
    draining_backend_servers: set[str] = set()
    crashes: dict[str, CrashRecord] = {}
    fingerprints: dict[str, FingerprintRecord] = {}
    gateway_crashes: tuple[RecordedCrash, ...] = ()
    software_versions: dict[str, tuple[str, ...]] = {}
    stream_origins: dict[str, OriginRecord] = {}
    fencing: dict[str, int] = {}
    fencing_floor: int = 0
    known_workspaces: dict[str, bool] = {}
    ledger: dict[str, Intent] = {}
    open_intents: dict[str, dict[str, bool]] = {}
    ledger_bytes: dict[str, int] = {}
    answers: dict[str, StoredResult] = {}
    routing: RoutingTable = RoutingTable()
    routing_source: bytes = b""
    evacuations: dict[str, EvacuationRecord] = {}


def refusal(kind: ErrorKind, detail: str = "") -> CommandResult:
    """
    Return the result of a refused command.

    `detail` is stored with the result, so every control host has to produce the
    same text.
    """
    return CommandResult(failure=Failure(kind, detail))
