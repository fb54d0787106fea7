"""Collects on a host how long prefills take, until it is reported.

>>> log = PrefillLog()
>>> log.record("e1", 1000, 0.02)
>>> log.record("e1", 0, 0.02)
>>> log.pop()
{'e1': (PrefillTime(tokens=1000, elapsed_ms=20),)}
>>> log.pop()
{}
"""

from damaskridge.model.prefill_times import PrefillTime

__all__ = ["PrefillLog"]

# Most prefills of one engine in a report. Reports are sent many times a second.
MAX_UNREPORTED = 8


class PrefillLog:
    """Prefills that the leader has not been told of."""

    def __init__(self) -> None:
        self._unreported: dict[str, list[PrefillTime]] = {}

    def record(self, engine: str, tokens: int, elapsed_s: float) -> None:
        """
        Record a prefill.

        Parameters
        ----------
        engine : str
            Name of the engine.
        tokens : int
            Length of the prompt.
        elapsed_s : float
            How long it took.
        """
        if tokens <= 0 or elapsed_s <= 0:
            return
        times = self._unreported.setdefault(engine, [])
        if len(times) < MAX_UNREPORTED:
            times.append(PrefillTime(tokens, max(1, round(elapsed_s * 1000))))

    def pop(self) -> dict[str, tuple[PrefillTime, ...]]:
        """Return the prefills since the last call, by engine."""
        unreported, self._unreported = self._unreported, {}
        return {engine: tuple(times) for engine, times in unreported.items()}
