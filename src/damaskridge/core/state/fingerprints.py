"""
Quarantine of requests that crash engines.

A request that ran on a crashing engine becomes a suspect. If it was on a second one,
it is quarantined. A suspect that finishes without a crash is cleared.
"""

from damaskridge.core.state.data import (
    Changes,
    CrashRecord,
    FingerprintRecord,
    StateData,
)
from damaskridge.model.control import (
    CommandResult,
    FingerprintChanged,
    FingerprintState,
    ReportCrash,
    SuspectCleared,
)

__all__ = [
    "FINGERPRINT_RETENTION_MS",
    "clear_suspect",
    "prune_fingerprints",
    "report_crash",
]

FINGERPRINT_RETENTION_MS = 3600 * 1000


def report_crash(
    data: StateData, command: ReportCrash, changes: Changes
) -> CommandResult:
    """Mark the requests of a crash as suspects; quarantine those of two crashes."""
    key = f"{command.incarnation}/{command.backend_server}"
    if key in data.crashes:
        return CommandResult()
    reported = set(command.fingerprints)
    related_crashes = [
        crash for crash in data.crashes.values() if reported & set(crash.fingerprints)
    ]
    causes = {
        name for crash in related_crashes for name in crash.fingerprints
    } & reported
    crash = CrashRecord(tuple(sorted(reported)), data.now_ms)
    data.crashes[key] = crash
    if len(reported) == 1 and not causes:
        # Engines run at most one suspect at a time. This one was the only request
        # at all, so it caused the crash.
        causes = {name for name in reported if _is_suspect(data, name)}
    if not causes:
        for name in sorted(reported):
            _set_state(data, name, FingerprintState.SUSPECT, changes)
        return CommandResult()
    for explained_crash in (crash, *related_crashes):
        # The other requests of these crashes stay suspects until they finish, because
        # one of them may also have crashed a server. These crashes no longer count
        # against them.
        explained_crash.fingerprints = tuple(
            sorted(causes & set(explained_crash.fingerprints))
        )
    for name in sorted(causes):
        _set_state(data, name, FingerprintState.QUARANTINED, changes)
    return CommandResult()


def clear_suspect(
    data: StateData, command: SuspectCleared, changes: Changes
) -> CommandResult:
    """Clear a suspect that finished; a quarantined request stays quarantined."""
    record = data.fingerprints.get(command.fingerprint)
    if record is None or record.state is not FingerprintState.SUSPECT:
        return CommandResult()
    _clear(data, command.fingerprint, changes)
    for crash in data.crashes.values():
        crash.fingerprints = tuple(
            name for name in crash.fingerprints if name != command.fingerprint
        )
    return CommandResult()


def prune_fingerprints(data: StateData, changes: Changes) -> None:
    """Remove crashes and fingerprints older than `FINGERPRINT_RETENTION_MS`."""
    oldest_ms = data.now_ms - FINGERPRINT_RETENTION_MS
    for key in [key for key, item in data.crashes.items() if item.at_ms < oldest_ms]:
        del data.crashes[key]
    for name in [
        name for name, item in data.fingerprints.items() if item.at_ms < oldest_ms
    ]:
        _clear(data, name, changes)


def _is_suspect(data: StateData, name: str) -> bool:
    record = data.fingerprints.get(name)
    return record is not None and record.state is FingerprintState.SUSPECT


def _set_state(
    data: StateData, name: str, state: FingerprintState, changes: Changes
) -> None:
    data.fingerprints[name] = FingerprintRecord(state, data.now_ms)
    changes.append(FingerprintChanged(fingerprint=name, state=state))


def _clear(data: StateData, name: str, changes: Changes) -> None:
    if data.fingerprints.pop(name, None) is not None:
        changes.append(
            FingerprintChanged(fingerprint=name, state=FingerprintState.CLEARED)
        )
