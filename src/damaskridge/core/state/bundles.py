"""Proposals, versions and keys of the control state."""

from damaskridge.core.state.bundle_checks import bundle_faults
from damaskridge.core.state.data import Changes, Proposal, StateData, Undo, refused
from damaskridge.core.state.ownership import rebalance
from damaskridge.core.state.view import (
    IDENTITY_FIELDS,
    apply_bundle_delta,
    item_identity,
)
from damaskridge.model.bundle import Bundle, Operator
from damaskridge.model.control import (
    BundleActivated,
    CommandResult,
    KeyWithdrawn,
    ProposeBundle,
    RollBackBundle,
    RollBundle,
    SignOffBundle,
    WithdrawKey,
)
from damaskridge.model.errors import ErrorKind

__all__ = [
    "KEPT_PROPOSALS",
    "KEPT_VERSIONS",
    "bundle_difference",
    "content_of",
    "find_operator",
    "propose",
    "roll",
    "roll_back",
    "sign_off",
    "withdraw_key",
]

KEPT_VERSIONS = 200
KEPT_PROPOSALS = 20


def find_operator(
    data: StateData, name: str, proposed: Bundle | None = None
) -> Operator | None:
    """
    Return a known operator.

    Before the first version is in force, the operators of the `proposed` bundle
    count instead.
    """
    bundle = data.bundle if data.version else proposed
    if bundle is None:
        return None
    return next((item for item in bundle.operators if item.name == name), None)


def bundle_difference(old: Bundle, new: Bundle) -> tuple[Bundle, tuple[str, ...]]:
    """Return the items of `new` that `old` lacks, and the names to remove."""
    upserted: dict[str, tuple[object, ...]] = {}
    removed: list[str] = []
    for field in IDENTITY_FIELDS:
        before = {item_identity(field, item): item for item in getattr(old, field)}
        after = {item_identity(field, item): item for item in getattr(new, field)}
        upserted[field] = tuple(
            item for name, item in after.items() if before.get(name) != item
        )
        removed.extend(name for name in before if name not in after)
    return apply_bundle_delta(Bundle(**upserted), Bundle(), ()), tuple(removed)  # type: ignore[arg-type]


def content_of(data: StateData, version: int) -> Bundle | None:
    """Return the content of one of the last `KEPT_VERSIONS` versions."""
    if not 1 <= version <= data.version:
        return None
    bundle = data.bundle
    for later in range(data.version, version, -1):
        undo = data.undo.get(str(later))
        if undo is None:
            return None
        bundle = apply_bundle_delta(bundle, undo.upserted, undo.removed)
    return bundle


def propose(data: StateData, command: ProposeBundle) -> CommandResult:
    """Store a proposal; its id is the result's value."""
    if find_operator(data, command.operator, command.bundle) is None:
        return refused(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    faults = bundle_faults(command.bundle)
    if faults:
        return refused(ErrorKind.INVALID_BUNDLE, faults[0])
    data.last_proposal += 1
    name = f"p{data.last_proposal}"
    bundle = apply_bundle_delta(Bundle(), command.bundle, ())
    data.proposals[name] = Proposal(command.operator, bundle)
    while len(data.proposals) > KEPT_PROPOSALS:
        del data.proposals[next(iter(data.proposals))]
    return CommandResult(value=name)


def sign_off(data: StateData, command: SignOffBundle) -> CommandResult:
    """Approve a proposal by a second operator."""
    proposal = data.proposals.get(command.proposal)
    if proposal is None:
        return refused(ErrorKind.UNKNOWN_PROPOSAL, command.proposal)
    if find_operator(data, command.operator, proposal.bundle) is None:
        return refused(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.operator == proposal.proposer:
        return refused(ErrorKind.SELF_SIGN_OFF, command.proposal)
    proposal.signed_off_by = command.operator
    return CommandResult(value=command.proposal)


def roll(data: StateData, command: RollBundle, changes: Changes) -> CommandResult:
    """Put a signed-off proposal in force."""
    proposal = data.proposals.get(command.proposal)
    proposed = proposal.bundle if proposal else None
    if data.version and find_operator(data, command.operator) is None:
        return refused(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.expected_version != data.version:
        return _version_conflict(data)
    if proposal is None:
        return refused(ErrorKind.UNKNOWN_PROPOSAL, command.proposal)
    if find_operator(data, command.operator, proposed) is None:
        return refused(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    # An operator who has left since may no longer stand for the approval.
    if find_operator(data, proposal.signed_off_by, proposed) is None:
        return refused(ErrorKind.NOT_SIGNED_OFF, command.proposal)
    assert proposal.signed_off_by != proposal.proposer, "sign-off by the proposer"
    del data.proposals[command.proposal]
    return _activate(data, proposal.bundle, changes)


def roll_back(
    data: StateData, command: RollBackBundle, changes: Changes
) -> CommandResult:
    """Put an older version's content in force as a new, higher version."""
    if find_operator(data, command.operator) is None:
        return refused(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.expected_version != data.version:
        return _version_conflict(data)
    bundle = content_of(data, command.to_version)
    if bundle is None:
        return refused(ErrorKind.UNKNOWN_VERSION, str(command.to_version))
    return _activate(data, bundle, changes)


def withdraw_key(
    data: StateData, command: WithdrawKey, changes: Changes
) -> CommandResult:
    """Withdraw a key for good; the digest need not be in any bundle."""
    if find_operator(data, command.operator) is None:
        return refused(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.key_digest not in data.withdrawn_keys:
        data.withdrawn_keys.add(command.key_digest)
        changes.append(KeyWithdrawn(key_digest=command.key_digest))
    return CommandResult()


def _version_conflict(data: StateData) -> CommandResult:
    return refused(ErrorKind.VERSION_CONFLICT, f"version {data.version} is in force")


def _activate(data: StateData, bundle: Bundle, changes: Changes) -> CommandResult:
    upserted, removed = bundle_difference(data.bundle, bundle)
    base = data.version
    data.version += 1
    data.undo[str(data.version)] = Undo(*bundle_difference(bundle, data.bundle))
    data.undo.pop(str(data.version - KEPT_VERSIONS + 1), None)
    data.bundle = bundle
    changes.append(
        BundleActivated(
            version=data.version,
            base_version=base,
            upserted=upserted,
            removed=removed,
        )
    )
    rebalance(data, changes)
    return CommandResult(value=str(data.version))
