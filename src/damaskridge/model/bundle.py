"""The configuration bundle, which operators propose, sign off and roll out.

A bundle holds the workspaces, keys, operators, models, routes and backend servers
of the fleet. The control group replicates it and assigns it a version number.
"""

from enum import Enum

import msgspec

__all__ = [
    "BackendServer",
    "BackendServerRole",
    "Bundle",
    "KeyRecord",
    "Model",
    "Operator",
    "Route",
    "Workspace",
]


class BackendServerRole(Enum):
    """The part of a generation that a backend server runs, or a plain service."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"
    SERVICE = "service"


class Workspace(msgspec.Struct, frozen=True):
    """
    A customer, with its rate limit and its share of engine time.

    Parameters
    ----------
    name : str
        Unique name.
    rate_tokens_per_s : float
        Refill rate of the token bucket: prompt plus output tokens per second, over
        all hosts together.
    burst_tokens : float
        Capacity of the token bucket.
    share_weight : float
        Weight in weighted fair queueing for engine time.
    """

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    share_weight: float = 1.0


class KeyRecord(msgspec.Struct, frozen=True):
    """An API key of a workspace; `digest` is the SHA-256 of the key in hexadecimal."""

    digest: str
    workspace: str
    label: str = ""


class Operator(msgspec.Struct, frozen=True):
    """A person who may change the fleet, authenticated by the digest of a key."""

    name: str
    key_digest: str


class Model(msgspec.Struct, frozen=True):
    """
    A model that the fleet serves.

    Parameters
    ----------
    name : str
        Unique name.
    context_tokens : int
        Length of the context window: prompt plus output.
    kv_bytes_per_token : int
        Size of the KV cache per token.
    """

    name: str
    context_tokens: int
    kv_bytes_per_token: int = 131_072


class Route(msgspec.Struct, frozen=True):
    """
    A route to a plain service, ``/services/<service>/<path>``.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path prefix below the service, for example ``bookings``; empty for all paths.
    open_to_all : bool
        Whether requests are accepted without an API key.
    repeatable : bool
        Whether a call may be retried after a failure. A call that is not
        repeatable needs an idempotency key.
    cost_tokens : int
        Tokens that one call is charged against the rate of the workspace.
    """

    service: str
    path: str = ""
    open_to_all: bool = False
    repeatable: bool = True
    cost_tokens: int = 1


class BackendServer(msgspec.Struct, frozen=True):
    """
    A model engine or an instance of a plain service.

    Parameters
    ----------
    name : str
        Unique name.
    cell : str
        The cell that schedules this server. A cell consists of the servers of one
        model or service in one place and has one owner at a time.
    role : BackendServerRole
        The stages that an engine runs, or `SERVICE`.
    serves : str
        Name of the model or service.
    data_centre : str
        Data centre of the server.
    address : str
        ``ip:port``.
    slots : int
        Maximum number of concurrent requests.
    kv_pieces : int
        Size of the KV cache in blocks; 0 for a service.
    piece_tokens : int
        Tokens per block of the KV cache.
    prefill_tokens_per_s : float
        Prefill throughput.
    decode_step_ms : float
        Duration of one decode step with a full batch, in milliseconds.
    link_bytes_per_s : float
        Bandwidth of the network link for KV cache transfers.
    checks_fencing : bool
        Whether the server refuses orders with a stale fencing number.
    """

    name: str
    cell: str
    role: BackendServerRole
    serves: str
    data_centre: str
    address: str
    slots: int
    kv_pieces: int = 0
    piece_tokens: int = 16
    prefill_tokens_per_s: float = 8000.0
    decode_step_ms: float = 40.0
    link_bytes_per_s: float = 1.25e9
    checks_fencing: bool = True


class Bundle(msgspec.Struct, frozen=True):
    """The complete content of one bundle version, without the version number."""

    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[KeyRecord, ...] = ()
    operators: tuple[Operator, ...] = ()
    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
