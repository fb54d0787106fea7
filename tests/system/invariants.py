"""Invariants over all hosts, checked during and after a run."""

import asyncio
import re
from collections import Counter, defaultdict

from damaskridge.core.limits.messages import RefundReceived, SendRateResponse
from damaskridge.core.limits.rate_owner import RateOwner
from damaskridge.core.scheduling.messages import SendSubmitResponse
from damaskridge.core.scheduling.scheduler import CellScheduler
from damaskridge.model.control import BundleActivated, KeyWithdrawn, LedgerState
from damaskridge.model.routing import Placement, RateGrant
from tests.system.fakes import CRASH_MARK

__all__ = ["Invariants", "RecordingCellScheduler", "RecordingRateOwner", "Violation"]

LEASE_S = 3.0
MAX_RELEASE_S = LEASE_S + 3.0
MAX_KEY_WITHDRAWAL_S = 4.0
MAX_BUNDLE_DELAY_S = 4.0
MAX_LEAVING_DELAY_S = 3.0
MAX_CRASHES = 2
_CALL = re.compile(r"call (\d+) ")


class Violation(AssertionError):
    """Raised when an invariant does not hold; `name` identifies the invariant."""

    def __init__(self, name, text):
        super().__init__(f"{name}: {text}")
        self.name = name


def _now_s():
    return asyncio.get_running_loop().true_time()


class RecordingRateOwner(RateOwner):
    """Rate owner that reports every grant and refund to the invariants."""

    def __init__(self, rng, world):
        super().__init__(rng)
        self._world = world

    def handle(self, event, now_s):
        if isinstance(event, RefundReceived):
            refund = event.refund
            workspace = self._workspaces.get(refund.workspace)
            if workspace is not None and workspace.epoch == refund.epoch:
                self._world.invariants.record_refund(refund)
        actions = super().handle(event, now_s)
        for action in actions:
            if isinstance(action, SendRateResponse) and isinstance(
                action.response, RateGrant
            ):
                self._world.invariants.record_grant(action.response)
        return actions


class RecordingCellScheduler(CellScheduler):
    """Cell scheduler that reports the epoch of every placement to the invariants."""

    def __init__(self, rng, world):
        super().__init__(rng)
        self._world = world

    def handle(self, event, now_s):
        actions = super().handle(event, now_s)
        for action in actions:
            if isinstance(action, SendSubmitResponse) and isinstance(
                action.response, Placement
            ):
                self._world.invariants.check_epoch(action.response.epoch, "placement")
        return actions


