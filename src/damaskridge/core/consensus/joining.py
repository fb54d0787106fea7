"""How a member joins the group, or bootstraps a new one on the first start."""

from damaskridge.core.consensus.member_state import MemberState
from damaskridge.core.consensus.membership import host_name, is_observer
from damaskridge.model.consensus import JoinRequest, LogEntry, Membership

__all__ = ["BOOTSTRAP_TERM", "JoinProtocol"]

JOIN_REQUEST_INTERVAL_S = 0.2
# Term of the entry that bootstraps a group. A member with a higher term has already
# taken part in one.
BOOTSTRAP_TERM = 1


class JoinProtocol:
    """
    Sends requests to join, and bootstraps the group on the first start.

    Only the first of `hosts` with a disk bootstraps a group, and only after every
    other host has reported an empty disk and has listed this member's id in its
    request. A host that loses its disk later finds hosts that are not empty, so it
    can only join as a learner and never starts a second group.

    Parameters
    ----------
    state : MemberState
        The state of this member.
    hosts : tuple of str
        Names of all hosts of the group.
    may_bootstrap : bool
        Whether this member may bootstrap a new group; ignored for an observer.
    now_s : float
        Current time; the first request is due at once.
    is_added : bool
        Whether the host was added after the first start of the group.
    """

    def __init__(
        self,
        state: MemberState,
        hosts: tuple[str, ...],
        may_bootstrap: bool,
        now_s: float,
        is_added: bool = False,
    ) -> None:
        self._is_added = is_added
        self._state = state
        self._host = host_name(state.name)
        self._other_hosts = tuple(host for host in hosts if host != self._host)
        self._may_bootstrap = may_bootstrap and not is_observer(state.name)
        self._empty_members: dict[str, JoinRequest] = {}
        self._join_targets: set[str] = set()
        self._next_request_s = now_s

    def add_join_target(self, host: str) -> None:
        """Also send requests to a host that addresses this one as a member."""
        self._join_targets.add(host)

    def record_empty_member(self, request: JoinRequest) -> None:
        """Record a request from a member with an empty disk."""
        if request.term <= BOOTSTRAP_TERM:
            self._empty_members[host_name(request.sender)] = request

    def tick(self, now_s: float, members: tuple[str, ...] = ()) -> None:
        """Send a request to every known host if the interval has passed."""
        if now_s < self._next_request_s:
            return
        self._next_request_s = now_s + JOIN_REQUEST_INTERVAL_S
        state = self._state
        seen = tuple(sorted(request.sender for request in self._empty_members.values()))
        request = JoinRequest(
            sender=state.name, term=state.term, seen=seen, is_added=self._is_added
        )
        targets = {host_name(member) for member in members} | self._join_targets
        for host in sorted((targets | set(self._other_hosts)) - {self._host}):
            state.send(host, request)

    def try_bootstrap(self) -> bool:
        """Bootstrap the group if all hosts are empty; return whether that was done."""
        state = self._state
        # A power loss during an earlier bootstrap may leave only the term on disk.
        is_empty = state.term <= BOOTSTRAP_TERM and state.log.last_index == 0
        if not (
            self._may_bootstrap
            and is_empty
            and all(map(self._has_seen_this_member, self._other_hosts))
        ):
            return False
        empty_members = (self._empty_members[host].sender for host in self._other_hosts)
        voters = (
            state.name,
            *(name for name in empty_members if not is_observer(name)),
        )
        if min(voters, key=host_name) != state.name:
            return False
        state.set_term_and_vote(BOOTSTRAP_TERM, "")
        entry = LogEntry(1, BOOTSTRAP_TERM, membership=Membership(voters))
        state.append((entry,))
        return True

    def _has_seen_this_member(self, host: str) -> bool:
        request = self._empty_members.get(host)
        return request is not None and self._state.name in request.seen
