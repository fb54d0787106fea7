"""
Commands that change the configuration bundle, and withdrawal of keys.

An operator proposes a bundle, a second one signs it off, and rolling it puts it in
force as the next version.
"""

from damaskridge.core.state.bundle_checks import bundle_faults
from damaskridge.core.state.data import (
    Changes,
    Proposal,
    StateData,
    UndoRecord,
    refusal,
)
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
    "MAX_KEPT_PROPOSALS",
    "MAX_KEPT_VERSIONS",
    "bundle_at_version",
    "bundle_difference",
    "find_operator",
    "propose_bundle",
    "roll_back_bundle",
    "roll_bundle",
    "sign_off_bundle",
    "withdraw_key",
]

MAX_KEPT_VERSIONS = 200
MAX_KEPT_PROPOSALS = 20


def find_operator(
    data: StateData, name: str, proposed: Bundle | None = None
) -> Operator | None:
    """
    Return the operator called `name`, or None.

    Operators are those of the bundle in force. Before the first version, there are
    none, so those of the `proposed` bundle are used instead.
    """
    bundle = data.bundle if data.version else proposed
    if bundle is None:
        return None
    return next((item for item in bundle.operators if item.name == name), None)


def bundle_difference(old: Bundle, new: Bundle) -> tuple[Bundle, tuple[str, ...]]:
    """Return the new or changed items of `new`, and the identities it removes."""
    upserted: dict[str, tuple[object, ...]] = {}
    removed: list[str] = []
    for field in IDENTITY_FIELDS:
        old_items = {item_identity(field, item): item for item in getattr(old, field)}
        new_items = {item_identity(field, item): item for item in getattr(new, field)}
        upserted[field] = tuple(
            item for name, item in new_items.items() if old_items.get(name) != item
        )
        removed.extend(name for name in old_items if name not in new_items)
    return apply_bundle_delta(Bundle(**upserted), Bundle(), ()), tuple(removed)  # type: ignore[arg-type]


def bundle_at_version(data: StateData, version: int) -> Bundle | None:
    """Rebuild a version from undo records; None if it is unknown or pruned."""
    if not 1 <= version <= data.version:
        return None
    bundle = data.bundle
    for later in range(data.version, version, -1):
        undo = data.undo.get(str(later))
        if undo is None:
            return None
        bundle = apply_bundle_delta(bundle, undo.upserted, undo.removed)
    return bundle


def propose_bundle(data: StateData, command: ProposeBundle) -> CommandResult:
    """Store a proposal; the result's `value` is its id."""
    if find_operator(data, command.operator, command.bundle) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    faults = bundle_faults(command.bundle)
    if faults:
        return refusal(ErrorKind.INVALID_BUNDLE, faults[0])
    data.last_proposal += 1
    name = f"p{data.last_proposal}"
    bundle = apply_bundle_delta(Bundle(), command.bundle, ())
    data.proposals[name] = Proposal(command.operator, bundle)
    while len(data.proposals) > MAX_KEPT_PROPOSALS:
        del data.proposals[next(iter(data.proposals))]
    return CommandResult(value=name)


def sign_off_bundle(data: StateData, command: SignOffBundle) -> CommandResult:
    """Approve a proposal; the operator must not be its proposer."""
    proposal = data.proposals.get(command.proposal)
    if proposal is None:
        return refusal(ErrorKind.UNKNOWN_PROPOSAL, command.proposal)
    if find_operator(data, command.operator, proposal.bundle) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.operator == proposal.proposer:
        return refusal(ErrorKind.SELF_SIGN_OFF, command.proposal)
    proposal.signed_off_by = command.operator
    return CommandResult(value=command.proposal)


def roll_bundle(
    data: StateData, command: RollBundle, changes: Changes
) -> CommandResult:
    """Put a signed-off proposal in force."""
    proposal = data.proposals.get(command.proposal)
    proposed = proposal.bundle if proposal else None
    if data.version and find_operator(data, command.operator) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.expected_version != data.version:
        return _version_conflict(data)
    if proposal is None:
        return refusal(ErrorKind.UNKNOWN_PROPOSAL, command.proposal)
    if find_operator(data, command.operator, proposed) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    # An approval is void once its operator has been removed from the bundle. Without
    # an approval, `signed_off_by` is empty and names no operator.
    if find_operator(data, proposal.signed_off_by, proposed) is None:
        return refusal(ErrorKind.NOT_SIGNED_OFF, command.proposal)
    assert proposal.signed_off_by != proposal.proposer, (
        "the proposer must not sign off a proposal"
    )
    del data.proposals[command.proposal]
    return _activate(data, proposal.bundle, changes)


def roll_back_bundle(
    data: StateData, command: RollBackBundle, changes: Changes
) -> CommandResult:
    """Put the content of an older version in force as a new version."""
    if find_operator(data, command.operator) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.expected_version != data.version:
        return _version_conflict(data)
    bundle = bundle_at_version(data, command.to_version)
    if bundle is None:
        return refusal(ErrorKind.UNKNOWN_VERSION, str(command.to_version))
    return _activate(data, bundle, changes)


def withdraw_key(
    data: StateData, command: WithdrawKey, changes: Changes
) -> CommandResult:
    """Withdraw a key permanently, whether or not any bundle contains it."""
    if find_operator(data, command.operator) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.key_digest not in data.withdrawn_keys:
        data.withdrawn_keys.add(command.key_digest)
        changes.append(KeyWithdrawn(key_digest=command.key_digest))
    return CommandResult()


def _version_conflict(data: StateData) -> CommandResult:
    return refusal(ErrorKind.VERSION_CONFLICT, f"version {data.version} is in force")


def _activate(data: StateData, bundle: Bundle, changes: Changes) -> CommandResult:
    upserted, removed = bundle_difference(data.bundle, bundle)
    base_version = data.version
    data.version += 1
    data.undo[str(data.version)] = UndoRecord(*bundle_difference(bundle, data.bundle))
    data.undo.pop(str(data.version - MAX_KEPT_VERSIONS + 1), None)
    data.bundle = bundle
    changes.append(
        BundleActivated(
            version=data.version,
            base_version=base_version,
            upserted=upserted,
            removed=removed,
        )
    )
    rebalance(data, changes)
    return CommandResult(value=str(data.version))