class Invariants:
    """
    Collects the observations of a run and keeps the first violation.

    The names of the invariants:

    - ownership, grant: no decision, and no use of a grant, after the epoch has ended
    - rate: the tokens granted to a workspace stay within its burst and rate
    - crashes: one request crashes at most `MAX_CRASHES` engines
    - key, workspace: backend servers receive no key, other workspaces no stream
    - leaving, withdrawn: no new request to a leaving server or with a withdrawn key
    - version, bundle: versions never decrease, and reach connected hosts in time
    - memory: engines free the pieces of requests that no longer exist
    - winner: at most one host continues a request after a takeover
    - twice, whole: each token arrives once and in order, and the output is complete
    - not_run: a call that is reported as not run has not reached a server
    - once, duplicate: an idempotency key causes one execution and one result
    - drain: a draining host completes the requests that it accepted in time
    - end: after the run nothing is still running or in progress
    - assertion: no exception and no error of kind `internal` in the product
    """

    def __init__(self, world):
        self._world = world
        self.violation = None
        self.versions = {}
        self.withdrawn_s, self.leaving_s = {}, {}
        self.crashes, self.executions = Counter(), defaultdict(list)
        self.service_runs = defaultdict(list)
        self._grants, self._used, self._refunds = {}, {}, {}
        self._unused_since_s, self._contended_since_s = {}, {}
        self._pending_versions = []

    def report_violation(self, text, error=None, name="assertion"):
        """Keep the first violation; the run then ends by raising it."""
        if self.violation is None:
            self.violation = Violation(name, text)
            self.violation.__cause__ = error
            self._world.trace.record("VIOLATION", name, text)

    # Ownership and rates.

    def _epoch_ended_s(self, epoch):
        for (_, ended), when_s in self._world.control.ended_epochs.items():
            if ended == epoch:
                return when_s
        return None

    def check_epoch(self, epoch, what):
        """Check that a decision is made under an epoch that has not ended."""
        if self._epoch_ended_s(epoch) is not None:
            self.report_violation(
                f"{what} by epoch {epoch} after it ended", name="ownership"
            )

    def record_grant(self, grant):
        self.check_epoch(grant.epoch, "grant")
        self._grants.setdefault((grant.request_id, grant.epoch), _now_s())

    def record_refund(self, refund):
        key = (refund.request_id, refund.epoch)
        self._refunds.setdefault(key, (_now_s(), refund.tokens))

    def record_grant_use(self, request, grant):
        """Record that a front starts a request with a grant."""
        ended_s = self._epoch_ended_s(grant.epoch)
        if ended_s is not None:
            text = f"{request.request_id} on epoch {grant.epoch}, {_now_s() - ended_s}"
            self.report_violation(
                f"grant used after its ownership ended: {text}", name="grant"
            )
        key = (grant.request_id, grant.epoch)
        self._used[key] = (request.workspace, request.cost_tokens)

    def check_rates(self):
        """
        Check that no time window exceeds the burst plus the rate of a workspace.

        One pass suffices: the tokens used minus those refilled may exceed the lowest
        earlier value of this difference by the burst at most.
        """
        events = defaultdict(list)
        for key, (workspace, cost) in self._used.items():
            events[workspace].append((self._grants[key], cost))
            if key in self._refunds:
                when_s, tokens = self._refunds[key]
                events[workspace].append((when_s, -min(tokens, cost)))
        for workspace in self._world.bundle.workspaces:
            total, lowest = 0.0, 0.0
            for when_s, tokens in sorted(events[workspace.name]):
                before = total - workspace.rate_tokens_per_s * when_s
                lowest = min(lowest, before)
                total += tokens
                after = total - workspace.rate_tokens_per_s * when_s
                if after - lowest > workspace.burst_tokens + 1e-6:
                    over = after - lowest - workspace.burst_tokens
                    self.report_violation(
                        f"{workspace.name} exceeds its rate by {over:.3f} tokens",
                        name="rate",
                    )

    # Requests that backend servers receive.

    def record_crash(self, prompt):
        marker = prompt[prompt.index(CRASH_MARK) :].split()[1]
        self.crashes[marker] += 1
        if self.crashes[marker] > MAX_CRASHES:
            self.report_violation(
                f"request {marker} caused {self.crashes[marker]} crashes",
                name="crashes",
            )

    def record_engine_request(self, engine, request):
        request_id = request.engine_request_id.rpartition(".")[0]
        self.executions[request_id].append(engine.name)
        if "secret" in request.prompt + request.engine_request_id:
            self.report_violation(f"{engine.name} received a secret key", name="key")
        number = int(_CALL.search(request.prompt).group(1))
        self._check_execution(engine.name, number)

    def record_service_request(self, name, call, number, idempotency_key):
        if "secret" in f"{call.headers}{call.path}{call.body}":
            self.report_violation(f"{name} received a secret key", name="key")
        self._check_execution(name, number)
        if idempotency_key:
            runs = self.service_runs[idempotency_key]
            runs.append(name)
            if len(runs) > 1:
                self.report_violation(f"{idempotency_key} ran on {runs}", name="once")

    def _check_execution(self, name, number):
        """Check that the backend server isn't leaving and the key isn't withdrawn."""
        leaving_s = self.leaving_s.get(name)
        if leaving_s is not None and _now_s() > leaving_s + MAX_LEAVING_DELAY_S:
            self.report_violation(f"new request to leaving {name}", name="leaving")
        self.check_key(self._world.callers[number].digest, f"call {number} on {name}")

    def check_key(self, digest, what):
        """Check that a key was not withdrawn more than the allowed time ago."""
        withdrawn_s = self.withdrawn_s.get(digest)
        if withdrawn_s is not None and _now_s() > withdrawn_s + MAX_KEY_WITHDRAWAL_S:
            self.report_violation(f"{what} with a withdrawn key", name="withdrawn")

    # Control state.

    def record_commit(self, delta):
        now_s = _now_s()
        for change in delta.changes:
            if isinstance(change, KeyWithdrawn):
                self.withdrawn_s.setdefault(change.key_digest, now_s)
            if isinstance(change, BundleActivated):
                self._pending_versions.append((now_s, change.version))

    def record_version(self, host, version):
        key = (host.name, host.incarnation)
        if version < self.versions.get(key, 0):
            self.report_violation(
                f"{key} returned to version {version}", name="version"
            )
        self.versions[key] = version

    def _check_bundles(self):
        """Check that connected hosts receive a new bundle version in time."""
        now_s = _now_s()
        due = [
            item
            for item in self._pending_versions
            if now_s > item[0] + MAX_BUNDLE_DELAY_S
        ]
        self._pending_versions = self._pending_versions[len(due) :]
        for activated_s, version in due:
            for host in self._world.live_hosts():
                last_cut_s = self._world.last_cut_from_control_s.get(host.name, -1.0)
                connected = max(last_cut_s, host.started_s) < activated_s
                if connected and host.control.fleet.version < version:
                    text = f"{host.name} has not received version {version}"
                    self.report_violation(text, name="bundle")

    # Engine memory and fronts.

    def check(self):
        """Check the invariants that have to hold at any time."""
        self._check_memory()
        self._check_single_front()
        self._check_bundles()

    def _running_calls(self):
        running = {}
        for host in self._world.live_hosts():
            for call in host.front._model_calls.values():
                if not call.machine.ended:
                    running.setdefault(call.request_id, []).append((host, call))
        return running

    def _check_memory(self):
        """
        Check that engines soon free the pieces of requests that no longer exist.

        Only time in which the owner of the cell can reach the engine counts.
        """
        now_s, running, held = _now_s(), self._running_calls(), set()
        for engine in self._world.engines.values():
            accessible_since_s = self._world.owner_access_since_s(engine)
            for name, item in engine.requests.items():
                request_id, _, attempt = name.rpartition(".")
                exists = any(
                    str(call.machine.attempt) == attempt
                    for _, call in running.get(request_id, [])
                )
                if exists or not item.pieces:
                    continue
                key = (engine.name, name)
                held.add(key)
                since_s = max(
                    self._unused_since_s.setdefault(key, now_s), accessible_since_s
                )
                if now_s - since_s > MAX_RELEASE_S + 0.3:
                    self.report_violation(
                        f"{key} held {now_s - since_s:.2f} s", name="memory"
                    )
        for key in set(self._unused_since_s) - held:
            del self._unused_since_s[key]

    def _check_single_front(self):
        """Check that two hosts that took over one request don't both keep it."""
        now_s, contended = _now_s(), set()
        for request_id, items in self._running_calls().items():
            takeover_hosts = [
                host.name for host, call in items if not call.call.key_digest
            ]
            if len(takeover_hosts) > 1:
                contended.add(request_id)
                since_s = self._contended_since_s.setdefault(request_id, now_s)
                if now_s - since_s > 1.0:
                    self.report_violation(
                        f"{request_id} continued by {takeover_hosts}", name="winner"
                    )
        for key in set(self._contended_since_s) - contended:
            del self._contended_since_s[key]

    def check_end(self):
        """Check the final state, after the faults and the callers have ended."""
        self.check_rates()
        for engine in self._world.engines.values():
            if used := engine.used_pieces():
                self.report_violation(
                    f"{engine.name} still holds {used} pieces", name="memory"
                )
        if running := self._running_calls():
            self.report_violation(f"still running: {sorted(running)}", name="end")
        for intent in self._world.control.state.data.ledger.values():
            if intent.state is LedgerState.IN_PROGRESS:
                self.report_violation(
                    f"{intent.intent_id} is still in progress", name="end"
                )
        for caller in self._world.callers.values():
            caller.check_end(self)
