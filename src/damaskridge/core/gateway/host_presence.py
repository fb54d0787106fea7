"""Decides which hosts of the fleet callers are still sent to without a leader.

Only a leader ends the sessions of hosts that are gone. A host that has heard from no
leader for the duration of a session therefore leaves out the hosts that don't accept
its connections.

>>> presence = HostPresence()
>>> presence.record_leader(now_s=10.0)
>>> presence.must_probe(now_s=20.0)
True
>>> presence.record_probe("h2", is_present=False)
>>> presence.is_present("h2"), presence.is_present("h3")
(False, True)
"""

from damaskridge.core.leases import SESSION_DURATION_S

__all__ = ["HostPresence"]

# A new leader ends the sessions of hosts that were gone before its election only once
# they have lasted for their full duration again.
SETTLING_S = SESSION_DURATION_S + 1.0


class HostPresence:
    """Hosts that were found absent, and the last contact with a leader."""

    def __init__(self) -> None:
        self._leader_seen_s = float("-inf")
        self._contact_began_s = float("-inf")
        self._absent: set[str] = set()

    def record_leader(self, now_s: float) -> None:
        """Record a message from the leader."""
        if now_s - self._leader_seen_s > SESSION_DURATION_S:
            self._contact_began_s = now_s
        self._leader_seen_s = now_s

    def must_probe(self, now_s: float) -> bool:
        """Tell whether the leader's view of the hosts may be out of date."""
        is_lost = now_s - self._leader_seen_s > SESSION_DURATION_S
        return is_lost or now_s - self._contact_began_s < SETTLING_S

    def record_probe(self, host: str, *, is_present: bool) -> None:
        """Record whether a host accepts connections."""
        if is_present:
            self._absent.discard(host)
        else:
            self._absent.add(host)

    def clear(self) -> None:
        """Forget the probes; the leader's view applies again."""
        self._absent.clear()

    def is_present(self, host: str) -> bool:
        """Tell whether callers may be sent to a host."""
        return host not in self._absent
