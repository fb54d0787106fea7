"""Settings of the entry program."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

__all__ = ["Address", "EntrySettings", "FrontLimits", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of ``ip:port``; `ValueError` if malformed."""
    # The standard library's parser is not needed by programs without settings.
    import ipaddress

    ip, _, port = address.rpartition(":")
    ipaddress.ip_address(ip)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("port must be between 1 and 65535")
    return ip, int(port)


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$", max_length=63)]


class FrontLimits(BaseModel):
    """
    Limits of the front for callers.

    Attributes
    ----------
    body_limit_bytes, max_header_bytes : int
        Longest body and longest request head.
    body_wait_s : float
        Longest time for which a caller may send its body.
    rate_wait_s : float
        Longest time for which a request slightly above the rate waits.
    keep_s : float
        How long callers may keep the address answer; also how long a draining host
        serves on.
    silence_s : float
        Time without bytes after which a connection to an engine is replaced.
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
        Name of this host and where it stands.
    caller_address, peer_address, operators_address : str
        Where this host listens for callers, entry hosts and operators, ``ip:port``.
    control_addresses : tuple[str, ...]
        The control group.
    host_list_address : str
        The platform's list of hosts.
    front : FrontLimits
        Limits for callers.
    log_level : str
        Least severe level that is logged.
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
