"""Runs the rate limiting of the workspaces that this host owns."""

import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup
from result import Ok, Result

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ownership import (
    find_owned_resources,
    lease_is_valid,
    propose_release,
)
from damaskridge.adapters.pending import PendingResponses
from damaskridge.adapters.ports import ControlPort
from damaskridge.adapters.rpc.peer_messages import ActiveKey
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
from damaskridge.core.state.fleet_queries import find_workspace, workspace_resource
from damaskridge.model.bundle import Workspace
from damaskridge.model.control import Owner
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.events import EventNumber
from damaskridge.model.routing import RateRequest, RateResponse, Refund, Refused

__all__ = ["RateOwnerPort", "RateRuntime"]

logger = logging.getLogger(__name__)

RESOURCE_PREFIX = "workspace/"
# Bounds the time until an idle host notices that its lease has expired.
CHECK_PERIOD_S = 0.25

FetchActiveKeys = Callable[
    [str, str], Awaitable[Result[tuple[ActiveKey, ...], Failure]]
]


class RateOwnerPort(Protocol):
    """Interface of the rate owner, a state machine that does no I/O."""

    def handle(self, event: RateEvent, now_s: float) -> list[RateAction]:
        """Process an event and return the actions to execute."""
        ...

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Return when `RateTimerFired` is due next, None if it isn't needed."""
        ...


class _Ownership:
    """Ownership of one workspace by this host."""

    def __init__(self, owner: Owner, workspace: Workspace) -> None:
        self.owner = owner
        self.workspace = workspace
        self.releasing = False
        self.released = anyio.Event()


