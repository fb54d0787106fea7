"""Requests that were on engines which died."""

from damaskridge.core.state.data import Changes, Crash, Fingerprint, StateData
from damaskridge.model.control import (
    CommandResult,
    FingerprintChanged,
    FingerprintState,
    ReportCrash,
    SuspectCleared,
)

__all__ = ["FINGERPRINT_MS", "clear_suspect", "prune_fingerprints", "report_crash"]

FINGERPRINT_MS = 3600 * 1000


def report_crash(
    data: StateData, command: ReportCrash, changes: Changes
) -> CommandResult:
    """Suspect the requests of a crash; quarantine those of a second one."""
    key = f"{command.incarnation}/{command.backend_server}"
    if key in data.crashes:
        return CommandResult()
    found = set(command.fingerprints)
    earlier = [
        crash for crash in data.crashes.values() if found & set(crash.fingerprints)
    ]
    culprits = {name for crash in earlier for name in crash.fingerprints} & found
    crash = Crash(tuple(sorted(found)), data.now_ms)
    data.crashes[key] = crash
    if len(found) == 1 and not culprits:
        # A suspect runs alone among suspects; nothing else was on the server either.
        culprits = {name for name in found if _is_suspect(data, name)}
    if not culprits:
        for name in sorted(found):
            _set(data, name, FingerprintState.SUSPECT, changes)
        return CommandResult()
    for explained in (crash, *earlier):
        # The others stay suspects until they have run to their end: one of them may
        # have crashed the server while the culprit was there too.
        explained.fingerprints = tuple(sorted(culprits & set(explained.fingerprints)))
    for name in sorted(culprits):
        _set(data, name, FingerprintState.QUARANTINED, changes)
    return CommandResult()


def clear_suspect(
    data: StateData, command: SuspectCleared, changes: Changes
) -> CommandResult:
    """Clear a suspect that ran to its end; a quarantine stays."""
    held = data.fingerprints.get(command.fingerprint)
    if held is None or held.state is not FingerprintState.SUSPECT:
        return CommandResult()
    _clear(data, command.fingerprint, changes)
    for crash in data.crashes.values():
        crash.fingerprints = tuple(
            name for name in crash.fingerprints if name != command.fingerprint
        )
    return CommandResult()


def prune_fingerprints(data: StateData, changes: Changes) -> None:
    """Forget crashes and fingerprints after their time."""
    oldest_ms = data.now_ms - FINGERPRINT_MS
    for key in [key for key, item in data.crashes.items() if item.at_ms < oldest_ms]:
        del data.crashes[key]
    for name in [
        name for name, item in data.fingerprints.items() if item.at_ms < oldest_ms
    ]:
        _clear(data, name, changes)


def _is_suspect(data: StateData, name: str) -> bool:
    held = data.fingerprints.get(name)
    return held is not None and held.state is FingerprintState.SUSPECT


def _set(data: StateData, name: str, state: FingerprintState, changes: Changes) -> None:
    data.fingerprints[name] = Fingerprint(state, data.now_ms)
    changes.append(FingerprintChanged(fingerprint=name, state=state))


def _clear(data: StateData, name: str, changes: Changes) -> None:
    if data.fingerprints.pop(name, None) is not None:
        changes.append(
            FingerprintChanged(fingerprint=name, state=FingerprintState.CLEARED)
        )
