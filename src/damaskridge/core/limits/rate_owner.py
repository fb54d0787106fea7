"""The owner of workspaces' rates: grants, queues and refuses by exact count."""

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
    RefundReceived,
    ReleaseBucket,
    ReleaseRequested,
    RequestActive,
    RequestEnded,
    SendRateReply,
    TimePassed,
    WorkspaceChanged,
)
from damaskridge.core.limits.workspace_state import (
    REBUILD_LIMIT_S,
    Waiting,
    WorkspaceState,
)
from damaskridge.model.bundle import Workspace
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import Duplicate, RateGrant, RateRequest, Refused

__all__ = ["REBUILD_LIMIT_S", "RateOwner"]

_MAX_WAITING = 1000
_RETRY_SPREAD = 0.25
_LEASE_RECHECK_S = 0.05
# Covers late wake-ups; the wait itself is known from the rate.
_HISTORY_SLACK_S = 5.0


class RateOwner:
    """
    Decides on the rates of all workspaces that this host owns.

    Parameters
    ----------
    rng : random.Random
        Spreads retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workspaces: dict[str, WorkspaceState] = {}
        self._lease_ends_s = float("-inf")

    def handle(self, event: RateEvent, now_s: float) -> list[RateAction]:
        """Apply `event` and return what to send or commit."""
        return self._apply(event, now_s)

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Return the time at which to send `TimePassed`, if any."""
        times: list[float] = []
        for space in self._workspaces.values():
            if space.parked:
                times.append(space.rebuilt_by_s)
            if space.waiting:
                head = space.head()
                paid_s = now_s + space.bucket.seconds_until(
                    head.request.cost_tokens, now_s
                )
                if now_s >= self._lease_ends_s:
                    paid_s = now_s + _LEASE_RECHECK_S
                times.append(max(now_s, min(paid_s, head.deadline_s)))
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
        space = self._workspaces.get(changed.name)
        if space is None:
            return []
        space.rate_tokens_per_s = changed.rate_tokens_per_s
        space.bucket.change_limits(
            changed.rate_tokens_per_s, changed.burst_tokens, now_s
        )
        return self._serve(space, now_s)

    @_apply.register
    def _(self, event: OwnershipEnded, now_s: float) -> list[RateAction]:
        return self._refuse_all(event.workspace)

    @_apply.register
    def _(self, event: ReleaseRequested, now_s: float) -> list[RateAction]:
        space = self._workspaces.get(event.workspace)
        if space is None:
            return []
        level_tokens = space.bucket.level_tokens(now_s)
        actions = self._refuse_all(event.workspace)
        actions.append(ReleaseBucket(event.workspace, space.epoch, level_tokens))
        return actions

    @_apply.register
    def _(self, event: RateRequested, now_s: float) -> list[RateAction]:
        self._note_lease(event.lease_remaining_s, now_s)
        request = event.request
        space = self._workspaces.get(request.workspace)
        if space is None or space.epoch != request.epoch:
            return [_refuse(request, ErrorKind.EPOCH_CONFLICT)]
        if event.lease_remaining_s <= 0:
            return [_refuse(request, ErrorKind.LEASE_EXPIRED)]
        space.expire(now_s)
        actions = self._serve(space, now_s)
        entry = Waiting(request, now_s, now_s + request.wait_s)
        return actions + self._admit(space, entry, now_s)

    @_apply.register
    def _(self, event: RefundReceived, now_s: float) -> list[RateAction]:
        refund = event.refund
        space = self._workspaces.get(refund.workspace)
        if space is None or space.epoch != refund.epoch:
            return []
        charge = space.charges.get(refund.request_id)
        if charge is None:
            return []
        tokens = max(0, min(refund.tokens, charge.tokens))
        charge.tokens -= tokens
        space.bucket.give_back(tokens, now_s)
        space.history.give_back(tokens, now_s)
        return self._serve(space, now_s)

    @_apply.register
    def _(self, event: RequestActive, now_s: float) -> list[RateAction]:
        space = self._workspaces.get(event.workspace)
        if space is None:
            return []
        if not event.request_id:
            space.missing_fronts.discard(event.front)
            return self._serve(space, now_s)
        space.keys.add(
            KeyEntry(
                event.idempotency_key, event.request_id, event.front, event.body_digest
            )
        )
        if event.finished:
            space.keys.finish(event.request_id, now_s)
        return []

    @_apply.register
    def _(self, event: RequestEnded, now_s: float) -> list[RateAction]:
        space = self._workspaces.get(event.workspace)
        if space is None:
            return []
        space.keys.finish(event.request_id, now_s)
        space.expire(now_s)
        for queue in (space.waiting, space.parked):
            if event.request_id in queue:
                self._forget(space, event.request_id)
        return self._serve(space, now_s)

    @_apply.register
    def _(self, event: TimePassed, now_s: float) -> list[RateAction]:
        self._note_lease(event.lease_remaining_s, now_s)
        actions: list[RateAction] = []
        for space in self._workspaces.values():
            space.expire(now_s)
            actions += self._serve(space, now_s)
            if space.history.is_active(now_s):
                actions += self._refuse_late(space, now_s)
        return actions

    def _note_lease(self, remaining_s: float, now_s: float) -> None:
        self._lease_ends_s = now_s + remaining_s if remaining_s > 0 else float("-inf")

    def _forget(self, space: WorkspaceState, request_id: str) -> None:
        if request_id in space.waiting:
            space.dequeue(request_id)
        space.parked.pop(request_id, None)
        space.keys.discard(request_id)

    def _refuse_all(self, name: str) -> list[RateAction]:
        space = self._workspaces.pop(name, None)
        if space is None:
            return []
        entries = [*space.waiting.values(), *space.parked.values()]
        return [_refuse(entry.request, ErrorKind.EPOCH_CONFLICT) for entry in entries]

    def _admit(
        self, space: WorkspaceState, entry: Waiting, now_s: float
    ) -> list[RateAction]:
        request = entry.request
        request_id = request.request_id
        if request_id in space.charges:
            return self._reply_grant(space, entry, now_s)
        if request_id in space.waiting or request_id in space.parked:
            return []
        if request.cost_tokens < 0 or request.cost_tokens > space.bucket.burst_tokens:
            detail = f"a cost of {request.cost_tokens} tokens exceeds the burst"
            return [_refuse(request, ErrorKind.INVALID_REQUEST, detail)]
        if request.idempotency_key and not space.is_rebuilt(now_s):
            if len(space.parked) >= _MAX_WAITING:
                return [_refuse(request, ErrorKind.OWNER_UNAVAILABLE)]
            space.parked[request_id] = entry
            return []
        known = space.keys.find(request.idempotency_key)
        if known is not None and known.request_id != request_id:
            return [_reply_known(request, known)]
        return self._pay(space, entry, now_s)

    def _pay(
        self, space: WorkspaceState, entry: Waiting, now_s: float
    ) -> list[RateAction]:
        request = entry.request
        within_rate = space.history.would_pay(request.cost_tokens, now_s)
        if not space.waiting and self._take(space, request, now_s):
            self._remember_key(space, request)
            return self._reply_grant(space, entry, now_s)
        needed = space.waiting_tokens + request.cost_tokens
        wait_s = space.bucket.seconds_until(needed, now_s)
        fits = len(space.waiting) < _MAX_WAITING
        if within_rate:
            # The loss of an owner refuses nobody who is within the rate.
            most_s = wait_s + space.delay_s(request, now_s) + _HISTORY_SLACK_S
            entry.deadline_s = max(entry.deadline_s, now_s + most_s)
        if fits and now_s + wait_s <= entry.deadline_s:
            self._remember_key(space, request)
            space.enqueue(entry, now_s)
            return []
        return [self._refuse_rate(request, wait_s)]

    def _take(self, space: WorkspaceState, request: RateRequest, now_s: float) -> bool:
        if now_s >= self._lease_ends_s:
            return False
        if not space.bucket.take(request.cost_tokens, now_s):
            return False
        space.charge(request, now_s)
        return True

    def _serve(self, space: WorkspaceState, now_s: float) -> list[RateAction]:
        """Grant what the bucket can pay, in order; refuse what waited too long."""
        actions: list[RateAction] = []
        while space.waiting:
            entry = space.head()
            request = entry.request
            if self._take(space, request, now_s):
                space.dequeue(request.request_id)
                actions += self._reply_grant(space, entry, now_s)
            elif now_s >= entry.deadline_s:
                self._forget(space, request.request_id)
                wait_s = space.bucket.seconds_until(request.cost_tokens, now_s)
                actions.append(self._refuse_rate(request, wait_s))
            else:
                break
        if space.parked and space.is_rebuilt(now_s):
            parked, space.parked = space.parked, OrderedDict()
            for entry in parked.values():
                # The rebuild is not the caller's fault: it adds to the wait.
                waited_s = now_s - entry.arrived_s
                entry.deadline_s += waited_s
                actions += self._admit(space, entry, now_s)
        return actions

    def _refuse_late(self, space: WorkspaceState, now_s: float) -> list[RateAction]:
        """Refuse what waited too long behind smaller requests."""
        actions: list[RateAction] = []
        late = [item for item in space.waiting.values() if now_s >= item.deadline_s]
        for entry in late:
            request = entry.request
            self._forget(space, request.request_id)
            wait_s = space.bucket.seconds_until(request.cost_tokens, now_s)
            actions.append(self._refuse_rate(request, wait_s))
        return actions

    def _remember_key(self, space: WorkspaceState, request: RateRequest) -> None:
        space.keys.add(
            KeyEntry(
                request.idempotency_key,
                request.request_id,
                request.front,
                request.body_digest,
            )
        )

    def _reply_grant(
        self, space: WorkspaceState, entry: Waiting, now_s: float
    ) -> list[RateAction]:
        request = entry.request
        valid_for_s = self._lease_ends_s - now_s
        if valid_for_s <= 0:
            return [_refuse(request, ErrorKind.LEASE_EXPIRED)]
        grant = RateGrant(
            request_id=request.request_id,
            epoch=space.epoch,
            valid_for_s=valid_for_s,
            waited_s=now_s - entry.arrived_s,
        )
        return [SendRateReply(request.front, request.request_id, grant)]

    def _refuse_rate(self, request: RateRequest, wait_s: float) -> SendRateReply:
        spread_s = max(wait_s, 0.1) * _RETRY_SPREAD * self._rng.random()
        retry_after_s = min(wait_s + spread_s, KEY_RETENTION_S)
        return _refuse(request, ErrorKind.RATE_EXCEEDED, retry_after_s=retry_after_s)


def _refuse(
    request: RateRequest,
    kind: ErrorKind,
    detail: str = "",
    retry_after_s: float | None = None,
) -> SendRateReply:
    failure = Failure(kind, detail, retry_after_s=retry_after_s)
    refused = Refused(request_id=request.request_id, failure=failure)
    return SendRateReply(request.front, request.request_id, refused)


def _reply_known(request: RateRequest, known: KeyEntry) -> SendRateReply:
    if known.body_digest != request.body_digest:
        return _refuse(request, ErrorKind.IDEMPOTENCY_CONFLICT)
    reply = Duplicate(
        request_id=known.request_id, front=known.front, finished=known.finished
    )
    return SendRateReply(request.front, request.request_id, reply)