class RateRuntime:
    """
    Implements `RatePort` for the workspaces that this host owns.

    Parameters
    ----------
    host : str
        Name of this host.
    control : ControlPort
        Source of the fleet view and of this host's lease.
    rate_owner : RateOwnerPort
        State machine that decides; one for all workspaces.
    fetch_active_keys : FetchActiveKeys
        Returns the active idempotency keys of the front on a host for a workspace.
    """

    def __init__(
        self,
        *,
        host: str,
        control: ControlPort,
        rate_owner: RateOwnerPort,
        fetch_active_keys: FetchActiveKeys,
    ) -> None:
        self._host = host
        self._control = control
        self._rate_owner = rate_owner
        self._fetch_active_keys = fetch_active_keys
        self._owned: dict[str, _Ownership] = {}
        # The last epoch that this process acquired, by workspace. If it acquires the
        # same epoch again, the bucket starts empty: the level that came with the
        # epoch was used the first time.
        self._acquired_epochs: dict[str, int] = {}
        # Epochs that were released without being started here, by workspace.
        self._unstarted_releases: dict[str, int] = {}
        self._pending: PendingResponses[RateResponse] = PendingResponses(
            lambda request_id: self._refusal(request_id, ErrorKind.OWNER_UNAVAILABLE)
        )
        self._wake = anyio.Event()
        self._group: TaskGroup | None = None

    @property
    def owned_epochs(self) -> dict[str, int]:
        """Epoch of every owned workspace, by its name."""
        return {name: ownership.owner.epoch for name, ownership in self._owned.items()}

    async def run(self) -> None:
        """Update ownership and process timers until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self.sync_ownership()
                if self._owned:
                    self._handle(RateTimerFired(self._lease_remaining_s()))
                wake = self._wake = anyio.Event()
                with anyio.move_on_after(self._sleep_duration_s()):
                    await wake.wait()

    def sync_ownership(self) -> None:
        """Start and stop ownership according to the fleet view and the lease."""
        if self._group is None:
            return
        owners = find_owned_resources(self._control, self._host, RESOURCE_PREFIX)
        for name, ownership in list(self._owned.items()):
            current = owners.get(workspace_resource(name))
            if current is None or current.epoch != ownership.owner.epoch:
                self._stop(name)
            elif current.moving_to and not ownership.releasing:
                self._release(ownership)
        for resource, owner in owners.items():
            self._sync_workspace(resource.removeprefix(RESOURCE_PREFIX), owner)

    async def reserve(self, request: RateRequest) -> RateResponse:
        """Request tokens and return the decision, after the wait if there is one."""
        if request.workspace not in self._owned:
            self.sync_ownership()
        ownership = self._owned.get(request.workspace)
        if ownership is None or ownership.released.is_set():
            return self._refusal(request.request_id, ErrorKind.OWNER_UNAVAILABLE)
        if ownership.owner.epoch != request.epoch:
            return self._refusal(request.request_id, ErrorKind.EPOCH_CONFLICT)
        future = self._pending.open(request.resource, request.front, request.request_id)
        try:
            self._handle(RateRequested(request, self._lease_remaining_s()))
            self._wake.set()
            return await future
        finally:
            self._pending.close(request.front, request.request_id, future)

    async def refund(self, refund: Refund) -> None:
        """Return unused tokens to the bucket."""
        ownership = self._owned.get(refund.workspace)
        if ownership is not None and ownership.owner.epoch == refund.epoch:
            self._handle(RefundReceived(refund))
            self._wake.set()

    async def notify_request_ended(
        self, resource: str, workspace: str, request_id: str
    ) -> None:
        """Record that a request with an idempotency key has finished."""
        if workspace in self._owned:
            self._handle(RequestEnded(workspace, request_id))

    async def release_all(self) -> None:
        """Release every workspace and return once all are released or lost."""
        ownerships = list(self._owned.values())
        for ownership in ownerships:
            if not ownership.releasing:
                self._release(ownership)
        for ownership in ownerships:
            await ownership.released.wait()

    def _sync_workspace(self, name: str, owner: Owner) -> None:
        workspace = find_workspace(self._control.fleet, name)
        ownership = self._owned.get(name)
        if workspace is None:
            return
        if ownership is None:
            if not owner.moving_to:
                self._start(workspace, owner)
            elif self._unstarted_releases.get(name) != owner.epoch:
                self._release_unstarted(name, owner)
        elif ownership.workspace != workspace:
            ownership.workspace = workspace
            self._handle(WorkspaceChanged(workspace))

    def _release_unstarted(self, name: str, owner: Owner) -> None:
        """
        Release a workspace that was ordered to move before it started here.

        Only this host, as the registered owner, can release it.
        """
        self._unstarted_releases[name] = owner.epoch
        regained = self._acquired_epochs.get(name) == owner.epoch
        self._acquired_epochs[name] = owner.epoch
        level_tokens = 0.0 if regained else owner.level_tokens
        self._spawn(propose_release, self._control, owner, level_tokens)

    def _start(self, workspace: Workspace, owner: Owner) -> None:
        regained = self._acquired_epochs.get(workspace.name) == owner.epoch
        self._acquired_epochs[workspace.name] = owner.epoch
        ownership = self._owned[workspace.name] = _Ownership(owner, workspace)
        fronts = tuple(sorted(self._control.fleet.sessions))
        level_tokens = 0.0 if regained else owner.level_tokens
        _log_owner(EventNumber.OWNERSHIP_GAINED, owner)
        gained = OwnershipGained(
            workspace,
            owner.epoch,
            level_tokens,
            fronts,
            is_level_unknown=level_tokens <= 0,
        )
        self._handle(gained)
        for front in fronts:
            self._spawn(self._collect_keys, ownership, front)

    def _stop(self, name: str) -> None:
        ownership = self._owned.pop(name)
        ownership.released.set()
        _log_owner(EventNumber.OWNERSHIP_LOST, ownership.owner)
        # The actions are dropped: without ownership, nothing may be granted.
        self._rate_owner.handle(OwnershipEnded(name), anyio.current_time())
        self._pending.refuse_all(ownership.owner.resource)

    def _release(self, ownership: _Ownership) -> None:
        ownership.releasing = True
        self._handle(ReleaseRequested(ownership.workspace.name))

    def _handle(self, event: RateEvent) -> None:
        # The process may have been frozen since the last check, past its lease.
        if not lease_is_valid(self._control):
            self._stop_all()
            return
        self._stop_previous_sessions()
        self._execute(self._rate_owner.handle(event, anyio.current_time()))

    def _stop_previous_sessions(self) -> None:
        # The lease of a new session does not cover what an earlier one owned.
        for name, ownership in list(self._owned.items()):
            if not lease_is_valid(self._control, ownership.owner.session):
                self._stop(name)

    def _stop_all(self) -> None:
        for name in list(self._owned):
            self._stop(name)

    def _execute(self, actions: list[RateAction]) -> None:
        for action in actions:
            if isinstance(action, SendRateResponse):
                self._pending.resolve(action.front, action.request_id, action.response)
            else:
                self._spawn(self._propose_release, action)

    async def _propose_release(self, action: ReleaseBucket) -> None:
        ownership = self._owned.get(action.workspace)
        if ownership is None or ownership.owner.epoch != action.epoch:
            return
        if await propose_release(self._control, ownership.owner, action.level_tokens):
            _log_owner(EventNumber.OWNERSHIP_RELEASED, ownership.owner)
        ownership.released.set()

    async def _collect_keys(self, ownership: _Ownership, front: str) -> None:
        """Fetch a front's active keys until it responds or its session ends."""
        name = ownership.workspace.name
        while front in self._control.fleet.sessions:
            response = await self._fetch_active_keys(front, name)
            if self._owned.get(name) is not ownership:
                return
            if isinstance(response, Ok):
                for key in response.ok_value:
                    self._handle(_active_event(name, front, key))
                break
            await anyio.sleep(CHECK_PERIOD_S)
        # Marks the front as done. If its session ended, its requests are known to the
        # ledger only.
        if self._owned.get(name) is ownership:
            self._handle(RequestActive(name, front, "", "", ""))
            self._wake.set()

    def _spawn(
        self, function: Callable[..., Coroutine[Any, Any, object]], *args: Any
    ) -> None:
        assert self._group is not None, "run() must have started"
        self._group.start_soon(function, *args)

    def _lease_remaining_s(self) -> float:
        return self._control.lease.remaining_s(anyio.current_time())

    def _sleep_duration_s(self) -> float:
        now_s = anyio.current_time()
        wakeup_s = self._rate_owner.next_wakeup_s(now_s) if self._owned else None
        if wakeup_s is None:
            return CHECK_PERIOD_S
        return min(CHECK_PERIOD_S, max(0.001, wakeup_s - now_s))

    def _refusal(self, request_id: str, kind: ErrorKind) -> Refused:
        failure = Failure(kind, f"{self._host} does not count this rate now")
        return Refused(request_id=request_id, failure=failure)


def _active_event(workspace: str, front: str, key: ActiveKey) -> RequestActive:
    return RequestActive(
        workspace,
        front,
        key.request_id,
        key.idempotency_key,
        key.body_digest,
        key.finished,
    )


def _log_owner(number: EventNumber, owner: Owner) -> None:
    log_event(
        logger,
        number,
        resource=owner.resource,
        epoch=owner.epoch,
        session=owner.session,
        host=owner.host,
    )
