"""What must hold over all hosts and all time."""

import asyncio
import re
from collections import Counter, defaultdict

from damaskridge.core.limits.messages import RefundReceived, SendRateReply
from damaskridge.core.limits.rate_owner import RateOwner
from damaskridge.core.scheduling.messages import SendSubmitResponse
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.control import BundleActivated, KeyWithdrawn, LedgerState
from damaskridge.model.routing import Placement, RateGrant
from tests.system.fakes import CRASH_MARK

__all__ = ["Invariants", "RecordingCellScheduler", "RecordingRateOwner", "Violation"]

LEASE_S = 3.0
FREED_WITHIN_S = LEASE_S + 3.0
KEY_WITHIN_S = 4.0
BUNDLE_WITHIN_S = 4.0
LEAVING_WITHIN_S = 3.0
MOST_CRASHES = 2
_CALL = re.compile(r"call (\d+) ")


class Violation(AssertionError):
    """An invariant does not hold; `name` is its short name."""

    def __init__(self, name, text):
        super().__init__(f"{name}: {text}")
        self.name = name


def _now_s():
    return asyncio.get_running_loop().true_time()


class RecordingRateOwner(RateOwner):
    """Reports every grant and refund with the true time."""

    def __init__(self, rng, world):
        super().__init__(rng)
        self._world = world

    def handle(self, event, now_s):
        if isinstance(event, RefundReceived):
            refund = event.refund
            space = self._workspaces.get(refund.workspace)
            if space is not None and space.epoch == refund.epoch:
                self._world.invariants.refunded(refund)
        actions = super().handle(event, now_s)
        for action in actions:
            if isinstance(action, SendRateReply) and isinstance(
                action.reply, RateGrant
            ):
                self._world.invariants.granted(action.reply)
        return actions


class RecordingCellScheduler(CellScheduler):
    """Checks the ownership behind every placement."""

    def __init__(self, rng, world):
        super().__init__(rng)
        self._world = world

    def handle(self, event, now_s):
        actions = super().handle(event, now_s)
        for action in actions:
            if isinstance(action, SendSubmitResponse) and isinstance(
                action.reply, Placement
            ):
                self._world.invariants.decided(action.reply.epoch, "placement")
        return actions


