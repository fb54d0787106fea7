"""Log events for committed commands and for changes of the fleet's state."""

import logging
from functools import singledispatch

from damaskridge.adapters.observability.events import log_event
from damaskridge.model.control import (
    BundleActivated,
    CloseSession,
    Command,
    CommandResult,
    DrainChanged,
    FingerprintChanged,
    FleetChange,
    KeyWithdrawn,
    ProposeBundle,
    RoutingTableActivated,
    SignOffBundle,
)
from damaskridge.model.events import EventNumber

__all__ = ["log_change", "log_command"]

_log = logging.getLogger("damaskridge.control")


@singledispatch
def log_change(change: FleetChange) -> None:
    """Log a committed change of the fleet; called on every control host."""


@log_change.register
def _(change: BundleActivated) -> None:
    log_event(_log, EventNumber.BUNDLE_ACTIVATED, version=change.version)


@log_change.register
def _(change: RoutingTableActivated) -> None:
    log_event(
        _log,
        EventNumber.ROUTING_ACTIVATED,
        version=change.changed.version,
        routes=len(change.changed.routes),
    )


@log_change.register
def _(change: KeyWithdrawn) -> None:
    log_event(_log, EventNumber.KEY_WITHDRAWN, key_digest=change.key_digest)


@log_change.register
def _(change: DrainChanged) -> None:
    log_event(
        _log,
        EventNumber.DRAIN_CHANGED,
        target=change.target.value,
        name=change.name,
        draining=change.draining,
    )


@log_change.register
def _(change: FingerprintChanged) -> None:
    log_event(
        _log,
        EventNumber.FINGERPRINT_CHANGED,
        fingerprint=change.fingerprint,
        state=change.state.value,
    )


def log_command(command: Command, result: CommandResult) -> None:
    """Log the result of a command on the control host that proposed it."""
    if result.failure is not None:
        log_event(
            _log,
            EventNumber.COMMAND_REFUSED,
            command=type(command).__name__,
            error_kind=result.failure.kind.value,
        )
    else:
        _log_committed(command, result)


@singledispatch
def _log_committed(command: Command, result: CommandResult) -> None:
    """Log a committed command that `log_change` doesn't cover."""


@_log_committed.register
def _(command: ProposeBundle, result: CommandResult) -> None:
    log_event(
        _log,
        EventNumber.BUNDLE_PROPOSED,
        proposal=result.value,
        operator=command.operator,
    )


@_log_committed.register
def _(command: SignOffBundle, result: CommandResult) -> None:
    log_event(
        _log,
        EventNumber.BUNDLE_SIGNED_OFF,
        proposal=command.proposal,
        operator=command.operator,
    )


@_log_committed.register
def _(command: CloseSession, result: CommandResult) -> None:
    log_event(
        _log, EventNumber.SESSION_CLOSED, host=command.host, session=command.session
    )
