"""Messages of the `Follow` stream between the leader and an entry host.

The host renews its session, reports its load and asks for decisions; the leader sends
the changes of the fleet, the load of the other hosts and its decisions. Fields that are
added have defaults, as hosts of the builds before and after run side by side.
"""

import msgspec

from damaskridge.model.bundle import Bundle
from damaskridge.model.control import AnyFleetChange, Owner, Session
from damaskridge.model.crashes import Completion, CrashNotice
from damaskridge.model.errors import Failure
from damaskridge.model.gateway import BackendInstance, InstanceId, RoutingTable
from damaskridge.model.prefill_times import PrefillTime
from damaskridge.model.rate_admissions import AdmissionDecided, AdmissionWanted
from damaskridge.model.room_requests import RoomDecided, RoomWanted
from damaskridge.model.server_limits import (
    SendDecided,
    SendsCharged,
    SendWanted,
    ServerLimit,
)
from damaskridge.model.server_outcomes import Outcomes
from damaskridge.model.software_versions import (
    OriginDecided,
    OriginWanted,
    ServiceVersions,
    StreamOrigin,
)

__all__ = [
    "AnyFollowRequest",
    "AnyFollowResponse",
    "CrashesSeen",
    "FleetDelta",
    "FleetSnapshot",
    "FollowRefused",
    "FollowRequest",
    "FollowResponse",
    "HostsNeeded",
    "InstanceLoad",
    "InstancesSeen",
    "LoadSeen",
    "NO_INDEX",
    "OpenFollow",
    "RenewSession",
    "ReportLoad",
    "SessionLost",
    "SessionRenewed",
]


# Less than any index of the log, so that the leader responds with a snapshot.
NO_INDEX = -1


class FollowRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the messages that an entry host sends on its `Follow` stream."""


class OpenFollow(FollowRequest, frozen=True, kw_only=True, tag=True):
    """
    Opens the stream; `index` is the fleet index up to which the host is current.

    It is `NO_INDEX` if the host has no state, or can't go on from it.
    """

    host: str
    index: int

    @property
    def has_no_state(self) -> bool:
        """Whether the host needs a snapshot before it can serve callers."""
        return self.index <= NO_INDEX


class RenewSession(FollowRequest, frozen=True, kw_only=True, tag=True):
    """
    Renews the lease of a session.

    Parameters
    ----------
    host : str
        Name of the entry host.
    session : int
        Number of the session.
    sequence : int
        Number of this renewal; `SessionRenewed` returns it.
    applied_index : int
        Fleet index that the host has applied.
    version : int
        Bundle version that the host uses.
    """

    host: str
    session: int
    sequence: int
    applied_index: int
    version: int


class InstanceLoad(msgspec.Struct, frozen=True, array_like=True):
    """
    The load in flight on one backend server.

    Parameters
    ----------
    requests : int
        Number of requests.
    prompt_tokens : int
        Prompt tokens that are not prefilled yet.
    memory_tokens : int
        KV cache in use, in tokens.
    """

    requests: int = 0
    prompt_tokens: int = 0
    memory_tokens: int = 0


class ReportLoad(FollowRequest, frozen=True, kw_only=True, tag=True):
    """
    Reports what changed on an entry host since its last report on this stream.

    Parameters
    ----------
    load : dict of str to InstanceLoad
        Present load of this host by instance, for instances whose load changed.
    usage : dict of str to float
        Rate units admitted since the last report, by workspace.
    leaving : tuple of InstanceId
        Instances that announced in a response that they shut down.
    crashes : tuple of CrashNotice
        Crashes of instances, with the runs of this host that they interrupted.
    completed : tuple of Completion
        Completed runs with fingerprints of runs that crashes have interrupted.
    limits : tuple of ServerLimit
        Limits of requests that instances have named, or their ends.
    sends_wanted : tuple of SendWanted
        Requests for permits, which the leader decides on at once.
    sends_charged : tuple of SendsCharged
        Requests to instances whose limit has become known; with `is_whole`, all recent
        requests to instances with a limit.
    origins : tuple of StreamOrigin
        Streams that began, of services that have had several software versions.
    origins_wanted : tuple of OriginWanted
        Streams that callers take up and whose software version the host doesn't know.
    admissions_wanted : tuple of AdmissionWanted
        Requests of contended workspaces, which the leader admits or refuses at once.
    outcomes : dict of str to Outcomes
        Outcomes of requests since the last report, by instance; only in large fleets.
    rooms_wanted : tuple of RoomWanted
        Requests for room on the engines of crowded services.
    prefills : dict of str to tuple of PrefillTime
        Prefills since the last report on engines without a queue; only in large fleets.
    is_whole : bool
        Whether this is the first report on a stream, which holds all that the leader
        has to know.
    """

    load: dict[str, InstanceLoad] = {}
    usage: dict[str, float] = {}
    leaving: tuple[InstanceId, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()
    completed: tuple[Completion, ...] = ()
    limits: tuple[ServerLimit, ...] = ()
    sends_wanted: tuple[SendWanted, ...] = ()
    sends_charged: tuple[SendsCharged, ...] = ()
    origins: tuple[StreamOrigin, ...] = ()
    origins_wanted: tuple[OriginWanted, ...] = ()
    admissions_wanted: tuple[AdmissionWanted, ...] = ()
    outcomes: dict[str, Outcomes] = {}
    rooms_wanted: tuple[RoomWanted, ...] = ()
    prefills: dict[str, tuple[PrefillTime, ...]] = {}
    is_whole: bool = False


AnyFollowRequest = OpenFollow | RenewSession | ReportLoad


class FollowResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the messages that the leader sends on a `Follow` stream."""


