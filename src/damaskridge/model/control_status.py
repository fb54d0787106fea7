"""What operators read of the control group."""

import msgspec

from damaskridge.model.bundle import Bundle
from damaskridge.model.control import Owner, Session
from damaskridge.model.errors import Failure

__all__ = ["FleetStatus", "HostStatus", "ProposalStatus", "StatusRequest"]


class StatusRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the status; `with_bundle` also for the content in force."""

    with_bundle: bool = False


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    What an entry host last reported to this leader.

    Parameters
    ----------
    host : str
        The host.
    session : int
        Its session at the report.
    version : int
        The bundle version that it has in force.
    applied_index : int
        Index of its fleet view.
    reached_at_ms : int
        The leader's wall clock when it first reported `version`.
    """

    host: str
    session: int
    version: int
    applied_index: int
    reached_at_ms: int


class ProposalStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A proposal that is not in force yet; `signed_off_by` may be empty."""

    proposal: str
    proposer: str
    signed_off_by: str = ""


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    The state as confirmed by a quorum, or with `failure` nothing else.

    Parameters
    ----------
    activated_at_ms : int
        The leader's wall clock when it applied the version in force; 0 if it
        applied it before it led.
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
