"""The replicated control state: applies the commands of the log in order."""

from functools import singledispatchmethod
from hashlib import blake2b, sha256

import msgspec

from damaskridge.core.state import (
    bundles,
    fingerprints,
    ledger,
    ownership,
    routing_tables,
    sessions,
)
from damaskridge.core.state.applied import AppliedCommand
from damaskridge.core.state.data import Answered, Changes, StateData, refused
from damaskridge.core.state.queries import fleet_snapshot_of
from damaskridge.model.control import (
    AdvanceTime,
    AllocateFencingNumber,
    CloseSession,
    Command,
    CommandResult,
    ExpireSession,
    FleetDelta,
    FleetSnapshot,
    LedgerState,
    OpenSession,
    ProposeBundle,
    PublishRoutingTable,
    RecordIntent,
    RecordResult,
    ReleaseOwnership,
    ReportCrash,
    RollBackBundle,
    RollBundle,
    SetDrain,
    SetHostDraining,
    SignOffBundle,
    SuspectCleared,
    WithdrawKey,
)
from damaskridge.model.errors import ErrorKind

__all__ = ["ANSWERS_KEPT", "ANSWER_RETENTION_MS", "ControlState"]

ANSWERS_KEPT = 10_000
ANSWER_RETENTION_MS = 24 * 3600 * 1000


