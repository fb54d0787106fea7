"""The backend servers that a host may use, and how their answers have been."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damaskridge.core.gateway.server_notices import ServerNotices
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["InstanceHealth", "InstanceRegistry"]

# A server that cannot be reached is tried again after this, doubled each time.
UNREACHABLE_S = 0.5
LONGEST_UNREACHABLE_S = 4.0
# A server that fails most of its requests is left alone for this long. Shorter tries
# would spend more requests on it than they would find recoveries.
FAILING_S = 3.0
# Of so many last answers, so many failures are taken as the server's own fault.
WINDOW_ANSWERS = 8
FAILING_ANSWERS = 4


@dataclass(slots=True)
class InstanceHealth:
    """
    What one host has seen of one backend server.

    Attributes
    ----------
    avoided_until_s : float
        It gets no request before this time, unless no other server is left.
    unreachable : int
        Failures to connect in a row.
    recent : list of bool
        Whether each of the last answers was good, the oldest first.
    """

    avoided_until_s: float = float("-inf")
    record_unreachable: int = 0
    recent_results: list[bool] = field(default_factory=list)

    def note(self, good: bool) -> None:
        """Record one answer."""
        self.recent_results.append(good)
        del self.recent_results[:-WINDOW_ANSWERS]

    @property
    def is_failing(self) -> bool:
        """Whether most of the last answers were failures."""
        failures = self.recent_results.count(False)
        return failures >= FAILING_ANSWERS and 2 * failures >= len(self.recent_results)


class InstanceRegistry:
    """
    All instances of the list, with their health as this host has seen it.

    Health comes from requests alone. Backend servers are not probed: a health check
    needs a slot like a request and says less.

    Attributes
    ----------
    confirmed_s : float
        When the list was last known to be as it is here.
    notices : ServerNotices
        What servers have asked of this host.
    """

    def __init__(self) -> None:
        self._instances: dict[str, BackendInstance] = {}
        self._health: dict[str, InstanceHealth] = {}
        self.confirmed_s = 0.0
        self.notices = ServerNotices()

    def __len__(self) -> int:
        return len(self._instances)

    def replace(self, instances: Iterable[BackendInstance]) -> list[BackendInstance]:
        """Take over a whole list; returns the instances that are gone."""
        listed = {item.instance: item for item in instances}
        gone = [
            item
            for name, item in self._instances.items()
            if name not in listed or _is_other_start(item, listed[name])
        ]
        self._instances = listed
        for item in gone:
            self._health.pop(item.instance, None)
        self.notices.retain_only(listed.values())
        return gone

    def find(self, name: str) -> BackendInstance | None:
        """Return an instance by its name."""
        return self._instances.get(name)

    def all(self) -> tuple[BackendInstance, ...]:
        """Return every instance of the list."""
        return tuple(self._instances.values())

    def candidates(
        self,
        service: str,
        now_s: float,
        stage: EngineStage | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> list[BackendInstance]:
        """
        Return the instances that may get a request now.

        Avoided ones are left out unless nothing else is there. Those that asked for a
        pause are always left out.
        """
        usable = [
            item
            for item in self._staying(service, stage)
            if item.instance not in excluded
            and not self.notices.remaining_pause_s(item.instance, now_s)
        ]
        healthy = [item for item in usable if not self.is_avoided(item.instance, now_s)]
        return healthy or usable

    def pause_s(
        self, service: str, now_s: float, stage: EngineStage | None = None
    ) -> float:
        """
        Return the time until the first server takes work again.

        0 if a server takes work now, or if there is none.
        """
        return min(
            (
                self.notices.remaining_pause_s(item.instance, now_s)
                for item in self._staying(service, stage)
            ),
            default=0.0,
        )

    def record_unreachable(self, instance: str, now_s: float) -> float:
        """Note a failure to connect; returns how long the server is avoided."""
        health = self._health_of(instance)
        doubled_s: float = UNREACHABLE_S * 2**health.record_unreachable
        avoided_s = min(doubled_s, LONGEST_UNREACHABLE_S)
        health.record_unreachable += 1
        health.avoided_until_s = now_s + avoided_s
        return avoided_s

    def record_response(self, instance: str, now_s: float, *, good: bool) -> float:
        """Note an answer or its absence; returns how long the server is avoided."""
        health = self._health_of(instance)
        health.note(good)
        if good:
            health.record_unreachable = 0
            health.avoided_until_s = float("-inf")
        elif health.is_failing:
            health.recent_results.clear()
            health.avoided_until_s = now_s + FAILING_S
            return FAILING_S
        return 0.0

    def is_avoided(self, instance: str, now_s: float) -> bool:
        """Tell whether an instance gets requests only if no other is left."""
        health = self._health.get(instance)
        return health is not None and now_s < health.avoided_until_s

    def _staying(
        self, service: str, stage: EngineStage | None
    ) -> list[BackendInstance]:
        return [
            item
            for item in self._instances.values()
            if item.service == service
            and item.stage is stage
            and not item.is_leaving
            and not self.notices.has_announced_leaving(item)
        ]

    def _health_of(self, instance: str) -> InstanceHealth:
        return self._health.setdefault(instance, InstanceHealth())


def _is_other_start(known: BackendInstance, listed: BackendInstance) -> bool:
    """Tell whether two entries of one name are different processes."""
    return known.address != listed.address or known.started_ms != listed.started_ms
