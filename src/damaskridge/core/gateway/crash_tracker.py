"""Detects requests that crash the backend servers which run them.

A caller retries such a request with a new id each time and at any host, so it is
identified by a fingerprint of its workspace, path and body. An instance that interrupts
a run and then can't be reached, disappears from the list or restarts has crashed, and
the crash counts against every request that ran there. A request that was present at
three crashes is refused for a while. It is not refused if this host has recently
seen it complete, because many calls have neither a body nor a path of their own and
share a fingerprint. This keeps a single request from crashing one backend server after
another.

>>> tracker = CrashTracker()
>>> for server in ("a", "b", "c"):
...     tracker.record_interrupted_run("f1", InstanceId(server), now_s=1.0)
...     tracker.record_lost_server(InstanceId(server), now_s=1.5)
>>> tracker.is_suspect("f1", now_s=2.0)
True
>>> tracker.is_suspect("f2", now_s=2.0)
False
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b
from typing import TypeVar

from damaskridge.model.gateway import CrashNotice, InstanceId

__all__ = ["CrashTracker", "fingerprint_of", "part_fingerprints"]

KeyT = TypeVar("KeyT")
NameT = TypeVar("NameT")

# Crashes from which a request is refused. A request that is present at only one or two
# is usually not their cause.
MIN_CRASHES = 3
# Longest time from an interrupted run to the evidence that the server has crashed: a
# new connection is tried within seconds, and the list of backend servers lags by about
# 1 s.
CONFIRMATION_TIMEOUT_S = 4.0
# How long a crash counts. By then the caller has probably sent its last retry.
CRASH_RETENTION_S = 60.0
# Most fingerprints of completed requests that a host keeps.
MAX_REMEMBERED_RESPONSES = 4096


def fingerprint_of(workspace: str, path: str, body: bytes) -> str:
    """Return a digest that is the same for a request and all its retries."""
    digest = blake2b(digest_size=12)
    for part in (workspace.encode(), path.encode(), body):
        digest.update(b"%d:" % len(part) + part)
    return digest.hexdigest()


def part_fingerprints(prompt_parts: Sequence[tuple[str, int]]) -> tuple[str, ...]:
    """
    Return a digest of each part of a prompt except the last one.

    The last part belongs to one request or session; other requests don't contain it.
    """
    return tuple(
        blake2b(name.encode(), digest_size=12).hexdigest()
        for name, _ in prompt_parts[:-1]
    )


class CrashTracker:
    """Crashes that this host has observed or that other hosts have reported."""

    def __init__(self) -> None:
        self._interrupted_runs: dict[InstanceId, dict[str, float]] = {}
        self._crashes: dict[str, dict[InstanceId, float]] = {}
        self._unreported: list[CrashNotice] = []
        self._last_response_s: OrderedDict[str, float] = OrderedDict()

    def record_interrupted_run(
        self, fingerprint: str, server: InstanceId, now_s: float
    ) -> None:
        """Record an interrupted run; whether the instance crashed is not yet known."""
        self._expire(now_s)
        self._interrupted_runs.setdefault(server, {})[fingerprint] = now_s

    def record_lost_server(self, server: InstanceId, now_s: float) -> int:
        """
        Record that an instance can't be reached or is no longer listed.

        Returns
        -------
        int
            Number of interrupted runs from which the instance is taken to have crashed.
        """
        runs = 0
        for fingerprint, interrupted_s in self._interrupted_runs.pop(
            server, {}
        ).items():
            if now_s - interrupted_s <= CONFIRMATION_TIMEOUT_S:
                runs += 1
                notice = CrashNotice(fingerprint, server)
                self._unreported.append(notice)
                self.on_report((notice,), now_s)
        return runs

    def record_response(self, fingerprint: str, now_s: float) -> None:
        """Clear the suspicion of a request that a server ran to completion."""
        self._crashes.pop(fingerprint, None)
        self._last_response_s[fingerprint] = now_s
        self._last_response_s.move_to_end(fingerprint)
        if len(self._last_response_s) > MAX_REMEMBERED_RESPONSES:
            self._last_response_s.popitem(last=False)

    def on_report(self, notices: Iterable[CrashNotice], now_s: float) -> None:
        """Record crashes that this host has found or that others have reported."""
        self._expire(now_s)
        for notice in notices:
            self._crashes.setdefault(notice.fingerprint, {})[notice.server] = now_s

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a request was present at enough crashes to be refused."""
        if (
            now_s - self._last_response_s.get(fingerprint, float("-inf"))
            <= CRASH_RETENTION_S
        ):
            return False
        crashes = self._crashes.get(fingerprint, {}).values()
        recent_crashes = sum(now_s - seen_s <= CRASH_RETENTION_S for seen_s in crashes)
        return recent_crashes >= MIN_CRASHES

    def pop_unreported(self) -> tuple[CrashNotice, ...]:
        """Return the crashes that this host has found since the last call."""
        notices, self._unreported = tuple(self._unreported), []
        return notices

    def recent_crashes(self, now_s: float) -> tuple[CrashNotice, ...]:
        """Return every crash that has not expired."""
        self._expire(now_s)
        return tuple(
            CrashNotice(fingerprint, server)
            for fingerprint, servers in self._crashes.items()
            for server in servers
        )

    def _expire(self, now_s: float) -> None:
        self._interrupted_runs = _without_expired(
            self._interrupted_runs, now_s - CONFIRMATION_TIMEOUT_S
        )
        self._crashes = _without_expired(self._crashes, now_s - CRASH_RETENTION_S)


def _without_expired(
    entries: dict[KeyT, dict[NameT, float]], since_s: float
) -> dict[KeyT, dict[NameT, float]]:
    """Return the entries since `since_s`, without keys that have none left."""
    recent = {
        key: {name: at_s for name, at_s in items.items() if at_s >= since_s}
        for key, items in entries.items()
    }
    return {key: items for key, items in recent.items() if items}
