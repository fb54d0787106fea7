"""Clients of a front for owners and other fronts, on this host or by RPC."""

import logging
from collections.abc import AsyncIterator
from typing import Any

from result import Err, Ok, Result

from damaskridge.adapters.ports import CellPort, ControlPort, RatePort, StreamFailed
from damaskridge.adapters.rpc.peer_channels import PeerChannels
from damaskridge.adapters.rpc.peer_messages import (
    ActiveKey,
    ActiveKeys,
    ActiveRequests,
    KeyEnded,
    ListActiveKeys,
    ListActiveRequests,
    RegisterFront,
    RequestTakenOver,
    ResumeStream,
)
from damaskridge.adapters.rpc.peer_server import FrontPort, active_keys_of
from damaskridge.core.state.fleet_queries import owner_of
from damaskridge.model.control import Owner
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.routing import (
    ActiveRequest,
    ProgressBatch,
    RateRequest,
    RateResponse,
    Refund,
    Refused,
    RequestProfile,
    SubmitResponse,
    TakeOver,
    TakeOverResponse,
    Withdraw,
)

__all__ = ["CellClient", "FrontClient", "RateClient"]

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0
# A delay-tolerant request may queue for minutes; pings detect a lost owner earlier.
SUBMIT_TIMEOUT_S = 600.0


