"""Finds requests that crash the backend servers which run them.

Such a request comes again under a new id and at any host, so that it is known by a
fingerprint of its workspace, path and body. A server that breaks off a run and then
cannot be reached, or is gone or started anew, has crashed; all that ran there is under
suspicion. A request that was there at three crashes is refused for a while, unless this
host has seen it answered: many calls have neither a body nor a path of their own. Load
answered: a single request that would take down one server after the other.

>>> watch = CrashTracker()
>>> for server in ("a", "b", "c"):
...     watch.record_interrupted_run("f1", ServerStart(server), now_s=1.0)
...     watch.record_lost_server(ServerStart(server), now_s=1.5)
>>> watch.is_suspect("f1", now_s=2.0)
True
>>> watch.is_suspect("f2", now_s=2.0)
False
"""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

from damaskridge.model.gateway import CrashNotice, ServerStart

__all__ = ["CrashTracker", "fingerprint_of"]

K = TypeVar("K")
N = TypeVar("N")

# A request that happens to be there at one or two crashes is usually innocent.
MOST_CRASHES = 3
# Time between a broken run and the sign that its server has crashed: a new connection
# is tried within seconds, and the list of servers lags by about one.
CONFIRM_S = 4.0
# A caller that has given up for so long has probably sent its last repeat.
KEEP_S = 60.0
# Fingerprints of answered requests that a host remembers.
REMEMBERED = 4096


def fingerprint_of(workspace: str, path: str, body: bytes) -> str:
    """Return what a request has in common with its repeats."""
    digest = blake2b(digest_size=12)
    for part in (workspace.encode(), path.encode(), body):
        digest.update(b"%d:" % len(part) + part)
    return digest.hexdigest()


class CrashTracker:
    """What one host knows of crashes, its own and those that others report."""

    def __init__(self) -> None:
        self._broken: dict[ServerStart, dict[str, float]] = {}
        self._crashes: dict[str, dict[ServerStart, float]] = {}
        self._unreported: list[CrashNotice] = []
        self._answered_s: OrderedDict[str, float] = OrderedDict()

    def record_interrupted_run(
        self, fingerprint: str, server: ServerStart, now_s: float
    ) -> None:
        """Note that a server broke off a run; whether it crashed shows later."""
        self._forget_old(now_s)
        self._broken.setdefault(server, {})[fingerprint] = now_s

    def record_lost_server(self, server: ServerStart, now_s: float) -> None:
        """Note that a start of a server cannot be reached, or is gone."""
        for fingerprint, broken_s in self._broken.pop(server, {}).items():
            if now_s - broken_s <= CONFIRM_S:
                notice = CrashNotice(fingerprint, server)
                self._unreported.append(notice)
                self.on_report((notice,), now_s)

    def record_response(self, fingerprint: str, now_s: float) -> None:
        """Clear a request that a server ran to its end."""
        self._crashes.pop(fingerprint, None)
        self._answered_s[fingerprint] = now_s
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > REMEMBERED:
            self._answered_s.popitem(last=False)

    def on_report(self, notices: Iterable[CrashNotice], now_s: float) -> None:
        """Take over crashes, of this host or of others."""
        self._forget_old(now_s)
        for notice in notices:
            self._crashes.setdefault(notice.fingerprint, {})[notice.server] = now_s

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a request was there at so many crashes that it is refused."""
        if now_s - self._answered_s.get(fingerprint, float("-inf")) <= KEEP_S:
            return False
        crashes = self._crashes.get(fingerprint, {}).values()
        recent_crashes = sum(now_s - seen_s <= KEEP_S for seen_s in crashes)
        return recent_crashes >= MOST_CRASHES

    def pop_unreported(self) -> tuple[CrashNotice, ...]:
        """Return what this host has found since the last call."""
        notices, self._unreported = tuple(self._unreported), []
        return notices

    def recent_crashes(self, now_s: float) -> tuple[CrashNotice, ...]:
        """Return every crash that still counts."""
        self._forget_old(now_s)
        return tuple(
            CrashNotice(fingerprint, server)
            for fingerprint, servers in self._crashes.items()
            for server in servers
        )

    def _forget_old(self, now_s: float) -> None:
        self._broken = _newer(self._broken, now_s - CONFIRM_S)
        self._crashes = _newer(self._crashes, now_s - KEEP_S)


def _newer(kept: dict[K, dict[N, float]], since_s: float) -> dict[K, dict[N, float]]:
    """Return the entries that are not older, without keys that have none."""
    found = {
        key: {name: at_s for name, at_s in items.items() if at_s >= since_s}
        for key, items in kept.items()
    }
    return {key: items for key, items in found.items() if items}
