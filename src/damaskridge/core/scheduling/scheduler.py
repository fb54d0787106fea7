"""The cell scheduler: combines queueing, admission, placement and recovery."""

import random

from damaskridge.core.dispatch import DispatchMethod
from damaskridge.core.scheduling.dispatch import NO_SERVER_TIMEOUT_S, Dispatcher
from damaskridge.core.scheduling.messages import (
    CacheReported,
    CancelOnEngine,
    CellAction,
    CellChanged,
    CellEvent,
    CellGained,
    EngineRequestsListed,
    FrontLost,
    FrontRegistered,
    LoadReported,
    ProgressReported,
    ReportSuspectCleared,
    RequestRegistered,
    RequestSubmitted,
    RequestWithdrawn,
    SchedulerTimerFired,
    SendOrder,
    SendSubmitResponse,
    ServerFailed,
    ServerLeaveCancelled,
    ServerLeaving,
    ServerRecovered,
    TakeOverRequested,
)
from damaskridge.core.scheduling.overload import OverloadControl
from damaskridge.core.scheduling.recovery import (
    Recovery,
    refuse_quarantined,
    refuse_take_over,
)
from damaskridge.core.scheduling.registry import RequestEntry, RequestRegistry
from damaskridge.core.scheduling.retry_budget import RetryBudget
from damaskridge.core.scheduling.roles import RoleAdvisor
from damaskridge.core.scheduling.servers import ServerState
from damaskridge.core.scheduling.settings import SchedulerSettings
from damaskridge.core.scheduling.suspects import SuspectTable
from damaskridge.core.scheduling.urgency import Estimator, UrgencyEstimator
from damaskridge.model.bundle import BackendServer, BackendServerRole, Workspace
from damaskridge.model.engine import OrderKind
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import (
    Progress,
    Refused,
    RequestPhase,
    RequestProfile,
)

__all__ = ["REBUILD_TIMEOUT_S", "CellScheduler"]

REBUILD_TIMEOUT_S = 3.0
_CHECK_INTERVAL_S = 0.25
_ENGINE_ROLES = {
    role.value: role
    for role in BackendServerRole
    if role is not BackendServerRole.SERVICE
}


