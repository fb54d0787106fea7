"""Rate owner of workspaces: grants, queues and refuses requests by exact counts."""

import random
from collections import OrderedDict
from functools import singledispatchmethod

from damaskridge.core.limits.keys import KEY_RETENTION_S, KeyEntry
from damaskridge.core.limits.messages import (
    OwnershipEnded,
    OwnershipGained,
    RateAction,
    RateEvent,
    RateRequested,
    RateTimerFired,
    RefundReceived,
    ReleaseBucket,
    ReleaseRequested,
    RequestActive,
    RequestEnded,
    SendRateResponse,
    WorkspaceChanged,
)
from damaskridge.core.limits.workspace_state import (
    KEYS_TIMEOUT_S,
    QueuedRequest,
    WorkspaceState,
)
from damaskridge.model.bundle import Workspace
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import Duplicate, RateGrant, RateRequest, Refused

__all__ = ["KEYS_TIMEOUT_S", "RateOwner"]

# Limit of each queue of a workspace.
_MAX_QUEUED = 1000
# Largest random extension of a retry time, as a share of it.
_MAX_RETRY_JITTER = 0.25
# Interval at which the queue is checked while this host has no lease.
_LEASE_RECHECK_S = 0.05
# Allowance for late wake-ups in the deadline of a request within its rate; the wait
# itself is calculated from the rate.
_WAKEUP_SLACK_S = 5.0


