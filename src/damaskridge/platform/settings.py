r"""The settings file of the platform: one ``name=value`` a line.

>>> settings = parse_lines("Node=a\nZones.z1=r1\nSeeds=10.0.0.1:80,10.0.0.2:80\n")
>>> settings["Seeds"]
'10.0.0.1:80,10.0.0.2:80'
"""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from damaskridge.adapters.addresses import Address

__all__ = ["PlatformSettings", "load_platform_settings", "parse_lines"]


def _split(value: object) -> object:
    if isinstance(value, str):
        return tuple(part for part in value.split(",") if part)
    return value


def _empty_is_none(value: object) -> object:
    return None if value == "" else value


Addresses = Annotated[tuple[Address, ...], BeforeValidator(_split)]
Ports = Annotated[tuple[int, int], BeforeValidator(_split)]
OptionalAddress = Annotated[Address | None, BeforeValidator(_empty_is_none)]
OptionalPath = Annotated[Path | None, BeforeValidator(_empty_is_none)]


class PlatformSettings(BaseModel):
    """
    What a process is told at its start.

    Parameters
    ----------
    host : str
        Name of the machine.
    ip : str
        Its address.
    data_centre : str
        The platform's zone.
    front, ready, control, directory : str or None
        Where each of these is served; None if this process does not serve it.
    ports : tuple of (int, int)
        First and last port for traffic between the system's processes.
    seeds : tuple of str
        Operators' addresses of some control hosts.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    data_folder : Path or None
        The folder on the disk, if the machine has one.
    list_address : str
        Where the platform serves the list of backend servers.
    list_rate_per_s : float
        Calls for that list from all processes together.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    longest_ttl_s : float
        Longest life of an address answer that callers honour.
    retry_ratio, retry_slack, retry_window_s : float
        Additional sends: share of the requests, fixed number, and the window.
    quota_slack : float
        Admissions beyond a workspace's rate that the operator tolerates.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    host: str = Field(alias="Node", min_length=1)
    ip: str = Field(alias="Ip", min_length=1)
    data_centre: str = Field(alias="Zone", min_length=1)
    front: OptionalAddress = Field(None, alias="Listen.Front")
    ready: OptionalAddress = Field(None, alias="Listen.Ready")
    control: OptionalAddress = Field(None, alias="Listen.Control")
    directory: OptionalAddress = Field(None, alias="Listen.Directory")
    ports: Ports = Field(alias="PortRange")
    seeds: Addresses = Field(alias="Seeds", min_length=1)
    # The name stands for the first start of the system, not of this process.
    first_start: bool = Field(False, alias="Bootstrap")
    data_folder: OptionalPath = Field(None, alias="DataDir")
    list_address: Address = Field(alias="Cloud.Address")
    list_rate_per_s: float = Field(10.0, alias="Cloud.RatePerS", gt=0)
    grace_s: float = Field(8.0, alias="Bounds.GraceS", gt=0)
    longest_ttl_s: float = Field(5.0, alias="Bounds.ttl_max_s", gt=0)
    retry_ratio: float = Field(0.2, alias="Bounds.RetryRatio", ge=0)
    retry_slack: float = Field(0.0, alias="Bounds.RetrySlack", ge=0)
    retry_window_s: float = Field(10.0, alias="Bounds.RetryWindowS", gt=0)
    quota_slack: float = Field(0.0, alias="Bounds.QuotaSlack", ge=0)

    @property
    def rpc_port(self) -> int:
        """The port of the control group, the same on all machines."""
        return self.ports[0]

    @property
    def peer_port(self) -> int:
        """The port of entry hosts for each other."""
        return self.ports[0] + 1

    @property
    def metrics_port(self) -> int:
        """The first of the ports where metrics are served, one for each role."""
        return self.ports[0] + 2

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """RPC addresses of the control hosts that the seeds name."""
        ips = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{ip}:{self.rpc_port}" for ip in ips)


def parse_lines(text: str) -> dict[str, str]:
    """Return the settings by name; lines without ``=`` are left out."""
    pairs = (line.strip().partition("=") for line in text.splitlines())
    return {
        name.strip(): value.strip() for name, separator, value in pairs if separator
    }


def load_platform_settings(path: Path) -> Result[PlatformSettings, list[str]]:
    """Return the settings, or a line for every fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    try:
        return Ok(PlatformSettings.model_validate(parse_lines(text)))
    except ValidationError as error:
        return Err(
            [
                f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
                for fault in error.errors()
            ]
        )
