"""The routing table and the list of backend servers of the gateway.

The gateway forwards requests without decoding their bodies. A routing table is
self-contained; the one with the highest version is active.
"""

from enum import Enum

import msgspec

__all__ = [
    "BackendInstance",
    "CallerLimits",
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
    """Whether requests of a route may run repeatedly, and whether they stream."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class EngineStage(Enum):
    """The stage of a generation that a model engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


class RouteTarget(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of the requests of a route."""

    service: str
    weight: int = 1


class GatewayRoute(msgspec.Struct, frozen=True, kw_only=True):
    """
    A route for the requests to one host name below one path.

    Parameters
    ----------
    name : str
        Unique name.
    host_name, path_prefix : str
        Requests that the route matches; the prefix begins and ends with a slash.
    kind : RouteKind
        Whether requests may run repeatedly, and whether they stream.
    timeout_ms : int
        Timeout of the complete response, in milliseconds.
    objective_ms : int
        Service level objective for the response, or for the first event of a stream,
        in milliseconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    targets : tuple of RouteTarget
        Services that receive the requests, with their weights.
    attempts : int
        Maximum number of backend servers that may run one request; a server that
        refuses it without running it does not count.
    is_public : bool
        Whether requests are accepted without an API key.
    is_resumable : bool
        Whether an interrupted stream may continue on another backend server.
    event_gap_ms : int
        Service level objective for the time between two events of a stream, in
        milliseconds.
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
    Capacity and timing that all model engines of one service share.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    memory_tokens : int
        Size of the KV cache, in tokens.
    handle_s : float
        Time for which an engine keeps an exported KV cache for import, in seconds.
    reservation_s : float
        Maximum duration of a reservation on a decode engine, in seconds.
    steps_per_event : float
        Decode steps per event of a stream.
    """

    slots: int
    memory_tokens: int
    handle_s: float = 0.0
    reservation_s: float = 0.0
    steps_per_event: float = 1.0


class GatewayService(msgspec.Struct, frozen=True, kw_only=True):
    """
    A service, which is run by interchangeable backend servers.

    Parameters
    ----------
    name : str
        Unique name.
    health_path : str
        Path of the health check; empty for none.
    connections : int
        Maximum number of connections that one backend server accepts from all callers
        together; 0 if unknown.
    engine : EngineTraits or None
        Set if the backend servers are model engines.
    cold_start_s : float
        For how long a backend server is cold after its start, in seconds; 0 if it is
        never cold.
    cold_per_s : float
        Requests a second that a cold backend server bears from all hosts together.
    """

    name: str
    health_path: str = ""
    connections: int = 0
    engine: EngineTraits | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0

    @property
    def has_cold_servers(self) -> bool:
        """Whether backend servers bear only a stated rate after their start."""
        return self.cold_start_s > 0 and self.cold_per_s > 0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits and timeouts for the requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class GatewayWorkspace(msgspec.Struct, frozen=True, kw_only=True):
    """
    A workspace with its API keys and rate limit.

    Parameters
    ----------
    name : str
        Unique name.
    key_digests : tuple of str
        SHA-256 of each API key, in hexadecimal.
    priority : int or None
        Priority of its requests; overrides the priority of the route.
    counts_tokens : bool
        Whether the rate limit counts tokens instead of requests.
    plain_tokens : int
        Tokens charged for a request that does not state its size.
    rate_per_s, burst : float
        Refill rate and capacity of the token bucket, over all hosts together; 0 for
        no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    counts_tokens: bool = False
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def cost(self, tokens: int) -> float:
        """Return what a request costs in the unit of the rate; 0 tokens if unknown."""
        if not self.counts_tokens:
            return 1.0
        return float(tokens or self.plain_tokens)


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """A complete routing table; version 0 is the initial empty one."""

    version: int = 0
    routes: tuple[GatewayRoute, ...] = ()
    services: tuple[GatewayService, ...] = ()
    workspaces: tuple[GatewayWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()


class InstanceId(msgspec.Struct, frozen=True, array_like=True):
    """
    Identifies an instance: one run of the process of a backend server.

    Parameters
    ----------
    instance : str
        Name of the instance; a restarted process may keep it.
    started_ms : int
        Unix time of the start, in milliseconds; 0 if unknown.
    """

    instance: str
    started_ms: int = 0


class BackendInstance(msgspec.Struct, frozen=True, kw_only=True):
    """
    An instance, as the list of backend servers describes it.

    Parameters
    ----------
    instance : str
        Name of the instance; a restarted process usually has a new one.
    service : str
        Service that the instance runs.
    address : str
        ``ip:port``; later instances may reuse it.
    data_centre : str
        Data centre of the instance.
    slots : int
        Maximum number of concurrent requests.
    is_leaving : bool
        Whether the instance shuts down and must receive no new requests.
    stage : EngineStage or None
        Stage that a model engine runs; None for a service.
    started_ms : int
        Unix time of the start, in milliseconds; 0 if unknown. It distinguishes
        instances if a restart keeps the name.
    software_version : str
        Version of the instance's software. A stream may go on only at the version that
        began it.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    stage: EngineStage | None = None
    started_ms: int = 0
    software_version: str = ""

    @property
    def instance_id(self) -> InstanceId:
        """The identity of the instance, distinct after a restart."""
        return InstanceId(self.instance, self.started_ms)


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """
    The usable entries of the list of backend servers, from one read.

    Parameters
    ----------
    instances : tuple of BackendInstance
        The entries.
    calls : int
        Number of calls that the read took.
    cold_left_s : dict of str to float or None
        For how much longer instances stay cold, by name; None if an entry doesn't say.
        Instances that are not named are not cold.
    """

    instances: tuple[BackendInstance, ...] = ()
    calls: int = 1
    cold_left_s: dict[str, float | None] = {}
