"""Fakes of the control group and of the state machines of owner runtimes."""

import anyio

from damaskridge.core.leases import HolderLease
from damaskridge.core.limits.messages import (
    RateRequested,
    ReleaseBucket,
    ReleaseRequested,
    SendRateResponse,
)
from damaskridge.core.scheduling.messages import RequestSubmitted, SendSubmitResponse
from damaskridge.core.state.view import FleetView
from damaskridge.model.bundle import (
    BackendServer,
    BackendServerRole,
    Bundle,
    Workspace,
)
from damaskridge.model.control import CommandResult, Owner, ReleaseOwnership, Session
from damaskridge.model.routing import (
    Placement,
    RateGrant,
    RateRequest,
    RequestProfile,
)

ENGINE = BackendServer(
    "e1", "chat", BackendServerRole.MIXED, "m", "a", "127.0.0.1:1", 4, 100
)


class FakeControl:
    """Records proposed commands; a released resource passes to host h2 at once."""

    def __init__(self, host="h1", peer_address="127.0.0.1:1"):
        self.fleet = FleetView()
        self.lease = HolderLease()
        self.session = Session(host, 1, 7, "a", "", peer_address)
        self.fleet.sessions[host] = self.session
        self.fleet.bundle = Bundle(
            workspaces=(Workspace("w", 10.0, 10.0),), backend_servers=(ENGINE,)
        )
        self.proposed = []

    def own(self, resource, epoch=1, level_tokens=5.0, moving_to="", host="h1"):
        self.fleet.owners[resource] = Owner(
            resource, host, 1, epoch, level_tokens, moving_to
        )

    def renew(self, duration_s=3.0):
        self.lease.renew(anyio.current_time(), duration_s)

    async def propose(self, command):
        self.proposed.append(command)
        if isinstance(command, ReleaseOwnership):
            self.own(command.resource, command.epoch + 1, host="h2")
        return CommandResult(index=1, value="42")


class FakeMachine:
    """
    A rate limiter and scheduler that records every event.

    It grants a rate or places a request at once, or only records if
    `withholds_responses`.
    """

    def __init__(self, withholds_responses=False):
        self.events = []
        self.withholds_responses = withholds_responses

    def is_rebuilt(self, now_s):
        return True

    def next_wakeup_s(self, now_s):
        return None

    def handle(self, event, now_s):
        self.events.append(event)
        if isinstance(event, ReleaseRequested):
            return [ReleaseBucket(event.workspace, 1, 3.5)]
        if self.withholds_responses:
            return []
        if isinstance(event, RateRequested):
            request = event.request
            grant = RateGrant(request_id=request.request_id, epoch=1, valid_for_s=1.0)
            return [SendRateResponse(request.front, request.request_id, grant)]
        if isinstance(event, RequestSubmitted):
            request = event.profile
            placement = Placement(request_id=request.request_id, attempt=1, epoch=1)
            return [SendSubmitResponse(request.front, request.request_id, placement)]
        return []

    def seen(self, kind):
        return [event for event in self.events if isinstance(event, kind)]


def rate_request(epoch=1, request_id="r1"):
    return RateRequest(
        resource="workspace/w",
        epoch=epoch,
        workspace="w",
        request_id=request_id,
        front="h1",
        cost_tokens=3,
    )


def profile(epoch=1, request_id="r1", incarnation=7, front="h1"):
    return RequestProfile(
        resource="cell/chat",
        epoch=epoch,
        request_id=request_id,
        attempt=1,
        workspace="w",
        front=front,
        incarnation=incarnation,
        route="/v1",
        model="m",
        prompt_tokens=1,
        max_output_tokens=1,
    )
