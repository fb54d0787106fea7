"""Commands of the replicated state machine, and the changes that they cause.

Commands are the content of log entries. `command_id` makes them idempotent: a retried
command returns the result of the first execution.
"""

from enum import Enum
from typing import ClassVar

import msgspec

from damaskridge.model.bundle import Bundle
from damaskridge.model.crashes import RecordedCrash
from damaskridge.model.errors import Failure
from damaskridge.model.evacuations import EvacuationOrder
from damaskridge.model.gateway import RoutingTable
from damaskridge.model.software_versions import ServiceVersions, StreamOrigin

__all__ = [
    "AdvanceTime",
    "AllocateFencingNumber",
    "AnyCommand",
    "AnyFleetChange",
    "BundleActivated",
    "CloseSession",
    "Command",
    "CommandResult",
    "DrainChanged",
    "DrainTarget",
    "ExpireSession",
    "FingerprintChanged",
    "FingerprintState",
    "FleetChange",
    "KeyWithdrawn",
    "LedgerRecord",
    "LedgerState",
    "OpenSession",
    "Owner",
    "OwnerChanged",
    "ProposeBundle",
    "PublishRoutingTable",
    "RecordCrashes",
    "RecordIntent",
    "RecordResult",
    "ReleaseOwnership",
    "ReportCrash",
    "RollBackBundle",
    "RollBundle",
    "RoutingTableActivated",
    "Session",
    "SessionChanged",
    "SessionEnded",
    "SetDrain",
    "SetHostDraining",
    "SignOffBundle",
    "SuspectCleared",
    "WithdrawKey",
]


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """
    A command that changes the replicated state.

    Parameters
    ----------
    command_id : str
        Unique identifier, for deduplication of retries.
    at_ms : int
        Wall clock of the leader when it appended the command, so that all members
        apply it with the same time.

    Attributes
    ----------
    is_repeatable : bool
        Whether applying the command twice has the same result, so that its result
        need not be stored.
    """

    is_repeatable: ClassVar[bool] = False

    command_id: str
    at_ms: int = 0


class ProposeBundle(Command, frozen=True, kw_only=True, tag=True):
    """Stores a bundle as a proposal; `CommandResult.value` is its identifier."""

    operator: str
    bundle: Bundle


class SignOffBundle(Command, frozen=True, kw_only=True, tag=True):
    """Approves a proposal; the operator must not be its proposer."""

    operator: str
    proposal: str


class RollBundle(Command, frozen=True, kw_only=True, tag=True):
    """Activates a signed-off proposal if the active version is `expected_version`."""

    operator: str
    proposal: str
    expected_version: int


class RollBackBundle(Command, frozen=True, kw_only=True, tag=True):
    """Activates the content of an earlier version under a new version number."""

    operator: str
    to_version: int
    expected_version: int


class PublishRoutingTable(Command, frozen=True, kw_only=True, tag=True):
    """
    Activates a routing table if its version is higher than the active one.

    A lower version and an identical table are accepted without effect. A different
    table under the active version number is refused.

    Parameters
    ----------
    table : RoutingTable
        The new routing table.
    source : bytes
        The document from which the table was decoded; operators read it back
        unchanged.
    """

    table: RoutingTable
    source: bytes


class WithdrawKey(Command, frozen=True, kw_only=True, tag=True):
    """Revokes an API key permanently, even if a later bundle contains it."""

    operator: str
    key_digest: str


class DrainTarget(Enum):
    """Type of the target of `SetDrain`."""

    HOST = "host"
    BACKEND_SERVER = "backend_server"


class SetDrain(Command, frozen=True, kw_only=True, tag=True):
    """Starts or ends draining a host or a backend server."""

    operator: str
    target: DrainTarget
    name: str
    draining: bool


class OpenSession(Command, frozen=True, kw_only=True, tag=True):
    """Opens a session for an entry host and closes its previous one, if any."""

    host: str
    incarnation: int
    data_centre: str
    caller_address: str
    peer_address: str


class ExpireSession(Command, frozen=True, kw_only=True, tag=True):
    """Ends a session whose lease has expired; proposed only by the leader."""

    host: str
    session: int


class CloseSession(Command, frozen=True, kw_only=True, tag=True):
    """Ends a session at the request of its host."""

    host: str
    session: int


class SetHostDraining(Command, frozen=True, kw_only=True, tag=True):
    """
    Marks a host as shutting down.

    Callers are no longer sent to it, and its resources move to other hosts.
    """

    host: str
    session: int


class ReleaseOwnership(Command, frozen=True, kw_only=True, tag=True):
    """
    Releases the ownership of a resource to the host that it is moving to.

    `level_tokens` is the fill level of a workspace's token bucket, with which the
    next owner continues.
    """

    host: str
    session: int
    resource: str
    epoch: int
    level_tokens: float = 0.0


class RecordIntent(Command, frozen=True, kw_only=True, tag=True):
    """Records in the ledger, before it is sent, a call that may run at most once."""

    workspace: str
    idempotency_key: str
    body_digest: str
    host: str
    session: int


class RecordResult(Command, frozen=True, kw_only=True, tag=True):
    """
    Records the result of an at-most-once call in the ledger.

    Parameters
    ----------
    workspace, idempotency_key : str
        Key of the call in the ledger.
    intent_id : str
        `command_id` of the `RecordIntent` of this call.
    status, content_type, body : int, str, bytes
        The HTTP response.
    not_run : bool
        Whether no backend server ran the call, so that it may be retried.
    """

    workspace: str
    idempotency_key: str
    intent_id: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    not_run: bool = False


