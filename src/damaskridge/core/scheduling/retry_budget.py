"""Budgets for further attempts, per request, workspace and cell."""

__all__ = ["MAX_ATTEMPTS", "RetryBudget"]

MAX_ATTEMPTS = 4
_RATIO = 0.1
# Enough for the requests of two engines that fail at the same time.
_BURST = 50.0
_CELL = ""


class RetryBudget:
    """Every first attempt earns a tenth of a retry, up to a burst."""

    def __init__(self) -> None:
        self._left: dict[str, float] = {}

    def earn(self, workspace: str) -> None:
        """Note a first attempt."""
        for name in (workspace, _CELL):
            self._left[name] = min(_BURST, self._left.get(name, _BURST) + _RATIO)

    def spend(self, workspace: str, attempt: int) -> bool:
        """Tell whether a further attempt is allowed, and count it if so."""
        names = (workspace, _CELL)
        if attempt > MAX_ATTEMPTS:
            return False
        if any(self._left.get(name, _BURST) < 1 for name in names):
            return False
        for name in names:
            self._left[name] = self._left.get(name, _BURST) - 1
        return True
