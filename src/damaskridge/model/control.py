"""Commands of the replicated control state, their results, and fleet changes.

Commands are the content of log entries. Every command carries `command_id`: a
command that is sent again gets the first result.
"""

from enum import Enum

import msgspec

from damaskridge.model.bundle import Bundle
from damaskridge.model.errors import Failure
from damaskridge.model.gateway import (
    BackendInstance,
    CrashNotice,
    InstanceId,
    RoutingTable,
)

__all__ = [
    "AdvanceTime",
    "AllocateFencingNumber",
    "AnyCommand",
    "AnyFleetChange",
    "AnyFollowResponse",
    "AnyFollowRequest",
    "BundleActivated",
    "CloseSession",
    "Command",
    "CommandResult",
    "CrashesSeen",
    "DrainChanged",
    "DrainTarget",
    "ExpireSession",
    "FingerprintChanged",
    "FingerprintState",
    "FleetChange",
    "FleetDelta",
    "FleetSnapshot",
    "FollowRefused",
    "FollowResponse",
    "FollowRequest",
    "HostsNeeded",
    "InstanceLoad",
    "InstancesSeen",
    "KeyWithdrawn",
    "LedgerRecord",
    "LedgerState",
    "LoadSeen",
    "OpenFollow",
    "OpenSession",
    "Owner",
    "OwnerChanged",
    "ProposeBundle",
    "PublishRoutingTable",
    "RecordIntent",
    "RecordResult",
    "ReleaseOwnership",
    "RenewSession",
    "ReportCrash",
    "ReportLoad",
    "RollBackBundle",
    "RollBundle",
    "RoutingTableActivated",
    "Session",
    "SessionChanged",
    "SessionEnded",
    "SessionLost",
    "SessionRenewed",
    "SetDrain",
    "SetHostDraining",
    "SignOffBundle",
    "SuspectCleared",
    "WithdrawKey",
]


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the control state; `at_ms` is the leader's wall clock."""

    command_id: str
    at_ms: int = 0


class ProposeBundle(Command, frozen=True, kw_only=True, tag=True):
    """Stores a bundle as a proposal; the result's `value` is the proposal id."""

    operator: str
    bundle: Bundle


class SignOffBundle(Command, frozen=True, kw_only=True, tag=True):
    """Approves a proposal; the proposer may not sign off."""

    operator: str
    proposal: str


class RollBundle(Command, frozen=True, kw_only=True, tag=True):
    """Puts a signed-off proposal in force if `expected_version` is in force."""

    operator: str
    proposal: str
    expected_version: int


class RollBackBundle(Command, frozen=True, kw_only=True, tag=True):
    """Puts the content of an older version in force as a new version."""

    operator: str
    to_version: int
    expected_version: int


class PublishRoutingTable(Command, frozen=True, kw_only=True, tag=True):
    """
    Puts a routing table in force if its version is higher than the one in force.

    A lower version, and the same content again, are accepted and change nothing.
    Other content of the version in force is refused.

    Parameters
    ----------
    table : RoutingTable
        The content.
    source : bytes
        The document from which the table was decoded, kept for reading back.
    """

    table: RoutingTable
    source: bytes


class WithdrawKey(Command, frozen=True, kw_only=True, tag=True):
    """Withdraws a key for good; no later bundle brings it back."""

    operator: str
    key_digest: str


class DrainTarget(Enum):
    """What can be drained."""

    HOST = "host"
    BACKEND_SERVER = "backend_server"


class SetDrain(Command, frozen=True, kw_only=True, tag=True):
    """Starts or ends the draining of a host or a backend server."""

    operator: str
    target: DrainTarget
    name: str
    draining: bool


class OpenSession(Command, frozen=True, kw_only=True, tag=True):
    """Starts a session of an entry host; ends an earlier one of the same host."""

    host: str
    incarnation: int
    data_centre: str
    caller_address: str
    peer_address: str


class ExpireSession(Command, frozen=True, kw_only=True, tag=True):
    """Ends a session whose lease has run out; only the leader proposes it."""

    host: str
    session: int


class CloseSession(Command, frozen=True, kw_only=True, tag=True):
    """Ends a session at the host's own wish."""

    host: str
    session: int


class SetHostDraining(Command, frozen=True, kw_only=True, tag=True):
    """Takes a host that shuts down out of the address answer and of ownership."""

    host: str
    session: int


