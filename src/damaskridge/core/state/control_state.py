"""The replicated state machine: applies committed commands in log order."""

from functools import singledispatchmethod
from hashlib import blake2b, sha256

import msgspec

from damaskridge.core.state import (
    bundles,
    evacuations,
    fingerprints,
    ledger,
    ownership,
    routing_tables,
    sessions,
    software_versions,
)
from damaskridge.core.state.applied import AppliedCommand
from damaskridge.core.state.data import Changes, StateData, StoredResult, refusal
from damaskridge.core.state.queries import fleet_snapshot_of
from damaskridge.model.control import (
    AdvanceTime,
    AllocateFencingNumber,
    CloseSession,
    Command,
    CommandResult,
    ExpireSession,
    LedgerState,
    OpenSession,
    ProposeBundle,
    PublishRoutingTable,
    RecordCrashes,
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
from damaskridge.model.follow import FleetDelta, FleetSnapshot

__all__ = ["MIN_STORED_RESULTS", "RESULT_RETENTION_MS", "ControlState"]

# The oldest results are removed only if there are more than this many and they are
# older than the retention.
MIN_STORED_RESULTS = 10_000
RESULT_RETENTION_MS = 24 * 3600 * 1000


class ControlState:
    """
    State machine of the control group.

    It is deterministic: replicas that apply the same entries have equal `data`.

    Attributes
    ----------
    data : StateData
        All replicated values; only `apply` and `restore` change it.
    """

    def __init__(self) -> None:
        self.data = StateData()
        self._encoder = msgspec.msgpack.Encoder()
        self._digest_encoder = msgspec.msgpack.Encoder(order="sorted")
        self._decoder = msgspec.msgpack.Decoder(StateData)

    def apply(self, index: int, command: Command) -> AppliedCommand:
        """
        Apply a committed command.

        A refused command changes only the index, the time and the stored results.
        A retry of a command returns the stored result without running it again.
        """
        data = self.data
        assert index > data.index, (
            "log entries must be applied in increasing order of index"
        )
        data.index = index
        data.now_ms = max(data.now_ms, command.at_ms)
        changes: Changes = []
        evacuated_before = evacuations.evacuated_data_centres(data)
        stored = data.answers.get(command.command_id)
        if stored is not None:
            result = self._replay_result(stored, command)
        else:
            result = self._execute(command, changes)
            result = msgspec.structs.replace(result, index=index)
            if not command.is_repeatable:
                self._store_result(command, result)
        base_index = data.fleet_index
        evacuated = evacuations.evacuated_data_centres(data)
        delta = FleetDelta(
            base_index=base_index,
            index=index,
            changes=tuple(changes),  # type: ignore[arg-type]
            evacuated=evacuated if evacuated != evacuated_before else None,
        )
        if not delta.is_empty:
            data.fleet_index = index
            self._check_invariants()
        return AppliedCommand(result, delta)

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return the part of the state that is sent to entry hosts."""
        return fleet_snapshot_of(self.data)

    def encode(self) -> bytes:
        """Serialize the whole state for a snapshot of the log."""
        return self._encoder.encode(self.data)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by the output of `encode`."""
        self.data = self._decoder.decode(data)

    def digest(self) -> str:
        """Return a digest of the state; equal states have equal digests."""
        return sha256(self._digest_encoder.encode(self.data)).hexdigest()

    def _store_result(self, command: Command, result: CommandResult) -> None:
        ledger_record = result.ledger
        if ledger_record is not None and ledger_record.body:
            # The ledger stores the body; a second copy would double the snapshot.
            ledger_record = msgspec.structs.replace(ledger_record, body=b"")
            result = msgspec.structs.replace(result, ledger=ledger_record)
        self.data.answers[command.command_id] = StoredResult(
            self._command_digest(command), result, self.data.now_ms
        )

    def _command_digest(self, command: Command) -> bytes:
        # Excludes `at_ms`, because the leader sets a new timestamp on every retry.
        canonical = msgspec.structs.replace(command, at_ms=0)
        return blake2b(self._encoder.encode(canonical), digest_size=16).digest()

    def _replay_result(self, stored: StoredResult, command: Command) -> CommandResult:
        if stored.digest != self._command_digest(command):
            return refusal(
                ErrorKind.INVALID_REQUEST, "command id was used for another command"
            )
        result = stored.result
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

    def _prune_results(self) -> None:
        answers = self.data.answers
        oldest_ms = self.data.now_ms - RESULT_RETENTION_MS
        for command_id in list(answers)[: max(0, len(answers) - MIN_STORED_RESULTS)]:
            if answers[command_id].at_ms >= oldest_ms:
                break
            del answers[command_id]

    def _check_invariants(self) -> None:
        data = self.data
        for owner in data.owners.values():
            assert owner.epoch <= data.last_epoch, "owner epoch exceeds last_epoch"
            assert not owner.host or ownership.is_live_session(
                data, owner.host, owner.session
            ), "resource is owned by a session that has ended"
            assert not owner.moving_to or (
                owner.moving_to in data.sessions and owner.moving_to != owner.host
            ), "resource is moving to its own owner or to a host without a session"
        for session in data.sessions.values():
            assert session.number <= data.last_session, (
                "session number exceeds last_session"
            )

    @singledispatchmethod
    def _execute(self, command: Command, changes: Changes) -> CommandResult:
        return refusal(ErrorKind.INTERNAL, f"unknown {type(command).__name__}")

    @_execute.register
    def _(self, command: ProposeBundle, changes: Changes) -> CommandResult:
        return bundles.propose_bundle(self.data, command)

    @_execute.register
    def _(self, command: SignOffBundle, changes: Changes) -> CommandResult:
        return bundles.sign_off_bundle(self.data, command)

    @_execute.register
    def _(self, command: RollBundle, changes: Changes) -> CommandResult:
        return bundles.roll_bundle(self.data, command, changes)

    @_execute.register
    def _(self, command: RollBackBundle, changes: Changes) -> CommandResult:
        return bundles.roll_back_bundle(self.data, command, changes)

    @_execute.register
    def _(self, command: PublishRoutingTable, changes: Changes) -> CommandResult:
        return routing_tables.publish_table(self.data, command, changes)

    @_execute.register
    def _(self, command: WithdrawKey, changes: Changes) -> CommandResult:
        return bundles.withdraw_key(self.data, command, changes)

    @_execute.register
    def _(self, command: SetDrain, changes: Changes) -> CommandResult:
        return sessions.set_drain(self.data, command, changes)

    @_execute.register
    def _(self, command: OpenSession, changes: Changes) -> CommandResult:
        return sessions.open_session(self.data, command, changes)

    @_execute.register
    def _(self, command: ExpireSession, changes: Changes) -> CommandResult:
        return sessions.end_session(self.data, command.host, command.session, changes)

    @_execute.register
    def _(self, command: CloseSession, changes: Changes) -> CommandResult:
        return sessions.end_session(self.data, command.host, command.session, changes)

    @_execute.register
    def _(self, command: SetHostDraining, changes: Changes) -> CommandResult:
        return sessions.drain_host(self.data, command, changes)

    @_execute.register
    def _(self, command: ReleaseOwnership, changes: Changes) -> CommandResult:
        return ownership.release_ownership(self.data, command, changes)

    @_execute.register
    def _(self, command: RecordIntent, changes: Changes) -> CommandResult:
        return ledger.record_intent(self.data, command)

    @_execute.register
    def _(self, command: RecordResult, changes: Changes) -> CommandResult:
        return ledger.record_result(self.data, command)

    @_execute.register
    def _(self, command: ReportCrash, changes: Changes) -> CommandResult:
        return fingerprints.report_crash(self.data, command, changes)

    @_execute.register
    def _(self, command: SuspectCleared, changes: Changes) -> CommandResult:
        return fingerprints.clear_suspect(self.data, command, changes)

    @_execute.register
    def _(self, command: RecordCrashes, changes: Changes) -> CommandResult:
        self.data.gateway_crashes = command.crashes
        return CommandResult()

    @_execute.register
    def _(self, command: AllocateFencingNumber, changes: Changes) -> CommandResult:
        return ownership.allocate_fencing_number(self.data, command)

    @_execute.register
    def _(self, command: AdvanceTime, changes: Changes) -> CommandResult:
        software_versions.record(self.data, command)
        if command.evacuation is not None:
            evacuations.record(self.data, command.evacuation)
        ledger.prune_ledger(self.data)
        fingerprints.prune_fingerprints(self.data, changes)
        self._prune_results()
        return CommandResult()
