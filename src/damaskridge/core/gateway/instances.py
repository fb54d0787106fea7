"""Registry of the instances that a host may use, and their health."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from damaskridge.core.gateway.limits.server_limits import ServerLimits
from damaskridge.core.gateway.server_notices import ServerNotices
from damaskridge.model.gateway import BackendInstance, EngineStage
from damaskridge.model.server_outcomes import Outcomes

__all__ = ["InstanceHealth", "InstanceRegistry", "Obstacle"]

# An instance that can't be reached is avoided for this long, doubled for each
# consecutive failure.
UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 4.0
# An instance that fails most of its requests is avoided for this long. With a shorter
# time, more requests would fail on it than recoveries would be noticed.
FAILING_AVOIDANCE_S = 3.0
# Covers the way of a request to a leaving instance, and the difference of clocks.
DRAIN_MARGIN_S = 0.5
# Number of latest results that are kept for each instance.
RESULT_WINDOW = 8
# Failures among them from which the instance itself is considered the cause.
MIN_FAILURES = 4


class Obstacle(Enum):
    """Why an instance receives no requests, or only if there is no other."""

    EVACUATED = "its data centre is evacuated"
    LEAVING = "it is leaving"
    PAUSED = "it has asked for a pause"
    AVOIDED = "it can't be reached or fails requests"


@dataclass(slots=True)
class InstanceHealth:
    """
    Health of one instance as observed by this host.

    Attributes
    ----------
    avoided_until_s : float
        Until then it receives requests only if no other instance is available.
    failed_connects : int
        Consecutive failures to connect.
    recent_results : list of bool
        Whether each of the latest requests got a good response, the oldest first.
    """

    avoided_until_s: float = float("-inf")
    failed_connects: int = 0
    recent_results: list[bool] = field(default_factory=list)

    def record(self, good: bool) -> None:
        """Record the result of one request."""
        self.recent_results.append(good)
        del self.recent_results[:-RESULT_WINDOW]

    @property
    def is_failing(self) -> bool:
        """Whether at least half of the latest results are failures."""
        failures = self.recent_results.count(False)
        return failures >= MIN_FAILURES and 2 * failures >= len(self.recent_results)


class InstanceRegistry:
    """
    All listed instances, with their health as observed by this host.

    Health is derived from requests only. Backend servers aren't probed, because a
    health check occupies a slot like a request and yields less information.

    Parameters
    ----------
    drain_s : float
        For how long an instance may get requests after it is listed as leaving.

    Attributes
    ----------
    confirmed_s : float
        When the registry was last known to match the list.
    notices : ServerNotices
        Notices of instances that leave or have asked for a pause.
    limits : ServerLimits
        Limits of requests that instances have named.
    evacuated : frozenset of str
        Data centres whose instances get no requests.
    failing : frozenset of str
        Instances that fail requests of many hosts, which are avoided.
    """

    def __init__(self, *, drain_s: float = 0.0) -> None:
        self._drain_s = drain_s
        self._drains_until_s: dict[str, float] = {}
        self._instances: dict[str, BackendInstance] = {}
        self._health: dict[str, InstanceHealth] = {}
        self.confirmed_s = 0.0
        self.notices = ServerNotices()
        self.limits = ServerLimits()
        self.evacuated: frozenset[str] = frozenset()
        self.failing: frozenset[str] = frozenset()
        self._unreported: dict[str, Outcomes] = {}

    def __len__(self) -> int:
        return len(self._instances)

    def replace(self, instances: Iterable[BackendInstance]) -> list[BackendInstance]:
        """Replace the list; return the instances that are no longer running."""
        listed = {item.instance: item for item in instances}
        removed = [
            item
            for name, item in self._instances.items()
            if name not in listed or _is_other_run(item, listed[name])
        ]
        for item in removed:
            self._health.pop(item.instance, None)
            self._drains_until_s.pop(item.instance, None)
        for name in listed.keys() & self._instances.keys():
            known, item = self._instances[name], listed[name]
            has_begun_to_leave = item.is_leaving and not known.is_leaving
            if has_begun_to_leave and not _is_other_run(known, item):
                # It may be listed as leaving since the reading before this one.
                until_s = self.confirmed_s + self._drain_s - DRAIN_MARGIN_S
                self._drains_until_s[name] = until_s
        self._instances = listed
        self.notices.retain_only(listed.values())
        self.limits.retain_only(listed.values())
        return removed

    def find(self, name: str) -> BackendInstance | None:
        """Return the instance with this name, if it is listed."""
        return self._instances.get(name)

    def all(self) -> tuple[BackendInstance, ...]:
        """Return every listed instance."""
        return tuple(self._instances.values())

    def is_leaving(self, instance: BackendInstance) -> bool:
        """Tell whether this run of an instance is listed as leaving, or said so."""
        listed = self._instances.get(instance.instance, instance)
        if listed.instance_id != instance.instance_id:
            listed = instance
        return listed.is_leaving or self.notices.has_announced_leaving(instance)

    def candidates(
        self,
        service: str,
        now_s: float,
        stage: EngineStage | None = None,
        excluded: frozenset[str] = frozenset(),
        software_version: str | None = None,
    ) -> list[BackendInstance]:
        """
        Return the instances that may receive a request now.

        Avoided instances are included only if there are no others. Paused instances
        are never included. `software_version` excludes all other versions.
        """
        usable = [
            item
            for item in self._not_leaving(service, stage, software_version)
            if item.instance not in excluded
            and not self.notices.remaining_pause_s(item.instance, now_s)
        ]
        healthy = [item for item in usable if not self.is_avoided(item.instance, now_s)]
        return healthy or usable

    def draining_candidates(
        self,
        service: str,
        now_s: float,
        stage: EngineStage | None = None,
        excluded: frozenset[str] = frozenset(),
        *,
        software_version: str,
    ) -> list[BackendInstance]:
        """Return the leaving instances that may still go on with a begun stream."""
        return [
            item
            for item in self._of(service, stage, software_version)
            if item.instance not in excluded
            and now_s < self._drains_until_s.get(item.instance, float("-inf"))
            and not self.notices.has_announced_leaving(item)
            and not self.notices.remaining_pause_s(item.instance, now_s)
        ]

    def wait_s(
        self,
        service: str,
        now_s: float,
        stage: EngineStage | None = None,
        limit_waits_s: Mapping[str, float] | None = None,
        software_version: str | None = None,
    ) -> float:
        """
        Return the time until an instance of a service accepts a request.

        0 if one of them accepts requests now, or if there is none. `limit_waits_s` is
        how long the limits of instances permit no request, by instance.
        """
        waits_s = limit_waits_s or {}
        return min(
            (
                max(
                    self.notices.remaining_pause_s(item.instance, now_s),
                    waits_s.get(item.instance, 0.0),
                )
                for item in self._not_leaving(service, stage, software_version)
            ),
            default=0.0,
        )

    def record_unreachable(self, instance: str, now_s: float) -> float:
        """Record a failure to connect; return how long the instance is avoided."""
        self._count(instance, failed=1)
        health = self._health_of(instance)
        doubled_s: float = UNREACHABLE_BACKOFF_S * 2**health.failed_connects
        avoided_s = min(doubled_s, MAX_UNREACHABLE_BACKOFF_S)
        health.failed_connects += 1
        health.avoided_until_s = now_s + avoided_s
        return avoided_s

    def record_response(self, instance: str, now_s: float, *, good: bool) -> float:
        """Record a response or its absence; return how long the instance is avoided."""
        self._count(instance, good=int(good), failed=int(not good))
        health = self._health_of(instance)
        health.record(good)
        if good:
            health.failed_connects = 0
            health.avoided_until_s = float("-inf")
        elif health.is_failing:
            health.recent_results.clear()
            health.avoided_until_s = now_s + FAILING_AVOIDANCE_S
            return FAILING_AVOIDANCE_S
        return 0.0

    def is_avoided(self, instance: str, now_s: float) -> bool:
        """Tell whether an instance receives requests only if there is no other."""
        health = self._health.get(instance)
        is_avoided = health is not None and now_s < health.avoided_until_s
        return is_avoided or instance in self.failing

    def obstacle(self, item: BackendInstance, now_s: float) -> Obstacle | None:
        """Return why `candidates` leaves out an instance; None if it doesn't."""
        if item.data_centre in self.evacuated:
            return Obstacle.EVACUATED
        if self.is_leaving(item):
            return Obstacle.LEAVING
        if self.notices.remaining_pause_s(item.instance, now_s):
            return Obstacle.PAUSED
        if self.is_avoided(item.instance, now_s):
            return Obstacle.AVOIDED
        return None

    def pop_outcomes(self) -> dict[str, Outcomes]:
        """Return the outcomes of requests since the last call, by instance."""
        outcomes, self._unreported = self._unreported, {}
        return outcomes

    def _not_leaving(
        self,
        service: str,
        stage: EngineStage | None,
        software_version: str | None,
    ) -> list[BackendInstance]:
        """Return the instances of a service and stage that aren't leaving."""
        return [
            item
            for item in self._of(service, stage, software_version)
            if not item.is_leaving and not self.notices.has_announced_leaving(item)
        ]

    def _of(
        self,
        service: str,
        stage: EngineStage | None,
        software_version: str | None,
    ) -> list[BackendInstance]:
        """
        Return the instances of a service and stage, of one version or of any.

        Instances in evacuated data centres are left out.
        """
        return [
            item
            for item in self._instances.values()
            if item.service == service
            and item.stage is stage
            and item.data_centre not in self.evacuated
            and software_version in (None, item.software_version)
        ]

    def _count(self, instance: str, *, good: int = 0, failed: int = 0) -> None:
        known = self._unreported.get(instance, Outcomes())
        self._unreported[instance] = Outcomes(known.good + good, known.failed + failed)

    def _health_of(self, instance: str) -> InstanceHealth:
        """Return the health of an instance, created at the first request."""
        return self._health.setdefault(instance, InstanceHealth())


def _is_other_run(known: BackendInstance, listed: BackendInstance) -> bool:
    """Tell whether two entries with the same name are different processes."""
    return known.address != listed.address or known.started_ms != listed.started_ms
