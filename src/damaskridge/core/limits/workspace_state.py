"""State of one workspace at its rate owner: bucket, queue and idempotency keys."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from damaskridge.core.limits.bucket import TokenBucket
from damaskridge.core.limits.keys import KeyTable
from damaskridge.core.limits.messages import OwnershipGained
from damaskridge.model.bundle import Workspace
from damaskridge.model.routing import RateRequest

__all__ = ["KEYS_TIMEOUT_S", "HypotheticalBucket", "QueuedRequest", "WorkspaceState"]

# After this time a new owner no longer waits for fronts that have not reported their
# keys.
KEYS_TIMEOUT_S = 2.0
# How long a granted request may be refunded; then its key also counts as finished.
_CHARGE_RETENTION_S = 3600.0
# While a bucket refills after the loss of its level, smaller requests may overtake a
# request if they arrive within this multiple of the refill time of its tokens. Urgent
# requests are small.
_OVERTAKE_FACTOR = 10.0


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for tokens or for the keys of all fronts."""

    request: RateRequest
    arrived_s: float
    deadline_s: float


@dataclass(slots=True)
class Charge:
    """Tokens that a request was charged and that may still be refunded."""

    tokens: int
    expires_s: float


class HypotheticalBucket:
    """
    A bucket as it would be if it had been full at the change of owner.

    After a crash of the previous owner the real bucket starts empty, so that even a
    workspace within its rate has to wait for tokens. This second bucket distinguishes
    such a wait from one that the workspace has caused itself. It grants nothing.
    """

    def __init__(
        self, workspace: Workspace, is_level_unknown: bool, now_s: float
    ) -> None:
        self._bucket: TokenBucket | None = None
        if is_level_unknown:
            rate, burst = workspace.rate_tokens_per_s, workspace.burst_tokens
            self._bucket = TokenBucket(rate, burst, burst, now_s)
            # By then the real bucket would have refilled as well.
            self._ends_s = now_s + 2 * burst / max(rate, 1e-9)

    def is_active(self, now_s: float) -> bool:
        """Tell whether the real bucket may still have a lower level."""
        return self._bucket is not None and now_s < self._ends_s

    def would_grant(self, tokens: int, now_s: float) -> bool:
        """Remove `tokens`; return whether this bucket holds them."""
        if not self.is_active(now_s):
            self._bucket = None
        return self._bucket is not None and self._bucket.acquire(tokens, now_s)

    def refund(self, tokens: int, now_s: float) -> None:
        """Put back unused tokens."""
        if self._bucket is not None:
            self._bucket.refund(tokens, now_s)


class WorkspaceState:
    """
    State of one workspace.

    Attributes
    ----------
    waiting : dict of str to QueuedRequest
        Requests that wait for tokens, by request id.
    awaiting_keys : dict of str to QueuedRequest
        Requests with an idempotency key that wait until the fronts have reported
        theirs.
    charges : dict of str to Charge
        Granted requests that may still be refunded, the oldest first.
    unreported_fronts : set of str
        Fronts that have not yet reported their active keys.
    """

    def __init__(self, gained: OwnershipGained, now_s: float) -> None:
        workspace = gained.workspace
        self.name = workspace.name
        self.epoch = gained.epoch
        self.rate_tokens_per_s = workspace.rate_tokens_per_s
        self.bucket = TokenBucket(
            workspace.rate_tokens_per_s,
            workspace.burst_tokens,
            gained.level_tokens,
            now_s,
        )
        self.hypothetical_bucket = HypotheticalBucket(
            workspace, gained.is_level_unknown, now_s
        )
        self.keys = KeyTable()
        self.charges: OrderedDict[str, Charge] = OrderedDict()
        self.waiting: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.waiting_tokens = 0
        # Heap of queue time, sequence number and request id. Requests that have left
        # the queue are skipped in `head`.
        self._order: list[tuple[float, int, str]] = []
        self._sequence = 0
        self.awaiting_keys: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.unreported_fronts = set(gained.fronts)
        self.keys_deadline_s = now_s + KEYS_TIMEOUT_S

    def are_keys_complete(self, now_s: float) -> bool:
        """Tell whether all fronts have reported their keys, or the wait timed out."""
        return not self.unreported_fronts or now_s >= self.keys_deadline_s

    def overtake_s(self, request: RateRequest, now_s: float) -> float:
        """
        Return how much later a request may arrive and still overtake this one.

        0 unless the bucket refills after the loss of its level. The time is
        proportional to the cost, so that small requests overtake large ones.
        """
        if not self.hypothetical_bucket.is_active(now_s):
            return 0.0
        return (
            _OVERTAKE_FACTOR * request.cost_tokens / max(self.rate_tokens_per_s, 1e-9)
        )

    def head(self) -> QueuedRequest:
        """Return the waiting request that is granted next."""
        while self._order[0][2] not in self.waiting:
            heapq.heappop(self._order)
        return self.waiting[self._order[0][2]]

    def enqueue(self, entry: QueuedRequest, now_s: float) -> None:
        """Add a request to the queue."""
        request = entry.request
        self._sequence += 1
        queue_time_s = entry.arrived_s + self.overtake_s(request, now_s)
        item = (queue_time_s, self._sequence, request.request_id)
        heapq.heappush(self._order, item)
        self.waiting[request.request_id] = entry
        self.waiting_tokens += entry.request.cost_tokens

    def dequeue(self, request_id: str) -> None:
        """Remove a request from the queue."""
        self.waiting_tokens -= self.waiting.pop(request_id).request.cost_tokens

    def charge(self, request: RateRequest, now_s: float) -> None:
        """Record the cost of a granted request, for refunds."""
        expires_s = now_s + _CHARGE_RETENTION_S
        self.charges[request.request_id] = Charge(request.cost_tokens, expires_s)

    def expire(self, now_s: float) -> None:
        """Remove expired keys and charges."""
        self.keys.expire(now_s)
        while self.charges:
            request_id, charge = next(iter(self.charges.items()))
            if charge.expires_s > now_s:
                break
            self.keys.finish(request_id, now_s)
            del self.charges[request_id]