class _OwnerClient:
    """Finds the owner of a resource and calls its host."""

    def __init__(self, host: str, control: ControlPort, channels: PeerChannels) -> None:
        self.host = host
        self.control = control
        self.channels = channels

    def find_owner(self, resource: str, epoch: int | None) -> Result[Owner, Failure]:
        """Return the owner; fail with `EPOCH_CONFLICT` if its epoch isn't `epoch`."""
        owner = owner_of(self.control.fleet, resource)
        if owner is None:
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, f"{resource} has no owner"))
        if epoch is not None and owner.epoch != epoch:
            return Err(Failure(ErrorKind.EPOCH_CONFLICT, f"{resource}: {owner.epoch}"))
        return Ok(owner)

    async def call(
        self, owner: Owner, method_name: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a method of the owner's host."""
        session = self.control.fleet.sessions[owner.host]
        return await self.channels.call(
            session.peer_address, method_name, message, timeout_s
        )

    async def send(
        self, resource: str, epoch: int | None, method_name: str, message: Any
    ) -> None:
        """Send the owner a message; drop it if that fails or the epoch has changed."""
        owner = self.find_owner(resource, epoch)
        if isinstance(owner, Ok):
            await self.call(owner.ok_value, method_name, message, CALL_TIMEOUT_S)


class RateClient:
    """
    A `RatePort` that forwards calls to the owner's host.

    Parameters
    ----------
    host : str
        Name of this host.
    control : ControlPort
        Source of the owners and their addresses.
    channels : PeerChannels
        Connections to the other hosts.
    local : RatePort
        The rate owners on this host.
    """

    def __init__(
        self, host: str, control: ControlPort, channels: PeerChannels, local: RatePort
    ) -> None:
        self._owner_client = _OwnerClient(host, control, channels)
        self._local = local

    async def reserve(self, request: RateRequest) -> RateResponse:
        """Request admission from the owner of the workspace's rate limit."""
        owner = self._owner_client.find_owner(request.resource, request.epoch)
        if isinstance(owner, Err):
            return Refused(request_id=request.request_id, failure=owner.err_value)
        if owner.ok_value.host == self._owner_client.host:
            return await self._local.reserve(request)
        timeout_s = request.wait_s + CALL_TIMEOUT_S
        response = await self._owner_client.call(
            owner.ok_value, "Reserve", request, timeout_s
        )
        if isinstance(response, Err):
            return Refused(request_id=request.request_id, failure=response.err_value)
        grant: RateResponse = response.ok_value
        return grant

    async def refund(self, refund: Refund) -> None:
        """Return unused tokens to the workspace's bucket."""
        if self._is_local(refund.resource):
            await self._local.refund(refund)
        else:
            await self._owner_client.send(
                refund.resource, refund.epoch, "Refund", refund
            )

    async def notify_request_ended(
        self, resource: str, workspace: str, request_id: str
    ) -> None:
        """Report that a request with an idempotency key has finished."""
        if self._is_local(resource):
            await self._local.notify_request_ended(resource, workspace, request_id)
            return
        message = KeyEnded(resource, workspace, request_id)
        await self._owner_client.send(resource, None, "KeyEnded", message)

    def _is_local(self, resource: str) -> bool:
        owner = self._owner_client.find_owner(resource, None)
        return isinstance(owner, Ok) and owner.ok_value.host == self._owner_client.host


class CellClient:
    """A `CellPort` that forwards calls to the owner's host; see `RateClient`."""

    def __init__(
        self, host: str, control: ControlPort, channels: PeerChannels, local: CellPort
    ) -> None:
        self._owner_client = _OwnerClient(host, control, channels)
        self._local = local

    async def submit(self, profile: RequestProfile) -> SubmitResponse:
        """Request a placement."""
        owner = self._owner_client.find_owner(profile.resource, profile.epoch)
        if isinstance(owner, Err):
            return Refused(request_id=profile.request_id, failure=owner.err_value)
        if owner.ok_value.host == self._owner_client.host:
            return await self._local.submit(profile)
        response = await self._owner_client.call(
            owner.ok_value, "Submit", profile, SUBMIT_TIMEOUT_S
        )
        if isinstance(response, Err):
            return Refused(request_id=profile.request_id, failure=response.err_value)
        placement: SubmitResponse = response.ok_value
        return placement

    async def withdraw(self, withdraw: Withdraw) -> None:
        """Withdraw a request that the front has abandoned."""
        if self._is_local(withdraw.resource):
            await self._local.withdraw(withdraw)
            return
        # A withdrawal is valid in every epoch: the request may be registered with a new
        # owner.
        await self._owner_client.send(withdraw.resource, None, "Withdraw", withdraw)

    async def report(self, batch: ProgressBatch) -> None:
        """Report the progress of requests."""
        if self._is_local(batch.resource):
            await self._local.report(batch)
        else:
            await self._owner_client.send(batch.resource, batch.epoch, "Report", batch)

    async def register(
        self,
        resource: str,
        epoch: int,
        front: str,
        incarnation: int,
        active: tuple[ActiveRequest, ...],
    ) -> None:
        """Register all running requests of a front with a new owner."""
        if self._is_local(resource):
            await self._local.register(resource, epoch, front, incarnation, active)
            return
        message = RegisterFront(resource, epoch, front, incarnation, active)
        await self._owner_client.send(resource, epoch, "Register", message)

    async def take_over(self, take_over: TakeOver) -> TakeOverResponse:
        """Request to continue a request whose front is gone."""
        owner = self._owner_client.find_owner(take_over.resource, take_over.epoch)
        if isinstance(owner, Err):
            return TakeOverResponse(failure=owner.err_value)
        if owner.ok_value.host == self._owner_client.host:
            return await self._local.take_over(take_over)
        response = await self._owner_client.call(
            owner.ok_value, "TakeOver", take_over, 3 * CALL_TIMEOUT_S
        )
        if isinstance(response, Err):
            return TakeOverResponse(failure=response.err_value)
        take_over_response: TakeOverResponse = response.ok_value
        return take_over_response

    def _is_local(self, resource: str) -> bool:
        owner = self._owner_client.find_owner(resource, None)
        return isinstance(owner, Ok) and owner.ok_value.host == self._owner_client.host


class FrontClient:
    """
    A `PeerPort` that also gives owners access to the state of fronts.

    `attach` sets the front of this host; calls to it don't use the network.
    """

    def __init__(
        self, host: str, incarnation: int, control: ControlPort, channels: PeerChannels
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._control = control
        self._channels = channels
        self._front: FrontPort | None = None

    def attach(self, front: FrontPort) -> None:
        """Set the front of this host."""
        self._front = front

    async def resume_stream(
        self, host: str, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """Yield a request's output from `offset`; raise `StreamFailed` on failure."""
        session = self._control.fleet.sessions.get(host)
        if session is None:
            detail = f"entry host {host} has no session"
            raise StreamFailed(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
        message = ResumeStream(request_id, workspace, offset)
        async for item in self._channels.resume(session.peer_address, message):
            if item.failure is not None:
                raise StreamFailed(item.failure)
            if item.chunk is not None:
                yield item.chunk

    async def active_requests(
        self, host: str, resource: str
    ) -> Result[ActiveRequests, Failure]:
        """Return the running requests of a front in a cell."""
        if host == self._host and self._front is not None:
            items = tuple(self._front.active_requests(resource))
            return Ok(ActiveRequests(self._incarnation, items))
        return await self._call_front(
            host, "ActiveRequests", ListActiveRequests(resource)
        )

    async def active_keys(
        self, host: str, workspace: str
    ) -> Result[tuple[ActiveKey, ...], Failure]:
        """Return the idempotency keys of a workspace that a front holds."""
        if host == self._host and self._front is not None:
            return Ok(active_keys_of(self._front, workspace))
        response = await self._call_front(host, "ActiveKeys", ListActiveKeys(workspace))
        if isinstance(response, Err):
            return response
        keys: ActiveKeys = response.ok_value
        return Ok(keys.items)

    async def notify_taken_over(self, host: str, request_id: str) -> None:
        """Notify a front that another one continues its request; best effort."""
        if host == self._host and self._front is not None:
            outcome = self._front.handle_take_over(request_id)
            if outcome is not None:
                await outcome
            return
        await self._call_front(host, "TakenOver", RequestTakenOver(request_id))

    async def _call_front(
        self, host: str, method_name: str, message: Any
    ) -> Result[Any, Failure]:
        session = self._control.fleet.sessions.get(host)
        if session is None:
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, f"{host} has no session"))
        return await self._channels.call(
            session.peer_address, method_name, message, CALL_TIMEOUT_S
        )
