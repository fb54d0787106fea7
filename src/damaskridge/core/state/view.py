"""
The part of the control state that every entry host replicates.

Only deltas and snapshots change a `FleetView`; `fleet_queries` has its queries.
"""

from collections.abc import Iterable
from functools import singledispatchmethod

import msgspec

from damaskridge.core.gateway.table_delta import apply_table_delta
from damaskridge.model.bundle import Bundle
from damaskridge.model.control import (
    BundleActivated,
    DrainChanged,
    DrainTarget,
    FingerprintChanged,
    FingerprintState,
    FleetChange,
    KeyWithdrawn,
    Owner,
    OwnerChanged,
    RoutingTableActivated,
    Session,
    SessionChanged,
    SessionEnded,
)
from damaskridge.model.follow import FleetDelta, FleetSnapshot
from damaskridge.model.gateway import RoutingTable

__all__ = ["IDENTITY_FIELDS", "FleetView", "apply_bundle_delta", "item_identity"]

# Fields that identify an item within each field of a bundle.
IDENTITY_FIELDS: dict[str, tuple[str, ...]] = {
    "workspaces": ("name",),
    "keys": ("digest",),
    "operators": ("name",),
    "models": ("name",),
    "routes": ("service", "path"),
    "backend_servers": ("name",),
}


def item_identity(field: str, item: object) -> str:
    """Return ``<field>/<identity>``, by which a delta removes an item of a bundle."""
    parts = [getattr(item, part) for part in IDENTITY_FIELDS[field]]
    return "/".join([field, *parts])


def apply_bundle_delta(
    bundle: Bundle, upserted: Bundle, removed: Iterable[str]
) -> Bundle:
    """
    Return a bundle with `upserted` items added or replaced and others removed.

    The items of the result are sorted by identity.

    Parameters
    ----------
    bundle : Bundle
        The bundle to which the delta applies.
    upserted : Bundle
        Items that are new or changed.
    removed : iterable of str
        Identities in the format of `item_identity`.
    """
    removed_identities = set(removed)
    fields: dict[str, object] = {}
    for field in IDENTITY_FIELDS:
        items = {item_identity(field, item): item for item in getattr(bundle, field)}
        items.update(
            {item_identity(field, item): item for item in getattr(upserted, field)}
        )
        fields[field] = tuple(
            items[key] for key in sorted(items) if key not in removed_identities
        )
    return msgspec.structs.replace(bundle, **fields)


class FleetView:
    """
    An entry host's view of the fleet.

    Attributes
    ----------
    index : int
        Index of the last log entry that the view includes.
    version : int
        Version of the bundle in force; 0 before the first.
    bundle : Bundle
        The bundle in force.
    withdrawn_keys : set[str]
        Digests of keys that are refused permanently.
    sessions : dict[str, Session]
        Live sessions by host.
    owners : dict[str, Owner]
        Owners by resource.
    draining_hosts, draining_backend_servers : set[str]
        Names that an operator is draining.
    suspects, quarantined : set[str]
        Fingerprints of requests in these states.
    routing : RoutingTable
        The routing table in force; its version is 0 before the first.
    evacuated : frozenset[str]
        Data centres whose backend servers get no new requests.
    """

    def __init__(self) -> None:
        self.index = 0
        self.version = 0
        self.bundle = Bundle()
        self.withdrawn_keys: set[str] = set()
        self.sessions: dict[str, Session] = {}
        self.owners: dict[str, Owner] = {}
        self.draining_hosts: set[str] = set()
        self.draining_backend_servers: set[str] = set()
        self.suspects: set[str] = set()
        self.quarantined: set[str] = set()
        self.routing = RoutingTable()
        self.evacuated: frozenset[str] = frozenset()

    def restore(self, snapshot: FleetSnapshot) -> bool:
        """Replace the view by `snapshot`; return False if that is older."""
        if snapshot.index < self.index:
            return False
        self.index = snapshot.index
        self.version = snapshot.version
        self.bundle = snapshot.bundle
        self.withdrawn_keys = set(snapshot.withdrawn_keys)
        self.sessions = {session.host: session for session in snapshot.sessions}
        self.owners = {owner.resource: owner for owner in snapshot.owners}
        self.draining_hosts = set(snapshot.draining_hosts)
        self.draining_backend_servers = set(snapshot.draining_backend_servers)
        self.suspects = set(snapshot.suspects)
        self.quarantined = set(snapshot.quarantined)
        self.routing = snapshot.routing
        self.evacuated = frozenset(snapshot.evacuated)
        return True

    def apply_delta(self, delta: FleetDelta) -> bool:
        """Apply `delta`, or return False if the view lacks changes before it."""
        if delta.base_index > self.index:
            return False
        if delta.index <= self.index:
            return True
        for change in delta.changes:
            self.apply(change)
        if delta.evacuated is not None:
            self.evacuated = frozenset(delta.evacuated)
        self.index = delta.index
        return True

    @singledispatchmethod
    def apply(self, change: FleetChange) -> None:
        """Apply one change of a delta."""
        raise TypeError(f"unknown fleet change: {type(change).__name__}")

    @apply.register
    def _(self, change: BundleActivated) -> None:
        assert change.version > self.version, "bundle version must never revert"
        self.bundle = apply_bundle_delta(self.bundle, change.upserted, change.removed)
        self.version = change.version

    @apply.register
    def _(self, change: RoutingTableActivated) -> None:
        assert change.changed.version > self.routing.version, (
            "routing table must never revert"
        )
        self.routing = apply_table_delta(self.routing, change.changed, change.removed)

    @apply.register
    def _(self, change: KeyWithdrawn) -> None:
        self.withdrawn_keys.add(change.key_digest)

    @apply.register
    def _(self, change: SessionChanged) -> None:
        self.sessions[change.session.host] = change.session

    @apply.register
    def _(self, change: SessionEnded) -> None:
        session = self.sessions.get(change.host)
        if session is not None and session.number == change.number:
            del self.sessions[change.host]

    @apply.register
    def _(self, change: OwnerChanged) -> None:
        if change.removed:
            self.owners.pop(change.owner.resource, None)
        else:
            self.owners[change.owner.resource] = change.owner

    @apply.register
    def _(self, change: DrainChanged) -> None:
        names = (
            self.draining_hosts
            if change.target is DrainTarget.HOST
            else self.draining_backend_servers
        )
        if change.draining:
            names.add(change.name)
        else:
            names.discard(change.name)

    @apply.register
    def _(self, change: FingerprintChanged) -> None:
        self.suspects.discard(change.fingerprint)
        self.quarantined.discard(change.fingerprint)
        if change.state is FingerprintState.SUSPECT:
            self.suspects.add(change.fingerprint)
        elif change.state is FingerprintState.QUARANTINED:
            self.quarantined.add(change.fingerprint)
