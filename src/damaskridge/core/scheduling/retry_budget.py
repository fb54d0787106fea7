"""Limits retries per request, workspace and cell."""

__all__ = ["MAX_ATTEMPTS", "RetryBudget"]

MAX_ATTEMPTS = 4
_RETRIES_PER_REQUEST = 0.1
# Covers the requests of two engines that fail at the same time.
_MAX_BALANCE = 50.0
_CELL_KEY = ""


class RetryBudget:
    """Token bucket of retries: each first attempt adds a fraction of a retry."""

    def __init__(self) -> None:
        self._balances: dict[str, float] = {}

    def record_first_attempt(self, workspace: str) -> None:
        """Add the retries that a first attempt earns for its workspace and the cell."""
        for name in (workspace, _CELL_KEY):
            self._balances[name] = min(
                _MAX_BALANCE,
                self._balances.get(name, _MAX_BALANCE) + _RETRIES_PER_REQUEST,
            )

    def try_spend(self, workspace: str, attempt: int) -> bool:
        """Return whether a retry is allowed, and charge it if so."""
        names = (workspace, _CELL_KEY)
        if attempt > MAX_ATTEMPTS:
            return False
        if any(self._balances.get(name, _MAX_BALANCE) < 1 for name in names):
            return False
        for name in names:
            self._balances[name] = self._balances.get(name, _MAX_BALANCE) - 1
        return True