class ReleaseOwnership(Command, frozen=True, kw_only=True, tag=True):
    """Hands a resource over; `level_tokens` is the level of a rate bucket."""

    host: str
    session: int
    resource: str
    epoch: int
    level_tokens: float = 0.0


class RecordIntent(Command, frozen=True, kw_only=True, tag=True):
    """Records that a call that must not be repeated is about to leave."""

    workspace: str
    idempotency_key: str
    body_digest: str
    host: str
    session: int


class RecordResult(Command, frozen=True, kw_only=True, tag=True):
    """
    Records the result of a call, or with `not_run` that it never left.

    The intent is known by `intent_id`, the command id of its `RecordIntent`.
    """

    workspace: str
    idempotency_key: str
    intent_id: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    not_run: bool = False


class ReportCrash(Command, frozen=True, kw_only=True, tag=True):
    """Reports the requests that ran on an engine when it died."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]


class SuspectCleared(Command, frozen=True, kw_only=True, tag=True):
    """A suspect request ran to its end without a crash."""

    fingerprint: str


class AllocateFencingNumber(Command, frozen=True, kw_only=True, tag=True):
    """Gives a cell's owner the next fencing number for orders."""

    resource: str
    epoch: int
    host: str


class AdvanceTime(Command, frozen=True, kw_only=True, tag=True):
    """Removes what has passed its retention at `at_ms`."""


class LedgerState(Enum):
    """What is known of a call that must not be repeated."""

    NEW = "new"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class LedgerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The ledger's answer to `RecordIntent`; only `NEW` allows the call."""

    state: LedgerState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class CommandResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    The result of a command after it was committed and applied.

    Parameters
    ----------
    failure : Failure or None
        Why the command changed nothing.
    index : int
        Index of the log entry.
    value : str
        What the command created: a proposal, or a number in decimal.
    ledger : LedgerRecord or None
        The answer to `RecordIntent`.
    """

    failure: Failure | None = None
    index: int = 0
    value: str = ""
    ledger: LedgerRecord | None = None


class Session(msgspec.Struct, frozen=True):
    """A live session of an entry host; `number` is its epoch."""

    host: str
    number: int
    incarnation: int
    data_centre: str
    caller_address: str
    peer_address: str
    draining: bool = False


class Owner(msgspec.Struct, frozen=True):
    """
    Who owns a resource.

    Parameters
    ----------
    resource : str
        ``workspace/<name>`` or ``cell/<name>``.
    host : str
        The owner; empty while nobody owns the resource.
    session : int
        Session of the owner.
    epoch : int
        Grows with every change.
    level_tokens : float
        Level of a rate bucket at the change; 0 after a crash.
    moving_to : str
        The host that is to get the resource once the owner has released it.
    """

    resource: str
    host: str
    session: int
    epoch: int
    level_tokens: float = 0.0
    moving_to: str = ""


class FingerprintState(Enum):
    """What is known of a request that was on a crashing engine."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class FleetChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of what entry hosts know of the fleet."""


class BundleActivated(FleetChange, frozen=True, kw_only=True, tag=True):
    """
    A new version is in force, as the difference from `base_version`.

    Each `removed` name is ``<field>/<identity>``, for example
    ``keys/<digest>`` or ``routes/<service>/<path>``.
    """

    version: int
    base_version: int
    upserted: Bundle
    removed: tuple[str, ...] = ()


class RoutingTableActivated(FleetChange, frozen=True, kw_only=True, tag=True):
    """
    A new routing table is in force, as the difference from the one before.

    `changed` has its version and limits; each `removed` name is ``<field>/<name>``.
    """

    changed: RoutingTable
    removed: tuple[str, ...] = ()


class KeyWithdrawn(FleetChange, frozen=True, kw_only=True, tag=True):
    """A key stopped working."""

    key_digest: str


class SessionChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """A session began or changed."""

    session: Session


class SessionEnded(FleetChange, frozen=True, kw_only=True, tag=True):
    """A session ended."""

    host: str
    number: int


class OwnerChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """A resource has a new owner, or is about to move, or is gone (`removed`)."""

    owner: Owner
    removed: bool = False


class DrainChanged(FleetChange, frozen=True, kw_only=True, tag=True):
    """An operator started or ended the draining of a host or backend server."""

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
    | AllocateFencingNumber
    | AdvanceTime
)


class FollowRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry host sends on its `Follow` stream."""


class OpenFollow(FollowRequest, frozen=True, kw_only=True, tag=True):
    """Starts the stream; `index` is the last fleet index the host has seen."""

    host: str
    index: int


class RenewSession(FollowRequest, frozen=True, kw_only=True, tag=True):
    """Asks for a renewal; `applied_index` and `version` report progress."""

    host: str
    session: int
    sequence: int
    applied_index: int
    version: int


class InstanceLoad(msgspec.Struct, frozen=True, array_like=True):
    """
    What is in flight on one backend server.

    Parameters
    ----------
    requests : int
        Requests.
    prompt_tokens : int
        Prompt tokens that are still to be read.
    memory_tokens : int
        KV cache in use, in tokens.
    """

    requests: int = 0
    prompt_tokens: int = 0
    memory_tokens: int = 0


class ReportLoad(FollowRequest, frozen=True, kw_only=True, tag=True):
    """
    What changed on an entry host since its last report on this stream.

    Parameters
    ----------
    load : dict of str to InstanceLoad
        By backend server, what this host has in flight there now.
    usage : dict of str to float
        By workspace, what was admitted since the last report.
    leaving : tuple of InstanceId
        Backend servers that said in an answer that they leave.
    crashes : tuple of CrashNotice
        Requests that ran on a backend server when it crashed.
    """

    load: dict[str, InstanceLoad] = {}
    usage: dict[str, float] = {}
    leaving: tuple[InstanceId, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()


AnyFollowRequest = OpenFollow | RenewSession | ReportLoad


class FollowResponse(msgspec.Struct, frozen=True, kw_only=True):
    """What the leader sends on a `Follow` stream."""


class SessionRenewed(FollowResponse, frozen=True, kw_only=True, tag=True):
    """The renewal `sequence` was confirmed by a quorum after it arrived."""

    session: int
    sequence: int
    duration_s: float


class SessionLost(FollowResponse, frozen=True, kw_only=True, tag=True):
    """The session is not live; the host must open a new one."""

    session: int


class FleetDelta(FollowResponse, frozen=True, kw_only=True, tag=True):
    """Changes that lead from fleet index `base_index` to `index`."""

    base_index: int
    index: int
    changes: tuple[AnyFleetChange, ...]


class FleetSnapshot(FollowResponse, frozen=True, kw_only=True, tag=True):
    """The whole fleet view at `index`."""

    index: int
    version: int
    bundle: Bundle
    withdrawn_keys: tuple[str, ...]
    sessions: tuple[Session, ...]
    owners: tuple[Owner, ...]
    draining_hosts: tuple[str, ...]
    draining_backend_servers: tuple[str, ...]
    suspects: tuple[str, ...]
    quarantined: tuple[str, ...]
    routing: RoutingTable = RoutingTable()


class InstancesSeen(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    The leader has read the list of backend servers.

    Parameters
    ----------
    source : str
        The reader; revisions of different readers cannot be compared.
    revision : int
        Number of the content; it grows with every change.
    base_revision : int
        The revision that `changed` and `removed` lead on from; 0 for all entries.
    changed : tuple of BackendInstance
        Entries that are new or changed.
    removed : tuple of str
        Names of entries that are gone.
    """

    source: str
    revision: int
    base_revision: int = 0
    changed: tuple[BackendInstance, ...] = ()
    removed: tuple[str, ...] = ()


class LoadSeen(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    What changed on all other entry hosts together.

    Parameters
    ----------
    load : dict of str to InstanceLoad
        By backend server, what the others have in flight there now.
    usage : dict of str to float
        By workspace, what the others admitted since the last message.
    is_whole : bool
        Whether `load` names all that the others have in flight.
    """

    load: dict[str, InstanceLoad] = {}
    usage: dict[str, float] = {}
    is_whole: bool = False


class CrashesSeen(FollowResponse, frozen=True, kw_only=True, tag=True):
    """Requests that ran on a backend server when it crashed, as hosts report them."""

    crashes: tuple[CrashNotice, ...]


class HostsNeeded(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    How many entry hosts callers should be sent to.

    Parameters
    ----------
    by_data_centre : dict of str to int
        Hosts that the requests of each data centre need.
    """

    by_data_centre: dict[str, int]


class FollowRefused(FollowResponse, frozen=True, kw_only=True, tag=True):
    """The control host is not the leader; `failure.leader` may name it."""

    failure: Failure


AnyFollowResponse = (
    SessionRenewed
    | SessionLost
    | FleetDelta
    | FleetSnapshot
    | FollowRefused
    | CrashesSeen
    | HostsNeeded
    | InstancesSeen
    | LoadSeen
)
