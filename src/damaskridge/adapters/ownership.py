"""Resources that this host owns by the fleet view and its lease."""

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
    Return whether this host may make decisions now; checked before each of them.

    Parameters
    ----------
    control : ControlPort
        Connection to the control group.
    session : int or None
        Number of the session that owns the resource, None for the present one. The
        lease of a later session doesn't cover the resources of an earlier one.
    """
    current = control.session
    if current is None or session not in (None, current.number):
        return False
    return control.lease.is_valid(anyio.current_time())


def find_owned_resources(
    control: ControlPort, host: str, prefix: str
) -> dict[str, Owner]:
    """Return the resources of this host's session, none without a valid lease."""
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
    Release a resource; retries as long as the session that owns it lasts.

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
            # The control group stores the refusal under the command's id and would
            # return it again, even if the move was cancelled at that moment and has
            # been ordered anew since. So the next attempt needs a new id.
            command = _release_command(control, owner, level_tokens)
        await anyio.sleep(RELEASE_RETRY_DELAY_S)
        current = control.fleet.owners.get(owner.resource)
        if current is None or current.epoch != owner.epoch or not current.moving_to:
            return False
    return False


def _release_command(
    control: ControlPort, owner: Owner, level_tokens: float
) -> ReleaseOwnership:
    """Return the command, with an id of the move as this host's fleet view has it."""
    move_id = f"{owner.resource}/{owner.epoch}/{control.fleet.index}"
    return ReleaseOwnership(
        command_id=f"release/{move_id}",
        host=owner.host,
        session=owner.session,
        resource=owner.resource,
        epoch=owner.epoch,
        level_tokens=level_tokens,
    )
