"""The software versions at which streams that callers may still take up have begun.

>>> from damaskridge.model.gateway import EngineStage
>>> history = VersionHistory()
>>> engine = BackendInstance(
...     instance="i1", service="llm", address="a", data_centre="d", slots=1,
...     stage=EngineStage.DECODE, software_version="v2",
... )
>>> history.observe((engine,), now_s=0.0, retention_s=60.0)
>>> history.versions({"llm": ("v1",)})
{'llm': ('v1', 'v2')}
>>> history.observe((engine,), now_s=61.0, retention_s=60.0)
>>> history.versions({"llm": ("v1",)})
{'llm': ('v2',)}
"""

from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance

__all__ = ["VersionHistory"]


class VersionHistory:
    """What a leader has read from the list of instances since it began to lead."""

    def __init__(self) -> None:
        self._seen_s: dict[tuple[str, str], float] = {}
        self._began_s: float | None = None
        self._now_s = 0.0
        self._retention_s = 0.0

    def observe(
        self, instances: Iterable[BackendInstance], now_s: float, retention_s: float
    ) -> None:
        """
        Record one reading of the list.

        Parameters
        ----------
        instances : iterable of BackendInstance
            All listed instances.
        now_s : float
            Current time.
        retention_s : float
            For how long after its last listing a version counts.
        """
        if self._began_s is None:
            self._began_s = now_s
        self._now_s, self._retention_s = now_s, retention_s
        for item in instances:
            if item.stage is not None:
                self._seen_s[item.service, item.software_version] = now_s

    def versions(
        self, recorded: dict[str, tuple[str, ...]]
    ) -> dict[str, tuple[str, ...]]:
        """
        Return the versions by service, oldest first.

        Parameters
        ----------
        recorded : dict of str to tuple of str
            The versions that are on record. They are kept until this leader has missed
            them in the list for long enough.
        """
        versions: dict[str, list[str]] = {}
        for service, names in recorded.items():
            for name in names:
                last_s = self._seen_s.get((service, name), self._began_s)
                if last_s is None or self._now_s - last_s <= self._retention_s:
                    versions.setdefault(service, []).append(name)
        for (service, name), last_s in self._seen_s.items():
            known = versions.setdefault(service, [])
            if name not in known and self._now_s - last_s <= self._retention_s:
                known.append(name)
        return {service: tuple(names) for service, names in versions.items() if names}
