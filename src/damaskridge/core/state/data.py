"""The content of the replicated control state, as it is stored in a snapshot."""

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
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.gateway import RoutingTable

__all__ = [
    "Answered",
    "Changes",
    "Crash",
    "Fingerprint",
    "Intent",
    "Proposal",
    "StateData",
    "Undo",
    "refused",
]

Changes = list[FleetChange]


class Proposal(msgspec.Struct):
    """A proposed bundle and who approved it."""

    proposer: str
    bundle: Bundle
    signed_off_by: str = ""


class Undo(msgspec.Struct, frozen=True):
    """The difference that leads from a version back to the one before it."""

    upserted: Bundle
    removed: tuple[str, ...]


class Intent(msgspec.Struct):
    """A ledger entry; `at_ms` is the time of its last change."""

    intent_id: str
    body_digest: str
    host: str
    session: int
    at_ms: int
    state: LedgerState = LedgerState.IN_PROGRESS
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Crash(msgspec.Struct):
    """The fingerprints that ran on an engine when it died."""

    fingerprints: tuple[str, ...]
    at_ms: int


class Fingerprint(msgspec.Struct):
    """The state of one request fingerprint since `at_ms`."""

    state: FingerprintState
    at_ms: int


class Answered(msgspec.Struct):
    """The first result of a command, and a digest of the command itself."""

    digest: bytes
    result: CommandResult
    at_ms: int


class StateData(msgspec.Struct):
    """
    Every replicated value.

    Attributes
    ----------
    index : int
        Index of the last applied log entry.
    fleet_index : int
        Index of the last entry that changed the fleet view.
    now_ms : int
        Largest wall time that a command has carried.
    undo : dict[str, Undo]
        By version, how to get the content of the version before it. Whole
        bundles of 1,700 backend servers would take 100 MB.
    last_epoch : int
        Largest epoch given to any owner, so that a resource that comes back
        never repeats an epoch.
    fencing_floor : int
        Largest fencing number of a removed cell.
    known_workspaces : dict[str, bool]
        Resources of workspaces that ever had a rate bucket, the oldest first; an
        ordered set. One that comes back gets no fresh burst.
    ledger : dict[str, Intent]
        In the order of `Intent.at_ms`.
    open_intents : dict[str, dict[str, bool]]
        By session number, the ledger's keys of its calls in progress.
    ledger_bytes : dict[str, int]
        By workspace, the size of its part of the ledger.
    routing_source : bytes
        The document of the routing table in force.
    """

    index: int = 0
    fleet_index: int = 0
    now_ms: int = 0
    version: int = 0
    bundle: Bundle = Bundle()
    undo: dict[str, Undo] = {}
    proposals: dict[str, Proposal] = {}
    last_proposal: int = 0
    withdrawn_keys: set[str] = set()
    sessions: dict[str, Session] = {}
    last_session: int = 0
    owners: dict[str, Owner] = {}
    last_epoch: int = 0
    draining_hosts: set[str] = set()
    draining_backend_servers: set[str] = set()
    crashes: dict[str, Crash] = {}
    fingerprints: dict[str, Fingerprint] = {}
    fencing: dict[str, int] = {}
    fencing_floor: int = 0
    known_workspaces: dict[str, bool] = {}
    ledger: dict[str, Intent] = {}
    open_intents: dict[str, dict[str, bool]] = {}
    ledger_bytes: dict[str, int] = {}
    answers: dict[str, Answered] = {}
    routing: RoutingTable = RoutingTable()
    routing_source: bytes = b""


def refused(kind: ErrorKind, detail: str = "") -> CommandResult:
    """Return the result of a command that changed nothing."""
    return CommandResult(failure=Failure(kind, detail))
