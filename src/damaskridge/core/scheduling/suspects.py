"""Fingerprints that were on a server when it crashed."""

__all__ = ["LOCAL_CRASH_WINDOW_S", "SUSPECT_RETENTION_S", "SuspectTable"]

SUSPECT_RETENTION_S = 3600.0
# A front sees a crash at once, the owner with its next polls of the engine.
MAX_CRASH_DETECTION_DELAY_S = 5.0
# By then the control group has the reports of the crashes.
LOCAL_CRASH_WINDOW_S = 10.0
_MAX_CRASHES = 2
_EARLIER_CRASH = ("", 0)


class SuspectTable:
    """Suspects of this cell's own crashes, beside those that fronts report."""

    def __init__(self) -> None:
        self._suspect_until_s: dict[str, float] = {}
        self._failures_s: dict[str, dict[tuple[str, int], float]] = {}

    def add(self, fingerprints: tuple[str, ...], now_s: float) -> None:
        """Suspect the fingerprints of a crash."""
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
        Suspect a fingerprint because a front lost the server that ran it.

        For a request that was suspect before, the crash behind that counts too,
        however long ago it was.
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
        Return what fronts lost on a server just before its crash was seen.

        What was lost with an earlier process of the server explains another crash.
        """
        key = (server, incarnation)
        return [
            fingerprint
            for fingerprint, failures in self._failures_s.items()
            if now_s - failures.get(key, float("-inf")) <= MAX_CRASH_DETECTION_DELAY_S
        ]

    def has_reached_crash_limit(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a fingerprint was lost with as many servers as it may cost."""
        failures = self._failures_s.get(fingerprint, {}).values()
        return (
            sum(now_s - failed_s <= LOCAL_CRASH_WINDOW_S for failed_s in failures)
            >= _MAX_CRASHES
        )

    def clear(self, fingerprint: str) -> None:
        """Forget a fingerprint that ran to its end."""
        self._suspect_until_s.pop(fingerprint, None)
        self._failures_s.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether the fingerprint is suspect."""
        return self._suspect_until_s.get(fingerprint, 0.0) > now_s
