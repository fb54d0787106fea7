"""What this host owns according to the fleet view and its own lease."""

import anyio

from damaskridge.adapters.ports import ControlPort
from damaskridge.model.control import Owner, ReleaseOwnership
from damaskridge.model.errors import ErrorKind

__all__ = [
    "RELEASE_RETRY_DELAY_S",
    "find_owned_resources",
    "lease_is_valid",
    "propose_release",
]

RELEASE_RETRY_DELAY_S = 0.2


def lease_is_valid(control: ControlPort, session: int | None = None) -> bool:
    """
    Tell whether this host may decide now; asked before every decision.

    Parameters
    ----------
    control : ControlPort
        The control group.
    session : int or None
        Session by which a resource is owned. The lease of a later session does not
        cover what an earlier one owned.
    """
    held = control.session
    if held is None or session not in (None, held.number):
        return False
    return control.lease.is_valid(anyio.current_time())


def find_owned_resources(
    control: ControlPort, host: str, prefix: str
) -> dict[str, Owner]:
    """Return the resources that this host's session owns; none without a lease."""
    session = control.session
    if session is None or not lease_is_valid(control):
        return {}
    return {
        resource: owner
        for resource, owner in control.fleet.owners.items()
        if resource.startswith(prefix)
        and owner.host == host
        and owner.session == session.number
    }


async def propose_release(
    control: ControlPort, owner: Owner, level_tokens: float = 0.0
) -> bool:
    """
    Hand a resource over; tries again while the session that owned it lives.

    Returns
    -------
    bool
        Whether the control group committed the release.
    """
    command = _release_command(control, owner, level_tokens)
    while control.session is not None and control.session.number == owner.session:
        result = await control.propose(command)
        if result.failure is None:
            return True
        if result.failure.kind is not ErrorKind.CONTROL_UNAVAILABLE:
            # The refusal is remembered by the command's id. The move may have been
            # called off at that moment and ordered again since.
            command = _release_command(control, owner, level_tokens)
        await anyio.sleep(RELEASE_RETRY_DELAY_S)
        current = control.fleet.owners.get(owner.resource)
        if current is None or current.epoch != owner.epoch or not current.moving_to:
            return False
    return False


def _release_command(
    control: ControlPort, owner: Owner, level_tokens: float
) -> ReleaseOwnership:
    """Return the command for a move as this host's view of the fleet shows it."""
    move_id = f"{owner.resource}/{owner.epoch}/{control.fleet.index}"
    return ReleaseOwnership(
        command_id=f"release/{move_id}",
        host=owner.host,
        session=owner.session,
        resource=owner.resource,
        epoch=owner.epoch,
        level_tokens=level_tokens,
    )
