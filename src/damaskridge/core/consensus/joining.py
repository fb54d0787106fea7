"""How a member that is not in the group gets into it, or forms a new one."""

from damaskridge.core.consensus.member_state import MemberState
from damaskridge.core.consensus.membership import host_name, is_observer
from damaskridge.model.consensus import JoinRequest, LogEntry, Membership

__all__ = ["BOOTSTRAP_TERM", "Joining"]

JOIN_INTERVAL_S = 0.2
BOOTSTRAP_TERM = 1


class Joining:
    """
    Asks to join, and forms the group on the first start.

    Only the first of `hosts` with a disk forms a group, and only after every other
    host has reported an empty disk and has named this member's id. A host that lost
    its disk later finds others that are not empty, and can only join as a learner.
    """

    def __init__(
        self,
        state: MemberState,
        hosts: tuple[str, ...],
        may_bootstrap: bool,
        now_s: float,
    ) -> None:
        self._state = state
        self._host = host_name(state.name)
        self._others = tuple(host for host in hosts if host != self._host)
        self._may_form = may_bootstrap and not is_observer(state.name)
        self._empty: dict[str, JoinRequest] = {}
        self._heard: set[str] = set()
        self._due_s = now_s

    def add_join_target(self, host: str) -> None:
        """Remember a host that takes this one for a member of its group."""
        self._heard.add(host)

    def record(self, request: JoinRequest) -> None:
        """Remember a host that reported an empty disk."""
        if request.term <= BOOTSTRAP_TERM:
            self._empty[host_name(request.sender)] = request

    def tick(self, now_s: float, members: tuple[str, ...] = ()) -> None:
        """Ask every other host, and those of `members`, once in an interval."""
        if now_s < self._due_s:
            return
        self._due_s = now_s + JOIN_INTERVAL_S
        state = self._state
        seen = tuple(sorted(request.sender for request in self._empty.values()))
        request = JoinRequest(sender=state.name, term=state.term, seen=seen)
        known = {host_name(member) for member in members} | self._heard
        for host in sorted((known | set(self._others)) - {self._host}):
            state.send(host, request)

    def try_form(self) -> bool:
        """Form the group if every host is known to be empty."""
        state = self._state
        # The term alone is on disk if power was lost while the group was formed.
        is_empty = state.term <= BOOTSTRAP_TERM and state.log.last_index == 0
        if not (self._may_form and is_empty and all(map(self._knows_us, self._others))):
            return False
        empty = (self._empty[host].sender for host in self._others)
        voters = (state.name, *(name for name in empty if not is_observer(name)))
        if min(voters, key=host_name) != state.name:
            return False
        state.vote(BOOTSTRAP_TERM, "")
        entry = LogEntry(1, BOOTSTRAP_TERM, membership=Membership(voters))
        state.append((entry,))
        return True

    def _knows_us(self, host: str) -> bool:
        request = self._empty.get(host)
        return request is not None and self._state.name in request.seen