class ReportCrash(Command, frozen=True, kw_only=True, tag=True):
    """Reports the fingerprints of the requests that ran on an engine as it crashed."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]


class SuspectCleared(Command, frozen=True, kw_only=True, tag=True):
    """Clears a suspect fingerprint whose request completed without a crash."""

    fingerprint: str


class RecordCrashes(Command, frozen=True, kw_only=True, tag=True):
    """
    Replaces the record of the crashes that explain the quarantines of the gateway.

    It lets a leader know them although no host remembers them.
    """

    crashes: tuple[RecordedCrash, ...]


class AllocateFencingNumber(Command, frozen=True, kw_only=True, tag=True):
    """Allocates the next fencing number, for an order of a cell's owner."""

    resource: str
    epoch: int
    host: str


class AdvanceTime(Command, frozen=True, kw_only=True, tag=True):
    """
    Advances the replicated clock, so that old records are removed.

    What else it records has no command of its own: a member of an earlier version
    ignores fields that it doesn't know, but can't apply an unknown command.

    Parameters
    ----------
    software_versions : tuple of ServiceVersions or None
        Replaces the software versions at which streams may have begun, if given.
    origins : tuple of StreamOrigin
        Streams that began, with their software versions.
    evacuation : EvacuationOrder or None
        Evacuates a data centre or takes it back.
    """

    is_repeatable: ClassVar[bool] = True

    software_versions: tuple[ServiceVersions, ...] | None = None
    origins: tuple[StreamOrigin, ...] = ()
    evacuation: EvacuationOrder | None = None


class LedgerState(Enum):
    """State of an at-most-once call in the ledger."""

    NEW = "new"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class LedgerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of `RecordIntent`; the call may be sent only if `state` is `NEW`."""

    state: LedgerState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class CommandResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    The result of a committed and applied command.

    Parameters
    ----------
    failure : Failure or None
        Why the command was refused; it then changed nothing.
    index : int
        Index of the log entry.
    value : str
        What the command created: a proposal identifier, or a number in decimal.
    ledger : LedgerRecord or None
        The result of `RecordIntent`.
    """

    failure: Failure | None = None
    index: int = 0
    value: str = ""
    ledger: LedgerRecord | None = None


class Session(msgspec.Struct, frozen=True):
    """
    A live session of an entry host.

    Parameters
    ----------
    host : str
        Name of the entry host.
    number : int
        Number of the session, which is also its epoch; it increases with every new
        session in the fleet.
    incarnation : int
        Identifies the process among those that ran on the host.
    data_centre : str
        Data centre of the host.
    caller_address, peer_address : str
        Addresses for callers and for other entry hosts.
    draining : bool
        Whether the host is shutting down.
    """

    host: str
    number: int
    incarnation: int
    data_centre: str
    caller_address: str
    peer_address: str
    draining: bool = False


class Owner(msgspec.Struct, frozen=True):
    """
    The ownership of a resource by an entry host.

    Parameters
    ----------
    resource : str
        ``workspace/<name>`` or ``cell/<name>``.
    host : str
        The owner; empty while the resource has none.
    session : int
        Session of the owner.
    epoch : int
        Increases with every change of the owner.
    level_tokens : float
        Fill level of the token bucket that the previous owner handed over; 0 if it
        crashed.
    moving_to : str
        The host that becomes the owner once the present one releases the resource.
    """

    resource: str
    host: str
    session: int
    epoch: int
    level_tokens: float = 0.0
    moving_to: str = ""


class FingerprintState(Enum):
    """State of the fingerprint of a request that ran on an engine as it crashed."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class FleetChange(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the changes to the entry hosts' view of the fleet."""


class BundleActivated(FleetChange, frozen=True, kw_only=True, tag=True):
    """
    A new bundle version is active; carries the difference from `base_version`.

    `upserted` holds the entries that are new or changed. Each name in `removed` is
    ``<field>/<identity>``, for example ``keys/<digest>`` or
    ``routes/<service>/<path>``.
    """

    version: int
    base_version: int
    upserted: Bundle
    removed: tuple[str, ...] = ()


class RoutingTableActivated(FleetChange, frozen=True, kw_only=True, tag=True):
    """
    A new routing table is active; carries the difference from the previous one.

    `changed` holds the new version and limits and the entries that are new or
    changed. Each name in `removed` is ``<field>/<name>``.
    """

    changed: RoutingTable
    removed: tuple[str, ...] = ()


class KeyWithdrawn(FleetChange, frozen=True, kw_only=True, tag=True):
    """An API key was revoked."""

    key_digest: str


class SessionChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """A session was opened or changed."""

    session: Session


class SessionEnded(FleetChange, frozen=True, kw_only=True, tag=True):
    """A session ended."""

    host: str
    number: int


class OwnerChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """The owner of a resource or its successor changed, or the resource is removed."""

    owner: Owner
    removed: bool = False


class DrainChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """An operator started or ended draining a host or a backend server."""

    target: DrainTarget
    name: str
    draining: bool


class FingerprintChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """A request fingerprint became suspect, quarantined or cleared."""

    fingerprint: str
    state: FingerprintState


AnyFleetChange = (
    BundleActivated
    | RoutingTableActivated
    | KeyWithdrawn
    | SessionChanged
    | SessionEnded
    | OwnerChanged
    | DrainChanged
    | FingerprintChanged
)

AnyCommand = (
    ProposeBundle
    | SignOffBundle
    | RollBundle
    | RollBackBundle
    | PublishRoutingTable
    | WithdrawKey
    | SetDrain
    | OpenSession
    | ExpireSession
    | CloseSession
    | SetHostDraining
    | ReleaseOwnership
    | RecordIntent
    | RecordResult
    | ReportCrash
    | SuspectCleared
    | RecordCrashes
    | AllocateFencingNumber
    | AdvanceTime
)
