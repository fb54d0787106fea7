"""Idempotency keys of one workspace, in flight and recently finished."""

from collections import deque
from dataclasses import dataclass

__all__ = ["KEY_RETENTION_S", "KeyEntry", "KeyTable"]

KEY_RETENTION_S = 600.0


@dataclass(slots=True)
class KeyEntry:
    """The request that uses an idempotency key."""

    key: str
    request_id: str
    front: str
    body_digest: str
    finished: bool = False


class KeyTable:
    """Finds the request behind a key; finished keys stay for `KEY_RETENTION_S`."""

    def __init__(self) -> None:
        self._by_key: dict[str, KeyEntry] = {}
        self._by_request: dict[str, KeyEntry] = {}
        self._finished: deque[tuple[float, KeyEntry]] = deque()

    def find(self, key: str) -> KeyEntry | None:
        """Return the entry of `key`, if any."""
        return self._by_key.get(key)

    def add(self, entry: KeyEntry) -> None:
        """Record a request; an earlier entry of the key wins."""
        if entry.key and entry.key not in self._by_key:
            self._by_key[entry.key] = entry
            self._by_request[entry.request_id] = entry

    def finish(self, request_id: str, now_s: float) -> None:
        """Mark the request's key as finished."""
        entry = self._by_request.get(request_id)
        if entry is not None and not entry.finished:
            entry.finished = True
            self._finished.append((now_s + KEY_RETENTION_S, entry))

    def discard(self, request_id: str) -> None:
        """Forget the key of a request that was refused."""
        entry = self._by_request.pop(request_id, None)
        if entry is not None:
            self._by_key.pop(entry.key, None)

    def expire(self, now_s: float) -> None:
        """Forget finished keys whose retention has ended."""
        while self._finished and self._finished[0][0] <= now_s:
            self.discard(self._finished.popleft()[1].request_id)
