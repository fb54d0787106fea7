"""Status of the control group and of the fleet, for operators."""

import msgspec

from damaskridge.model.bundle import Bundle
from damaskridge.model.control import Owner, Session
from damaskridge.model.errors import Failure

__all__ = ["FleetStatus", "HostStatus", "ProposalStatus", "StatusRequest"]


class StatusRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the status; `with_bundle` also requests the active bundle."""

    with_bundle: bool = False


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    The progress that an entry host last reported to this leader.

    Parameters
    ----------
    host : str
        Name of the host.
    session : int
        Number of its session at that time.
    version : int
        Bundle version that the host uses.
    applied_index : int
        Fleet index that the host has applied.
    reached_at_ms : int
        Wall clock of the leader when the host first reported `version`.
    """

    host: str
    session: int
    version: int
    applied_index: int
    reached_at_ms: int


class ProposalStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A pending proposal; `signed_off_by` is empty until it is signed off."""

    proposal: str
    proposer: str
    signed_off_by: str = ""


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    The status of the fleet, confirmed by a quorum.

    If `failure` is set, all other fields have their defaults.

    Parameters
    ----------
    failure : Failure or None
        Why the status cannot be read.
    activated_at_ms : int
        Wall clock of the leader when it applied the active version; 0 if it applied
        the version before it became leader.
    """

    failure: Failure | None = None
    leader: str = ""
    term: int = 0
    index: int = 0
    version: int = 0
    activated_at_ms: int = 0
    hosts: tuple[HostStatus, ...] = ()
    sessions: tuple[Session, ...] = ()
    owners: tuple[Owner, ...] = ()
    proposals: tuple[ProposalStatus, ...] = ()
    draining_hosts: tuple[str, ...] = ()
    draining_backend_servers: tuple[str, ...] = ()
    bundle: Bundle | None = None
    evacuated: tuple[str, ...] = ()
