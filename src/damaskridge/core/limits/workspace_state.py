"""The bucket, the queue and the keys of one workspace at its rate owner."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from damaskridge.core.limits.bucket import TokenBucket
from damaskridge.core.limits.keys import KeyTable
from damaskridge.core.limits.messages import OwnershipGained
from damaskridge.model.bundle import Workspace
from damaskridge.model.routing import RateRequest

__all__ = ["KEYS_TIMEOUT_S", "HypotheticalBucket", "QueuedRequest", "WorkspaceState"]

KEYS_TIMEOUT_S = 2.0
_CHARGE_RETENTION_S = 3600.0
# While a lost bucket rebuilds, a request waits behind smaller ones that come within
# this many times the time that its own tokens take: urgent requests are small.
_OVERTAKE_FACTOR = 10.0


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for tokens or for the rebuild of the keys."""

    request: RateRequest
    arrived_s: float
    deadline_s: float


@dataclass(slots=True)
class Charge:
    """What a request paid and may still get back."""

    tokens: int
    expires_s: float


class HypotheticalBucket:
    """
    What the bucket would hold if the earlier owner had handed it over full.

    After a crash the bucket starts empty, so a workspace within its rate has to
    wait for tokens. This second bucket tells such a wait from one that the
    workspace caused; it grants nothing.
    """

    def __init__(self, space: Workspace, is_level_unknown: bool, now_s: float) -> None:
        self._bucket: TokenBucket | None = None
        if is_level_unknown:
            rate, burst = space.rate_tokens_per_s, space.burst_tokens
            self._bucket = TokenBucket(rate, burst, burst, now_s)
            # By then the real bucket would be full as well.
            self._ends_s = now_s + 2 * burst / max(rate, 1e-9)

    def is_active(self, now_s: float) -> bool:
        """Tell whether the real bucket may still hold less."""
        return self._bucket is not None and now_s < self._ends_s

    def would_grant(self, tokens: int, now_s: float) -> bool:
        """Take `tokens` and tell whether a full history would have paid them."""
        if not self.is_active(now_s):
            self._bucket = None
        return self._bucket is not None and self._bucket.acquire(tokens, now_s)

    def refund(self, tokens: int, now_s: float) -> None:
        """Return tokens that were not used."""
        if self._bucket is not None:
            self._bucket.refund(tokens, now_s)


class WorkspaceState:
    """The bucket, the queue and the keys of one workspace."""

    def __init__(self, gained: OwnershipGained, now_s: float) -> None:
        space = gained.workspace
        self.name = space.name
        self.epoch = gained.epoch
        self.rate_tokens_per_s = space.rate_tokens_per_s
        self.bucket = TokenBucket(
            space.rate_tokens_per_s, space.burst_tokens, gained.level_tokens, now_s
        )
        self.hypothetical = HypotheticalBucket(space, gained.is_level_unknown, now_s)
        self.keys = KeyTable()
        self.charges: OrderedDict[str, Charge] = OrderedDict()
        self.waiting: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.waiting_tokens = 0
        self._order: list[tuple[float, int, str]] = []
        self._sequence = 0
        self.awaiting_keys: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.unreported_fronts = set(gained.fronts)
        self.keys_deadline_s = now_s + KEYS_TIMEOUT_S

    def are_keys_complete(self, now_s: float) -> bool:
        """Tell whether the fronts have reported their keys."""
        return not self.unreported_fronts or now_s >= self.keys_deadline_s

    def overtake_s(self, request: RateRequest, now_s: float) -> float:
        """Return by how much small requests may overtake while the bucket rebuilds."""
        if not self.hypothetical.is_active(now_s):
            return 0.0
        return (
            _OVERTAKE_FACTOR * request.cost_tokens / max(self.rate_tokens_per_s, 1e-9)
        )

    def head(self) -> QueuedRequest:
        """Return the request that is granted next."""
        while self._order[0][2] not in self.waiting:
            heapq.heappop(self._order)
        return self.waiting[self._order[0][2]]

    def enqueue(self, entry: QueuedRequest, now_s: float) -> None:
        """Let a request wait."""
        request = entry.request
        self._sequence += 1
        key_s = entry.arrived_s + self.overtake_s(request, now_s)
        item = (key_s, self._sequence, request.request_id)
        heapq.heappush(self._order, item)
        self.waiting[request.request_id] = entry
        self.waiting_tokens += entry.request.cost_tokens

    def dequeue(self, request_id: str) -> None:
        """Remove a waiting request."""
        self.waiting_tokens -= self.waiting.pop(request_id).request.cost_tokens

    def charge(self, request: RateRequest, now_s: float) -> None:
        """Remember what a request paid."""
        expires_s = now_s + _CHARGE_RETENTION_S
        self.charges[request.request_id] = Charge(request.cost_tokens, expires_s)

    def expire(self, now_s: float) -> None:
        """Forget old keys and charges."""
        self.keys.expire(now_s)
        while self.charges:
            request_id, charge = next(iter(self.charges.items()))
            if charge.expires_s > now_s:
                break
            self.keys.finish(request_id, now_s)
            del self.charges[request_id]
