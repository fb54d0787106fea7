"""The bundle: one versioned set of everything that operators decide."""

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
    """What a backend server does for its cell."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"
    SERVICE = "service"


class Workspace(msgspec.Struct, frozen=True):
    """
    A customer of the platform.

    Parameters
    ----------
    name : str
        Unique name.
    rate_tokens_per_s : float
        Tokens (prompt plus output) that the workspace may use a second, counted
        over all hosts together.
    burst_tokens : float
        Most tokens that may be used at once.
    share_weight : float
        Weight of the workspace's fair share of engine time.
    """

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    share_weight: float = 1.0


class KeyRecord(msgspec.Struct, frozen=True):
    """A key of a workspace; `digest` is the SHA-256 of the key in hexadecimal."""

    digest: str
    workspace: str
    label: str = ""


class Operator(msgspec.Struct, frozen=True):
    """A person who may change the fleet, known by the digest of a key."""

    name: str
    key_digest: str


class Model(msgspec.Struct, frozen=True):
    """A model that the fleet serves; `context_tokens` is prompt plus output."""

    name: str
    context_tokens: int
    kv_bytes_per_token: int = 131_072


class Route(msgspec.Struct, frozen=True):
    """
    A path of a plain service, `/services/<service>/<path>`.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path prefix below the service, for example ``bookings``; empty for all.
    open_to_all : bool
        Whether a request needs no key.
    repeatable : bool
        Whether a call may be sent again after a failure. A call that is not
        repeatable needs an idempotency key.
    cost_tokens : int
        What one call takes from the rate of the workspace.
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
        The cell that schedules this server. A cell holds the servers of one
        model or service in one place, with one owner at a time.
    role : BackendServerRole
        What the server does.
    serves : str
        Name of the model or service.
    data_centre : str
        Where the server stands.
    address : str
        ``ip:port``.
    slots : int
        Requests that the server runs at the same time.
    kv_pieces : int
        KV memory in pieces; 0 for a service.
    piece_tokens : int
        Tokens that one piece of KV memory holds.
    prefill_tokens_per_s : float
        Prefill speed.
    decode_step_ms : float
        Time of one decode step at a full batch, in milliseconds.
    link_bytes_per_s : float
        Rate of the link that KV transfers use.
    checks_fencing : bool
        Whether the server refuses orders with an old fencing number.
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
    """The whole content of one bundle version, without its number."""

    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[KeyRecord, ...] = ()
    operators: tuple[Operator, ...] = ()
    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
