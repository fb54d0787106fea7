"""Settings of a control process."""

from pathlib import Path
from typing import Annotated

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationInfo,
    field_validator,
)

from damaskridge.adapters.addresses import Address

__all__ = ["Address", "ControlSettings", "Name"]


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class ControlSettings(BaseModel):
    """
    Settings of a control process.

    Parameters
    ----------
    host : str
        Name of this host.
    data_centre : str
        Data centre of the host.
    rpc_address : str
        Address on which the process listens for RPCs of other processes.
    operators_address : str
        Address on which health, readiness and metrics are served.
    data_folder : Path
        Folder of the replicated log.
    members : dict of str to str
        RPC address of every host of the control group.
    join_as_learner : bool
        Whether this host only joins an existing group and never bootstraps one.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    host: Name
    data_centre: Name
    rpc_address: Address
    operators_address: Address
    data_folder: Annotated[Path, Field(strict=False)]
    members: dict[Name, Address]
    join_as_learner: bool = False

    @field_validator("members")
    @classmethod
    def _check_members(
        cls, members: dict[str, str], info: ValidationInfo
    ) -> dict[str, str]:
        host = info.data.get("host")
        if host is not None and host not in members:
            raise ValueError(f"must contain the host {host!r}")
        if len(set(members.values())) < len(members):
            raise ValueError("two hosts have the same address")
        return members
