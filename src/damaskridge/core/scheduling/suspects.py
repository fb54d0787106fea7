"""Fingerprints that were on a server when it crashed."""

__all__ = ["SUSPECT_RETENTION_S", "SuspectTable"]

SUSPECT_RETENTION_S = 3600.0


class SuspectTable:
    """Suspects of this cell's own crashes, beside those that fronts report."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def add(self, fingerprints: tuple[str, ...], now_s: float) -> None:
        """Suspect the fingerprints of a crash."""
        for fingerprint in fingerprints:
            self._until_s[fingerprint] = now_s + SUSPECT_RETENTION_S
        for fingerprint in [f for f, end_s in self._until_s.items() if end_s <= now_s]:
            del self._until_s[fingerprint]

    def clear(self, fingerprint: str) -> None:
        """Forget a fingerprint that ran to its end."""
        self._until_s.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether the fingerprint is suspect."""
        return self._until_s.get(fingerprint, 0.0) > now_s
