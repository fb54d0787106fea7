"""Expiry of session leases, as tracked by the leader that grants them."""

from collections.abc import Iterable

from damaskridge.core.leases import CLOCK_DRIFT, SESSION_DURATION_S
from damaskridge.model.control import Session

__all__ = ["SessionTracker"]


class SessionTracker:
    """
    Tracks the last renewal of every session and reports expired sessions.

    A session expires later here than on the entry host that holds it: its duration
    is extended by twice `CLOCK_DRIFT`, because this clock may run fast while the
    entry host's clock runs slow.
    """

    def __init__(self) -> None:
        self._last_renewal_s: dict[tuple[str, int], float] = {}
        self._expired: set[tuple[str, int]] = set()

    def reset_leases(self, now_s: float, sessions: Iterable[Session]) -> None:
        """
        Start tracking `sessions` after an election, as if all were just renewed.

        The previous leader may have renewed any of them immediately before.
        """
        self._last_renewal_s = {(item.host, item.number): now_s for item in sessions}
        self._expired = set()

    def record_renewal(self, host: str, session: int, received_s: float) -> bool:
        """
        Extend a lease from the time at which its renewal was received.

        Returns
        -------
        bool
            False if `expired_sessions` has returned the session. `ExpireSession` may
            already be in the log, and a lease granted now would outlive the session.
        """
        key = (host, session)
        if key in self._expired:
            return False
        self._last_renewal_s[key] = max(
            self._last_renewal_s.get(key, received_s), received_s
        )
        return True

    def remove_session(self, host: str, session: int) -> None:
        """Stop tracking a session that has ended."""
        self._last_renewal_s.pop((host, session), None)
        self._expired.discard((host, session))

    def expired_sessions(self, now_s: float) -> list[tuple[str, int]]:
        """Return host and number of every session whose lease has expired."""
        limit_s = SESSION_DURATION_S * (1 + 2 * CLOCK_DRIFT)
        self._expired.update(
            key
            for key, last_renewal_s in self._last_renewal_s.items()
            if now_s - last_renewal_s > limit_s
        )
        return sorted(self._expired)
