"""Read-only queries of the control state."""

from damaskridge.core.state.data import StateData
from damaskridge.core.state.evacuations import evacuated_data_centres
from damaskridge.core.state.ledger import find_intent, to_ledger_record
from damaskridge.core.state.ownership import is_live_session
from damaskridge.model.control import FingerprintState, LedgerRecord, Owner, Session
from damaskridge.model.control_status import FleetStatus, ProposalStatus
from damaskridge.model.follow import FleetSnapshot

__all__ = [
    "fingerprints_in",
    "fleet_snapshot_of",
    "fleet_status_of",
    "ledger_record",
    "live_session",
    "owners_of_host",
]


def fingerprints_in(data: StateData, state: FingerprintState) -> tuple[str, ...]:
    """Return the fingerprints in `state`, sorted."""
    return tuple(
        sorted(name for name, item in data.fingerprints.items() if item.state is state)
    )


def live_session(data: StateData, host: str, number: int) -> Session | None:
    """Return the session of `host` if `number` is its live session, else None."""
    return data.sessions[host] if is_live_session(data, host, number) else None


def owners_of_host(data: StateData, host: str) -> tuple[Owner, ...]:
    """Return the resources of which `host` is the owner, sorted by name."""
    owners = (data.owners[resource] for resource in sorted(data.owners))
    return tuple(owner for owner in owners if owner.host == host)


def ledger_record(
    data: StateData, workspace: str, idempotency_key: str
) -> LedgerRecord | None:
    """Return the ledger record of a call, or None."""
    intent = find_intent(data, workspace, idempotency_key)
    return to_ledger_record(intent) if intent is not None else None


def fleet_snapshot_of(data: StateData) -> FleetSnapshot:
    """Return the part of the state that is sent to entry hosts."""
    return FleetSnapshot(
        index=data.index,
        version=data.version,
        bundle=data.bundle,
        withdrawn_keys=tuple(sorted(data.withdrawn_keys)),
        sessions=tuple(data.sessions[host] for host in sorted(data.sessions)),
        owners=tuple(data.owners[name] for name in sorted(data.owners)),
        draining_hosts=tuple(sorted(data.draining_hosts)),
        draining_backend_servers=tuple(sorted(data.draining_backend_servers)),
        suspects=fingerprints_in(data, FingerprintState.SUSPECT),
        quarantined=fingerprints_in(data, FingerprintState.QUARANTINED),
        routing=data.routing,
        evacuated=evacuated_data_centres(data),
    )


def fleet_status_of(data: StateData, *, with_bundle: bool = False) -> FleetStatus:
    """
    Return the replicated part of the status for operators.

    The control server adds the local part, such as leader and term.
    """
    return FleetStatus(
        index=data.index,
        version=data.version,
        sessions=tuple(data.sessions[host] for host in sorted(data.sessions)),
        owners=tuple(data.owners[name] for name in sorted(data.owners)),
        proposals=tuple(
            ProposalStatus(
                proposal=name,
                proposer=item.proposer,
                signed_off_by=item.signed_off_by,
            )
            for name, item in data.proposals.items()
        ),
        draining_hosts=tuple(sorted(data.draining_hosts)),
        draining_backend_servers=tuple(sorted(data.draining_backend_servers)),
        bundle=data.bundle if with_bundle else None,
        evacuated=evacuated_data_centres(data),
    )
