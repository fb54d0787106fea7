"""Chooses the host that serves a request in the place of a partitioned one."""

import random
from collections.abc import Iterable

from damaskridge.model.control import Session

__all__ = ["PeerChoice"]

# A host that could not serve a request is chosen last for this long.
UNAVAILABLE_S = 1.0


class PeerChoice:
    """
    Chooses among the other hosts, at first those of the same data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this host; traffic to the others costs more.
    rng : random.Random
        Spreads the requests over the hosts.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._unavailable_until_s: dict[str, float] = {}

    def record_unavailable(self, host: str, now_s: float) -> None:
        """Record that a host could not serve a request."""
        self._unavailable_until_s[host] = now_s + UNAVAILABLE_S

    def choose(
        self, sessions: Iterable[Session], tried: set[str], now_s: float
    ) -> Session | None:
        """Return the session of the next host to try; None if all were tried."""
        candidates = [session for session in sessions if session.host not in tried]
        self._rng.shuffle(candidates)
        return min(
            candidates,
            key=lambda session: (
                now_s < self._unavailable_until_s.get(session.host, float("-inf")),
                session.data_centre != self._data_centre,
            ),
            default=None,
        )
