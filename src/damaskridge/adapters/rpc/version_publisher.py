"""Keeps the record of software versions, while this host is the leader.

An engine is listed for the entry hosts only after its version is on record. So there is
no stream of a version that a later leader doesn't know of, whatever fails.
"""

import logging
import secrets
from collections.abc import Awaitable, Callable

import anyio

from damaskridge.adapters.observability.events import log_event
from damaskridge.adapters.rpc.control_ports import ControlNodePort
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.version_history import VersionHistory
from damaskridge.core.state.control_state import ControlState
from damaskridge.core.state.software_versions import origin_of, stream_retention_s
from damaskridge.model.control import AdvanceTime, Command, CommandResult
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import LoadSeen, ReportLoad
from damaskridge.model.gateway import BackendInstance
from damaskridge.model.software_versions import (
    OriginDecided,
    OriginWanted,
    ServiceVersions,
    StreamOrigin,
)

__all__ = ["VersionPublisher"]

# Origins that are reported within this time are committed together.
BATCH_PERIOD_S = 0.05
# Time until a failed commit is tried again.
RETRY_PERIOD_S = 0.1

_log = logging.getLogger("damaskridge.control")


class VersionPublisher:
    """
    Records software versions, and tells entry hosts at which version a stream began.

    Parameters
    ----------
    node : ControlNodePort
        Confirms that this host is still the leader before it answers a question.
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    state : ControlState
        The state machine of the control group.
    propose : callable
        Commits a command.
    republish : callable
        Publishes the list of instances again.
    """

    def __init__(
        self,
        *,
        node: ControlNodePort,
        subscribers: SubscriberSet,
        is_leading: Callable[[], bool],
        state: ControlState,
        propose: Callable[[Command], Awaitable[CommandResult]],
        republish: Callable[[], None],
    ) -> None:
        self._node = node
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._state = state
        self._propose = propose
        self._republish = republish
        self._history = VersionHistory()
        self._has_unrecorded_versions = anyio.Event()
        self._origins: dict[str, StreamOrigin] = {}
        self._has_origins = anyio.Event()
        self._questions: list[tuple[Subscriber, OriginWanted]] = []
        self._has_questions = anyio.Event()

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send all versions to a new subscriber."""
        recorded = self._recorded()
        if recorded:
            subscriber.push(LoadSeen(software_versions=recorded))

    def recorded_instances(
        self, instances: tuple[BackendInstance, ...]
    ) -> tuple[BackendInstance, ...]:
        """Return the listed instances without engines of unrecorded versions."""
        retention_s = stream_retention_s(self._state.data.routing.routes)
        self._history.observe(instances, anyio.current_time(), retention_s)
        recorded = self._state.data.software_versions
        if self._history.versions(recorded) != recorded:
            self._has_unrecorded_versions.set()
        return tuple(item for item in instances if _is_recorded(item, recorded))

    def handle_report(self, subscriber: Subscriber, message: ReportLoad) -> None:
        """Record origins of streams, and accept questions."""
        if message.origins:
            known = self._state.data.stream_origins
            self._origins.update(
                (origin.attempt_id, origin)
                for origin in message.origins
                if origin.attempt_id not in known
            )
            self._has_origins.set()
        if message.origins_wanted:
            self._questions += [(subscriber, item) for item in message.origins_wanted]
            self._has_questions.set()

    def clear(self) -> None:
        """Forget what is not recorded, when another host leads."""
        self._history = VersionHistory()
        self._origins.clear()
        self._questions.clear()

    async def run(self) -> None:
        """Record and answer until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._record_versions)
            group.start_soon(self._record_origins)
            group.start_soon(self._answer_questions)

    def _recorded(self) -> tuple[ServiceVersions, ...]:
        return _service_versions(self._state.data.software_versions)

    async def _record_versions(self) -> None:
        while True:
            await self._has_unrecorded_versions.wait()
            self._has_unrecorded_versions = anyio.Event()
            if not self._is_leading():
                continue
            versions = self._history.versions(self._state.data.software_versions)
            result = await self._propose(
                AdvanceTime(
                    command_id=f"versions/{secrets.token_hex(8)}",
                    software_versions=_service_versions(versions),
                )
            )
            if result.failure is not None:
                self._has_unrecorded_versions.set()
                await anyio.sleep(RETRY_PERIOD_S)
                continue
            log_event(_log, EventNumber.SOFTWARE_VERSIONS_RECORDED, services=versions)
            # Before the list: a host reports the streams that it has begun.
            self._subscribers.broadcast(LoadSeen(software_versions=self._recorded()))
            self._republish()

    async def _record_origins(self) -> None:
        while True:
            await self._has_origins.wait()
            self._has_origins = anyio.Event()
            if not (self._origins and self._is_leading()):
                continue
            batch = tuple(self._origins.values())
            result = await self._propose(
                AdvanceTime(command_id=f"origins/{secrets.token_hex(8)}", origins=batch)
            )
            if result.failure is None:
                for origin in batch:
                    self._origins.pop(origin.attempt_id, None)
            if self._origins:
                self._has_origins.set()
            await anyio.sleep(BATCH_PERIOD_S)

    async def _answer_questions(self) -> None:
        while True:
            await self._has_questions.wait()
            self._has_questions = anyio.Event()
            questions, self._questions = self._questions, []
            # A leader that was replaced may not know of the newest versions.
            if not (await self._node.confirm_leadership() and self._is_leading()):
                continue
            for subscriber, question in questions:
                decided = OriginDecided(question.sequence, self._origin_of(question))
                subscriber.push(LoadSeen(origins_decided=(decided,)))

    def _origin_of(self, question: OriginWanted) -> str | None:
        reported = self._origins.get(question.attempt_id)
        if reported is not None and reported.service == question.service:
            return reported.software_version
        return origin_of(self._state.data, question.attempt_id, question.service)


def _service_versions(
    versions: dict[str, tuple[str, ...]],
) -> tuple[ServiceVersions, ...]:
    return tuple(ServiceVersions(*item) for item in versions.items())


def _is_recorded(item: BackendInstance, recorded: dict[str, tuple[str, ...]]) -> bool:
    return item.stage is None or item.software_version in recorded.get(item.service, ())
