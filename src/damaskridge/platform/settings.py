r"""The settings file of the platform, with one ``name=value`` per line.

>>> settings = parse_settings("Node=a\nZones.z1=r1\nSeeds=10.0.0.1:80,10.0.0.2:80\n")
>>> settings["Seeds"]
'10.0.0.1:80,10.0.0.2:80'
"""

from pathlib import Path
from typing import Annotated, ClassVar

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result

from damaskridge.adapters.addresses import Address

__all__ = ["PlatformSettings", "load_platform_settings", "parse_settings"]


def _split_commas(value: object) -> object:
    if isinstance(value, str):
        return tuple(part for part in value.split(",") if part)
    return value


def _empty_is_none(value: object) -> object:
    return None if value == "" else value


Addresses = Annotated[tuple[Address, ...], BeforeValidator(_split_commas)]
Ports = Annotated[tuple[int, int], BeforeValidator(_split_commas)]
OptionalAddress = Annotated[Address | None, BeforeValidator(_empty_is_none)]
OptionalPath = Annotated[Path | None, BeforeValidator(_empty_is_none)]


class PlatformSettings(BaseModel):
    """
    Settings of one process, read from the settings file at its start.

    Parameters
    ----------
    host : str
        Name of the host.
    ip : str
        IP address of the host.
    data_centre : str
        Data centre of the host; the platform calls it a zone.
    data_centres : tuple of str
        Names of all data centres.
    front, ready, control, directory : str or None
        Listen address of each application; None if this process does not serve it.
    ports : tuple of (int, int)
        First and last port of the range for connections between hosts and for metrics.
    seeds : tuple of str
        Addresses of the operators' applications of some control hosts.
    first_start : bool
        Whether the whole system, not only this process, starts for the first time with
        empty disks.
    data_folder : Path or None
        Directory for persistent data; None if the host has no disk.
    list_address : str
        Address at which the platform serves the list of backend servers.
    list_rate_per_s : float
        Maximum rate of requests for the list, over all processes together.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    drain_ms : float
        For how long a backend server may get requests after it is listed as leaving,
        in milliseconds.
    longest_ttl_s : float
        Maximum TTL that callers honour for the addresses of entry hosts, in seconds.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget: ratio of retries to requests, fixed number of further retries, and
        length of the window in which both are counted.
    quota_slack : float
        Admissions beyond the rate limit of a workspace that the operator tolerates,
        over all hosts together.
    tolerated_losses : int or None
        Number of control hosts that may be lost at a time; None if it is unknown.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    # The settings name the region of each data centre: ``Zones.<name>=<region>``.
    ZONE_PREFIX: ClassVar[str] = "Zones."

    host: str = Field(alias="Node", min_length=1)
    ip: str = Field(alias="Ip", min_length=1)
    data_centre: str = Field(alias="Zone", min_length=1)
    data_centres: tuple[str, ...] = ()
    front: OptionalAddress = Field(None, alias="Listen.Front")
    ready: OptionalAddress = Field(None, alias="Listen.Ready")
    control: OptionalAddress = Field(None, alias="Listen.Control")
    directory: OptionalAddress = Field(None, alias="Listen.Directory")
    ports: Ports = Field(alias="PortRange")
    seeds: Addresses = Field(alias="Seeds", min_length=1)
    first_start: bool = Field(False, alias="Bootstrap")
    data_folder: OptionalPath = Field(None, alias="DataDir")
    list_address: Address = Field(alias="Cloud.Address")
    list_rate_per_s: float = Field(10.0, alias="Cloud.RatePerS", gt=0)
    grace_s: float = Field(8.0, alias="Bounds.GraceS", gt=0)
    drain_ms: float = Field(0.0, alias="Bounds.DrainMs", ge=0)
    longest_ttl_s: float = Field(5.0, alias="Bounds.ttl_max_s", gt=0)
    retry_ratio: float = Field(0.2, alias="Bounds.RetryRatio", ge=0)
    retry_slack: float = Field(0.0, alias="Bounds.RetrySlack", ge=0)
    retry_window_s: float = Field(10.0, alias="Bounds.RetryWindowS", gt=0)
    quota_slack: float = Field(0.0, alias="Bounds.QuotaSlack", ge=0)
    tolerated_losses: int | None = Field(None, alias="FaultTolerance.Machines", ge=0)

    @model_validator(mode="before")
    @classmethod
    def _collect_data_centres(cls, values: dict[str, str]) -> dict[str, object]:
        names = tuple(
            name.removeprefix(cls.ZONE_PREFIX)
            for name in values
            if name.startswith(cls.ZONE_PREFIX)
        )
        return {**values, "data_centres": names}

    @property
    def rpc_port(self) -> int:
        """Port of the RPC server of control hosts, the same on all hosts."""
        return self.ports[0]

    @property
    def peer_port(self) -> int:
        """Port on which entry hosts accept connections from each other."""
        return self.ports[0] + 1

    @property
    def metrics_port(self) -> int:
        """First of the ports for metrics; each role uses its own."""
        return self.ports[0] + 2

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """RPC addresses of the control hosts in `seeds`."""
        ips = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{ip}:{self.rpc_port}" for ip in ips)


def parse_settings(text: str) -> dict[str, str]:
    """Parse ``name=value`` lines; lines without ``=`` are ignored."""
    pairs = (line.strip().partition("=") for line in text.splitlines())
    return {
        name.strip(): value.strip() for name, separator, value in pairs if separator
    }


def load_platform_settings(path: Path) -> Result[PlatformSettings, list[str]]:
    """Read and validate the settings; returns one line for each error."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    try:
        return Ok(PlatformSettings.model_validate(parse_settings(text)))
    except ValidationError as error:
        return Err(
            [
                f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
                for fault in error.errors()
            ]
        )
