"""Settings of the entry program."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from damaskridge.adapters.addresses import Address

__all__ = ["EntrySettings", "FrontLimits"]


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$", max_length=63)]


class FrontLimits(BaseModel):
    """
    Limits that the front applies to callers.

    Attributes
    ----------
    body_limit_bytes, max_header_bytes : int
        Maximum size of a request body and of a request head.
    body_wait_s : float
        Maximum time until a request body is complete.
    rate_wait_s : float
        Maximum time for which a request slightly above the rate limit waits.
    keep_s : float
        Time for which callers may cache the list of addresses; a draining host accepts
        requests for as long.
    silence_s : float
        Time without received bytes after which a connection to an engine is replaced.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    body_limit_bytes: int = Field(default=1_048_576, gt=0)
    max_header_bytes: int = Field(default=49_152, ge=1024)
    body_wait_s: float = Field(default=10.0, gt=0)
    rate_wait_s: float = Field(default=2.0, ge=0)
    keep_s: float = Field(default=5.0, ge=0)
    silence_s: float = Field(default=1.5, gt=0)


class EntrySettings(BaseModel):
    """
    Settings of one entry host.

    Attributes
    ----------
    host, data_centre : str
        Name and data centre of this host.
    caller_address, peer_address, operators_address : str
        Addresses on which this host listens for callers, other entry hosts and
        operators, as ``ip:port``.
    control_addresses : tuple[str, ...]
        RPC addresses of the control group.
    host_list_address : str
        Address of the platform's list of hosts.
    front : FrontLimits
        Limits for callers.
    log_level : str
        Minimum level of logged events.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: Name
    data_centre: Name
    caller_address: Address
    peer_address: Address
    operators_address: Address
    control_addresses: tuple[Address, ...] = Field(min_length=1)
    host_list_address: Address
    front: FrontLimits = FrontLimits()
    log_level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