class RateOwner:
    """
    State machine for the rates of all workspaces that this host owns.

    Parameters
    ----------
    rng : random.Random
        Randomises retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workspaces: dict[str, WorkspaceState] = {}
        self._lease_ends_s = float("-inf")

    def handle(self, event: RateEvent, now_s: float) -> list[RateAction]:
        """Apply an event; return the messages to send and the releases to commit."""
        return self._apply(event, now_s)

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Return the time at which `RateTimerFired` is due, if any."""
        times: list[float] = []
        for state in self._workspaces.values():
            if state.awaiting_keys:
                times.append(state.keys_deadline_s)
            if state.waiting:
                head = state.head()
                grant_s = now_s + state.bucket.seconds_until(
                    head.request.cost_tokens, now_s
                )
                if now_s >= self._lease_ends_s:
                    grant_s = now_s + _LEASE_RECHECK_S
                times.append(max(now_s, min(grant_s, head.deadline_s)))
        return min(times, default=None)

    @singledispatchmethod
    def _apply(self, event: RateEvent, now_s: float) -> list[RateAction]:
        raise TypeError(f"unknown event: {event!r}")

    @_apply.register
    def _(self, event: OwnershipGained, now_s: float) -> list[RateAction]:
        name = event.workspace.name
        current = self._workspaces.get(name)
        if current is not None and current.epoch >= event.epoch:
            return []
        actions = self._refuse_all(name)
        self._workspaces[name] = WorkspaceState(event, now_s)
        return actions

    @_apply.register
    def _(self, event: WorkspaceChanged, now_s: float) -> list[RateAction]:
        changed: Workspace = event.workspace
        state = self._workspaces.get(changed.name)
        if state is None:
            return []
        state.rate_tokens_per_s = changed.rate_tokens_per_s
        state.bucket.change_limits(
            changed.rate_tokens_per_s, changed.burst_tokens, now_s
        )
        return self._serve_queue(state, now_s)

    @_apply.register
    def _(self, event: OwnershipEnded, now_s: float) -> list[RateAction]:
        return self._refuse_all(event.workspace)

    @_apply.register
    def _(self, event: ReleaseRequested, now_s: float) -> list[RateAction]:
        state = self._workspaces.get(event.workspace)
        if state is None:
            return []
        level_tokens = state.bucket.level_tokens(now_s)
        actions = self._refuse_all(event.workspace)
        actions.append(ReleaseBucket(event.workspace, state.epoch, level_tokens))
        return actions

    @_apply.register
    def _(self, event: RateRequested, now_s: float) -> list[RateAction]:
        self._update_lease(event.lease_remaining_s, now_s)
        request = event.request
        state = self._workspaces.get(request.workspace)
        if state is None or state.epoch != request.epoch:
            return [_refuse(request, ErrorKind.EPOCH_CONFLICT)]
        if event.lease_remaining_s <= 0:
            return [_refuse(request, ErrorKind.LEASE_EXPIRED)]
        state.expire(now_s)
        actions = self._serve_queue(state, now_s)
        entry = QueuedRequest(request, now_s, now_s + request.wait_s)
        return actions + self._admit(state, entry, now_s)

    @_apply.register
    def _(self, event: RefundReceived, now_s: float) -> list[RateAction]:
        refund = event.refund
        state = self._workspaces.get(refund.workspace)
        if state is None or state.epoch != refund.epoch:
            return []
        charge = state.charges.get(refund.request_id)
        if charge is None:
            return []
        tokens = max(0, min(refund.tokens, charge.tokens))
        charge.tokens -= tokens
        state.bucket.refund(tokens, now_s)
        state.hypothetical_bucket.refund(tokens, now_s)
        return self._serve_queue(state, now_s)

    @_apply.register
    def _(self, event: RequestActive, now_s: float) -> list[RateAction]:
        state = self._workspaces.get(event.workspace)
        if state is None:
            return []
        if not event.request_id:
            state.unreported_fronts.discard(event.front)
            return self._serve_queue(state, now_s)
        state.keys.add(
            KeyEntry(
                event.idempotency_key, event.request_id, event.front, event.body_digest
            )
        )
        if event.finished:
            state.keys.finish(event.request_id, now_s)
        return []

    @_apply.register
    def _(self, event: RequestEnded, now_s: float) -> list[RateAction]:
        state = self._workspaces.get(event.workspace)
        if state is None:
            return []
        state.keys.finish(event.request_id, now_s)
        state.expire(now_s)
        for queue in (state.waiting, state.awaiting_keys):
            if event.request_id in queue:
                self._drop(state, event.request_id)
        return self._serve_queue(state, now_s)

    @_apply.register
    def _(self, event: RateTimerFired, now_s: float) -> list[RateAction]:
        self._update_lease(event.lease_remaining_s, now_s)
        actions: list[RateAction] = []
        for state in self._workspaces.values():
            state.expire(now_s)
            actions += self._serve_queue(state, now_s)
            if state.hypothetical_bucket.is_active(now_s):
                actions += self._refuse_late(state, now_s)
        return actions

    def _update_lease(self, remaining_s: float, now_s: float) -> None:
        """Set the end of this host's lease, until which tokens may be granted."""
        self._lease_ends_s = now_s + remaining_s if remaining_s > 0 else float("-inf")

    def _drop(self, state: WorkspaceState, request_id: str) -> None:
        """Remove a request from the queues together with its key."""
        if request_id in state.waiting:
            state.dequeue(request_id)
        state.awaiting_keys.pop(request_id, None)
        state.keys.discard(request_id)

    def _refuse_all(self, name: str) -> list[RateAction]:
        """Remove a workspace and refuse all requests that wait for it."""
        state = self._workspaces.pop(name, None)
        if state is None:
            return []
        entries = [*state.waiting.values(), *state.awaiting_keys.values()]
        return [_refuse(entry.request, ErrorKind.EPOCH_CONFLICT) for entry in entries]

    def _admit(
        self, state: WorkspaceState, entry: QueuedRequest, now_s: float
    ) -> list[RateAction]:
        """
        Decide on a request that has arrived or whose wait for keys has ended.

        A request that was granted before gets a grant again without another charge.
        """
        request = entry.request
        request_id = request.request_id
        if request_id in state.charges:
            return self._send_grant(state, entry, now_s)
        if request_id in state.waiting or request_id in state.awaiting_keys:
            return []
        if request.cost_tokens < 0 or request.cost_tokens > state.bucket.burst_tokens:
            detail = f"a cost of {request.cost_tokens} tokens exceeds the burst"
            return [_refuse(request, ErrorKind.INVALID_REQUEST, detail)]
        if request.idempotency_key and not state.are_keys_complete(now_s):
            if len(state.awaiting_keys) >= _MAX_QUEUED:
                return [_refuse(request, ErrorKind.OWNER_UNAVAILABLE)]
            state.awaiting_keys[request_id] = entry
            return []
        known = state.keys.find(request.idempotency_key)
        if known is not None and known.request_id != request_id:
            return [_send_duplicate(request, known)]
        return self._grant_or_queue(state, entry, now_s)

    def _grant_or_queue(
        self, state: WorkspaceState, entry: QueuedRequest, now_s: float
    ) -> list[RateAction]:
        """Grant a request, or queue it if it can be granted before its deadline."""
        request = entry.request
        is_within_rate = state.hypothetical_bucket.would_grant(
            request.cost_tokens, now_s
        )
        if not state.waiting and self._acquire(state, request, now_s):
            self._record_key(state, request)
            return self._send_grant(state, entry, now_s)
        needed = state.waiting_tokens + request.cost_tokens
        wait_s = state.bucket.seconds_until(needed, now_s)
        fits = len(state.waiting) < _MAX_QUEUED
        if is_within_rate:
            # The loss of the previous owner must not cause refusals within the rate.
            max_wait_s = wait_s + state.overtake_s(request, now_s) + _WAKEUP_SLACK_S
            entry.deadline_s = max(entry.deadline_s, now_s + max_wait_s)
        if fits and now_s + wait_s <= entry.deadline_s:
            self._record_key(state, request)
            state.enqueue(entry, now_s)
            return []
        return [self._refuse_rate(request, wait_s)]

    def _acquire(
        self, state: WorkspaceState, request: RateRequest, now_s: float
    ) -> bool:
        """Charge a request if the lease is valid and the bucket has its tokens."""
        if now_s >= self._lease_ends_s:
            return False
        if not state.bucket.acquire(request.cost_tokens, now_s):
            return False
        state.charge(request, now_s)
        return True

    def _serve_queue(self, state: WorkspaceState, now_s: float) -> list[RateAction]:
        """Grant waiting requests in order; refuse the head after its deadline."""
        actions: list[RateAction] = []
        while state.waiting:
            entry = state.head()
            request = entry.request
            if self._acquire(state, request, now_s):
                state.dequeue(request.request_id)
                actions += self._send_grant(state, entry, now_s)
            elif now_s >= entry.deadline_s:
                self._drop(state, request.request_id)
                wait_s = state.bucket.seconds_until(request.cost_tokens, now_s)
                actions.append(self._refuse_rate(request, wait_s))
            else:
                break
        if state.awaiting_keys and state.are_keys_complete(now_s):
            awaiting_keys, state.awaiting_keys = state.awaiting_keys, OrderedDict()
            for entry in awaiting_keys.values():
                # The wait for the keys isn't caused by the caller, so it extends the
                # deadline.
                waited_s = now_s - entry.arrived_s
                entry.deadline_s += waited_s
                actions += self._admit(state, entry, now_s)
        return actions

    def _refuse_late(self, state: WorkspaceState, now_s: float) -> list[RateAction]:
        """Refuse requests whose deadline passed while smaller ones overtook them."""
        actions: list[RateAction] = []
        late = [item for item in state.waiting.values() if now_s >= item.deadline_s]
        for entry in late:
            request = entry.request
            self._drop(state, request.request_id)
            wait_s = state.bucket.seconds_until(request.cost_tokens, now_s)
            actions.append(self._refuse_rate(request, wait_s))
        return actions

    def _record_key(self, state: WorkspaceState, request: RateRequest) -> None:
        state.keys.add(
            KeyEntry(
                request.idempotency_key,
                request.request_id,
                request.front,
                request.body_digest,
            )
        )

    def _send_grant(
        self, state: WorkspaceState, entry: QueuedRequest, now_s: float
    ) -> list[RateAction]:
        request = entry.request
        valid_for_s = self._lease_ends_s - now_s
        if valid_for_s <= 0:
            return [_refuse(request, ErrorKind.LEASE_EXPIRED)]
        grant = RateGrant(
            request_id=request.request_id,
            epoch=state.epoch,
            valid_for_s=valid_for_s,
            waited_s=now_s - entry.arrived_s,
        )
        return [SendRateResponse(request.front, request.request_id, grant)]

    def _refuse_rate(self, request: RateRequest, wait_s: float) -> SendRateResponse:
        jitter_s = max(wait_s, 0.1) * _MAX_RETRY_JITTER * self._rng.random()
        retry_after_s = min(wait_s + jitter_s, KEY_RETENTION_S)
        return _refuse(request, ErrorKind.RATE_EXCEEDED, retry_after_s=retry_after_s)


def _refuse(
    request: RateRequest,
    kind: ErrorKind,
    detail: str = "",
    retry_after_s: float | None = None,
) -> SendRateResponse:
    failure = Failure(kind, detail, retry_after_s=retry_after_s)
    refused = Refused(request_id=request.request_id, failure=failure)
    return SendRateResponse(request.front, request.request_id, refused)


def _send_duplicate(request: RateRequest, known: KeyEntry) -> SendRateResponse:
    """Return the response to a request whose idempotency key is already in use."""
    if known.body_digest != request.body_digest:
        return _refuse(request, ErrorKind.IDEMPOTENCY_CONFLICT)
    response = Duplicate(
        request_id=known.request_id, front=known.front, finished=known.finished
    )
    return SendRateResponse(request.front, request.request_id, response)