class SessionRenewed(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    Confirms the renewal `sequence`.

    A quorum has confirmed the leader after the renewal arrived. The lease is valid
    for `duration_s` from the time at which the host sent it.
    """

    session: int
    sequence: int
    duration_s: float


class SessionLost(FollowResponse, frozen=True, kw_only=True, tag=True):
    """Reports that the session has ended; the host must open a new one."""

    session: int


class FleetDelta(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    Changes of the fleet view from fleet index `base_index` to `index`.

    `evacuated` replaces the evacuated data centres, if given. It is no `FleetChange`,
    because a host of an earlier version can't decode an unknown change.
    """

    base_index: int
    index: int
    changes: tuple[AnyFleetChange, ...]
    evacuated: tuple[str, ...] | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the view doesn't change."""
        return not self.changes and self.evacuated is None


class FleetSnapshot(FollowResponse, frozen=True, kw_only=True, tag=True):
    """The complete fleet view at fleet index `index`."""

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
    evacuated: tuple[str, ...] = ()


class InstancesSeen(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    The result of the leader's latest read of the list of backend servers.

    Parameters
    ----------
    source : str
        Identifies the reader; only revisions of the same reader are comparable.
    revision : int
        Revision of the list; it increases with every change.
    base_revision : int
        Revision to which `changed` and `removed` apply; 0 if `changed` is the complete
        list.
    changed : tuple of BackendInstance
        Entries that are new or changed.
    removed : tuple of str
        Names of removed entries.
    is_partial : bool
        Whether engines were left out because their software versions are not on record
        yet.
    """

    source: str
    revision: int
    base_revision: int = 0
    changed: tuple[BackendInstance, ...] = ()
    removed: tuple[str, ...] = ()
    is_partial: bool = False


class LoadSeen(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    The sum of the changes on all other entry hosts.

    Parameters
    ----------
    load : dict of str to InstanceLoad
        Present load of the other hosts by instance, for instances whose load changed.
    usage : dict of str to float
        Rate units that the other hosts admitted since the last message, by workspace.
    is_whole : bool
        Whether `load` is complete: instances that it does not name have no load.
    limits : tuple of ServerLimit
        Limits of requests that changed, or have ended.
    sends_decided : tuple of SendDecided
        Decisions on the requests of this host for permits.
    software_versions : tuple of ServiceVersions or None
        The software versions at which streams may have begun, of all services; None
        if they haven't changed.
    origins_decided : tuple of OriginDecided
        Answers to the questions of this host for software versions.
    admissions_decided : tuple of AdmissionDecided
        Decisions on the requests of this host for admissions.
    contended : tuple of str or None
        Workspaces for each of whose requests the leader is to be asked; None if they
        haven't changed.
    failing : tuple of str or None
        Instances that fail requests of many hosts; None if they haven't changed.
    rooms_decided : tuple of RoomDecided
        Decisions on the requests of this host for room.
    crowded : tuple of str or None
        Services for whose engines the leader is to be asked for room; None if they
        haven't changed.
    speeds : dict of str to float or None
        Relative speeds at which the engines of services prefill whose engines differ;
        None if they haven't changed.
    """

    load: dict[str, InstanceLoad] = {}
    usage: dict[str, float] = {}
    is_whole: bool = False
    limits: tuple[ServerLimit, ...] = ()
    sends_decided: tuple[SendDecided, ...] = ()
    software_versions: tuple[ServiceVersions, ...] | None = None
    origins_decided: tuple[OriginDecided, ...] = ()
    admissions_decided: tuple[AdmissionDecided, ...] = ()
    contended: tuple[str, ...] | None = None
    failing: tuple[str, ...] | None = None
    rooms_decided: tuple[RoomDecided, ...] = ()
    crowded: tuple[str, ...] | None = None
    speeds: dict[str, float] | None = None


class CrashesSeen(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    Forwards crashes that entry hosts have reported.

    Parameters
    ----------
    crashes : tuple of CrashNotice
        Crashes of instances.
    completed : tuple of Completion
        Completed runs with fingerprints of runs that crashes have interrupted.
    """

    crashes: tuple[CrashNotice, ...] = ()
    completed: tuple[Completion, ...] = ()


class HostsNeeded(FollowResponse, frozen=True, kw_only=True, tag=True):
    """
    The number of entry hosts over which callers should be spread.

    Parameters
    ----------
    by_data_centre : dict of str to int
        Entry hosts that the load of each data centre requires.
    """

    by_data_centre: dict[str, int]


class FollowRefused(FollowResponse, frozen=True, kw_only=True, tag=True):
    """The control host is not the leader; `failure.leader` is its address, if known."""

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
