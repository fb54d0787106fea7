"""Owners of workspaces' rates and of cells, by rendezvous hashing.

A resource belongs to the live host with the highest score, so a host that joins or
leaves moves only its own share. A living owner is never replaced: it is asked to
release the resource, and only its `ReleaseOwnership` or its session's end moves it.
"""

from collections import Counter
from functools import lru_cache
from hashlib import blake2b

import msgspec

from damaskridge.core.state.data import Changes, StateData, refused
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
    "allocate_fencing",
    "is_live_session",
    "rebalance",
    "release",
    "resources_of",
]

# About 1 MB of state. A workspace that was removed 10,000 workspaces ago starts with
# a full bucket again.
KNOWN_WORKSPACES = 10_000

_MASK = (1 << 64) - 1


@lru_cache(maxsize=8192)
def _name_hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def _score(resource: int, host: int) -> int:
    # The finaliser of splitmix64. A blake2b per pair of resource and host would
    # take most of a second for 390 hosts and some hundred resources.
    value = resource ^ host
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def resources_of(bundle: Bundle) -> dict[str, str]:
    """Return every resource with its preferred data centre, which may be empty."""
    places: dict[str, Counter[str]] = {}
    for server in bundle.backend_servers:
        places.setdefault(server.cell, Counter())[server.data_centre] += 1
    resources = {workspace_resource(item.name): "" for item in bundle.workspaces}
    for cell, count in places.items():
        best = max(sorted(count), key=lambda place, count=count: count[place])  # type: ignore[misc]
        resources[cell_resource(cell)] = best
    return resources


def is_live_session(data: StateData, host: str, session: int) -> bool:
    """Tell whether `session` is the live session of `host`."""
    held = data.sessions.get(host)
    return held is not None and held.number == session


def rebalance(data: StateData, changes: Changes, changed_host: str = "") -> None:
    """
    Give every resource an owner after sessions, drains or the bundle changed.

    Parameters
    ----------
    data : StateData
        The state; its owners are changed.
    changes : list of FleetChange
        Gets every change.
    changed_host : str
        The only host that came, went or changed since the last call, so that the
        loss of a data centre does not score all hosts again for each of its hosts;
        empty if anything may have changed.
    """
    resources = resources_of(data.bundle)
    for resource in sorted(set(data.owners) - set(resources)):
        _remove(data, resource, changes)
    hosts = {
        host: session
        for host, session in sorted(data.sessions.items())
        if not session.draining and host not in data.draining_hosts
    }
    for resource, place in sorted(resources.items()):
        owner = data.owners.get(resource)
        live = owner is not None and is_live_session(data, owner.host, owner.session)
        if owner is not None and live and changed_host:
            if _keeps(owner, place, hosts, changed_host):
                continue
        wanted = _choose(resource, place, hosts)
        if owner is None or not live:
            if owner is None or owner.host or wanted is not None:
                level_tokens = _first_level_tokens(data, resource, owner)
                _assign_owner(data, resource, wanted, level_tokens, changes)
            continue
        moving_to = wanted.host if wanted and wanted.host != owner.host else ""
        if moving_to != owner.moving_to:
            owner = msgspec.structs.replace(owner, moving_to=moving_to)
            data.owners[resource] = owner
            changes.append(OwnerChanged(owner=owner))


def release(
    data: StateData, command: ReleaseOwnership, changes: Changes
) -> CommandResult:
    """Hand a resource over to the host it is moving to."""
    if not is_live_session(data, command.host, command.session):
        return refused(ErrorKind.SESSION_ENDED, command.host)
    owner = data.owners.get(command.resource)
    if owner is None or (owner.host, owner.session, owner.epoch) != (
        command.host,
        command.session,
        command.epoch,
    ):
        return refused(ErrorKind.EPOCH_CONFLICT, command.resource)
    if not owner.moving_to:
        return refused(ErrorKind.EPOCH_CONFLICT, f"{command.resource} does not move")
    target = data.sessions[owner.moving_to]
    _assign_owner(data, command.resource, target, command.level_tokens, changes)
    return CommandResult(value=str(data.owners[command.resource].epoch))


def allocate_fencing(data: StateData, command: AllocateFencingNumber) -> CommandResult:
    """Give the owner of a cell its next fencing number."""
    owner = data.owners.get(command.resource)
    if owner is None or (owner.host, owner.epoch) != (command.host, command.epoch):
        return refused(ErrorKind.EPOCH_CONFLICT, command.resource)
    number = data.fencing.get(command.resource, data.fencing_floor) + 1
    data.fencing[command.resource] = number
    return CommandResult(value=str(number))


def _rank(resource: str, place: str, session: Session) -> tuple[bool, int]:
    score = _score(_name_hash(resource), _name_hash(session.host))
    return bool(place) and session.data_centre == place, score


def _choose(resource: str, place: str, hosts: dict[str, Session]) -> Session | None:
    return max(
        hosts.values(),
        key=lambda session: _rank(resource, place, session),
        default=None,
    )


def _keeps(
    owner: Owner, place: str, hosts: dict[str, Session], changed_host: str
) -> bool:
    """Tell whether a change of one host leaves a live owner as it is."""
    wanted = hosts.get(owner.moving_to or owner.host)
    changed = hosts.get(changed_host)
    if wanted is None or changed is None:
        return wanted is not None
    resource = owner.resource
    return _rank(resource, place, changed) < _rank(resource, place, wanted)


def _assign_owner(
    data: StateData,
    resource: str,
    session: Session | None,
    level_tokens: float,
    changes: Changes,
) -> None:
    data.last_epoch += 1
    before = data.owners.get(resource)
    assert before is None or before.epoch < data.last_epoch, "an epoch must grow"
    owner = Owner(
        resource,
        session.host if session else "",
        session.number if session else 0,
        data.last_epoch,
        level_tokens,
    )
    data.owners[resource] = owner
    changes.append(OwnerChanged(owner=owner))


def _first_level_tokens(data: StateData, resource: str, owner: Owner | None) -> float:
    """Return the level of a bucket that no living owner hands over."""
    if owner is not None:
        # Without a host nothing was taken since the owner was recorded. After a
        # crash nobody knows the level, so that the bucket starts empty.
        return 0.0 if owner.host else owner.level_tokens
    if resource in data.known_workspaces:
        return 0.0
    for workspace in data.bundle.workspaces:
        if workspace_resource(workspace.name) == resource:
            data.known_workspaces[resource] = True
            _forget_workspaces(data)
            return workspace.burst_tokens
    return 0.0


def _forget_workspaces(data: StateData) -> None:
    removed = [name for name in data.known_workspaces if name not in data.owners]
    for name in removed[: max(0, len(data.known_workspaces) - KNOWN_WORKSPACES)]:
        del data.known_workspaces[name]


def _remove(data: StateData, resource: str, changes: Changes) -> None:
    owner = data.owners.pop(resource)
    number = data.fencing.pop(resource, 0)
    data.fencing_floor = max(data.fencing_floor, number)
    changes.append(OwnerChanged(owner=owner, removed=True))
