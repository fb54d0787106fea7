"""What entry hosts need to forward opaque requests: routes, services, workspaces.

A routing table is complete in itself. The one with the highest version is in force.
"""

from enum import Enum

import msgspec

__all__ = [
    "BackendInstance",
    "CallerLimits",
    "CrashNotice",
    "EngineStage",
    "EngineTraits",
    "GatewayRoute",
    "GatewayService",
    "GatewayWorkspace",
    "InstanceList",
    "RouteTarget",
    "RoutingTable",
    "InstanceId",
    "RouteKind",
]


class RouteKind(Enum):
    """How often a request may run, and what its answer is."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class EngineStage(Enum):
    """The half of a generation that a model engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


class RouteTarget(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests."""

    service: str
    weight: int = 1


class GatewayRoute(msgspec.Struct, frozen=True, kw_only=True):
    """
    Requests of one host name below one path.

    Parameters
    ----------
    name : str
        Unique name.
    host_name, path_prefix : str
        What selects the route; the prefix begins and ends with a slash.
    kind : RouteKind
        How often a request may run.
    timeout_ms : int
        Longest time until the final answer, in milliseconds.
    objective_ms : int
        Time within which an answer is on time; for a stream, its first event.
    priority : int
        Rank of the requests; 0 is the most urgent.
    targets : tuple of RouteTarget
        The services with their weights.
    attempts : int
        Most backend servers that may run one request.
    is_public : bool
        Whether a request needs no key.
    is_resumable : bool
        Whether a stream may be continued on another backend server.
    event_gap_ms : int
        Longest pause between the events of a stream that is on time.
    """

    name: str
    host_name: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    objective_ms: int
    targets: tuple[RouteTarget, ...]
    priority: int = 0
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    event_gap_ms: int = 0


class EngineTraits(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the model engines of one service have in common.

    Parameters
    ----------
    slots : int
        Requests that an engine runs at the same time.
    memory_tokens : int
        Tokens of KV cache that an engine holds.
    handle_s : float
        How long an exported KV cache waits to be imported, in seconds.
    reservation_s : float
        Longest reservation of decode room, in seconds.
    steps_per_event : float
        Steps of an engine that one event of a stream covers.
    """

    slots: int
    memory_tokens: int
    handle_s: float = 0.0
    reservation_s: float = 0.0
    steps_per_event: float = 1.0


class GatewayService(msgspec.Struct, frozen=True, kw_only=True):
    """A service with interchangeable backend servers; `engine` is set for models."""

    name: str
    health_path: str = ""
    connections: int = 0
    engine: EngineTraits | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class GatewayWorkspace(msgspec.Struct, frozen=True, kw_only=True):
    """
    A workspace with its keys and its rate.

    Parameters
    ----------
    name : str
        Unique name.
    key_digests : tuple of str
        SHA-256 of each key, in hexadecimal.
    priority : int or None
        Rank of its requests in place of the route's.
    counts_tokens : bool
        Whether the rate counts tokens in place of requests.
    plain_tokens : int
        Tokens that a request counts which names none.
    rate_per_s, burst : float
        Limit over all hosts together; 0 for none.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    counts_tokens: bool = False
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One complete version; version 0 is the empty table before the first."""

    version: int = 0
    routes: tuple[GatewayRoute, ...] = ()
    services: tuple[GatewayService, ...] = ()
    workspaces: tuple[GatewayWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()


class InstanceId(msgspec.Struct, frozen=True, array_like=True):
    """One start of a backend server."""

    instance: str
    started_ms: int = 0


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """A request, by its fingerprint, that ran on a server when that crashed."""

    fingerprint: str
    server: InstanceId


class BackendInstance(msgspec.Struct, frozen=True, kw_only=True):
    """
    One start of a backend server, as the list of backend servers shows it.

    Parameters
    ----------
    instance : str
        Name of this start; a restarted process mostly has another.
    service : str
        The service it belongs to.
    address : str
        ``ip:port``; used again by other instances after this one has gone.
    data_centre : str
        Where it stands.
    slots : int
        Requests that it runs at the same time.
    is_leaving : bool
        Whether it must get no new work.
    stage : EngineStage or None
        The stage of a model engine.
    started_ms : int
        Unix time of this start, because a restart may keep the name; 0 if unknown.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    stage: EngineStage | None = None
    started_ms: int = 0

    @property
    def instance_id(self) -> InstanceId:
        """The name and time of this start."""
        return InstanceId(self.instance, self.started_ms)


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """All usable entries of the list of backend servers, read at one time."""

    instances: tuple[BackendInstance, ...] = ()
