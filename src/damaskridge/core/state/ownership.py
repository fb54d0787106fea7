"""
Assigns the owners of workspace rates and of cells by rendezvous hashing.

A resource is assigned to the host with the highest score, so a host that joins or
leaves moves only its own share. A live owner is never replaced. Instead, `moving_to`
asks it to release the resource, which moves only with its `ReleaseOwnership` or at
the end of its session.
"""

from collections import Counter
from functools import lru_cache
from hashlib import blake2b

import msgspec

from damaskridge.core.state.data import Changes, StateData, refusal
from damaskridge.core.state.fleet_queries import cell_resource, workspace_resource
from damaskridge.model.bundle import Bundle
from damaskridge.model.control import (
    AllocateFencingNumber,
    CommandResult,
    Owner,
    OwnerChanged,
    ReleaseOwnership,
    Session,
)
from damaskridge.model.errors import ErrorKind

__all__ = [
    "allocate_fencing_number",
    "is_live_session",
    "preferred_data_centres",
    "rebalance",
    "release_ownership",
]

# About 1 MB of state. A workspace that was removed 10,000 workspaces ago has been
# pruned, and starts with a full bucket if it is added again.
MAX_KNOWN_WORKSPACES = 10_000

_MASK = (1 << 64) - 1


@lru_cache(maxsize=8192)
def _hash_name(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def _score(resource: int, host: int) -> int:
    # The finalizer of splitmix64. Computing blake2b for every pair of resource and
    # host would take most of a second for 390 hosts and some hundred resources.
    value = resource ^ host
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def preferred_data_centres(bundle: Bundle) -> dict[str, str]:
    """
    Return the preferred data centre of every resource.

    For a cell it is the one with most of its backend servers; for a workspace it is
    empty.
    """
    server_counts: dict[str, Counter[str]] = {}
    for server in bundle.backend_servers:
        server_counts.setdefault(server.cell, Counter())[server.data_centre] += 1
    resources = {workspace_resource(item.name): "" for item in bundle.workspaces}
    for cell, counts in server_counts.items():
        preferred = max(sorted(counts), key=lambda name, counts=counts: counts[name])  # type: ignore[misc]
        resources[cell_resource(cell)] = preferred
    return resources


def is_live_session(data: StateData, host: str, session: int) -> bool:
    """Return whether `session` is the live session of `host`."""
    live_session = data.sessions.get(host)
    return live_session is not None and live_session.number == session


def rebalance(data: StateData, changes: Changes, changed_host: str = "") -> None:
    """
    Update the owners after sessions, drains or the bundle changed.

    Parameters
    ----------
    data : StateData
        The state whose owners are updated.
    changes : list of FleetChange
        Every change is appended to it.
    changed_host : str
        The only host whose session started, ended or changed since the last call;
        empty if anything may have changed. Resources that this host does not affect
        are skipped. Otherwise the loss of a data centre would score all hosts once
        for each host lost.
    """
    resources = preferred_data_centres(data.bundle)
    for resource in sorted(set(data.owners) - set(resources)):
        _remove_resource(data, resource, changes)
    hosts = {
        host: session
        for host, session in sorted(data.sessions.items())
        if not session.draining and host not in data.draining_hosts
    }
    for resource, data_centre in sorted(resources.items()):
        owner = data.owners.get(resource)
        is_owned = owner is not None and is_live_session(
            data, owner.host, owner.session
        )
        if owner is not None and is_owned and changed_host:
            if _is_unaffected(owner, data_centre, hosts, changed_host):
                continue
        preferred = _preferred_session(resource, data_centre, hosts)
        if owner is None or not is_owned:
            if owner is None or owner.host or preferred is not None:
                level_tokens = _initial_level_tokens(data, resource, owner)
                _assign_owner(data, resource, preferred, level_tokens, changes)
            continue
        moving_to = preferred.host if preferred and preferred.host != owner.host else ""
        if moving_to != owner.moving_to:
            owner = msgspec.structs.replace(owner, moving_to=moving_to)
            data.owners[resource] = owner
            changes.append(OwnerChanged(owner=owner))


def release_ownership(
    data: StateData, command: ReleaseOwnership, changes: Changes
) -> CommandResult:
    """Transfer a resource to the host that it is moving to."""
    if not is_live_session(data, command.host, command.session):
        return refusal(ErrorKind.SESSION_ENDED, command.host)
    owner = data.owners.get(command.resource)
    if owner is None or (owner.host, owner.session, owner.epoch) != (
        command.host,
        command.session,
        command.epoch,
    ):
        return refusal(ErrorKind.EPOCH_CONFLICT, command.resource)
    if not owner.moving_to:
        return refusal(ErrorKind.EPOCH_CONFLICT, f"{command.resource} does not move")
    target = data.sessions[owner.moving_to]
    _assign_owner(data, command.resource, target, command.level_tokens, changes)
    return CommandResult(value=str(data.owners[command.resource].epoch))


def allocate_fencing_number(
    data: StateData, command: AllocateFencingNumber
) -> CommandResult:
    """Allocate the next fencing number of a cell to its owner."""
    owner = data.owners.get(command.resource)
    if owner is None or (owner.host, owner.epoch) != (command.host, command.epoch):
        return refusal(ErrorKind.EPOCH_CONFLICT, command.resource)
    number = data.fencing.get(command.resource, data.fencing_floor) + 1
    data.fencing[command.resource] = number
    return CommandResult(value=str(number))


def _rank(resource: str, data_centre: str, session: Session) -> tuple[bool, int]:
    score = _score(_hash_name(resource), _hash_name(session.host))
    return bool(data_centre) and session.data_centre == data_centre, score


def _preferred_session(
    resource: str, data_centre: str, hosts: dict[str, Session]
) -> Session | None:
    return max(
        hosts.values(),
        key=lambda session: _rank(resource, data_centre, session),
        default=None,
    )


def _is_unaffected(
    owner: Owner, data_centre: str, hosts: dict[str, Session], changed_host: str
) -> bool:
    """
    Return whether a change of `changed_host` cannot change a live owner.

    The preferred host must still be in `hosts`, and the changed one must rank below it
    or no longer be there.
    """
    preferred = hosts.get(owner.moving_to or owner.host)
    changed_session = hosts.get(changed_host)
    if preferred is None or changed_session is None:
        return preferred is not None
    resource = owner.resource
    return _rank(resource, data_centre, changed_session) < _rank(
        resource, data_centre, preferred
    )


def _assign_owner(
    data: StateData,
    resource: str,
    session: Session | None,
    level_tokens: float,
    changes: Changes,
) -> None:
    data.last_epoch += 1
    previous = data.owners.get(resource)
    assert previous is None or previous.epoch < data.last_epoch, (
        "owner epoch must increase"
    )
    owner = Owner(
        resource,
        session.host if session else "",
        session.number if session else 0,
        data.last_epoch,
        level_tokens,
    )
    data.owners[resource] = owner
    changes.append(OwnerChanged(owner=owner))


def _initial_level_tokens(data: StateData, resource: str, owner: Owner | None) -> float:
    """Return the bucket level of a resource that no live owner has released."""
    if owner is not None:
        # A resource without an owner keeps its level, as nothing is taken from it. The
        # level of an owner whose session ended is unknown, so the bucket starts empty.
        return 0.0 if owner.host else owner.level_tokens
    if resource in data.known_workspaces:
        return 0.0
    for workspace in data.bundle.workspaces:
        if workspace_resource(workspace.name) == resource:
            data.known_workspaces[resource] = True
            _prune_known_workspaces(data)
            return workspace.burst_tokens
    return 0.0


def _prune_known_workspaces(data: StateData) -> None:
    removed = [name for name in data.known_workspaces if name not in data.owners]
    for name in removed[: max(0, len(data.known_workspaces) - MAX_KNOWN_WORKSPACES)]:
        del data.known_workspaces[name]


def _remove_resource(data: StateData, resource: str, changes: Changes) -> None:
    owner = data.owners.pop(resource)
    number = data.fencing.pop(resource, 0)
    data.fencing_floor = max(data.fencing_floor, number)
    changes.append(OwnerChanged(owner=owner, removed=True))
