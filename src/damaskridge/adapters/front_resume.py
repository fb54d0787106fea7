"""Resume streams: from this front, through the request's front, or by a take-over."""

import asyncio
import logging
from collections.abc import AsyncIterator

import msgspec

from damaskridge.adapters.front_call import ModelCall, RunningModelCall
from damaskridge.adapters.front_context import FrontContext, closing_stream
from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.ports import StreamFailed
from damaskridge.core.requests.messages import RequestParameters, TakeOverGranted
from damaskridge.core.state.fleet_queries import cell_resource
from damaskridge.model.bundle import BackendServerRole
from damaskridge.model.control import Owner
from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.events import EventNumber
from damaskridge.model.ids import RequestId
from damaskridge.model.routing import ActiveRequest, TakeOver, TakeOverResponse

__all__ = ["StreamResumer"]

_logger = logging.getLogger(__name__)
# Kinds of failure after which the request may still continue on another front.
_RETRIED_KINDS = frozenset(
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
    Finds the front of a request by the request's id, and streams its output.

    Parameters
    ----------
    context : FrontContext
        Shared state of the front.
    calls : dict[str, RunningModelCall]
        Requests of the front by id. A request that is taken over is added.
    """

    def __init__(
        self, context: FrontContext, calls: dict[str, RunningModelCall]
    ) -> None:
        self._context = context
        self._model_calls = calls

    async def stream_local(
        self, request_id: str, workspace: str, offset: int
    ) -> AsyncIterator[DecodeChunk]:
        """
        Yield the output of a request of this front.

        Raises
        ------
        StreamFailed
            If the request is unknown, or fails before its last chunk.
        """
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
        """
        Yield output from `offset`, also if the request moves to another front.

        Parameters
        ----------
        request_id, workspace : str
            The request, which must be one of this workspace.
        offset : int
            Offset of the first chunk to yield.
        front : str
            Host that runs the request, if it isn't the one named in the id.

        Raises
        ------
        StreamFailed
            If the request fails, or isn't found in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._context.settings.owner_timeout_s
        log_event(
            _logger, EventNumber.STREAM_RESUMED, request_id=request_id, offset=offset
        )
        while True:
            try:
                stream = await self._open_stream(request_id, workspace, offset, front)
                async with closing_stream(stream):
                    async for chunk in stream:
                        if chunk.offset != offset:
                            continue
                        yield chunk
                        if chunk.finish_reason is not None:
                            return
                        offset += 1
                        deadline_s = (
                            loop.time() + self._context.settings.owner_timeout_s
                        )
                failure = Failure(ErrorKind.OWNER_UNAVAILABLE, "relay ended early")
            except StreamFailed as error:
                failure = error.failure
            if (
                failure.kind in _RETRIED_KINDS
                and failure.final_run_state is RunState.NOT_RUN
            ):
                # The failure is one of finding the request, which may itself have run.
                failure = msgspec.structs.replace(failure, run_state=RunState.UNKNOWN)
            if failure.kind not in _RETRIED_KINDS or loop.time() >= deadline_s:
                raise StreamFailed(failure)
            if failure.kind is ErrorKind.UNKNOWN_REQUEST and not self._may_reappear(
                request_id, front
            ):
                raise StreamFailed(failure)
            await asyncio.sleep(self._context.settings.retry_pause_s)

    def _may_reappear(self, request_id: str, front: str) -> bool:
        """
        Return whether "unknown request" may be due to a stale fleet view.

        This is so if the request's front has ended, and another host may take over.
        """
        host, incarnation = self._front_of(request_id, front)
        session = self._context.control.fleet.sessions.get(host)
        is_alive = session is not None and incarnation in (None, session.incarnation)
        return not is_alive and host != self._context.host

    def _front_of(self, request_id: str, front: str) -> tuple[str, int | None]:
        """Return the host that accepted a request, and its incarnation if known."""
        try:
            parsed = RequestId.parse(request_id)
        except ValueError:
            failure = Failure(ErrorKind.UNKNOWN_REQUEST, request_id[:80])
            raise StreamFailed(failure) from None
        if front and front != parsed.host:
            return front, None
        return parsed.host, parsed.incarnation

    async def _open_stream(
        self, request_id: str, workspace: str, offset: int, front: str
    ) -> AsyncIterator[DecodeChunk]:
        """Return a stream from this front, from a peer, or after a take-over."""
        host, incarnation = self._front_of(request_id, front)
        if request_id in self._model_calls:
            return self.stream_local(request_id, workspace, offset)
        session = self._context.control.fleet.sessions.get(host)
        is_alive = session is not None and incarnation in (None, session.incarnation)
        if is_alive and host != self._context.host:
            return self._relay(host, request_id, workspace, offset)
        active = await self._take_over(request_id, workspace)
        self._continue_request(active, workspace, offset)
        return self.stream_local(request_id, workspace, offset)

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
        """Request the take-over from the owner of each cell until one grants it."""
        failure = Failure(ErrorKind.UNKNOWN_REQUEST, request_id[:80])
        fleet = self._context.control.fleet
        cells = dict.fromkeys(
            server.cell
            for server in fleet.bundle.backend_servers
            if server.role is not BackendServerRole.SERVICE
        )
        for cell in cells:
            response = await self._request_take_over(
                cell_resource(cell), request_id, workspace
            )
            if isinstance(response, Failure):
                failure = response
            elif response.active is not None:
                return response.active
            elif response.failure is not None:
                if response.failure.kind is not ErrorKind.UNKNOWN_REQUEST:
                    failure = response.failure
        raise StreamFailed(failure)

    async def _request_take_over(
        self, resource: str, request_id: str, workspace: str
    ) -> TakeOverResponse | Failure:
        context = self._context

        async def send(owner: Owner) -> TakeOverResponse:
            take_over = TakeOver(
                resource=resource,
                epoch=owner.epoch,
                request_id=request_id,
                workspace=workspace,
                front=context.host,
                incarnation=context.incarnation,
            )
            return await context.cells.take_over(take_over)

        return await context.owners.call(resource, send)

    def _continue_request(
        self, active: ActiveRequest, workspace: str, offset: int
    ) -> None:
        profile = active.profile
        if profile.request_id in self._model_calls:
            return
        spec = RequestParameters(
            request_id=profile.request_id,
            model=profile.model,
            prompt="",
            prompt_tokens=profile.prompt_tokens,
            # The limit of a later attempt excludes the tokens of earlier ones, whose
            # number isn't known here.
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
        # All of the text is fetched, because another caller may resume from an earlier
        # offset.
        running.dispatch(TakeOverGranted(active.placement, 0, caller_offset=offset))
