"""Idempotency keys of one workspace: those in flight and those finished recently."""

from collections import deque
from dataclasses import dataclass

__all__ = ["KEY_RETENTION_S", "KeyEntry", "KeyTable"]

# How long a finished key is kept.
KEY_RETENTION_S = 600.0


@dataclass(slots=True)
class KeyEntry:
    """An idempotency key and the request that first used it."""

    key: str
    request_id: str
    front: str
    body_digest: str
    finished: bool = False


class KeyTable:
    """Idempotency keys by key and by request; finished ones expire."""

    def __init__(self) -> None:
        self._by_key: dict[str, KeyEntry] = {}
        self._by_request: dict[str, KeyEntry] = {}
        self._finished: deque[tuple[float, KeyEntry]] = deque()

    def find(self, key: str) -> KeyEntry | None:
        """Return the entry of `key`, if there is one."""
        return self._by_key.get(key)

    def add(self, entry: KeyEntry) -> None:
        """Add a request with a key, unless the key already has an entry."""
        if entry.key and entry.key not in self._by_key:
            self._by_key[entry.key] = entry
            self._by_request[entry.request_id] = entry

    def finish(self, request_id: str, now_s: float) -> None:
        """Mark the key of a request as finished, to expire after `KEY_RETENTION_S`."""
        entry = self._by_request.get(request_id)
        if entry is not None and not entry.finished:
            entry.finished = True
            self._finished.append((now_s + KEY_RETENTION_S, entry))

    def discard(self, request_id: str) -> None:
        """Remove the key of a request."""
        entry = self._by_request.pop(request_id, None)
        if entry is not None:
            self._by_key.pop(entry.key, None)

    def expire(self, now_s: float) -> None:
        """Remove the finished keys whose retention time has passed."""
        while self._finished and self._finished[0][0] <= now_s:
            self.discard(self._finished.popleft()[1].request_id)
