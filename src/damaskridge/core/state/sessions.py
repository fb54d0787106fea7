"""Commands that change sessions of entry hosts and drains."""

import msgspec

from damaskridge.core.state.bundles import find_operator
from damaskridge.core.state.data import Changes, StateData, refusal
from damaskridge.core.state.ledger import end_session_intents
from damaskridge.core.state.ownership import is_live_session, rebalance
from damaskridge.model.control import (
    CommandResult,
    DrainChanged,
    DrainTarget,
    OpenSession,
    Session,
    SessionChanged,
    SessionEnded,
    SetDrain,
    SetHostDraining,
)
from damaskridge.model.errors import ErrorKind

__all__ = ["drain_host", "end_session", "open_session", "set_drain"]


def open_session(
    data: StateData, command: OpenSession, changes: Changes
) -> CommandResult:
    """Start a session and end the previous one of the host; `value` is its number."""
    previous = data.sessions.pop(command.host, None)
    if previous is not None:
        _record_session_end(data, previous, changes)
    data.last_session += 1
    session = Session(
        host=command.host,
        number=data.last_session,
        incarnation=command.incarnation,
        data_centre=command.data_centre,
        caller_address=command.caller_address,
        peer_address=command.peer_address,
    )
    data.sessions[command.host] = session
    changes.append(SessionChanged(session=session))
    rebalance(data, changes, command.host)
    return CommandResult(value=str(session.number))


def end_session(
    data: StateData, host: str, number: int, changes: Changes
) -> CommandResult:
    """End a session if it is the live session of its host."""
    if not is_live_session(data, host, number):
        return refusal(ErrorKind.SESSION_ENDED, host)
    _record_session_end(data, data.sessions.pop(host), changes)
    rebalance(data, changes, host)
    return CommandResult()


def drain_host(
    data: StateData, command: SetHostDraining, changes: Changes
) -> CommandResult:
    """Mark the session of a host that is shutting down as draining."""
    if not is_live_session(data, command.host, command.session):
        return refusal(ErrorKind.SESSION_ENDED, command.host)
    session = msgspec.structs.replace(data.sessions[command.host], draining=True)
    data.sessions[command.host] = session
    changes.append(SessionChanged(session=session))
    rebalance(data, changes, command.host)
    return CommandResult()


def set_drain(data: StateData, command: SetDrain, changes: Changes) -> CommandResult:
    """Start or end the draining of a host or backend server by an operator."""
    if find_operator(data, command.operator) is None:
        return refusal(ErrorKind.UNKNOWN_OPERATOR, command.operator)
    if command.target is DrainTarget.HOST:
        names, existing = data.draining_hosts, set(data.sessions)
    else:
        names = data.draining_backend_servers
        existing = {item.name for item in data.bundle.backend_servers}
    if command.name not in existing and command.name not in names:
        return refusal(ErrorKind.UNKNOWN_NAME, command.name)
    if command.draining == (command.name in names):
        return CommandResult()
    (names.add if command.draining else names.discard)(command.name)
    changes.append(
        DrainChanged(
            target=command.target, name=command.name, draining=command.draining
        )
    )
    rebalance(data, changes)
    return CommandResult()


def _record_session_end(data: StateData, session: Session, changes: Changes) -> None:
    changes.append(SessionEnded(host=session.host, number=session.number))
    end_session_intents(data, session.number)
