"""Fakes of the control group and of the pure machines, for the owner runtime."""

import anyio

from damaskridge.core.leases import HolderLease
from damaskridge.core.limits.messages import (
    RateRequested,
    ReleaseBucket,
    ReleaseRequested,
    SendRateReply,
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
    """Grants or places at once unless told to hold, and records every event."""

    def __init__(self, hold=False):
        self.events = []
        self.hold = hold

    def is_rebuilt(self, now_s):
        return True

    def next_wakeup_s(self, now_s):
        return None

    def handle(self, event, now_s):
        self.events.append(event)
        if isinstance(event, ReleaseRequested):
            return [ReleaseBucket(event.workspace, 1, 3.5)]
        if self.hold:
            return []
        if isinstance(event, RateRequested):
            item = event.request
            grant = RateGrant(request_id=item.request_id, epoch=1, valid_for_s=1.0)
            return [SendRateReply(item.front, item.request_id, grant)]
        if isinstance(event, RequestSubmitted):
            item = event.profile
            place = Placement(request_id=item.request_id, attempt=1, epoch=1)
            return [SendSubmitResponse(item.front, item.request_id, place)]
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
