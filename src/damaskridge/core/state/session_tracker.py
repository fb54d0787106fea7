"""The granter's side of session leases, on the leader."""

from collections.abc import Iterable

from damaskridge.core.leases import CLOCK_DRIFT, SESSION_DURATION_S
from damaskridge.model.control import Session

__all__ = ["SessionTracker"]


class SessionTracker:
    """
    Knows until when each session's holder may act.

    The duration is lengthened by twice `CLOCK_DRIFT`, as the granter's clock may be
    fast while the holder's is slow.
    """

    def __init__(self) -> None:
        self._renewed_s: dict[tuple[str, int], float] = {}
        self._expired: set[tuple[str, int]] = set()

    def reset_leases(self, now_s: float, sessions: Iterable[Session]) -> None:
        """Treat every session as renewed: an earlier leader may have done so."""
        self._renewed_s = {(item.host, item.number): now_s for item in sessions}
        self._expired = set()

    def record_renewal(self, host: str, session: int, received_s: float) -> bool:
        """
        Count a lease from the arrival of its renewal.

        `False` once `expired_sessions` has named the session: `ExpireSession` may
        already be in the log, and a lease granted now would outlive the session.
        """
        key = (host, session)
        if key in self._expired:
            return False
        self._renewed_s[key] = max(self._renewed_s.get(key, received_s), received_s)
        return True

    def remove_session(self, host: str, session: int) -> None:
        """Forget a session that has ended."""
        self._renewed_s.pop((host, session), None)
        self._expired.discard((host, session))

    def expired_sessions(self, now_s: float) -> list[tuple[str, int]]:
        """Return host and number of every session whose lease has run out."""
        limit_s = SESSION_DURATION_S * (1 + 2 * CLOCK_DRIFT)
        self._expired.update(
            key
            for key, renewed_s in self._renewed_s.items()
            if now_s - renewed_s > limit_s
        )
        return sorted(self._expired)