class ControlState:
    """
    The state machine that the replicated log feeds.

    Attributes
    ----------
    data : StateData
        Every replicated value; changed by `apply` and `restore` only.
    """

    def __init__(self) -> None:
        self.data = StateData()
        self._encoder = msgspec.msgpack.Encoder()
        self._digest_encoder = msgspec.msgpack.Encoder(order="sorted")
        self._decoder = msgspec.msgpack.Decoder(StateData)

    def apply(self, index: int, command: Command) -> AppliedCommand:
        """Apply a committed command; a refused one changes nothing else."""
        data = self.data
        assert index > data.index, "log entries must be applied in order"
        data.index = index
        data.now_ms = max(data.now_ms, command.at_ms)
        changes: Changes = []
        first = data.answers.get(command.command_id)
        if first is not None:
            result = self._replay(first, command)
        else:
            result = self._run(command, changes)
            result = msgspec.structs.replace(result, index=index)
            self._remember(command, result)
        base = data.fleet_index
        if changes:
            data.fleet_index = index
            self._check()
        delta = FleetDelta(base_index=base, index=index, changes=tuple(changes))  # type: ignore[arg-type]
        return AppliedCommand(result, delta)

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return what entry hosts know of the state."""
        return fleet_snapshot_of(self.data)

    def encode(self) -> bytes:
        """Return the whole state for a snapshot of the log."""
        return self._encoder.encode(self.data)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an encoded one."""
        self.data = self._decoder.decode(data)

    def digest(self) -> str:
        """Return a digest that is equal for equal states."""
        return sha256(self._digest_encoder.encode(self.data)).hexdigest()

    def _remember(self, command: Command, result: CommandResult) -> None:
        kept = result.ledger
        if kept is not None and kept.body:
            # The ledger has the body; a second copy would double the snapshot.
            kept = msgspec.structs.replace(kept, body=b"")
            result = msgspec.structs.replace(result, ledger=kept)
        self.data.answers[command.command_id] = Answered(
            self._command_digest(command), result, self.data.now_ms
        )

    def _command_digest(self, command: Command) -> bytes:
        # Without `at_ms`, which the leader sets anew when a command is sent again.
        sent = msgspec.structs.replace(command, at_ms=0)
        return blake2b(self._encoder.encode(sent), digest_size=16).digest()

    def _replay(self, first: Answered, command: Command) -> CommandResult:
        if first.digest != self._command_digest(command):
            return refused(
                ErrorKind.INVALID_REQUEST, "command id was used for another command"
            )
        result = first.result
        record = result.ledger
        if record is None or record.state is not LedgerState.FINISHED:
            return result
        if not isinstance(command, RecordIntent | RecordResult):
            return result
        intent = ledger.find_intent(
            self.data, command.workspace, command.idempotency_key
        )
        if intent is None or intent.state is not LedgerState.FINISHED:
            return result
        return msgspec.structs.replace(result, ledger=ledger.to_ledger_record(intent))

    def _prune_answers(self) -> None:
        answers = self.data.answers
        oldest_ms = self.data.now_ms - ANSWER_RETENTION_MS
        for name in list(answers)[: max(0, len(answers) - ANSWERS_KEPT)]:
            if answers[name].at_ms >= oldest_ms:
                break
            del answers[name]

    def _check(self) -> None:
        data = self.data
        for owner in data.owners.values():
            assert owner.epoch <= data.last_epoch, "an epoch above the last one"
            assert not owner.host or ownership.is_live_session(
                data, owner.host, owner.session
            ), "a resource of an ended session"
            assert not owner.moving_to or (
                owner.moving_to in data.sessions and owner.moving_to != owner.host
            ), "a resource that moves to no live host"
        for session in data.sessions.values():
            assert session.number <= data.last_session, "a session above the last one"

    @singledispatchmethod
    def _run(self, command: Command, changes: Changes) -> CommandResult:
        return refused(ErrorKind.INTERNAL, f"unknown {type(command).__name__}")

    @_run.register
    def _(self, command: ProposeBundle, changes: Changes) -> CommandResult:
        return bundles.propose(self.data, command)

    @_run.register
    def _(self, command: SignOffBundle, changes: Changes) -> CommandResult:
        return bundles.sign_off(self.data, command)

    @_run.register
    def _(self, command: RollBundle, changes: Changes) -> CommandResult:
        return bundles.roll(self.data, command, changes)

    @_run.register
    def _(self, command: RollBackBundle, changes: Changes) -> CommandResult:
        return bundles.roll_back(self.data, command, changes)

    @_run.register
    def _(self, command: PublishRoutingTable, changes: Changes) -> CommandResult:
        return routing_tables.publish_table(self.data, command, changes)

    @_run.register
    def _(self, command: WithdrawKey, changes: Changes) -> CommandResult:
        return bundles.withdraw_key(self.data, command, changes)

    @_run.register
    def _(self, command: SetDrain, changes: Changes) -> CommandResult:
        return sessions.set_drain(self.data, command, changes)

    @_run.register
    def _(self, command: OpenSession, changes: Changes) -> CommandResult:
        return sessions.open_session(self.data, command, changes)

    @_run.register
    def _(self, command: ExpireSession, changes: Changes) -> CommandResult:
        return sessions.end_session(self.data, command.host, command.session, changes)

    @_run.register
    def _(self, command: CloseSession, changes: Changes) -> CommandResult:
        return sessions.end_session(self.data, command.host, command.session, changes)

    @_run.register
    def _(self, command: SetHostDraining, changes: Changes) -> CommandResult:
        return sessions.drain_host(self.data, command, changes)

    @_run.register
    def _(self, command: ReleaseOwnership, changes: Changes) -> CommandResult:
        return ownership.release(self.data, command, changes)

    @_run.register
    def _(self, command: RecordIntent, changes: Changes) -> CommandResult:
        return ledger.record_intent(self.data, command)

    @_run.register
    def _(self, command: RecordResult, changes: Changes) -> CommandResult:
        return ledger.record_result(self.data, command)

    @_run.register
    def _(self, command: ReportCrash, changes: Changes) -> CommandResult:
        return fingerprints.report_crash(self.data, command, changes)

    @_run.register
    def _(self, command: SuspectCleared, changes: Changes) -> CommandResult:
        return fingerprints.clear_suspect(self.data, command, changes)

    @_run.register
    def _(self, command: AllocateFencingNumber, changes: Changes) -> CommandResult:
        return ownership.allocate_fencing(self.data, command)

    @_run.register
    def _(self, command: AdvanceTime, changes: Changes) -> CommandResult:
        ledger.prune_ledger(self.data)
        fingerprints.prune_fingerprints(self.data, changes)
        self._prune_answers()
        return CommandResult()
