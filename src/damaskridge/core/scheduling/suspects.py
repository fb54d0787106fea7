"""Tracks the fingerprints of requests that ran on a server when it crashed."""

__all__ = ["LOCAL_CRASH_WINDOW_S", "SUSPECT_RETENTION_S", "SuspectTable"]

SUSPECT_RETENTION_S = 3600.0
# The front detects a crash at once, the cell owner only when it next polls the engine.
MAX_CRASH_DETECTION_DELAY_S = 5.0
# Crashes are counted here until the control group has received the reports of them.
LOCAL_CRASH_WINDOW_S = 10.0
_MAX_CRASHES = 2
# Stands for the server and incarnation of an earlier crash, which are not known.
_EARLIER_CRASH = ("", 0)


class SuspectTable:
    """
    Fingerprints suspected of crashing servers, as seen by this process.

    The control group keeps the list for the whole fleet; this table covers the time
    until the list contains a new crash.
    """

    def __init__(self) -> None:
        self._suspect_until_s: dict[str, float] = {}
        self._failures_s: dict[str, dict[tuple[str, int], float]] = {}

    def add(self, fingerprints: tuple[str, ...], now_s: float) -> None:
        """Mark the fingerprints that ran on a crashed server as suspect."""
        for fingerprint in fingerprints:
            self._suspect_until_s[fingerprint] = now_s + SUSPECT_RETENTION_S
        for fingerprint in [
            f for f, end_s in self._suspect_until_s.items() if end_s <= now_s
        ]:
            del self._suspect_until_s[fingerprint]

    def record_failure(
        self,
        fingerprint: str,
        server: str,
        incarnation: int,
        now_s: float,
        *,
        was_suspect: bool = False,
    ) -> None:
        """
        Mark a fingerprint as suspect because a front lost the server that ran it.

        If the request was suspect before, the earlier crash counts as well, however
        long ago it was.
        """
        self.add((fingerprint,), now_s)
        failures = self._failures_s.setdefault(fingerprint, {})
        if was_suspect and (server, incarnation) not in failures:
            failures[_EARLIER_CRASH] = now_s
        failures.setdefault((server, incarnation), now_s)
        for name, items in list(self._failures_s.items()):
            if all(
                now_s - failed_s > LOCAL_CRASH_WINDOW_S for failed_s in items.values()
            ):
                del self._failures_s[name]

    def recently_failed_on(
        self, server: str, incarnation: int, now_s: float
    ) -> list[str]:
        """
        Return the fingerprints of requests that fronts recently lost on a server.

        Losses with an earlier process of the server belong to an earlier crash and
        are left out.
        """
        key = (server, incarnation)
        return [
            fingerprint
            for fingerprint, failures in self._failures_s.items()
            if now_s - failures.get(key, float("-inf")) <= MAX_CRASH_DETECTION_DELAY_S
        ]

    def has_reached_crash_limit(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a fingerprint was on the maximum number of lost servers."""
        failures = self._failures_s.get(fingerprint, {}).values()
        return (
            sum(now_s - failed_s <= LOCAL_CRASH_WINDOW_S for failed_s in failures)
            >= _MAX_CRASHES
        )

    def clear(self, fingerprint: str) -> None:
        """Discard a fingerprint whose request finished."""
        self._suspect_until_s.pop(fingerprint, None)
        self._failures_s.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the fingerprint is suspect."""
        return self._suspect_until_s.get(fingerprint, 0.0) > now_s