class CellScheduler:
    """
    Schedules the requests of a cell, without I/O.

    An instance serves one cell in one epoch of its ownership.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter on retry times.
    settings : SchedulerSettings
        Assumptions and feature switches.
    estimator : Estimator or None
        Replaces the estimator of urgency, for benchmarks.
    """

    def __init__(
        self,
        rng: random.Random,
        settings: SchedulerSettings | None = None,
        estimator: Estimator | None = None,
    ) -> None:
        self._settings = settings or SchedulerSettings()
        self._estimator = estimator or UrgencyEstimator()
        self._overload = OverloadControl(rng)
        self._registry = RequestRegistry()
        self._retry_budget = RetryBudget()
        self._suspects = SuspectTable()
        self._role_advisor = RoleAdvisor()
        self._dispatcher = Dispatcher(self._settings)
        self._placer = self._dispatcher.placer
        self._recovery = Recovery(
            self._registry, self._placer, self._suspects, self._end_request
        )
        self._epoch: int | None = None
        self._unregistered_fronts: set[str] = set()
        self._unlisted_engines: set[str] = set()
        self._rebuild_deadline_s = 0.0
        self._next_check_s = 0.0

    def handle(self, event: CellEvent, now_s: float) -> list[CellAction]:
        """Apply an event and return the actions to perform."""
        actions = self._apply(event, now_s)
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + _CHECK_INTERVAL_S
            actions += self._recovery.check_fronts(now_s)
            actions += self._propose_role_change(now_s)
            actions += self._refuse_unservable(now_s)
        if self.is_rebuilt(now_s):
            actions += self._dispatcher.dispatch(self._registry, now_s)
        return actions

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Return the time at which `SchedulerTimerFired` is due, or `None`."""
        if self._epoch is None:
            return None
        if not self.is_rebuilt(now_s):
            return min(self._rebuild_deadline_s, self._next_check_s)
        if self._dispatcher.has_queued_requests:
            return min(self._next_check_s, now_s + self._dispatcher.retry_interval_s)
        return self._next_check_s if self._registry.entries else None

    @DispatchMethod
    def _apply(self, event: CellEvent, now_s: float) -> list[CellAction]:
        raise TypeError(f"unknown event: {event!r}")

    @_apply.register
    def _(self, event: CellGained, now_s: float) -> list[CellAction]:
        assert self._epoch is None or event.epoch > self._epoch, "epochs only increase"
        self._epoch = event.epoch
        self._unregistered_fronts = set(event.fronts)
        self._rebuild_deadline_s = now_s + REBUILD_TIMEOUT_S
        self._update_servers(event.backend_servers, event.workspaces)
        self._unlisted_engines = {
            server.name
            for server in event.backend_servers
            if server.role is not BackendServerRole.SERVICE
        }
        return []

    @_apply.register
    def _(self, event: CellChanged, now_s: float) -> list[CellAction]:
        self._update_servers(event.backend_servers, event.workspaces)
        return []

    @_apply.register
    def _(self, event: RequestSubmitted, now_s: float) -> list[CellAction]:
        profile = event.profile
        if profile.epoch != self._epoch:
            return [_refuse(profile, ErrorKind.EPOCH_CONFLICT)]
        self._registry.record_front_alive(profile.front, profile.incarnation, now_s)
        actions: list[CellAction] = []
        if self._registry.has_ended(f"{profile.request_id}.{profile.attempt}"):
            return [_refuse(profile, ErrorKind.CANCELLED)]
        existing = self._registry.entries.get(profile.request_id)
        if existing is not None and existing.profile.attempt >= profile.attempt:
            return self._resend_placement(existing, profile)
        server = self._placer.servers.get(profile.crashed_server)
        if server is not None:
            was_suspect = existing is not None and existing.suspect
            actions += self._recovery.record_crash_seen_by_front(
                profile.fingerprint, server, now_s, was_suspect=was_suspect
            )
            existing = self._registry.entries.get(profile.request_id)
        if existing is not None:
            self._record_lost_transfer(existing)
            actions += self._end_request(existing, now_s, cancel=True)
        if self._suspects.has_reached_crash_limit(profile.fingerprint, now_s):
            return [*actions, refuse_quarantined(profile)]
        refusal = self._refusal_for(profile)
        if refusal is not None:
            return [*actions, refusal]
        return actions + self._enqueue(profile, now_s)

    @_apply.register
    def _(self, event: RequestRegistered, now_s: float) -> list[CellAction]:
        active = event.active
        profile = active.profile
        self._registry.record_front_alive(profile.front, profile.incarnation, now_s)
        if profile.request_id in self._registry.entries:
            return []
        entry = self._new_entry(profile, now_s)
        entry.placement, entry.phase = active.placement, active.phase
        entry.output_tokens = active.output_tokens
        self._registry.add(entry)
        self._placer.reserve_running(entry, active.placement)
        return []

    @_apply.register
    def _(self, event: FrontRegistered, now_s: float) -> list[CellAction]:
        self._registry.record_front_alive(event.front, event.incarnation, now_s)
        self._unregistered_fronts.discard(event.front)
        return []

    @_apply.register
    def _(self, event: RequestWithdrawn, now_s: float) -> list[CellAction]:
        entry = self._registry.entries.get(event.request_id)
        if entry is None:
            return []
        if entry.placement is None:
            waited_s = now_s - entry.queued_at_s + entry.profile.waited_s
            self._estimator.record_abandoned(entry.profile, waited_s)
        return self._end_request(entry, now_s, cancel=True)

    @_apply.register
    def _(self, event: ProgressReported, now_s: float) -> list[CellAction]:
        batch = event.batch
        if batch.epoch != self._epoch:
            return []
        self._registry.record_front_alive(batch.front, batch.incarnation, now_s)
        actions: list[CellAction] = []
        for item in batch.items:
            entry = self._registry.entries.get(item.request_id)
            server = self._placer.servers.get(item.failed_server)
            if item.crashed and server is not None:
                # The entry may be gone: a withdrawal can overtake the progress report.
                actions += self._recovery.record_crash_seen_by_front(
                    item.fingerprint,
                    server,
                    now_s - item.age_s,
                    was_suspect=item.suspect,
                )
                entry = self._registry.entries.get(item.request_id)
            if entry is None or entry.profile.attempt != item.attempt:
                continue
            if entry.front == batch.front and entry.incarnation == batch.incarnation:
                actions += self._apply_progress(entry, item, now_s)
        return actions

    @_apply.register
    def _(self, event: LoadReported, now_s: float) -> list[CellAction]:
        server = self._placer.servers.get(event.backend_server)
        if server is None:
            return []
        report = event.report
        if report.incarnation != server.incarnation:
            server.incarnation = report.incarnation
            self._placer.hints.reset_server(event.backend_server)
        if report.role in _ENGINE_ROLES:
            server.role = _ENGINE_ROLES[report.role]
        server.apply_report(report, self._settings.correct_reports, now_s)
        self._placer.update(server)
        return []

    @_apply.register
    def _(self, event: CacheReported, now_s: float) -> list[CellAction]:
        if event.backend_server in self._placer.servers:
            self._placer.hints.apply(event.backend_server, event.page)
        return []

    @_apply.register
    def _(self, event: EngineRequestsListed, now_s: float) -> list[CellAction]:
        name = event.backend_server
        self._unlisted_engines.discard(name)
        listed = {item.engine_request_id for item in event.requests}
        self._registry.discard_unlisted(name, listed)
        return [
            CancelOnEngine(name, engine_request_id)
            for engine_request_id in sorted(listed)
            if self._registry.is_leaked(
                name, engine_request_id, event.requested_s, now_s
            )
        ]

    @_apply.register
    def _(self, event: ServerFailed, now_s: float) -> list[CellAction]:
        server = self._placer.servers.get(event.backend_server)
        self._unlisted_engines.discard(event.backend_server)
        if server is None or event.incarnation < server.incarnation:
            return []
        was_failed, server.failed = server.failed, True
        self._placer.hints.reset_server(event.backend_server)
        self._placer.update(server)
        if not event.crashed or was_failed:
            return []
        return self._recovery.record_crash(server, event.incarnation, now_s)

    @_apply.register
    def _(self, event: ServerRecovered, now_s: float) -> list[CellAction]:
        server = self._placer.servers.get(event.backend_server)
        if server is not None:
            # A server that responds again may still be leaving.
            server.failed = False
            server.busy_until_s = server.urgent_busy_until_s = now_s
            self._placer.update(server)
        return []

    @_apply.register
    def _(self, event: ServerLeaving, now_s: float) -> list[CellAction]:
        server = self._placer.servers.get(event.backend_server)
        self._unlisted_engines.discard(event.backend_server)
        if server is not None:
            server.leaving = True
            self._placer.update(server)
        return []

    @_apply.register
    def _(self, event: ServerLeaveCancelled, now_s: float) -> list[CellAction]:
        server = self._placer.servers.get(event.backend_server)
        if server is not None:
            server.leaving = False
            self._placer.update(server)
        return []

    @_apply.register
    def _(self, event: FrontLost, now_s: float) -> list[CellAction]:
        self._unregistered_fronts.discard(event.front)
        return self._recovery.handle_front_loss(event.front, event.incarnation, now_s)

    @_apply.register
    def _(self, event: TakeOverRequested, now_s: float) -> list[CellAction]:
        request = event.take_over
        if request.epoch != self._epoch:
            return [refuse_take_over(request, ErrorKind.EPOCH_CONFLICT)]
        return self._recovery.take_over(request, now_s)

    @_apply.register
    def _(self, event: SchedulerTimerFired, now_s: float) -> list[CellAction]:
        return []

    def is_rebuilt(self, now_s: float) -> bool:
        """Return whether all fronts and engines have reported, or the time is over."""
        if self._epoch is None:
            return False
        is_complete = not self._unregistered_fronts and not self._unlisted_engines
        return is_complete or now_s >= self._rebuild_deadline_s

    def _update_servers(
        self, servers: tuple[BackendServer, ...], workspaces: tuple[Workspace, ...]
    ) -> None:
        self._dispatcher.queue.set_weights(
            {workspace.name: workspace.share_weight for workspace in workspaces}
        )
        names = {server.name for server in servers}
        for spec in servers:
            state = self._placer.servers.get(spec.name)
            if state is None:
                state = ServerState(spec, spec.role)
                self._placer.servers[spec.name] = state
            elif state.spec.role is not spec.role:
                state.role = spec.role
            state.removed = False
            state.spec = spec
            self._placer.update(state)
        for name in [name for name in self._placer.servers if name not in names]:
            server = self._placer.servers[name]
            server.removed = True
            self._placer.update(server)
            self._unlisted_engines.discard(name)
        self._dispatcher.update_capacity()

    def _refusal_for(self, profile: RequestProfile) -> SendSubmitResponse | None:
        """Refuse a request that no server can ever run, or a retry over the budget."""
        if not any(
            server.spec.serves == profile.model
            for server in self._placer.servers.values()
        ):
            return _refuse(profile, ErrorKind.NO_BACKEND_SERVER)
        if not self._dispatcher.can_ever_fit(profile):
            return _refuse(profile, ErrorKind.INVALID_REQUEST)
        if profile.attempt == 1:
            self._retry_budget.record_first_attempt(profile.workspace)
        elif self._settings.budget_retries and not self._retry_budget.try_spend(
            profile.workspace, profile.attempt
        ):
            return _refuse(
                profile, ErrorKind.OVERLOADED, self._overload.with_jitter_s(1.0)
            )
        return None

    def _enqueue(self, profile: RequestProfile, now_s: float) -> list[CellAction]:
        entry = self._new_entry(profile, now_s)
        if self._settings.control_overload and profile.attempt == 1:
            level = entry.estimate.level
            wait_s = self._dispatcher.queue.expected_wait_s(profile.workspace, level)
            retry_after_s = self._overload.retry_after_s(level, wait_s)
            if retry_after_s is not None:
                return [_refuse(profile, ErrorKind.OVERLOADED, retry_after_s)]
        self._registry.add(entry)
        self._dispatcher.enqueue(entry, now_s)
        return []

    def _new_entry(self, profile: RequestProfile, now_s: float) -> RequestEntry:
        estimate = self._estimator.estimate(profile, 0)
        entry = RequestEntry(
            profile, profile.front, profile.incarnation, estimate, now_s
        )
        cached_tokens = self._placer.cached_tokens(entry)
        if cached_tokens:
            entry.estimate = self._estimator.estimate(profile, cached_tokens)
        entry.suspect = profile.suspect or self._suspects.is_suspect(
            profile.fingerprint, now_s
        )
        return entry

    def _resend_placement(
        self, existing: RequestEntry, profile: RequestProfile
    ) -> list[CellAction]:
        if existing.placement is None or existing.profile.attempt != profile.attempt:
            return []
        response = SendSubmitResponse(
            existing.front, profile.request_id, existing.placement
        )
        return [response] if existing.front == profile.front else []

    def _apply_progress(
        self, entry: RequestEntry, item: Progress, now_s: float
    ) -> list[CellAction]:
        if item.phase is RequestPhase.FINISHED:
            return self._finish(entry, item, now_s)
        if item.phase is RequestPhase.CANCELLED:
            return self._end_request(entry, now_s, cancel=True)
        if entry.placement is not None and item.phase is not RequestPhase.QUEUED:
            entry.phase = item.phase
            entry.output_tokens = max(entry.output_tokens, item.output_tokens)
            self._placer.extend(entry)
        return []

    def _record_lost_transfer(self, entry: RequestEntry) -> None:
        """
        Count a KV transfer as lost if a retry follows although no server failed.

        The prefill engine has probably evicted its result before the transfer.
        """
        placement = entry.placement
        if placement is None or entry.phase is RequestPhase.DECODING:
            return
        names = (placement.prefill_server, placement.decode_server)
        servers = [self._placer.servers.get(name) for name in names]
        if all(server is not None and not server.failed for server in servers):
            self._placer.record_transfer(arrived=False)

    def _finish(
        self, entry: RequestEntry, item: Progress, now_s: float
    ) -> list[CellAction]:
        waited_s = max(0.0, entry.placed_at_s - entry.queued_at_s)
        self._estimator.record_finished(entry.profile, item.output_tokens, waited_s)
        self._placer.record_transfer(arrived=True)
        actions: list[CellAction] = []
        if entry.suspect:
            self._suspects.clear(entry.profile.fingerprint)
            actions.append(ReportSuspectCleared(entry.profile.fingerprint))
        return actions + self._end_request(entry, now_s, cancel=False)

    def _end_request(
        self, entry: RequestEntry, now_s: float, cancel: bool
    ) -> list[CellAction]:
        """Remove a request, free its reservations, and cancel it on its engines."""
        self._dispatcher.queue.remove(entry.profile.request_id)
        self._registry.remove(entry.profile.request_id, now_s)
        self._placer.release(entry, now_s)
        if not cancel or entry.placement is None:
            return []
        placement = entry.placement
        names = dict.fromkeys((placement.prefill_server, placement.decode_server))
        return [CancelOnEngine(name, entry.engine_request_id) for name in names if name]

    def _refuse_unservable(self, now_s: float) -> list[CellAction]:
        """Refuse queued requests whose model has had no server for the timeout."""
        if not self.is_rebuilt(now_s):
            return []
        actions: list[CellAction] = []
        for request_id in self._dispatcher.find_unservable(self._registry, now_s):
            entry = self._registry.entries[request_id]
            retry_after_s = self._overload.with_jitter_s(NO_SERVER_TIMEOUT_S)
            kind = ErrorKind.NO_BACKEND_SERVER
            actions.append(_refuse(entry.profile, kind, retry_after_s))
            actions += self._end_request(entry, now_s, cancel=False)
        return actions

    def _propose_role_change(self, now_s: float) -> list[CellAction]:
        if not self._settings.propose_roles:
            return []
        proposal = self._role_advisor.propose(
            list(self._placer.servers.values()), now_s
        )
        if proposal is None:
            return []
        server, role = proposal
        return [SendOrder(server.spec.name, OrderKind.CHANGE_ROLE, role.value)]


def _refuse(
    profile: RequestProfile, kind: ErrorKind, retry_after_s: float | None = None
) -> SendSubmitResponse:
    failure = Failure(kind, retry_after_s=retry_after_s)
    refused = Refused(request_id=profile.request_id, failure=failure)
    return SendSubmitResponse(profile.front, profile.request_id, refused)