class Invariants:
    """Collects what is seen; the first violation is kept."""

    def __init__(self, world):
        self._world = world
        self.violation = None
        self.versions = {}
        self.withdrawn_s, self.leaving_s = {}, {}
        self.crashes, self.saw = Counter(), defaultdict(list)
        self.service_runs = defaultdict(list)
        self._grants, self._used, self._refunds = {}, {}, {}
        self._gone_since_s, self._twice_since_s = {}, {}
        self._rolled = []

    def broken(self, text, error=None, name="assertion"):
        """Keep a violation; the run ends with it."""
        if self.violation is None:
            self.violation = Violation(name, text)
            self.violation.__cause__ = error
            self._world.trace.note("VIOLATION", name, text)

    # Ownership and rates.

    def _ended_s(self, epoch):
        for (_, ended), when_s in self._world.control.ended_epochs.items():
            if ended == epoch:
                return when_s
        return None

    def decided(self, epoch, what):
        if self._ended_s(epoch) is not None:
            self.broken(f"{what} by epoch {epoch} after it ended", name="ownership")

    def granted(self, grant):
        self.decided(grant.epoch, "grant")
        self._grants.setdefault((grant.request_id, grant.epoch), _now_s())

    def refunded(self, refund):
        key = (refund.request_id, refund.epoch)
        self._refunds.setdefault(key, (_now_s(), refund.tokens))

    def grant_used(self, request, grant):
        """Note that a front starts a request on a grant."""
        ended_s = self._ended_s(grant.epoch)
        if ended_s is not None:
            text = f"{request.request_id} on epoch {grant.epoch}, {_now_s() - ended_s}"
            self.broken(f"a grant used after its owner ended: {text}", name="grant")
        key = (grant.request_id, grant.epoch)
        self._used[key] = (request.workspace, request.cost_tokens)

    def check_rates(self):
        """Compare every window with burst and rate, by one pass over all events."""
        events = defaultdict(list)
        for key, (workspace, cost) in self._used.items():
            events[workspace].append((self._grants[key], cost))
            if key in self._refunds:
                when_s, tokens = self._refunds[key]
                events[workspace].append((when_s, -min(tokens, cost)))
        for space in self._world.bundle.workspaces:
            total, lowest = 0.0, 0.0
            for when_s, tokens in sorted(events[space.name]):
                before = total - space.rate_tokens_per_s * when_s
                lowest = min(lowest, before)
                total += tokens
                after = total - space.rate_tokens_per_s * when_s
                if after - lowest > space.burst_tokens + 1e-6:
                    over = after - lowest - space.burst_tokens
                    self.broken(f"{space.name} got {over:.3f} too much", name="rate")

    # What backend servers see.

    def crashed(self, prompt):
        mark = prompt[prompt.index(CRASH_MARK) :].split()[1]
        self.crashes[mark] += 1
        if self.crashes[mark] > MOST_CRASHES:
            self.broken(f"request {mark} cost {self.crashes[mark]}", name="crashes")

    def engine_saw(self, engine, request):
        request_id = request.engine_request_id.rpartition(".")[0]
        self.saw[request_id].append(engine.name)
        if "secret" in request.prompt + request.engine_request_id:
            self.broken(f"{engine.name} saw a key", name="key")
        number = int(_CALL.search(request.prompt).group(1))
        self._check_new_work(engine.name, number)

    def service_saw(self, name, call, number, idempotency_key):
        if "secret" in f"{call.headers}{call.path}{call.body}":
            self.broken(f"{name} saw a key", name="key")
        self._check_new_work(name, number)
        if idempotency_key:
            runs = self.service_runs[idempotency_key]
            runs.append(name)
            if len(runs) > 1:
                self.broken(f"{idempotency_key} ran on {runs}", name="once")

    def _check_new_work(self, name, number):
        leaving_s = self.leaving_s.get(name)
        if leaving_s is not None and _now_s() > leaving_s + LEAVING_WITHIN_S:
            self.broken(f"new work to leaving {name}", name="leaving")
        self.check_key(self._world.calls[number].digest, f"call {number} on {name}")

    def check_key(self, digest, what):
        withdrawn_s = self.withdrawn_s.get(digest)
        if withdrawn_s is not None and _now_s() > withdrawn_s + KEY_WITHIN_S:
            self.broken(f"{what} with a withdrawn key", name="withdrawn")

    # Control state.

    def committed(self, delta):
        now_s = _now_s()
        for change in delta.changes:
            if isinstance(change, KeyWithdrawn):
                self.withdrawn_s.setdefault(change.key_digest, now_s)
            if isinstance(change, BundleActivated):
                self._rolled.append((now_s, change.version))

    def version_seen(self, host, version):
        key = (host.name, host.incarnation)
        if version < self.versions.get(key, 0):
            self.broken(f"{key} went back to version {version}", name="version")
        self.versions[key] = version

    def _check_bundles(self):
        now_s = _now_s()
        due = [item for item in self._rolled if now_s > item[0] + BUNDLE_WITHIN_S]
        self._rolled = self._rolled[len(due) :]
        for rolled_s, version in due:
            for host in self._world.live_hosts():
                apart_s = self._world.apart_s.get(host.name, -1.0)
                connected = max(apart_s, host.born_s) < rolled_s
                if connected and host.control.fleet.version < version:
                    text = f"{host.name} has not version {version}"
                    self.broken(text, name="bundle")

    # Memory and fronts.

    def check(self):
        """Check what can be checked at any time."""
        self._check_memory()
        self._check_single_front()
        self._check_bundles()

    def _running(self):
        running = {}
        for host in self._world.live_hosts():
            for call in host.front._model_calls.values():
                if not call.machine.ended:
                    running.setdefault(call.request_id, []).append((host, call))
        return running

    def _check_memory(self):
        """
        Check that engines hold pieces only for requests that exist.

        The time counts while the cell has an owner that can reach the engine.
        """
        now_s, running, held = _now_s(), self._running(), set()
        for engine in self._world.engines.values():
            acting_s = self._world.acting_since_s(engine)
            for name, item in engine.held.items():
                request_id, _, attempt = name.rpartition(".")
                exists = any(
                    str(call.machine.attempt) == attempt
                    for _, call in running.get(request_id, [])
                )
                if exists or not item.pieces:
                    continue
                key = (engine.name, name)
                held.add(key)
                since_s = max(self._gone_since_s.setdefault(key, now_s), acting_s)
                if now_s - since_s > FREED_WITHIN_S + 0.3:
                    self.broken(f"{key} held {now_s - since_s:.2f} s", name="memory")
        for key in set(self._gone_since_s) - held:
            del self._gone_since_s[key]

    def _check_single_front(self):
        now_s, twice = _now_s(), set()
        for request_id, items in self._running().items():
            taken = [host.name for host, call in items if not call.call.key_digest]
            if len(taken) > 1:
                twice.add(request_id)
                since_s = self._twice_since_s.setdefault(request_id, now_s)
                if now_s - since_s > 1.0:
                    self.broken(f"{request_id} continued by {taken}", name="winner")
        for key in set(self._twice_since_s) - twice:
            del self._twice_since_s[key]

    def check_end(self):
        """Check the whole run, after faults have stopped and callers are done."""
        self.check_rates()
        for engine in self._world.engines.values():
            if used := engine.used_pieces():
                self.broken(f"{engine.name} still holds {used} pieces", name="memory")
        if running := self._running():
            self.broken(f"still running: {sorted(running)}", name="end")
        for intent in self._world.control.state.data.ledger.values():
            if intent.state is LedgerState.IN_PROGRESS:
                self.broken(f"{intent.intent_id} is in progress for ever", name="end")
        for call in self._world.calls.values():
            call.check_end(self)
