"""Resumes streams: here, from the front that has them, or by a take-over."""

import asyncio
import logging
from collections.abc import AsyncIterator

import msgspec

from damaskridge.adapters.front_call import ModelCall, RunningModelCall
from damaskridge.adapters.front_context import FrontContext, closing_stream
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import StreamFailed
from damaskridge.core.requests.messages import Continued, RequestSpec
from damaskridge.core.state.fleet_queries import cell_resource
from damaskridge.model.bundle import BackendServerRole
from damaskridge.model.control import Owner
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.ids import RequestId
from damaskridge.model.routing import ActiveRequest, TakeOver, TakeOverReply

__all__ = ["StreamResumer"]

_logger = logging.getLogger(__name__)
# Kinds with which a relay ends although the request may go on elsewhere.
_LOOK_AGAIN = frozenset(
    {
        ErrorKind.OWNER_UNAVAILABLE,
        ErrorKind.UNKNOWN_REQUEST,
        ErrorKind.STREAM_TAKEN_OVER,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.SESSION_ENDED,
    }
)


class StreamResumer:
    """
    Finds the output of a request by its id.

    Parameters
    ----------
    context : FrontContext
        What the front's requests share.
    calls : dict[str, RunningModelCall]
        The front's requests; a request that is taken over is added.
    """

    def __init__(
        self, context: FrontContext, calls: dict[str, RunningModelCall]
    ) -> None:
        self._context = context
        self._model_calls = calls

    async def local(
        self, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """Yield output of a request of this front; raises `StreamFailed`."""
        running = self._model_calls.get(request_id)
        if running is None or running.call.workspace != workspace:
            raise StreamFailed(Failure(ErrorKind.UNKNOWN_REQUEST, request_id[:80]))
        stream = running.read(offset)
        async with closing_stream(stream):
            async for chunk in stream:
                yield chunk
        duplicate_of = running.duplicate_of
        if duplicate_of is not None:
            relayed = self.resume(
                duplicate_of.request_id, workspace, offset, duplicate_of.front
            )
            async with closing_stream(relayed):
                async for chunk in relayed:
                    yield chunk

    async def resume(
        self, request_id: str, workspace: str, offset: int, front: str = ""
    ) -> AsyncIterator[DecodeChunk]:
        """Yield output from `offset`; follows the request to another front."""
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + self._context.settings.owner_wait_s
        log_event(
            _logger, EventNumber.STREAM_RESUMED, request_id=request_id, offset=offset
        )
        while True:
            try:
                stream = await self._find(request_id, workspace, offset, front)
                async with closing_stream(stream):
                    async for chunk in stream:
                        if chunk.offset != offset:
                            continue
                        yield chunk
                        if chunk.finish_reason is not None:
                            return
                        offset += 1
                        give_up_s = loop.time() + self._context.settings.owner_wait_s
                failure = Failure(ErrorKind.OWNER_UNAVAILABLE, "relay ended early")
            except StreamFailed as error:
                failure = error.failure
            if failure.kind in _LOOK_AGAIN and failure.ran is RunState.NOT_RUN:
                # It tells of the search; the request itself may well have run.
                failure = msgspec.structs.replace(failure, run_state=RunState.UNKNOWN)
            if failure.kind not in _LOOK_AGAIN or loop.time() >= give_up_s:
                raise StreamFailed(failure)
            if failure.kind is ErrorKind.UNKNOWN_REQUEST and not self._may_return(
                request_id, front
            ):
                raise StreamFailed(failure)
            await asyncio.sleep(self._context.settings.ask_again_s)

    def _may_return(self, request_id: str, front: str) -> bool:
        """Tell whether the answer "unknown" may be due to a lagging fleet view."""
        host, incarnation = self._home(request_id, front)
        session = self._context.control.fleet.sessions.get(host)
        alive = session is not None and incarnation in (None, session.incarnation)
        return not alive and host != self._context.host

    def _home(self, request_id: str, front: str) -> tuple[str, int | None]:
        try:
            parsed = RequestId.parse(request_id)
        except ValueError:
            failure = Failure(ErrorKind.UNKNOWN_REQUEST, request_id[:80])
            raise StreamFailed(failure) from None
        if front and front != parsed.host:
            return front, None
        return parsed.host, parsed.incarnation

    async def _find(
        self, request_id: str, workspace: str, offset: int, front: str
    ) -> AsyncIterator[DecodeChunk]:
        host, incarnation = self._home(request_id, front)
        if request_id in self._model_calls:
            return self.local(request_id, workspace, offset)
        session = self._context.control.fleet.sessions.get(host)
        alive = session is not None and incarnation in (None, session.incarnation)
        if alive and host != self._context.host:
            return self._relay(host, request_id, workspace, offset)
        active = await self._take_over(request_id, workspace)
        self._continue(active, workspace, offset)
        return self.local(request_id, workspace, offset)

    async def _relay(
        self, host: str, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        stream = self._context.peers.resume_stream(host, request_id, workspace, offset)
        try:
            async with closing_stream(stream):
                async for chunk in stream:
                    yield chunk
        except (OSError, TimeoutError) as error:
            failure = Failure(ErrorKind.OWNER_UNAVAILABLE, type(error).__name__)
            raise StreamFailed(failure) from error

    async def _take_over(self, request_id: str, workspace: str) -> ActiveRequest:
        failure = Failure(ErrorKind.UNKNOWN_REQUEST, request_id[:80])
        fleet = self._context.control.fleet
        cells = dict.fromkeys(
            server.cell
            for server in fleet.bundle.backend_servers
            if server.role is not BackendServerRole.SERVICE
        )
        for cell in cells:
            reply = await self._ask_owner(cell_resource(cell), request_id, workspace)
            if isinstance(reply, Failure):
                failure = reply
            elif reply.active is not None:
                return reply.active
            elif reply.failure is not None:
                if reply.failure.kind is not ErrorKind.UNKNOWN_REQUEST:
                    failure = reply.failure
        raise StreamFailed(failure)

    async def _ask_owner(
        self, resource: str, request_id: str, workspace: str
    ) -> TakeOverReply | Failure:
        context = self._context

        async def send(owner: Owner) -> TakeOverReply:
            take_over = TakeOver(
                resource=resource,
                epoch=owner.epoch,
                request_id=request_id,
                workspace=workspace,
                front=context.host,
                incarnation=context.incarnation,
            )
            return await context.cells.take_over(take_over)

        return await context.owners.ask(resource, send)

    def _continue(self, active: ActiveRequest, workspace: str, offset: int) -> None:
        profile = active.profile
        if profile.request_id in self._model_calls:
            return
        spec = RequestSpec(
            request_id=profile.request_id,
            model=profile.model,
            prompt="",
            prompt_tokens=profile.prompt_tokens,
            # Of a later attempt the number of earlier tokens is not known.
            max_output_tokens=profile.max_output_tokens
            + (offset if profile.attempt > 1 else 0),
        )
        call = ModelCall(
            workspace=workspace,
            key_digest="",
            route=profile.route,
            streaming=True,
            spec=spec,
            fingerprint=profile.fingerprint,
        )
        running = RunningModelCall(self._context, call)
        running.profile = msgspec.structs.replace(
            profile,
            front=self._context.host,
            incarnation=self._context.incarnation,
        )
        self._model_calls[profile.request_id] = running
        log_event(_logger, EventNumber.STREAM_TAKEN_OVER, request_id=profile.request_id)
        # Another caller may resume from an earlier offset, so all text is fetched.
        running.dispatch(Continued(active.placement, 0, wanted_offset=offset))
